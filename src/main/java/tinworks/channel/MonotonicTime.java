package tinworks.channel;

import java.util.concurrent.TimeUnit;

/** The steady clock by which all processes of the system measure spans; the time of day decides nothing. */
public final class MonotonicTime {
    private MonotonicTime() {}

    /** Milliseconds since some moment, never going back. */
    public static long millis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
