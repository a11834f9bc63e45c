package tinworks.net;

import java.util.List;
import java.util.concurrent.TimeUnit;
import tinworks.policy.LoadBalancerApi.Outcome;
import tinworks.policy.Reason;

/**
 * A request that ended without a successful response, with the details that explain why.
 *
 * @param id the request id that the client sent
 * @param requestClass the load balancer's name for the route
 * @param ending what the client received
 * @param reason the reason, or null if the client disconnected
 * @param durationNanos the time from arrival to end
 * @param attempts the attempts, in the order in which they were sent
 */
public record UnservedRequest(
        String id,
        String requestClass,
        Ending ending,
        Reason reason,
        long durationNanos,
        List<AttemptSummary> attempts) {
    /** What the client of an unserved request received. Constants are written to the log under their own names. */
    public enum Ending {
        /** A response saying that the request was not executed. */
        REFUSED,
        /** A response saying that the request failed and may have been executed. */
        FAILED,
        /** Nothing, as the client had disconnected. */
        CLIENT_LEFT
    }

    /**
     * One attempt.
     *
     * @param outcome how the attempt ended, or null if it is in flight
     * @param durationNanos its duration, or its duration so far
     */
    public record AttemptSummary(String host, Outcome outcome, long durationNanos) {
        @Override
        public String toString() {
            return host + ":" + (outcome == null ? "OUT" : outcome) + ":" + TimeUnit.NANOSECONDS.toMillis(durationNanos)
                    + "ms";
        }
    }

    /** Copies the list of attempts. */
    public UnservedRequest {
        attempts = List.copyOf(attempts);
    }

    /** The request as one log line of {@code name=value} pairs. */
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
