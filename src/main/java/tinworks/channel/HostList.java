package tinworks.channel;

import java.util.List;

/** The platform's list of hosts, as fetched by a leader. */
public record HostList(HostListVersion version, List<Host> hosts) {
    /** The empty list that stands for no list yet. */
    public static final HostList NONE = new HostList(HostListVersion.NONE, List.of());

    /** Copies the list. */
    public HostList {
        hosts = List.copyOf(hosts);
    }

    /**
     * One instance of a host, from its start to its removal.
     *
     * @param address {@code ip:port}
     * @param slots requests that it processes concurrently
     * @param draining whether it is draining and takes no new requests
     * @param warmupMs remaining slow-start time when the list was fetched
     */
    public record Host(
            String id, String service, String address, String zone, int slots, boolean draining, long warmupMs) {
        /** A copy of this host that is draining. */
        public Host asDraining() {
            return new Host(id, service, address, zone, slots, true, warmupMs);
        }

        /** Whether both are equal, ignoring the remaining slow-start time, which decreases by itself. */
        public boolean equalsIgnoringWarmup(Host other) {
            return id.equals(other.id)
                    && service.equals(other.service)
                    && address.equals(other.address)
                    && zone.equals(other.zone)
                    && slots == other.slots
                    && draining == other.draining;
        }
    }

    /** Whether both lists hold the same hosts in the same order, ignoring their slow-start times. */
    public boolean hasSameHosts(List<Host> others) {
        if (hosts.size() != others.size()) {
            return false;
        }
        for (int i = 0; i < hosts.size(); i++) {
            if (!hosts.get(i).equalsIgnoringWarmup(others.get(i))) {
                return false;
            }
        }
        return true;
    }
}
