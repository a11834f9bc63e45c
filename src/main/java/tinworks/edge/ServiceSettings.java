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

/** The decision module's settings for one service, made from the operator's routes. */
final class ServiceSettings {
    /** A fresh host is slow at first; the list tells for how long, at most this. */
    static final long WARM_UP_NANOS = TimeUnit.SECONDS.toNanos(3);

    private static final double COLD_FROM = 0.5;
    private static final double LATE_WORTH = 0.5;
    /** The cold rule of the earlier protocol isn't one here: a fresh host is slow and not to be spared. */
    private static final double NO_COLD_BUDGET = 1e9;
    /**
     * Below the slack that deployments name (58 and 60). With the tenth of its requests that each edge adds, all stay
     * within a fifth of the requests and the slack even when half of the edges start anew within one window.
     */
    private static final double FURTHER_ARRIVALS = 30;
    /** Of a hundred requests one needs three times the work or more, wherever it runs: nearly all of its aim. */
    private static final double LONG_WORK = 2.5;
    /** The rule asks for a quarter; what is sent isn't all served, and each edge counts for itself. */
    private static final double LEAST_PART = 0.5;

    private static final int MOST_TRIES = 32;
    private static final int NO_NUMBER = -1;
    private static final int MIDDLE_PRIO = 2;

    private ServiceSettings() {}

    /** The module's name for a route. */
    static String className(Route route) {
        return route.domain() + route.prefix();
    }

    /** For each service the classes of the routes that may go there; none share a list that anybody writes to. */
    static Map<String, List<RequestClass>> classes(Configuration configuration) {
        Map<String, List<RequestClass>> classes = new HashMap<>();
        configuration.services().keySet().forEach(service -> classes.put(service, new ArrayList<>()));
        for (Route route : configuration.routes()) {
            RequestClass made = requestClass(route);
            for (Split part : route.split()) {
                List<RequestClass> there = classes.get(part.service());
                boolean twice =
                        !there.isEmpty() && there.get(there.size() - 1).name().equals(made.name());
                if (part.weight() > 0 && !twice) {
                    there.add(made);
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
                Math.pow(2, MIDDLE_PRIO - route.prio()),
                LATE_WORTH,
                false,
                route.maxAttempts(),
                timeout);
    }

    /** What a service's module starts with. */
    static Settings settings(List<RequestClass> classes, int gateways, String zone) {
        PolicyParameters rules = new PolicyParameters(
                0,
                0,
                Long.MAX_VALUE,
                COLD_FROM,
                WARM_UP_NANOS,
                NO_COLD_BUDGET,
                TimeUnit.SECONDS.toNanos(1),
                FURTHER_ARRIVALS,
                LONG_WORK,
                LEAST_PART);
        return new Settings(
                gateways,
                NO_NUMBER,
                zone,
                false,
                TimeUnit.MILLISECONDS.toNanos(1),
                classes,
                List.of(),
                1,
                new Permissions(MOST_TRIES, true, false),
                rules);
    }
}
