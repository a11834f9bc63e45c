package tinworks.net;

import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import tinworks.json.Address;
import tinworks.json.Json;
import tinworks.policy.LoadBalancerApi.Readiness;
import tinworks.policy.LoadBalancerApi.ServerInfo;

/** The list of hosts ({@code snapshot}), or changes to it, as discovery sends it. */
record EndpointList(long index, boolean snapshot, List<Endpoint> endpoints) {

    /** A host: its description for the load balancer, and its address. */
    record Endpoint(ServerInfo info, SocketAddress address) {
        boolean isRemoved() {
            return info.readiness() == Readiness.REMOVED;
        }
    }

    EndpointList {
        endpoints = List.copyOf(endpoints);
    }

    /** Reads a list; throws {@link IllegalArgumentException} if it is malformed. */
    static EndpointList read(Json json) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (Json entry : json.required("endpoints").entries()) {
            endpoints.add(endpoint(entry));
        }
        return new EndpointList(
                json.required("index").number(0).longValue(),
                json.field("snapshot").isTrue(),
                endpoints);
    }

    List<ServerInfo> servers() {
        return endpoints.stream().map(Endpoint::info).toList();
    }

    /** The entries for the host pool. */
    List<HostPool.HostEntry> hostEntries() {
        return endpoints.stream()
                .map(e -> new HostPool.HostEntry(
                        e.info().id(),
                        e.address(),
                        e.info().startedAtNanos(),
                        e.info().readiness() == Readiness.READY,
                        e.isRemoved()))
                .toList();
    }

    private static Endpoint endpoint(Json entry) {
        Readiness readiness = readiness(entry.required("status").text());
        ServerInfo info = new ServerInfo(
                entry.required("name").text(),
                entry.field("zone").text(),
                entry.field("type").text(),
                entry.field("group").number(0).intValue(),
                readiness,
                entry.field("weight").number(1).doubleValue(),
                MonotonicClock.fromUnixMillis(entry.field("since_ms").number(0).longValue()));
        // A removed host may lack an address, as nothing is sent to it.
        SocketAddress address = readiness == Readiness.REMOVED
                ? null
                : Address.parse(entry.required("address").text());
        return new Endpoint(info, address);
    }

    private static Readiness readiness(String status) {
        return switch (status) {
            case "up" -> Readiness.READY;
            case "draining" -> Readiness.DRAINING;
            case "removed" -> Readiness.REMOVED;
            default -> throw new IllegalArgumentException("unknown host status '" + status + "'");
        };
    }
}
