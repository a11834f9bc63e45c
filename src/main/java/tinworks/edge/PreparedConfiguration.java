package tinworks.edge;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tinworks.config.Configuration;
import tinworks.config.Configuration.Route;
import tinworks.policy.LoadBalancerApi.RequestClass;

/**
 * A version of the configuration with all that an edge makes of it. Made off the event loop: with a thousand routes it
 * is a second's work on a small part of a core, in which clients would wait.
 *
 * @param mutating the classes whose requests must not run twice
 * @param classes the classes of each service
 */
record PreparedConfiguration(
        Configuration configuration, RouteTable routes, Set<String> mutating, Map<String, List<RequestClass>> classes) {
    /** Makes all of a version. */
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
