package tinworks.simulation;

import java.util.ArrayList;
import java.util.List;

/**
 * A machine and the one thread of its process: its steady clock runs a little wrong, it may be frozen, when what comes
 * queues up and time passes on, or slow, when each piece of work takes its time. What was begun in one life of the
 * process is never done in another.
 */
public final class Machine {
    private static final double CLOCK_ERROR = 200e-6;

    private final Simulator world;
    private final String address;
    private final double rate;
    private final long clockBase;
    private final Runnable observer;
    private final List<Held> timers = new ArrayList<>();
    private final List<Held> arrivals = new ArrayList<>();
    private boolean powered = true;
    private boolean running;
    private boolean frozen;
    private long life;
    private long workMicros;
    private long busyUntil;
    private int pending;

    private record Held(long life, Runnable work) {}

    /** A machine without a process yet; the observer looks on after each piece of work. */
    public Machine(Simulator world, String address, Runnable observer) {
        this.world = world;
        this.address = address;
        this.observer = observer;
        rate = 1 + (world.random().nextDouble() * 2 - 1) * CLOCK_ERROR;
        clockBase = world.random().nextLong(1 << 30);
    }

    /** Where it is reached. */
    public String address() {
        return address;
    }

    /** Its own steady milliseconds. */
    public long millis() {
        return clockBase + (long) (world.micros() * rate / 1_000);
    }

    /** Which process of this machine runs, or ran last. */
    public long incarnation() {
        return life;
    }

    /** Whether it has power. */
    public boolean powered() {
        return powered;
    }

    /** Whether its process runs, or would if it weren't frozen. */
    public boolean running() {
        return running;
    }

    /** Whether its process is frozen. */
    public boolean frozen() {
        return frozen;
    }

    /** Its process starts, and power is back. */
    public void start() {
        powered = true;
        running = true;
        frozen = false;
        workMicros = 0;
        busyUntil = 0;
        pending = 0;
        life++;
    }

    /** The process is gone. */
    public void kill() {
        running = false;
        frozen = false;
        life++;
        timers.clear();
        arrivals.clear();
    }

    /** Power is gone, and the process with it. */
    public void powerOff() {
        kill();
        powered = false;
    }

    /** The process stands still. */
    public void freeze() {
        frozen = running;
    }

    /** The process goes on; whether it sees first what has come or that time has passed is left to chance. */
    public void thaw() {
        if (!frozen) {
            return;
        }
        frozen = false;
        List<Held> held = new ArrayList<>();
        boolean timersFirst = world.random().nextBoolean();
        held.addAll(timersFirst ? timers : arrivals);
        held.addAll(timersFirst ? arrivals : timers);
        timers.clear();
        arrivals.clear();
        held.forEach(h -> perform(h.life, h.work, arrivals));
    }

    /** From now on each piece of work takes this long; 0 for no time at all. */
    public void setProcessingMicros(long micros) {
        workMicros = micros;
    }

    /** A timer of the present process, in its own milliseconds; a little late, as timers are. */
    public void schedule(long millis, Runnable work) {
        long mine = life;
        long late = world.random().nextInt(500);
        world.schedule((long) (millis * 1_000 / rate) + late, () -> perform(mine, work, timers));
    }

    /** Something comes from outside to the process of this life; nothing where that is no more. */
    public void deliver(long itsLife, Runnable work) {
        perform(itsLife, work, arrivals);
    }

    private void perform(long itsLife, Runnable work, List<Held> queue) {
        if (itsLife != life || !running) {
            return;
        }
        if (frozen) {
            queue.add(new Held(itsLife, work));
        } else if (workMicros > 0 || pending > 0) {
            pending++;
            busyUntil = Math.max(busyUntil, world.micros()) + workMicros;
            world.schedule(busyUntil - world.micros(), () -> {
                pending -= itsLife == life ? 1 : 0;
                finish(itsLife, work, queue);
            });
        } else {
            finish(itsLife, work, queue);
        }
    }

    private void finish(long itsLife, Runnable work, List<Held> queue) {
        if (itsLife != life || !running) {
            return;
        }
        if (frozen) {
            queue.add(new Held(itsLife, work));
            return;
        }
        work.run();
        observer.run();
    }
}
