package tinworks.soak;

import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import tinworks.local.Machines;

/**
 * Kills, pauses, stops and signals the processes of a day, alone and in series, and writes down when each was in
 * trouble.
 */
final class ProcessTroubles {
    /** A killed process runs again after this, with a little for its start. */
    static final long BACK_MILLIS = 1_200;
    /** A process that was told to end has the grace, and then a start. */
    private static final long STOPPED_MILLIS = 7_500;

    private static final int KILLS_IN_SERIES = 4;
    private static final int SIGNALS_IN_SERIES = 8;
    private static final int LONGEST_GAP_MILLIS = 700;
    private static final long SHORTEST_GAP_MILLIS = 30;
    private static final long HALF_WRITTEN_MILLIS = 300;

    private final SoakPlan plan;
    private final Machines machines;
    private final List<EdgeProbe> probes;
    private final Books books;
    private final Timeline timeline;
    private final ScheduledExecutorService timers;
    private final Consumer<String> notes;
    private final Set<String> paused = ConcurrentHashMap.newKeySet();

    ProcessTroubles(
            SoakPlan plan,
            Machines machines,
            List<EdgeProbe> probes,
            Books books,
            Timeline timeline,
            ScheduledExecutorService timers,
            Consumer<String> notes) {
        this.plan = plan;
        this.machines = machines;
        this.probes = probes;
        this.books = books;
        this.timeline = timeline;
        this.timers = timers;
        this.notes = notes;
    }

    /** Whether a machine's processes stood still at some time. */
    boolean wasPaused(String machine) {
        return paused.contains(machine);
    }

    static boolean isCore(String machine) {
        return machine.startsWith("core-");
    }

    private EdgeProbe probe(String edge) {
        return probes.get(Integer.parseInt(edge.substring("edge-".length())));
    }

    /** The books know edges by their addresses. */
    private String inTimeline(String machine) {
        return isCore(machine) ? machine : probe(machine).gateway();
    }

    /** How many requests are open at a machine, or at all edges where it is a core machine. */
    int open(String machine) {
        return isCore(machine) ? books.open() : books.open(inTimeline(machine));
    }

    /** A machine is in trouble from now on, for so long. */
    void troubled(String machine, long millis) {
        long now = books.now();
        timeline.lasts(inTimeline(machine), now, now + millis);
    }

    private void note(String what, String machine) {
        notes.accept(what + " " + machine + ", " + open(machine) + " requests open");
    }

    void kill(String machine) {
        note("kill", machine);
        troubled(machine, BACK_MILLIS);
        machines.kill(machine);
    }

    void killCores() {
        for (int i = 0; i < plan.cores(); i++) {
            kill("core-" + i);
        }
    }

    void killAll() {
        killCores();
        for (int i = 0; i < plan.edges(); i++) {
            kill(SoakDay.edge(i));
        }
    }

    void killInSeries(String machine, SplittableRandom random) throws InterruptedException {
        for (int i = 0; i < KILLS_IN_SERIES; i++) {
            kill(machine);
            TimeUnit.MILLISECONDS.sleep(BACK_MILLIS / 2 + random.nextInt((int) BACK_MILLIS));
        }
    }

    void loseDisk(String machine) {
        note("disk lost at", machine);
        troubled(machine, BACK_MILLIS);
        machines.loseDisk(machine);
    }

    void pause(String machine, long millis) throws IOException {
        note("pause for " + millis, machine);
        paused.add(machine);
        troubled(machine, millis + 100);
        machines.signal(machine, "STOP");
        timers.schedule(() -> resume(machine), millis, TimeUnit.MILLISECONDS);
    }

    private void resume(String machine) {
        try {
            machines.signal(machine, "CONT");
        } catch (IOException e) {
            notes.accept("could not resume " + machine + ": " + e);
        }
    }

    /** All processes go on. */
    void resumeAll() {
        for (int i = 0; i < plan.cores(); i++) {
            resume("core-" + i);
        }
        for (int i = 0; i < plan.edges(); i++) {
            resume(SoakDay.edge(i));
        }
    }

    /** Planned work: what an edge may not lose by it is judged. */
    void stop(String machine) {
        note("SIGTERM to", machine);
        if (isCore(machine)) {
            troubled(machine, STOPPED_MILLIS);
        } else {
            long now = books.now();
            timeline.planned(inTimeline(machine), now, now + STOPPED_MILLIS);
            probe(machine).terminated();
        }
        machines.terminate(machine);
    }

    /** Tells one machine after the other to end, each before the one before is back. */
    void stopInTurn(List<String> names, SplittableRandom random) throws InterruptedException {
        for (String machine : names) {
            stop(machine);
            TimeUnit.MILLISECONDS.sleep(SHORTEST_GAP_MILLIS + random.nextInt(2 * LONGEST_GAP_MILLIS));
        }
    }

    /** Signals in a series; each may meet the process as it runs, ends or starts. */
    void signalInSeries(String machine, SplittableRandom random) throws IOException, InterruptedException {
        boolean stopped = false;
        for (int i = 0; i < SIGNALS_IN_SERIES; i++) {
            boolean last = i == SIGNALS_IN_SERIES - 1;
            if (random.nextInt(3) == 0 || (last && !stopped)) {
                stop(machine);
                stopped = true;
            } else {
                note("SIGHUP to", machine);
                machines.signal(machine, "HUP");
            }
            TimeUnit.MILLISECONDS.sleep(SHORTEST_GAP_MILLIS + random.nextInt(LONGEST_GAP_MILLIS));
        }
    }

    /** Changes a machine's settings; half of the file is there when the first signal comes. */
    void reload(String machine) throws IOException, InterruptedException {
        note("changed settings at", machine);
        String settings = machines.settings(machine);
        String changed =
                settings.contains("\"reloaded\"") ? settings : settings.replaceFirst("\\{", "{\"reloaded\":true,");
        machines.changeSettings(machine, changed.substring(0, changed.length() / 2));
        machines.signal(machine, "HUP");
        TimeUnit.MILLISECONDS.sleep(HALF_WRITTEN_MILLIS);
        machines.changeSettings(machine, changed);
        machines.signal(machine, "HUP");
    }
}
