package tinworks.net;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import tinworks.policy.LoadBalancerApi.Outcome;
import tinworks.policy.Reason;

/** What became of one service's requests since the process started, and of the attempts made for them. One thread's. */
public final class ForwardingCounters {
    private final long[] attempts = new long[Outcome.values().length];
    private long accepted;
    private final long[] refused = new long[Reason.values().length];
    private final long[] failed = new long[Reason.values().length];
    private long abandoned;
    private long attemptNanos;

    void requestAccepted() {
        accepted++;
    }

    void requestRefused(Reason reason) {
        refused[reason.ordinal()]++;
    }

    void requestFailed(Reason reason) {
        failed[reason.ordinal()]++;
    }

    void requestAbandoned() {
        abandoned++;
    }

    void attemptEnded(Outcome outcome, long nanos) {
        attempts[outcome.ordinal()]++;
        attemptNanos += nanos;
    }

    /** Requests taken on. */
    public long requestsAccepted() {
        return accepted;
    }

    /** Requests given up without having run, by why; reasons without any are left out. */
    public Map<Reason, Long> requestsRefused() {
        return counts(Reason.class, refused);
    }

    /** Requests that failed and may have run, by why; reasons without any are left out. */
    public Map<Reason, Long> requestsFailed() {
        return counts(Reason.class, failed);
    }

    /** Requests whose clients left before their answer. */
    public long requestsAbandoned() {
        return abandoned;
    }

    /** Attempts by how they ended, without the ways in which none did. */
    public Map<Outcome, Long> attemptsByOutcome() {
        return counts(Outcome.class, attempts);
    }

    private static <E extends Enum<E>> Map<E, Long> counts(Class<E> names, long[] counted) {
        Map<E, Long> counts = new EnumMap<>(names);
        Arrays.stream(names.getEnumConstants())
                .filter(name -> counted[name.ordinal()] > 0)
                .forEach(name -> counts.put(name, counted[name.ordinal()]));
        return counts;
    }

    /** The time of all attempts together, in seconds. */
    public double attemptSeconds() {
        return (double) attemptNanos / TimeUnit.SECONDS.toNanos(1);
    }
}
