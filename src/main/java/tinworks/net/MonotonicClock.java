package tinworks.net;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * A monotonic clock that is set to Unix time once, at its creation. Discovery reports the start times of hosts in Unix
 * time, which are therefore times of this clock. They compare equal from one list to the next; a conversion between two
 * clocks for each list would not ensure that.
 */
public final class MonotonicClock {
    private final LongSupplier queueingDelay;
    private final long unixOffsetNanos = TimeUnit.MILLISECONDS.toNanos(System.currentTimeMillis()) - System.nanoTime();

    /** A clock for an event loop whose queueing delay is not measured. */
    public MonotonicClock() {
        this(() -> 0);
    }

    /** A clock for an event loop with the given source of its queueing delay, in nanoseconds. */
    public MonotonicClock(LongSupplier queueingDelay) {
        this.queueingDelay = queueingDelay;
    }

    /** Queueing delay: the longest time for which network input read now may have waited. Event loop only. */
    public long queueingDelayNanos() {
        return queueingDelay.getAsLong();
    }

    /** The current time in nanoseconds, which never goes back. */
    public long nanos() {
        return System.nanoTime() + unixOffsetNanos;
    }

    /** Converts a time from discovery to a time of this clock; 0 stands for long ago in both. */
    static long fromUnixMillis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
