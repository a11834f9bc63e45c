package tinworks.edge;

import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import tinworks.metrics.MetricsPage;
import tinworks.net.ClientCounters;
import tinworks.net.ClientServer;
import tinworks.net.Forwarding;
import tinworks.net.ForwardingCounters;
import tinworks.node.StallWatch;
import tinworks.policy.LoadBalancerApi.Outcome;
import tinworks.policy.Reason;

/** The metrics of an edge; docs/metrics.md explains each. */
final class EdgeMetrics {
    private EdgeMetrics() {}

    /** A page with the metrics of the edge as a whole. */
    static MetricsPage page(boolean ready, long rev, int edges, int hosts, int connections, double secondsSinceLeader) {
        return new MetricsPage()
                .gauge("ready", "1 where clients may be sent here", ready ? 1 : 0)
                .gauge("configuration_version", "The version in force", (double) rev)
                .gauge("edges", "Edges that the leader counts", edges)
                .gauge("hosts", "Hosts on the list", hosts)
                .gauge("host_connections", "Connections to hosts, open or on their way", connections)
                .gauge(
                        "leader_silent_seconds",
                        "Since a core machine that hears the leader was heard",
                        secondsSinceLeader);
    }

    /** Adds the metrics of one service. */
    static void add(MetricsPage page, String service, Forwarding forwarding) {
        ForwardingCounters counters = forwarding.counters();
        page.counter("requests", "Requests taken on", (double) counters.requestsAccepted(), "service", service)
                .counter(
                        "requests_abandoned",
                        "Requests whose clients left before their answer",
                        (double) counters.requestsAbandoned(),
                        "service",
                        service)
                .counter(
                        "attempt_seconds",
                        "The time of all attempts together",
                        counters.attemptSeconds(),
                        "service",
                        service)
                .gauge("requests_open", "Requests without their end", forwarding.open(), "service", service);
        byReason(page, "requests_refused", "Requests given up without having run", service, counters.requestsRefused());
        byReason(page, "requests_failed", "Requests that failed and may have run", service, counters.requestsFailed());
        for (Map.Entry<Outcome, Long> entry : counters.attemptsByOutcome().entrySet()) {
            page.counter(
                    "attempts",
                    "Attempts at hosts, by how they ended",
                    entry.getValue(),
                    "service",
                    service,
                    "outcome",
                    label(entry.getKey()));
        }
    }

    private static void byReason(MetricsPage page, String name, String help, String service, Map<Reason, Long> counts) {
        counts.forEach((reason, count) ->
                page.counter(name, help, (double) count, "service", service, "reason", label(reason)));
    }

    private static String label(Enum<?> name) {
        return name.name().toLowerCase(Locale.ROOT);
    }

    /** Adds the metrics of client connections. */
    static void add(MetricsPage page, ClientServer clients) {
        ClientCounters counters = clients.counters();
        page.gauge("client_connections", "Connections of clients", clients.connectionCount())
                .counter("client_connections_opened", "Connections accepted", (double) counters.connectionsOpened());
        counters.connectionsClosed()
                .forEach((reason, count) -> page.counter(
                        "client_connections_ended",
                        "Connections of clients that ended, by why",
                        (double) count,
                        "reason",
                        label(reason)));
        counters.requestsRejected()
                .forEach((status, count) -> page.counter(
                        "requests_rejected",
                        "Requests that were turned away before a service was found for them",
                        (double) count,
                        "status",
                        Integer.toString(status)));
    }

    /** Adds the metrics of requests that were refused before they were forwarded. */
    static void add(MetricsPage page, RequestRouter requests) {
        page.counter("requests_unconfigured", "Requests refused while no configuration was known", (double)
                        requests.unconfigured())
                .counter(
                        "requests_overdue",
                        "Requests refused as their time may have passed before they were read",
                        (double) requests.overdue());
    }

    /** Adds the metrics of the event loop. */
    static void add(MetricsPage page, StallWatch stalls) {
        page.counter("stalls", "How often the event loop stood still for half a second", (double) stalls.stalls())
                .gauge(
                        "longest_stall_seconds",
                        "The longest that the event loop stood still",
                        (double) stalls.longestMillis() / TimeUnit.SECONDS.toMillis(1));
    }

    /** Adds the metrics of the memory budgets. */
    static void add(MetricsPage page, EdgeMemory memory) {
        String help = "Bytes of bodies that are held";
        page.gauge("body_bytes", help, (double) memory.shortRequests().reservedBytes(), "of", "short_requests")
                .gauge("body_bytes", help, (double) memory.longRequests().reservedBytes(), "of", "long_requests")
                .gauge("body_bytes", help, (double) memory.responses().reservedBytes(), "of", "long_answers")
                .gauge("head_bytes", "Memory that heads of requests take", (double)
                        memory.heads().reservedBytes());
    }
}
