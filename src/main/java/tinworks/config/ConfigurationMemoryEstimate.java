package tinworks.config;

import java.util.List;
import tinworks.config.Configuration.Route;
import tinworks.config.Configuration.Service;
import tinworks.config.Configuration.Split;

/**
 * Estimates, slightly too high, the heap that a configuration takes in a process that uses it: its own records, and
 * what an edge derives from each route. While a new version is put in force, the previous one is held as well.
 *
 * <p>A configuration that is reported to operators as in force has to fit into every node. So a core node accepts one
 * only up to a fraction of its own heap, and edges must have at least the heap of core nodes.
 */
public final class ConfigurationMemoryEstimate {
    /** Records, map entries and the decision module's state of a route, without its strings and splits. */
    private static final long ROUTE_BYTES = 600;
    /** A route's strings are held twice: as they were sent, and joined into the name of its request class. */
    private static final long BYTES_PER_CHARACTER = 3;

    private static final long SPLIT_BYTES = 150;
    private static final long SERVICE_BYTES = 300;
    /** Two versions and the traffic have to fit into the heap at the same time. */
    private static final double MAX_HEAP_FRACTION = 0.4;

    private ConfigurationMemoryEstimate() {}

    /** The largest estimate, in bytes, that a configuration may have with this process's maximum heap. */
    public static long maxBytesForHeap() {
        return (long) (Runtime.getRuntime().maxMemory() * MAX_HEAP_FRACTION);
    }

    /** The estimate for a whole configuration, in bytes. */
    public static long of(Configuration configuration) {
        long bytes = 0;
        for (Route route : configuration.routes()) {
            bytes += of(route);
        }
        for (Service service : configuration.services().values()) {
            bytes += of(service);
        }
        return bytes;
    }

    static long of(Route route) {
        List<Split> splits = route.split();
        int characters =
                route.name().length() + route.domain().length() + route.prefix().length();
        return ROUTE_BYTES + BYTES_PER_CHARACTER * characters + SPLIT_BYTES * splits.size();
    }

    static long of(Service service) {
        int characters = service.name().length() + service.check().length();
        return SERVICE_BYTES + BYTES_PER_CHARACTER * characters;
    }
}
