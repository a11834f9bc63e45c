package tinworks.channel;

import java.util.concurrent.TimeUnit;

/** The monotonic clock for all durations in the system; no decision depends on the wall clock. */
public final class MonotonicTime {
    private MonotonicTime() {}

    /** Milliseconds since an arbitrary origin; never decreases. */
    public static long millis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
