package tinworks.soak;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import tinworks.node.NodeProcess;
import tinworks.soak.SoakHost.Conduct;
import tinworks.standin.StandInHost.Nature;
import tinworks.standin.StandInPlatform;

/** The hosts of a day and the platform that lists them. Its methods may be called from any thread. */
final class SoakHosts {
    static final long LAG_MILLIS = 400;
    private static final int PLATFORM_RATE = 50;
    private static final int SLOTS = 6;
    private static final int QUEUE = 8;
    private static final double[] WORK_MILLIS = {25, 40, 70};
    /** A drained host serves on for so long. */
    private static final long DRAIN_MILLIS = 2_500;
    /** The address of an ended host may go to another after this. */
    private static final long REUSE_MILLIS = 2_000;

    private final EventLoop loop;
    private final Books books;
    private final SplittableRandom random;
    private final StandInPlatform<SoakHost> platform;
    private final List<SoakHost> hosts = new ArrayList<>();
    private int started;

    SoakHosts(EventLoop loop, Books books, SplittableRandom random) {
        this.loop = loop;
        this.books = books;
        this.random = random;
        platform = new StandInPlatform<>(loop, LAG_MILLIS, PLATFORM_RATE);
    }

    /** Where the platform listens. */
    InetSocketAddress start(int perService) {
        NodeProcess.call(loop, () -> platform.listen(new InetSocketAddress("127.0.0.1", 0)))
                .syncUninterruptibly();
        for (int service = 0; service < SoakConfigurations.SERVICES.size(); service++) {
            for (int i = 0; i < perService; i++) {
                add(service, new InetSocketAddress("127.0.0.1", 0));
            }
        }
        return platform.address();
    }

    private void add(int service, InetSocketAddress address) {
        Nature nature = NodeProcess.call(
                loop,
                () -> new Nature(
                        "h" + ++started + "x" + Integer.toHexString(random.nextInt()),
                        SoakConfigurations.SERVICES.get(service),
                        "zone-" + started % 2,
                        SLOTS,
                        QUEUE,
                        WORK_MILLIS[service],
                        0.75 + 0.5 * random.nextDouble(),
                        0));
        SoakHost host = NodeProcess.call(loop, () -> new SoakHost(loop, nature, random.nextLong(), books));
        if (!NodeProcess.call(loop, () -> host.listen(address))
                .awaitUninterruptibly()
                .isSuccess()) {
            books.count("host addresses that could not be had again");
            return;
        }
        NodeProcess.run(loop, () -> {
            hosts.add(host);
            platform.add(List.of(host));
        });
    }

    private SoakHost target(int target) {
        List<SoakHost> there = hosts.stream()
                .filter(host -> !host.isDraining())
                .sorted(Comparator.comparing(host -> host.nature().id()))
                .toList();
        return there.get(target % there.size());
    }

    /** A host behaves so for a while. */
    void behave(Conduct conduct, int target, long millis) {
        NodeProcess.run(loop, () -> {
            SoakHost host = target(target);
            host.behave(conduct);
            loop.schedule(() -> host.behave(Conduct.SOUND), millis, TimeUnit.MILLISECONDS);
        });
    }

    /** A host is gone without a word; the platform shows it for a while, and then another one in its place. */
    void crash(int target, boolean reusesAddress, long millis) throws InterruptedException {
        SoakHost host = NodeProcess.call(loop, () -> {
            SoakHost crashed = target(target);
            crashed.crash();
            hosts.remove(crashed);
            return crashed;
        });
        InetSocketAddress address = host.address();
        TimeUnit.MILLISECONDS.sleep(Math.min(millis, REUSE_MILLIS / 2));
        NodeProcess.run(loop, () -> platform.remove(host.nature().id()));
        int service = SoakConfigurations.SERVICES.indexOf(host.nature().service());
        if (reusesAddress) {
            TimeUnit.MILLISECONDS.sleep(REUSE_MILLIS / 2);
            add((service + 1) % SoakConfigurations.SERVICES.size(), address);
        }
        add(service, new InetSocketAddress("127.0.0.1", 0));
    }

    /** A new host comes, and then an old one drains and ends. */
    void replace(int target) throws InterruptedException {
        SoakHost old = NodeProcess.call(loop, () -> target(target));
        add(SoakConfigurations.SERVICES.indexOf(old.nature().service()), new InetSocketAddress("127.0.0.1", 0));
        TimeUnit.MILLISECONDS.sleep(LAG_MILLIS);
        NodeProcess.run(loop, () -> {
            old.drain(LAG_MILLIS);
            platform.changed();
        });
        TimeUnit.MILLISECONDS.sleep(LAG_MILLIS + DRAIN_MILLIS);
        NodeProcess.run(loop, () -> {
            platform.remove(old.nature().id());
            hosts.remove(old);
            loop.schedule(old::crash, Books.DRAIN_MILLIS, TimeUnit.MILLISECONDS);
        });
    }

    /** How the platform answers from now on. */
    void platform(StandInPlatform.Conduct conduct) {
        NodeProcess.run(loop, () -> platform.behave(conduct));
    }
}
