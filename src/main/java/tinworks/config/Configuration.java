package tinworks.config;

import java.util.List;
import java.util.Map;

/**
 * One validated version of the operator's configuration. It holds the values only; {@link ConfigurationReader} parses
 * and validates them.
 *
 * @param rev the version number, above 0
 */
public record Configuration(long rev, List<Route> routes, Map<String, Service> services, Limits limits) {
    /** Copies the collections. */
    public Configuration {
        routes = List.copyOf(routes);
        services = Map.copyOf(services);
    }

    /** Whether a request may safely run more than once (idempotent) or not (mutating). */
    public enum Type {
        IDEM,
        MUTATING
    }

    /**
     * A route: maps requests of a domain and path prefix to services.
     *
     * @param domain the expected Host header, in lower case
     * @param prefix the path prefix, which begins and ends with a slash
     * @param timeoutMs the longest time that a request may take
     * @param targetMs the latency target: an answer within it has its full value
     * @param prio the priority, 0 is the highest
     * @param split the services and their weights in a weighted random choice; at least one weight is above 0
     * @param maxAttempts the most hosts that one request of a client may be sent to, 1 or more
     */
    public record Route(
            String name,
            String domain,
            String prefix,
            Type type,
            long timeoutMs,
            long targetMs,
            int prio,
            List<Split> split,
            int maxAttempts) {
        /** Copies the list. */
        public Route {
            split = List.copyOf(split);
        }
    }

    /** A service and its weight among the services of a route. */
    public record Split(String service, double weight) {}

    /**
     * A service that routes refer to by name.
     *
     * @param check the path of its health check
     * @param maxconn the most connections that one host accepts from all callers together
     */
    public record Service(String name, String check, int maxconn) {}

    /**
     * Limits on the size and duration of what clients send.
     *
     * @param hdrBytes the largest request head
     * @param bodyMaxBytes the largest request body
     * @param hdrMs the longest time in which a head may arrive
     * @param idleMs the idle timeout of a connection
     */
    public record Limits(int hdrBytes, long bodyMaxBytes, long hdrMs, long idleMs) {
        /** Applied where a configuration sets none. */
        public static final Limits DEFAULTS = new Limits(16_384, 64L << 20, 3_000, 15_000);
    }
}
