package tinworks.channel;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import tinworks.channel.HostList.Host;

/**
 * What leads from one version of the list of hosts to a later one.
 *
 * @param base the version that it builds on
 * @param version the version that it leads to
 * @param updated hosts that are new, or not as they were
 * @param removedIds ids of hosts that are there no more
 */
public record HostListChange(
        HostListVersion base, HostListVersion version, List<Host> updated, List<String> removedIds) {
    /** Keeps its own lists. */
    public HostListChange {
        updated = List.copyOf(updated);
        removedIds = List.copyOf(removedIds);
    }

    /** What leads from one list to another; both hold each id once. */
    public static HostListChange between(HostList from, HostList to) {
        Map<String, Host> before = hostsById(from.hosts());
        List<Host> set = new ArrayList<>();
        for (Host host : to.hosts()) {
            Host old = before.remove(host.id());
            if (old == null || !old.equalsIgnoringWarmup(host)) {
                set.add(host);
            }
        }
        return new HostListChange(from.version(), to.version(), set, List.copyOf(before.keySet()));
    }

    /** The later list. One that isn't of the version that this builds on is an {@link IllegalArgumentException}. */
    public HostList applyTo(HostList list) {
        if (!list.version().isSameAs(base)) {
            throw new IllegalArgumentException("builds on " + base + ", not on " + list.version());
        }
        Map<String, Host> hosts = hostsById(list.hosts());
        removedIds.forEach(hosts::remove);
        updated.forEach(host -> hosts.put(host.id(), host));
        return new HostList(version, List.copyOf(hosts.values()));
    }

    /** This change and, after it, the next one as one. */
    HostListChange mergedWith(HostListChange next) {
        Map<String, Host> both = hostsById(updated);
        List<String> noMore = new ArrayList<>(removedIds);
        next.removedIds.forEach(id -> {
            both.remove(id);
            noMore.add(id);
        });
        next.updated.forEach(host -> both.put(host.id(), host));
        noMore.removeAll(both.keySet());
        return new HostListChange(base, next.version, List.copyOf(both.values()), noMore);
    }

    private static Map<String, Host> hostsById(List<Host> hosts) {
        Map<String, Host> byId = new TreeMap<>();
        hosts.forEach(host -> byId.put(host.id(), host));
        return byId;
    }
}
