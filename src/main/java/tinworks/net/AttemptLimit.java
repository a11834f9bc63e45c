package tinworks.net;

/**
 * How often a request may be sent, by its route. The load balancer does not use this record, so that its decisions are
 * checked against data other than its own.
 *
 * @param atMostOnce whether the request must not be executed twice
 * @param maxAttempts the maximum number of attempts, at least 1
 */
public record AttemptLimit(boolean atMostOnce, int maxAttempts) {
    /** No limit, for requests without a route. */
    static final AttemptLimit NONE = new AttemptLimit(false, Integer.MAX_VALUE);
}
