package tinworks.load;

import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** What became of one kind of request. Times count from when a request was due, waiting for its turn included. */
public final class Results {
    private static final int DIGITS = 3;
    private static final long LONGEST_MICROS = TimeUnit.MINUTES.toMicros(2);

    private final Histogram served = new Histogram(LONGEST_MICROS, DIGITS);
    private long sent;
    private long inAim;
    private long refused;
    private long failed;

    void sent() {
        sent++;
    }

    void served(long nanos, long aimMillis) {
        served.recordValue(Math.min(LONGEST_MICROS, TimeUnit.NANOSECONDS.toMicros(nanos)));
        if (nanos <= TimeUnit.MILLISECONDS.toNanos(aimMillis)) {
            inAim++;
        }
    }

    void ended(boolean wasRefused) {
        if (wasRefused) {
            refused++;
        } else {
            failed++;
        }
    }

    /** These as they are now. */
    public Results copy() {
        Results copy = new Results();
        copy.add(this);
        return copy;
    }

    /** Adds another's to these. */
    public void add(Results other) {
        served.add(other.served);
        sent += other.sent;
        inAim += other.inAim;
        refused += other.refused;
        failed += other.failed;
    }

    /** Requests sent, each counted once however often it was tried. */
    public long sentInAll() {
        return sent;
    }

    /** Requests answered with success. */
    public long servedInAll() {
        return served.getTotalCount();
    }

    /** Those of them answered within their aim. */
    public long servedInAim() {
        return inAim;
    }

    /** Requests that a gateway turned away to the last. */
    public long refusedInAll() {
        return refused;
    }

    /** Requests that ended in any other way. */
    public long failedInAll() {
        return failed;
    }

    /** The time within which this part (0 to 100) of the served were answered, in milliseconds; 0 where none were. */
    public double percentileMillis(double percentile) {
        return served.getTotalCount() == 0 ? 0 : served.getValueAtPercentile(percentile) / 1_000.0;
    }
}
