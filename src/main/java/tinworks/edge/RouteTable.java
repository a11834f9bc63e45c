package tinworks.edge;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import tinworks.config.Configuration.Route;

/**
 * Finds the route of a request by longest-prefix match among the routes of its domain. A lookup costs one map access
 * per slash in the path, regardless of the number of routes.
 */
final class RouteTable {
    /** A route, with its request class in the load balancer. */
    record Target(Route route, String className) {}

    private final Map<String, Map<String, Target>> byDomain = new HashMap<>();

    RouteTable(List<Route> routes) {
        for (Route route : routes) {
            byDomain.computeIfAbsent(route.domain(), domain -> new HashMap<>())
                    .put(route.prefix(), new Target(route, ServiceSettings.className(route)));
        }
    }

    /** The route for a {@code Host} header and a request target, or null if there is none. */
    Target find(String host, String target) {
        Map<String, Target> prefixes = host == null ? null : byDomain.get(domain(host));
        if (prefixes == null) {
            return null;
        }
        String path = path(target);
        for (int end = path.lastIndexOf('/'); end >= 0; end = end == 0 ? -1 : path.lastIndexOf('/', end - 1)) {
            Target found = prefixes.get(path.substring(0, end + 1));
            if (found != null) {
                return found;
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
