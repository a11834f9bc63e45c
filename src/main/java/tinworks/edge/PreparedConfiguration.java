package tinworks.edge;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tinworks.config.Configuration;
import tinworks.config.Configuration.Route;
import tinworks.policy.LoadBalancerApi.RequestClass;

/**
 * A configuration version with everything that an edge derives from it. Derived off the event loop, as with a thousand
 * routes and a small share of a processor it takes a second, during which clients would wait.
 *
 * @param mutatingClasses the request classes whose requests must not run twice
 * @param classes the request classes of each service
 */
record PreparedConfiguration(
        Configuration configuration,
        RouteTable routes,
        Set<String> mutatingClasses,
        Map<String, List<RequestClass>> classes) {
    /** Derives everything from a configuration. */
    static PreparedConfiguration of(Configuration configuration) {
        Set<String> mutating = new HashSet<>();
        for (Route route : configuration.routes()) {
            if (route.type() == Configuration.Type.MUTATING) {
                mutating.add(ServiceSettings.className(route));
            }
        }
        return new PreparedConfiguration(
                configuration,
                new RouteTable(configuration.routes()),
                mutating,
                ServiceSettings.classes(configuration));
    }
}
