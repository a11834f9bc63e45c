package tinworks.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tinworks.config.Configuration.Limits;
import tinworks.config.Configuration.Route;
import tinworks.config.Configuration.Service;

/**
 * What leads from one version of the configuration to a later one. Routes are known by their {@link RouteKey}, of which
 * a valid configuration has each once; their order means nothing.
 *
 * @param base the version that it builds on
 * @param rev the version that it leads to
 * @param changedRoutes routes that are new, or not as they were
 * @param removedRoutes places that have no route any more
 * @param changedServices services that are new, or not as they were
 * @param removedServices names of services that are there no more
 */
public record ConfigurationChange(
        long base,
        long rev,
        List<Route> changedRoutes,
        List<RouteKey> removedRoutes,
        List<Service> changedServices,
        List<String> removedServices,
        Limits limits) {
    /** Where a route applies. */
    public record RouteKey(String domain, String prefix) {
        static RouteKey of(Route route) {
            return new RouteKey(route.domain(), route.prefix());
        }
    }

    /** Keeps its own lists. */
    public ConfigurationChange {
        changedRoutes = List.copyOf(changedRoutes);
        removedRoutes = List.copyOf(removedRoutes);
        changedServices = List.copyOf(changedServices);
        removedServices = List.copyOf(removedServices);
    }

    /** What leads from one configuration to another. */
    public static ConfigurationChange between(Configuration from, Configuration to) {
        Map<RouteKey, Route> before = byPlace(from.routes());
        List<Route> set = new ArrayList<>();
        for (Route route : to.routes()) {
            if (!route.equals(before.remove(RouteKey.of(route)))) {
                set.add(route);
            }
        }
        List<Service> services = to.services().values().stream()
                .filter(service -> !service.equals(from.services().get(service.name())))
                .toList();
        Set<String> noMore = new HashSet<>(from.services().keySet());
        noMore.removeAll(to.services().keySet());
        return new ConfigurationChange(
                from.rev(), to.rev(), set, List.copyOf(before.keySet()), services, List.copyOf(noMore), to.limits());
    }

    /**
     * The later configuration. One that isn't of the version that this builds on is an
     * {@link IllegalArgumentException}.
     */
    public Configuration applyTo(Configuration configuration) {
        if (configuration.rev() != base) {
            throw new IllegalArgumentException("builds on " + base + ", not on " + configuration.rev());
        }
        Map<RouteKey, Route> routes = byPlace(configuration.routes());
        removedRoutes.forEach(routes::remove);
        changedRoutes.forEach(route -> routes.put(RouteKey.of(route), route));
        Map<String, Service> all = new LinkedHashMap<>(configuration.services());
        removedServices.forEach(all::remove);
        changedServices.forEach(service -> all.put(service.name(), service));
        return new Configuration(rev, List.copyOf(routes.values()), all, limits);
    }

    /** This change and, after it, the next one as one. */
    public ConfigurationChange andThen(ConfigurationChange next) {
        Map<RouteKey, Route> routes = byPlace(changedRoutes);
        Set<RouteKey> noRoute = new HashSet<>(removedRoutes);
        next.removedRoutes.forEach(routes::remove);
        noRoute.addAll(next.removedRoutes);
        next.changedRoutes.forEach(route -> routes.put(RouteKey.of(route), route));
        noRoute.removeAll(routes.keySet());
        Map<String, Service> named = new LinkedHashMap<>();
        changedServices.forEach(service -> named.put(service.name(), service));
        Set<String> noService = new HashSet<>(removedServices);
        next.removedServices.forEach(named::remove);
        noService.addAll(next.removedServices);
        next.changedServices.forEach(service -> named.put(service.name(), service));
        noService.removeAll(named.keySet());
        return new ConfigurationChange(
                base,
                next.rev,
                List.copyOf(routes.values()),
                List.copyOf(noRoute),
                List.copyOf(named.values()),
                List.copyOf(noService),
                next.limits);
    }

    private static Map<RouteKey, Route> byPlace(List<Route> routes) {
        Map<RouteKey, Route> byPlace = new LinkedHashMap<>();
        routes.forEach(route -> byPlace.put(RouteKey.of(route), route));
        return byPlace;
    }
}
