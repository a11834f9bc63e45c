package tinworks.soak;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
import tinworks.local.Machines;
import tinworks.node.StallWatch;

/** Guards against blaming the processes of a day for what a machine does to them that is too busy for all of them. */
final class BusyMachineWatch {
    private static final long STALL_TICK_MILLIS = 50;
    private static final long PROCESSORS_MILLIS = 300;

    private final List<EdgeProbe> probes;
    private final Machines machines;
    private final Books books;
    private final Timeline timeline;
    private final List<StarvationWatch> starvation;

    BusyMachineWatch(List<EdgeProbe> probes, Machines machines, Books books, Timeline timeline) {
        this.probes = List.copyOf(probes);
        this.machines = machines;
        this.books = books;
        this.timeline = timeline;
        starvation = probes.stream().map(probe -> new StarvationWatch()).toList();
    }

    /** Looks for stalls of an event loop of the surroundings from now on: all edges count as troubled in one. */
    void watchStalls(EventLoop loop) {
        StallWatch watch = new StallWatch(STALL_TICK_MILLIS);
        loop.scheduleWithFixedDelay(
                () -> {
                    if (watch.came(books.now()) > 0) {
                        books.count("stalls of the surroundings");
                        probes.forEach(probe -> timeline.strikes(probe.gateway(), books.now()));
                    }
                },
                STALL_TICK_MILLIS,
                STALL_TICK_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Looks once whether an edge was left without a processor, and waits until the next look is due. */
    void watchProcessors() throws InterruptedException {
        for (int i = 0; i < probes.size(); i++) {
            if (starvation.get(i).isStarved(machines.pid(SoakDay.edge(i)), System.nanoTime())) {
                books.count("spans of 0.3 s in which an edge was starved of the processor");
                timeline.strikes(probes.get(i).gateway(), books.now());
            }
        }
        TimeUnit.MILLISECONDS.sleep(PROCESSORS_MILLIS);
    }
}
