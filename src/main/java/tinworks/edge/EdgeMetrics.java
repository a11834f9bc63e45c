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

/** An edge's figures; docs/metrics.md explains each. */
final class EdgeMetrics {
    private EdgeMetrics() {}

    /** What concerns the edge as a whole. */
    static MetricsPage page(boolean ready, long rev, int gateways, int hosts, int connections, double silentSeconds) {
        return new MetricsPage()
                .gauge("ready", "1 where clients may be sent here", ready ? 1 : 0)
                .gauge("configuration_version", "The version in force", (double) rev)
                .gauge("edges", "Edges that the leader counts", gateways)
                .gauge("hosts", "Hosts on the list", hosts)
                .gauge("host_connections", "Connections to hosts, open or on their way", connections)
                .gauge("leader_silent_seconds", "Since a core machine that hears the leader was heard", silentSeconds);
    }

    /** What concerns one service. */
    static void add(MetricsPage page, String service, Forwarding forwarding) {
        ForwardingCounters tally = forwarding.counters();
        page.counter("requests", "Requests taken on", (double) tally.requestsAccepted(), "service", service)
                .counter(
                        "requests_abandoned",
                        "Requests whose clients left before their answer",
                        (double) tally.requestsAbandoned(),
                        "service",
                        service)
                .counter(
                        "attempt_seconds",
                        "The time of all attempts together",
                        tally.attemptSeconds(),
                        "service",
                        service)
                .gauge("requests_open", "Requests without their end", forwarding.open(), "service", service);
        byReason(page, "requests_refused", "Requests given up without having run", service, tally.requestsRefused());
        byReason(page, "requests_failed", "Requests that failed and may have run", service, tally.requestsFailed());
        for (Map.Entry<Outcome, Long> entry : tally.attemptsByOutcome().entrySet()) {
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

    /** What concerns clients' connections. */
    static void add(MetricsPage page, ClientServer clients) {
        ClientCounters tally = clients.counters();
        page.gauge("client_connections", "Connections of clients", clients.connectionCount())
                .counter("client_connections_opened", "Connections accepted", (double) tally.connectionsOpened());
        tally.connectionsClosed()
                .forEach((end, count) -> page.counter(
                        "client_connections_ended",
                        "Connections of clients that ended, by why",
                        (double) count,
                        "reason",
                        label(end)));
        tally.requestsRejected()
                .forEach((status, count) -> page.counter(
                        "requests_rejected",
                        "Requests that were turned away before a service was found for them",
                        (double) count,
                        "status",
                        Integer.toString(status)));
    }

    /** What concerns requests that came while nothing could be done for them. */
    static void add(MetricsPage page, RequestRouter requests) {
        page.counter("requests_unconfigured", "Requests refused while no configuration was known", (double)
                        requests.unconfigured())
                .counter(
                        "requests_overdue",
                        "Requests refused as their time may have passed before they were read",
                        (double) requests.overdue());
    }

    /** What concerns the event loop. */
    static void add(MetricsPage page, StallWatch stalls) {
        page.counter("stalls", "How often the event loop stood still for half a second", (double) stalls.stalls())
                .gauge(
                        "longest_stall_seconds",
                        "The longest that the event loop stood still",
                        (double) stalls.longestMillis() / TimeUnit.SECONDS.toMillis(1));
    }

    /** What concerns the memory that bodies take. */
    static void add(MetricsPage page, EdgeMemory memory) {
        String help = "Bytes of bodies that are held";
        page.gauge("body_bytes", help, (double) memory.shortRequests().reservedBytes(), "of", "short_requests")
                .gauge("body_bytes", help, (double) memory.longRequests().reservedBytes(), "of", "long_requests")
                .gauge("body_bytes", help, (double) memory.answers().reservedBytes(), "of", "long_answers")
                .gauge("head_bytes", "Memory that heads of requests take", (double)
                        memory.heads().reservedBytes());
    }
}
