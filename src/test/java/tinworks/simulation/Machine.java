package tinworks.simulation;

import java.util.ArrayList;
import java.util.List;

/**
 * A simulated machine with one single-threaded process. Its monotonic clock drifts slightly. While the process is
 * frozen, deliveries and timers queue up and time passes; while it is slow, each task takes a fixed time. A task that
 * was scheduled in one incarnation of the process never runs in another.
 */
public final class Machine {
    private static final double MAX_CLOCK_DRIFT = 200e-6;

    private final Simulator simulator;
    private final String address;
    private final double rate;
    private final long clockBase;
    private final Runnable observer;
    private final List<QueuedWork> timers = new ArrayList<>();
    private final List<QueuedWork> arrivals = new ArrayList<>();
    private boolean powered = true;
    private boolean running;
    private boolean frozen;
    private long incarnation;
    private long processingMicros;
    private long busyUntil;
    private int pendingTasks;

    private record QueuedWork(long incarnation, Runnable work) {}

    /** Creates a machine whose process is not started; the observer is called after each task. */
    public Machine(Simulator simulator, String address, Runnable observer) {
        this.simulator = simulator;
        this.address = address;
        this.observer = observer;
        rate = 1 + (simulator.random().nextDouble() * 2 - 1) * MAX_CLOCK_DRIFT;
        clockBase = simulator.random().nextLong(1 << 30);
    }

    /** Returns the address at which the machine is reached. */
    public String address() {
        return address;
    }

    /** Returns the monotonic clock of the machine in milliseconds. */
    public long millis() {
        return clockBase + (long) (simulator.micros() * rate / 1_000);
    }

    /** Returns the incarnation of the process, which changes with each start and each kill. */
    public long incarnation() {
        return incarnation;
    }

    /** Whether the machine has power. */
    public boolean powered() {
        return powered;
    }

    /** Whether the process exists, frozen or not. */
    public boolean running() {
        return running;
    }

    /** Whether the process is frozen. */
    public boolean frozen() {
        return frozen;
    }

    /** Restores power and starts a new process. */
    public void start() {
        powered = true;
        running = true;
        frozen = false;
        processingMicros = 0;
        busyUntil = 0;
        pendingTasks = 0;
        incarnation++;
    }

    /** Kills the process: its timers and queued deliveries are dropped. */
    public void kill() {
        running = false;
        frozen = false;
        incarnation++;
        timers.clear();
        arrivals.clear();
    }

    /** Cuts the power, which also ends the process. */
    public void powerOff() {
        kill();
        powered = false;
    }

    /** Suspends the process, as SIGSTOP does. */
    public void freeze() {
        frozen = running;
    }

    /** Resumes the process; whether its queued deliveries or its expired timers run first is random. */
    public void thaw() {
        if (!frozen) {
            return;
        }
        frozen = false;
        List<QueuedWork> queued = new ArrayList<>();
        boolean timersFirst = simulator.random().nextBoolean();
        queued.addAll(timersFirst ? timers : arrivals);
        queued.addAll(timersFirst ? arrivals : timers);
        timers.clear();
        arrivals.clear();
        queued.forEach(task -> runOrQueue(task.incarnation, task.work, arrivals));
    }

    /** Sets how long each task takes from now on; 0 for no time. */
    public void setProcessingMicros(long micros) {
        processingMicros = micros;
    }

    /**
     * Schedules a task of the current process by the clock of the machine; it runs up to 0.5 ms late, as real timers
     * do.
     */
    public void schedule(long millis, Runnable work) {
        long scheduledIn = incarnation;
        long lateMicros = simulator.random().nextInt(500);
        simulator.schedule((long) (millis * 1_000 / rate) + lateMicros, () -> runOrQueue(scheduledIn, work, timers));
    }

    /** Delivers a task from outside to the process of this incarnation; dropped if that process has ended. */
    public void deliver(long taskIncarnation, Runnable work) {
        runOrQueue(taskIncarnation, work, arrivals);
    }

    private void runOrQueue(long taskIncarnation, Runnable work, List<QueuedWork> queue) {
        if (taskIncarnation != incarnation || !running) {
            return;
        }
        if (frozen) {
            queue.add(new QueuedWork(taskIncarnation, work));
        } else if (processingMicros > 0 || pendingTasks > 0) {
            pendingTasks++;
            busyUntil = Math.max(busyUntil, simulator.micros()) + processingMicros;
            simulator.schedule(busyUntil - simulator.micros(), () -> {
                pendingTasks -= taskIncarnation == incarnation ? 1 : 0;
                runIfCurrent(taskIncarnation, work, queue);
            });
        } else {
            runIfCurrent(taskIncarnation, work, queue);
        }
    }

    private void runIfCurrent(long taskIncarnation, Runnable work, List<QueuedWork> queue) {
        if (taskIncarnation != incarnation || !running) {
            return;
        }
        if (frozen) {
            queue.add(new QueuedWork(taskIncarnation, work));
            return;
        }
        work.run();
        observer.run();
    }
}
