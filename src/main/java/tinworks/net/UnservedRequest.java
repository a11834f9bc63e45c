package tinworks.net;

import java.util.List;
import java.util.concurrent.TimeUnit;
import tinworks.policy.LoadBalancerApi.Outcome;
import tinworks.policy.Reason;

/**
 * A request that ended without a host's success, with all that explains it afterwards.
 *
 * @param id the id that its client gave it
 * @param requestClass the decision module's name for its route
 * @param ending what its client was told
 * @param reason why, or null where the client left
 * @param durationNanos from its arrival to its end
 * @param attempts its attempts at hosts, in their order
 */
public record UnservedRequest(
        String id,
        String requestClass,
        Ending ending,
        Reason reason,
        long durationNanos,
        List<AttemptSummary> attempts) {
    /** What the client of such a request was told. */
    public enum Ending {
        /** That it has not run. */
        REFUSED,
        /** That it failed and may have run. */
        FAILED,
        /** Nothing: the client had left. */
        CLIENT_LEFT
    }

    /**
     * One attempt at a host.
     *
     * @param outcome how it ended, or null while it is out
     * @param durationNanos how long it took, or has taken so far
     */
    public record AttemptSummary(String host, Outcome outcome, long durationNanos) {
        @Override
        public String toString() {
            return host + ":" + (outcome == null ? "OUT" : outcome) + ":" + TimeUnit.NANOSECONDS.toMillis(durationNanos)
                    + "ms";
        }
    }

    /** Keeps its own list. */
    public UnservedRequest {
        attempts = List.copyOf(attempts);
    }

    /** One line of names and values for a log. */
    public String line() {
        StringBuilder line = new StringBuilder(160)
                .append("request=")
                .append(id)
                .append(" class=")
                .append(requestClass)
                .append(" ending=")
                .append(ending);
        if (reason != null) {
            line.append(" reason=").append(reason);
        }
        line.append(" held=")
                .append(TimeUnit.NANOSECONDS.toMillis(durationNanos))
                .append("ms attempts=");
        for (int i = 0; i < attempts.size(); i++) {
            line.append(i == 0 ? "" : ",").append(attempts.get(i));
        }
        return line.append(attempts.isEmpty() ? "none" : "").toString();
    }
}
