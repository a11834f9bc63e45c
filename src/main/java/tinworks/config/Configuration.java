package tinworks.config;

import java.util.List;
import java.util.Map;

/**
 * One version of the operator's configuration, checked.
 *
 * @param rev the version's number, above 0
 */
public record Configuration(long rev, List<Route> routes, Map<String, Service> services, Limits limits) {
    /** Keeps its own lists. */
    public Configuration {
        routes = List.copyOf(routes);
        services = Map.copyOf(services);
    }

    /** What a request may do when it runs twice: nothing new, or harm. */
    public enum Type {
        IDEM,
        MUTATING
    }

    /**
     * Which requests go where.
     *
     * @param domain the Host header, in lower case
     * @param prefix begins the path; begins and ends with a slash
     * @param timeoutMs the longest that a request is held
     * @param targetMs the time within which an answer earns its full worth
     * @param prio rank, 0 the highest
     * @param split services and the weights by which they are drawn; at least one weight is above 0
     * @param maxAttempts the most hosts that one try of a client may go to, 1 or more
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
        /** Keeps its own list. */
        public Route {
            split = List.copyOf(split);
        }
    }

    /** A part of a route's requests. */
    public record Split(String service, double weight) {}

    /**
     * A service.
     *
     * @param check the path of its health check
     * @param maxconn connections that one of its hosts takes from all callers together
     */
    public record Service(String name, String check, int maxconn) {}

    /**
     * What a client may send and how long it may take.
     *
     * @param hdrBytes the longest head of a request
     * @param bodyMaxBytes the longest body
     * @param hdrMs how long a head may take to arrive
     * @param idleMs how long a connection may stand idle
     */
    public record Limits(int hdrBytes, long bodyMaxBytes, long hdrMs, long idleMs) {
        /** Where a configuration names none. */
        public static final Limits DEFAULTS = new Limits(16_384, 64L << 20, 3_000, 15_000);
    }
}
