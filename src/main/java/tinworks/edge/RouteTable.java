package tinworks.edge;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import tinworks.config.Configuration.Route;

/**
 * Finds a request's route: of its domain's routes, the one of the longest prefix that begins the path. Looks up one
 * prefix for each slash of the path, however many routes there are.
 */
final class RouteTable {
    static final RouteTable EMPTY = new RouteTable(List.of());

    private final Map<String, Map<String, Route>> byDomain = new HashMap<>();

    RouteTable(List<Route> routes) {
        for (Route route : routes) {
            byDomain.computeIfAbsent(route.domain(), domain -> new HashMap<>()).put(route.prefix(), route);
        }
    }

    /** The route of a Host header and a request's target, or null. */
    Route find(String host, String target) {
        Map<String, Route> prefixes = host == null ? null : byDomain.get(domain(host));
        if (prefixes == null) {
            return null;
        }
        String path = path(target);
        for (int end = path.lastIndexOf('/'); end >= 0; end = end == 0 ? -1 : path.lastIndexOf('/', end - 1)) {
            Route route = prefixes.get(path.substring(0, end + 1));
            if (route != null) {
                return route;
            }
        }
        return null;
    }

    private static String domain(String host) {
        int colon = host.lastIndexOf(':');
        boolean port = colon >= 0 && host.indexOf(']', colon) < 0;
        return (port ? host.substring(0, colon) : host).toLowerCase(Locale.ROOT);
    }

    private static String path(String target) {
        int end = target.length();
        int query = target.indexOf('?');
        int fragment = target.indexOf('#');
        end = query >= 0 ? Math.min(end, query) : end;
        end = fragment >= 0 ? Math.min(end, fragment) : end;
        return target.substring(0, end);
    }
}
