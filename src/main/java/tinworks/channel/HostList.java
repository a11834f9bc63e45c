package tinworks.channel;

import java.util.List;

/** The platform's list of hosts, as a leader fetched it. */
public record HostList(HostListVersion version, List<Host> hosts) {
    /** No list yet. */
    public static final HostList NONE = new HostList(HostListVersion.NONE, List.of());

    /** Keeps its own list. */
    public HostList {
        hosts = List.copyOf(hosts);
    }

    /**
     * One life of a host.
     *
     * @param address {@code ip:port}
     * @param draining it takes no new requests
     * @param slots requests that it works on at once
     * @param warmupMs how much longer it was slow from its start when the list was made
     */
    public record Host(
            String id, String service, String address, String zone, int slots, boolean draining, long warmupMs) {
        /** The same host, about to end. */
        public Host asDraining() {
            return new Host(id, service, address, zone, slots, true, warmupMs);
        }

        /** The same but for the time that passes by itself. */
        public boolean equalsIgnoringWarmup(Host other) {
            return id.equals(other.id)
                    && service.equals(other.service)
                    && address.equals(other.address)
                    && zone.equals(other.zone)
                    && slots == other.slots
                    && draining == other.draining;
        }
    }

    /** Whether another list says the same. */
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
