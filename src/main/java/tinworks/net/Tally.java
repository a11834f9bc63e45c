package tinworks.net;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import tinworks.policy.Protocol.Outcome;

/** What became of one service's requests since the process started, and of the attempts made for them. One thread's. */
public final class Tally {
    private final long[] attempts = new long[Outcome.values().length];
    private long requests;
    private long refused;
    private long failed;
    private long attemptNanos;

    void began() {
        requests++;
    }

    void refused() {
        refused++;
    }

    void failed() {
        failed++;
    }

    void attempted(Outcome outcome, long nanos) {
        attempts[outcome.ordinal()]++;
        attemptNanos += nanos;
    }

    /** Requests taken on. */
    public long requestsTaken() {
        return requests;
    }

    /** Requests given up without having run. */
    public long requestsRefused() {
        return refused;
    }

    /** Requests that failed and may have run. */
    public long requestsFailed() {
        return failed;
    }

    /** Attempts by how they ended, without the ways in which none did. */
    public Map<Outcome, Long> attemptsByOutcome() {
        Map<Outcome, Long> counts = new EnumMap<>(Outcome.class);
        Arrays.stream(Outcome.values())
                .filter(outcome -> attempts[outcome.ordinal()] > 0)
                .forEach(outcome -> counts.put(outcome, attempts[outcome.ordinal()]));
        return counts;
    }

    /** The time of all attempts together, in seconds. */
    public double secondsOfAttempts() {
        return (double) attemptNanos / TimeUnit.SECONDS.toNanos(1);
    }
}
