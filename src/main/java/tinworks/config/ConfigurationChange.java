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
 * The difference between one version of the configuration and a later one. Routes are identified by their
 * {@link RouteKey}, which is unique in a valid configuration; the order of routes has no meaning.
 *
 * @param base the version that the change applies to
 * @param rev the resulting version
 * @param changedRoutes routes that are new or differ
 * @param removedRoutes keys of routes that were removed
 * @param changedServices services that are new or differ
 * @param removedServices names of services that were removed
 */
public record ConfigurationChange(
        long base,
        long rev,
        List<Route> changedRoutes,
        List<RouteKey> removedRoutes,
        List<Service> changedServices,
        List<String> removedServices,
        Limits limits) {
    /** Identifies a route by its domain and path prefix. */
    public record RouteKey(String domain, String prefix) {
        static RouteKey of(Route route) {
            return new RouteKey(route.domain(), route.prefix());
        }
    }

    /** Copies the lists. */
    public ConfigurationChange {
        changedRoutes = List.copyOf(changedRoutes);
        removedRoutes = List.copyOf(removedRoutes);
        changedServices = List.copyOf(changedServices);
        removedServices = List.copyOf(removedServices);
    }

    /** The change from one configuration to another. */
    public static ConfigurationChange between(Configuration from, Configuration to) {
        Map<RouteKey, Route> remaining = byKey(from.routes());
        List<Route> changed = new ArrayList<>();
        for (Route route : to.routes()) {
            if (!route.equals(remaining.remove(RouteKey.of(route)))) {
                changed.add(route);
            }
        }
        List<Service> services = to.services().values().stream()
                .filter(service -> !service.equals(from.services().get(service.name())))
                .toList();
        Set<String> removed = new HashSet<>(from.services().keySet());
        removed.removeAll(to.services().keySet());
        return new ConfigurationChange(
                from.rev(),
                to.rev(),
                changed,
                List.copyOf(remaining.keySet()),
                services,
                List.copyOf(removed),
                to.limits());
    }

    /**
     * The resulting configuration. Throws an {@link IllegalArgumentException} if the given one is not of the base
     * version.
     */
    public Configuration applyTo(Configuration configuration) {
        if (configuration.rev() != base) {
            throw new IllegalArgumentException("change applies to version " + base + ", not to " + configuration.rev());
        }
        Map<RouteKey, Route> routes = byKey(configuration.routes());
        removedRoutes.forEach(routes::remove);
        changedRoutes.forEach(route -> routes.put(RouteKey.of(route), route));
        Map<String, Service> all = new LinkedHashMap<>(configuration.services());
        removedServices.forEach(all::remove);
        changedServices.forEach(service -> all.put(service.name(), service));
        return new Configuration(rev, List.copyOf(routes.values()), all, limits);
    }

    /** Merges this change and the next one into a single change. */
    public ConfigurationChange andThen(ConfigurationChange next) {
        Map<RouteKey, Route> routes = byKey(changedRoutes);
        Set<RouteKey> removedKeys = new HashSet<>(removedRoutes);
        next.removedRoutes.forEach(routes::remove);
        removedKeys.addAll(next.removedRoutes);
        next.changedRoutes.forEach(route -> routes.put(RouteKey.of(route), route));
        removedKeys.removeAll(routes.keySet());
        Map<String, Service> byName = new LinkedHashMap<>();
        changedServices.forEach(service -> byName.put(service.name(), service));
        Set<String> removedNames = new HashSet<>(removedServices);
        next.removedServices.forEach(byName::remove);
        removedNames.addAll(next.removedServices);
        next.changedServices.forEach(service -> byName.put(service.name(), service));
        removedNames.removeAll(byName.keySet());
        return new ConfigurationChange(
                base,
                next.rev,
                List.copyOf(routes.values()),
                List.copyOf(removedKeys),
                List.copyOf(byName.values()),
                List.copyOf(removedNames),
                next.limits);
    }

    private static Map<RouteKey, Route> byKey(List<Route> routes) {
        Map<RouteKey, Route> routesByKey = new LinkedHashMap<>();
        routes.forEach(route -> routesByKey.put(RouteKey.of(route), route));
        return routesByKey;
    }
}
