package tinworks.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import tinworks.policy.LoadBalancerApi.Actions;
import tinworks.policy.LoadBalancerApi.AttemptEnded;
import tinworks.policy.LoadBalancerApi.DedupScope;
import tinworks.policy.LoadBalancerApi.Idempotency;
import tinworks.policy.LoadBalancerApi.Outcome;
import tinworks.policy.LoadBalancerApi.Permissions;
import tinworks.policy.LoadBalancerApi.PolicyParameters;
import tinworks.policy.LoadBalancerApi.Readiness;
import tinworks.policy.LoadBalancerApi.RequestArrived;
import tinworks.policy.LoadBalancerApi.RequestClass;
import tinworks.policy.LoadBalancerApi.ServerInfo;
import tinworks.policy.LoadBalancerApi.ServerListKind;
import tinworks.policy.LoadBalancerApi.ServerListReceived;
import tinworks.policy.LoadBalancerApi.Settings;

/** The README's example, as a new user would write it. */
class QuickStartTest {
    private static final long MS = 1_000_000L;

    /** The gateway's side of the interface; a real one opens connections and sets timers here. */
    private static final class Host implements Actions {
        final List<String> sent = new ArrayList<>();
        long timers;

        @Override
        public void send(String request, String server, long timeoutNanos) {
            sent.add(request + " to " + server);
        }

        @Override
        public void refuse(String request, long pauseNanos) {
            sent.add(request + " refused");
        }

        @Override
        public void fail(String request) {
            sent.add(request + " failed");
        }

        @Override
        public void cancel(String request, int attempt) {}

        @Override
        public void setTimer(long delayNanos, long token) {
            timers++;
        }

        @Override
        public void subscribe() {}
    }

    @Test
    void aGatewayEmbedsTheLoadBalancerInAFewLines() {
        RequestClass read =
                new RequestClass("read", Idempotency.SAFE, DedupScope.ALL, 0, 300 * MS, 1000 * MS, 1, 0, false);
        Settings settings = new Settings(
                1,
                0,
                "zone-a",
                false,
                MS,
                List.of(read),
                List.of(),
                1,
                new Permissions(3, true, true),
                new PolicyParameters(20 * MS, 250 * MS, 10_000 * MS, 0.2, 20_000 * MS, 2.5, 1000 * MS));
        Host host = new Host();
        LoadBalancer loadBalancer = new LoadBalancer(settings, 42, host);

        long now = 5_000 * MS; // in a gateway: System.nanoTime()
        ServerInfo server = new ServerInfo("10.0.0.7:80", "zone-a", "m5", 0, Readiness.READY, 1, 0);
        loadBalancer.onEvent(now, new ServerListReceived(ServerListKind.FULL, List.of(server)));
        loadBalancer.onEvent(now, new RequestArrived("r1", "read", null, null, 1000 * MS, 0, false));
        loadBalancer.onEvent(
                now + 20 * MS, new AttemptEnded("r1", 0, "10.0.0.7:80", Outcome.SERVED, 20 * MS, true, null));

        assertEquals(List.of("r1 to 10.0.0.7:80"), host.sent);
        assertTrue(host.timers > 0, "the load balancer sets timers");
    }
}
