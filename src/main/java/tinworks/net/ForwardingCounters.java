package tinworks.net;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import tinworks.policy.LoadBalancerApi.Outcome;
import tinworks.policy.Reason;

/** Counters of one service's requests and attempts since the process started. Not thread-safe. */
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

    /** Requests accepted for forwarding. */
    public long requestsAccepted() {
        return accepted;
    }

    /** Requests refused without having been executed, by reason; reasons without any are left out. */
    public Map<Reason, Long> requestsRefused() {
        return counts(Reason.class, refused);
    }

    /** Requests that failed and may have been executed, by reason; reasons without any are left out. */
    public Map<Reason, Long> requestsFailed() {
        return counts(Reason.class, failed);
    }

    /** Requests whose clients disconnected before the response. */
    public long requestsAbandoned() {
        return abandoned;
    }

    /** Attempts by outcome; outcomes without any are left out. */
    public Map<Outcome, Long> attemptsByOutcome() {
        return counts(Outcome.class, attempts);
    }

    private static <E extends Enum<E>> Map<E, Long> counts(Class<E> type, long[] values) {
        Map<E, Long> counts = new EnumMap<>(type);
        Arrays.stream(type.getEnumConstants())
                .filter(constant -> values[constant.ordinal()] > 0)
                .forEach(constant -> counts.put(constant, values[constant.ordinal()]));
        return counts;
    }

    /** The total duration of all attempts, in seconds. */
    public double attemptSeconds() {
        return (double) attemptNanos / TimeUnit.SECONDS.toNanos(1);
    }
}
