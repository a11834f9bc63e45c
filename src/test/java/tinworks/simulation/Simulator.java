package tinworks.simulation;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * A deterministic discrete-event simulator: virtual time, a queue of scheduled events and one seeded random source. It
 * runs all events on the calling thread, and equal seeds give equal runs.
 */
public final class Simulator {
    private static final long MAX_EVENTS = 20_000_000;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private final SplittableRandom random;
    private long now;
    private long order;

    private record Event(long at, long order, Runnable work) {}

    /** Creates a simulator at time 0. */
    public Simulator(long seed) {
        random = new SplittableRandom(seed);
    }

    /** Returns the virtual time in microseconds. */
    public long micros() {
        return now;
    }

    /** Returns the virtual time in milliseconds. */
    public long millis() {
        return now / 1_000;
    }

    /** Returns the random source that all parts of the simulation share. */
    public SplittableRandom random() {
        return random;
    }

    /** Returns the number of events that have been run. */
    public long events() {
        return order - events.size();
    }

    /** Schedules an event after a delay; a negative delay counts as 0. */
    public void schedule(long micros, Runnable work) {
        events.add(new Event(now + Math.max(0, micros), order++, work));
    }

    /** Runs all events up to this virtual time, and moves the clock there. */
    public void runUntil(long untilMillis) {
        while (!events.isEmpty() && events.peek().at <= untilMillis * 1_000) {
            Event event = events.poll();
            now = event.at;
            event.work.run();
            if (order > MAX_EVENTS) {
                throw new IllegalStateException("the simulation exceeded its limit of scheduled events");
            }
        }
        now = untilMillis * 1_000;
    }
}
