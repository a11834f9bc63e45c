package tinworks.simulation;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/** One steady time, and what is to happen in it, in an order that the seed alone decides. All on one thread. */
public final class Simulator {
    private static final long MOST_EVENTS = 20_000_000;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private final SplittableRandom random;
    private long now;
    private long order;

    private record Event(long at, long order, Runnable work) {}

    /** A world at time 0. */
    public Simulator(long seed) {
        random = new SplittableRandom(seed);
    }

    /** Microseconds since the beginning. */
    public long micros() {
        return now;
    }

    /** Milliseconds since the beginning. */
    public long millis() {
        return now / 1_000;
    }

    /** The chance that all parts of the world draw from. */
    public SplittableRandom random() {
        return random;
    }

    /** How many events there were. */
    public long events() {
        return order - events.size();
    }

    /** Does something after so many microseconds. */
    public void schedule(long micros, Runnable work) {
        events.add(new Event(now + Math.max(0, micros), order++, work));
    }

    /** Lets time pass up to this many milliseconds since the beginning. */
    public void runUntil(long untilMillis) {
        while (!events.isEmpty() && events.peek().at <= untilMillis * 1_000) {
            Event event = events.poll();
            now = event.at;
            event.work.run();
            if (order > MOST_EVENTS) {
                throw new IllegalStateException("the world never comes to rest");
            }
        }
        now = untilMillis * 1_000;
    }
}
