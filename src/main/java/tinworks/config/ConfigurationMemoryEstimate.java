package tinworks.config;

import java.util.List;
import tinworks.config.Configuration.Route;
import tinworks.config.Configuration.Service;
import tinworks.config.Configuration.Split;

/**
 * What a configuration takes in the memory of a process that serves by it, estimated a little too high: its own
 * records, and what an edge derives from each route. While a version comes into use the one before is held as well.
 *
 * <p>What operators are told to be in force has to fit into every machine. So a core machine takes a configuration only
 * up to a part of its own heap, and edges are given no less heap than core machines.
 */
public final class ConfigurationMemoryEstimate {
    /** Records, map entries and the decision module's state of a route, its texts and parts left out. */
    private static final long ROUTE_BYTES = 600;
    /** A route's texts are held twice, as they came and joined into the name of its class. */
    private static final long BYTES_PER_LETTER = 3;

    private static final long PART_BYTES = 150;
    private static final long SERVICE_BYTES = 300;
    /** Two versions and the traffic have to fit side by side. */
    private static final double PART_OF_HEAP = 0.4;

    private ConfigurationMemoryEstimate() {}

    /** What one configuration may weigh by this process's heap, in bytes. */
    public static long maxBytesForHeap() {
        return (long) (Runtime.getRuntime().maxMemory() * PART_OF_HEAP);
    }

    /** The weight of a whole configuration. */
    public static long of(Configuration configuration) {
        long weight = 0;
        for (Route route : configuration.routes()) {
            weight += of(route);
        }
        for (Service service : configuration.services().values()) {
            weight += of(service);
        }
        return weight;
    }

    static long of(Route route) {
        List<Split> parts = route.split();
        int letters =
                route.name().length() + route.domain().length() + route.prefix().length();
        return ROUTE_BYTES + BYTES_PER_LETTER * letters + PART_BYTES * parts.size();
    }

    static long of(Service service) {
        int letters = service.name().length() + service.check().length();
        return SERVICE_BYTES + BYTES_PER_LETTER * letters;
    }
}
