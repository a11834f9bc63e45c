package tinworks.edge;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import tinworks.channel.HostList.Host;

/**
 * The hosts that were once known to be about to end. Guards against an older list that comes later, from a machine that
 * was cut off or had died, or from another source: a host that is being emptied gets no more work under its id, whoever
 * says that it is ready. Lives of hosts have ids of their own, so none needs to come back.
 */
final class DrainedHosts {
    /** Far more than end while any machine could still hold a list from before. */
    private static final int MOST = 4_096;

    private final Set<String> ids = new LinkedHashSet<>();

    /** The host as it may be used: draining where it was so before. */
    Host kept(Host told) {
        if (told.draining()) {
            if (ids.add(told.id()) && ids.size() > MOST) {
                Iterator<String> oldest = ids.iterator();
                oldest.next();
                oldest.remove();
            }
            return told;
        }
        return ids.contains(told.id()) ? told.asDraining() : told;
    }
}
