package tinworks.edge;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import tinworks.channel.HostList.Host;

/**
 * Remembers the hosts that have once been listed as draining. Guards against an older host list that arrives later,
 * from a core node that was partitioned or had crashed, or from another source: a draining host receives no more
 * requests under its id, even if a list shows it as ready. Each host instance has an id of its own, so none has to
 * become ready again.
 */
final class DrainedHosts {
    /** Far more than the hosts that drain while any node could still hold an older list. */
    private static final int MAX_IDS = 4_096;

    private final Set<String> ids = new LinkedHashSet<>();

    /** The host, marked as draining if it has been so before. */
    Host withDrainingKept(Host host) {
        if (host.draining()) {
            if (ids.add(host.id()) && ids.size() > MAX_IDS) {
                Iterator<String> oldest = ids.iterator();
                oldest.next();
                oldest.remove();
            }
            return host;
        }
        return ids.contains(host.id()) ? host.asDraining() : host;
    }
}
