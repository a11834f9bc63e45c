package tinworks.channel;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import tinworks.channel.HostList.Host;

/**
 * The difference between two versions of the host list.
 *
 * @param base the version to which the change applies
 * @param version the version that results
 * @param updated hosts that were added or changed
 * @param removedIds ids of hosts that were removed
 */
public record HostListChange(
        HostListVersion base, HostListVersion version, List<Host> updated, List<String> removedIds) {
    /** Copies the lists. */
    public HostListChange {
        updated = List.copyOf(updated);
        removedIds = List.copyOf(removedIds);
    }

    /** Computes the change from one list to another; each id occurs once in a list. */
    public static HostListChange between(HostList from, HostList to) {
        Map<String, Host> remaining = hostsById(from.hosts());
        List<Host> updated = new ArrayList<>();
        for (Host host : to.hosts()) {
            Host old = remaining.remove(host.id());
            if (old == null || !old.equalsIgnoringWarmup(host)) {
                updated.add(host);
            }
        }
        return new HostListChange(from.version(), to.version(), updated, List.copyOf(remaining.keySet()));
    }

    /** Applies the change. A list whose version is not {@link #base} is an {@link IllegalArgumentException}. */
    public HostList applyTo(HostList list) {
        if (!list.version().isSameAs(base)) {
            throw new IllegalArgumentException("change applies to host list " + base + ", not to " + list.version());
        }
        Map<String, Host> hosts = hostsById(list.hosts());
        removedIds.forEach(hosts::remove);
        updated.forEach(host -> hosts.put(host.id(), host));
        return new HostList(version, List.copyOf(hosts.values()));
    }

    /** Combines this change with the one that follows it. */
    HostListChange mergedWith(HostListChange next) {
        Map<String, Host> merged = hostsById(updated);
        List<String> removed = new ArrayList<>(removedIds);
        next.removedIds.forEach(id -> {
            merged.remove(id);
            removed.add(id);
        });
        next.updated.forEach(host -> merged.put(host.id(), host));
        removed.removeAll(merged.keySet());
        return new HostListChange(base, next.version, List.copyOf(merged.values()), removed);
    }

    private static Map<String, Host> hostsById(List<Host> hosts) {
        Map<String, Host> byId = new TreeMap<>();
        hosts.forEach(host -> byId.put(host.id(), host));
        return byId;
    }
}
