package tinworks.net;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The gateway's one clock: monotonic, and set to Unix time once at the start. Discovery tells in Unix time when a host
 * started, so its figures are this clock's own, and stay equal from one list to the next, which a conversion with two
 * clocks at each list would not grant.
 */
public final class MonotonicClock {
    private final LongSupplier lag;
    private final long offset = TimeUnit.MILLISECONDS.toNanos(System.currentTimeMillis()) - System.nanoTime();

    /** A clock beside an event loop that nobody watches. */
    public MonotonicClock() {
        this(() -> 0);
    }

    /**
     * A clock beside an event loop; {@code lag} tells how long what is told now may have waited there, in nanoseconds.
     */
    public MonotonicClock(LongSupplier lag) {
        this.lag = lag;
    }

    /** The most that what the network brings now can have lain unread; asked on the event loop. */
    public long queueingDelayNanos() {
        return lag.getAsLong();
    }

    /** Nanoseconds, never going back. */
    public long nanos() {
        return System.nanoTime() + offset;
    }

    /** The clock's time for discovery's, where 0 stands for long ago. */
    static long ofUnixMillis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
