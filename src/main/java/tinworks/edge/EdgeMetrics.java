package tinworks.edge;

import java.util.Locale;
import java.util.Map;
import tinworks.metrics.MetricsPage;
import tinworks.net.Forwarding;
import tinworks.net.Tally;
import tinworks.policy.Protocol.Outcome;

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
        Tally tally = forwarding.tally();
        page.counter("requests", "Requests taken on", (double) tally.requestsTaken(), "service", service)
                .counter(
                        "requests_refused",
                        "Requests given up without having run",
                        (double) tally.requestsRefused(),
                        "service",
                        service)
                .counter(
                        "requests_failed",
                        "Requests that failed and may have run",
                        (double) tally.requestsFailed(),
                        "service",
                        service)
                .counter(
                        "attempt_seconds",
                        "The time of all attempts together",
                        tally.secondsOfAttempts(),
                        "service",
                        service)
                .gauge("requests_open", "Requests without their end", forwarding.open(), "service", service);
        for (Map.Entry<Outcome, Long> entry : tally.attemptsByOutcome().entrySet()) {
            page.counter(
                    "attempts",
                    "Attempts at hosts, by how they ended",
                    entry.getValue(),
                    "service",
                    service,
                    "outcome",
                    entry.getKey().name().toLowerCase(Locale.ROOT));
        }
    }
}
