package tinworks.edge;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import tinworks.config.Configuration;
import tinworks.config.Configuration.Route;
import tinworks.config.Configuration.Split;
import tinworks.policy.LoadBalancerApi.DedupScope;
import tinworks.policy.LoadBalancerApi.Idempotency;
import tinworks.policy.LoadBalancerApi.Permissions;
import tinworks.policy.LoadBalancerApi.PolicyParameters;
import tinworks.policy.LoadBalancerApi.RequestClass;
import tinworks.policy.LoadBalancerApi.Settings;

/** Derives the load balancer's settings for a service from the configured routes. */
final class ServiceSettings {
    /** The longest slow start of a new host; the host list gives each host's own time. */
    static final long MAX_SLOW_START_NANOS = TimeUnit.SECONDS.toNanos(3);

    private static final double SLOW_START_INITIAL_FRACTION = 0.5;
    private static final double LATE_VALUE = 0.5;
    /** Effectively no limit on load during slow start: here a new host is slow, but need not be spared. */
    private static final double NO_OVERLOAD_LIMIT = 1e9;
    /**
     * The retry budget that all edges share for one service, beyond a tenth of the requests. It is below the slack that
     * deployments allow (58 and 60). With the tenth of its requests that each edge adds, the retries stay within a
     * fifth of the requests plus the slack, even if half of the edges restart within one window.
     */
    private static final double TOTAL_RETRY_BUDGET = 30;
    /** One request in a hundred needs three times the work or more on any host: nearly all of its latency target. */
    private static final double OVERDUE_FACTOR = 2.5;
    /**
     * The requirement is a quarter. The rest is margin: not all that is sent is served, and each edge counts only its
     * own requests.
     */
    private static final double MIN_CLASS_FRACTION = 0.5;

    private static final int MAX_ATTEMPTS = 32;
    private static final int NO_GATEWAY_NUMBER = -1;
    private static final int MIDDLE_PRIORITY = 2;

    private ServiceSettings() {}

    /** The name of a route's request class in the load balancer. */
    static String className(Route route) {
        return route.domain() + route.prefix();
    }

    /** The request classes of each service, from the routes that may lead to it; the lists are immutable. */
    static Map<String, List<RequestClass>> classes(Configuration configuration) {
        Map<String, List<RequestClass>> classes = new HashMap<>();
        configuration.services().keySet().forEach(service -> classes.put(service, new ArrayList<>()));
        for (Route route : configuration.routes()) {
            RequestClass requestClass = requestClass(route);
            for (Split split : route.split()) {
                List<RequestClass> ofService = classes.get(split.service());
                boolean alreadyAdded = !ofService.isEmpty()
                        && ofService.get(ofService.size() - 1).name().equals(requestClass.name());
                if (split.weight() > 0 && !alreadyAdded) {
                    ofService.add(requestClass);
                }
            }
        }
        classes.replaceAll((service, list) -> List.copyOf(list));
        return classes;
    }

    private static RequestClass requestClass(Route route) {
        long timeout = TimeUnit.MILLISECONDS.toNanos(route.timeoutMs());
        return new RequestClass(
                className(route),
                route.type() == Configuration.Type.MUTATING ? Idempotency.UNSAFE : Idempotency.SAFE,
                DedupScope.ALL,
                0,
                TimeUnit.MILLISECONDS.toNanos(route.targetMs()),
                timeout,
                Math.pow(2, MIDDLE_PRIORITY - route.prio()),
                LATE_VALUE,
                false,
                route.maxAttempts(),
                timeout);
    }

    /** The initial settings of a service's load balancer. */
    static Settings settings(List<RequestClass> classes, int gateways, String zone) {
        PolicyParameters parameters = new PolicyParameters(
                0,
                0,
                Long.MAX_VALUE,
                SLOW_START_INITIAL_FRACTION,
                MAX_SLOW_START_NANOS,
                NO_OVERLOAD_LIMIT,
                TimeUnit.SECONDS.toNanos(1),
                TOTAL_RETRY_BUDGET,
                OVERDUE_FACTOR,
                MIN_CLASS_FRACTION);
        return new Settings(
                gateways,
                NO_GATEWAY_NUMBER,
                zone,
                false,
                TimeUnit.MILLISECONDS.toNanos(1),
                classes,
                List.of(),
                1,
                new Permissions(MAX_ATTEMPTS, true, false),
                parameters);
    }
}
