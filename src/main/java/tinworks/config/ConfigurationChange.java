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
 * What leads from one version of the configuration to a later one. Routes are known by their {@link Place}, of which a
 * valid configuration has each once; their order means nothing.
 *
 * @param base the version that it builds on
 * @param rev the version that it leads to
 * @param set routes that are new, or not as they were
 * @param gone places that have no route any more
 * @param services services that are new, or not as they were
 * @param goneServices names of services that are there no more
 */
public record ConfigurationChange(
        long base,
        long rev,
        List<Route> set,
        List<Place> gone,
        List<Service> services,
        List<String> goneServices,
        Limits limits) {
    /** Where a route applies. */
    public record Place(String domain, String prefix) {
        static Place of(Route route) {
            return new Place(route.domain(), route.prefix());
        }
    }

    /** Keeps its own lists. */
    public ConfigurationChange {
        set = List.copyOf(set);
        gone = List.copyOf(gone);
        services = List.copyOf(services);
        goneServices = List.copyOf(goneServices);
    }

    /** What leads from one configuration to another. */
    public static ConfigurationChange between(Configuration from, Configuration to) {
        Map<Place, Route> before = byPlace(from.routes());
        List<Route> set = new ArrayList<>();
        for (Route route : to.routes()) {
            if (!route.equals(before.remove(Place.of(route)))) {
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
    public Configuration appliedTo(Configuration configuration) {
        if (configuration.rev() != base) {
            throw new IllegalArgumentException("builds on " + base + ", not on " + configuration.rev());
        }
        Map<Place, Route> routes = byPlace(configuration.routes());
        gone.forEach(routes::remove);
        set.forEach(route -> routes.put(Place.of(route), route));
        Map<String, Service> all = new LinkedHashMap<>(configuration.services());
        goneServices.forEach(all::remove);
        services.forEach(service -> all.put(service.name(), service));
        return new Configuration(rev, List.copyOf(routes.values()), all, limits);
    }

    /** This change and, after it, the next one as one. */
    public ConfigurationChange then(ConfigurationChange next) {
        Map<Place, Route> routes = byPlace(set);
        Set<Place> noRoute = new HashSet<>(gone);
        next.gone.forEach(routes::remove);
        noRoute.addAll(next.gone);
        next.set.forEach(route -> routes.put(Place.of(route), route));
        noRoute.removeAll(routes.keySet());
        Map<String, Service> named = new LinkedHashMap<>();
        services.forEach(service -> named.put(service.name(), service));
        Set<String> noService = new HashSet<>(goneServices);
        next.goneServices.forEach(named::remove);
        noService.addAll(next.goneServices);
        next.services.forEach(service -> named.put(service.name(), service));
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

    private static Map<Place, Route> byPlace(List<Route> routes) {
        Map<Place, Route> byPlace = new LinkedHashMap<>();
        routes.forEach(route -> byPlace.put(Place.of(route), route));
        return byPlace;
    }
}
