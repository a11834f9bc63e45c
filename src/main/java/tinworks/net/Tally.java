package tinworks.net;

import java.util.EnumMap;
import java.util.Map;
import tinworks.policy.Protocol.Outcome;

/** What became of one service's requests since the process started, and of the attempts made for them. One thread's. */
public final class Tally {
    private final Map<Outcome, Long> attempts = new EnumMap<>(Outcome.class);
    private long requests;
    private long served;
    private long refused;
    private long failed;
    private double attemptSeconds;

    void began() {
        requests++;
    }

    void refused() {
        refused++;
    }

    void failed() {
        failed++;
    }

    void attempted(Outcome outcome, double seconds) {
        attempts.merge(outcome, 1L, Long::sum);
        attemptSeconds += seconds;
        if (outcome == Outcome.SERVED) {
            served++;
        }
    }

    /** Requests taken on. */
    public long requestsTaken() {
        return requests;
    }

    /** Attempts that brought a success. */
    public long requestsServed() {
        return served;
    }

    /** Requests given up without having run. */
    public long requestsRefused() {
        return refused;
    }

    /** Requests that failed and may have run. */
    public long requestsFailed() {
        return failed;
    }

    /** Attempts by how they ended. */
    public Map<Outcome, Long> attemptsByOutcome() {
        return Map.copyOf(attempts);
    }

    /** The time of all attempts together, in seconds. */
    public double secondsOfAttempts() {
        return attemptSeconds;
    }
}
