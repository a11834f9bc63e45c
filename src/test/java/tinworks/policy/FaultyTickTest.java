package tinworks.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import tinworks.policy.LoadBalancerApi.Actions;
import tinworks.policy.LoadBalancerApi.DedupScope;
import tinworks.policy.LoadBalancerApi.Idempotency;
import tinworks.policy.LoadBalancerApi.Permissions;
import tinworks.policy.LoadBalancerApi.PolicyParameters;
import tinworks.policy.LoadBalancerApi.RequestArrived;
import tinworks.policy.LoadBalancerApi.RequestClass;
import tinworks.policy.LoadBalancerApi.ServerListKind;
import tinworks.policy.LoadBalancerApi.ServerListReceived;
import tinworks.policy.LoadBalancerApi.Settings;
import tinworks.policy.LoadBalancerApi.TimerFired;

/**
 * A fault during a tick must not stop later ticks. The next timer used to be set at the end of a tick, so after a fault
 * the shares were never updated again, and only {@code NO_FAULT} 1 in the metrics showed it.
 */
class FaultyTickTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long TICK_TIMER = 1;
    private static final long SWEEP_TIMER = 2;

    private static final class FaultyLog implements Actions {
        private final List<Long> timers = new ArrayList<>();
        private int refused;

        @Override
        public void send(String request, String server, long timeoutNanos) {
            throw new AssertionError("there is no server");
        }

        @Override
        public void refuse(String request, long pauseNanos) {
            refused++;
        }

        @Override
        public void fail(String request) {
            throw new AssertionError("nothing was sent");
        }

        @Override
        public void cancel(String request, int attempt) {
            throw new AssertionError("nothing was sent");
        }

        @Override
        public void setTimer(long delayNanos, long token) {
            timers.add(token);
        }

        @Override
        public void subscribe() {
            throw new AssertionError("the settings do not ask for a subscription");
        }

        @Override
        public void log(String line) {
            throw new IllegalStateException("a fault");
        }
    }

    @Test
    void theNextTickIsScheduledDespiteAFault() {
        FaultyLog actions = new FaultyLog();
        RequestClass requestClass = new RequestClass(
                "k", Idempotency.SAFE, DedupScope.ALL, 0, SECOND, 2 * SECOND, 1, 0.5, false, 2, 2 * SECOND);
        LoadBalancer loadBalancer = new LoadBalancer(
                new Settings(
                        1,
                        -1,
                        "z",
                        false,
                        SECOND / 1_000,
                        List.of(requestClass),
                        List.of(),
                        1,
                        new Permissions(32, true, false),
                        new PolicyParameters(0, 0, Long.MAX_VALUE, 0.5, SECOND, 1e9, SECOND)),
                1,
                actions);
        loadBalancer.onEvent(0, new ServerListReceived(ServerListKind.FULL, List.of()));
        loadBalancer.onEvent(1, new RequestArrived("r", "k", null, null, SECOND, 0, false, 0));
        loadBalancer.onEvent(3 * SECOND, new TimerFired(SWEEP_TIMER, 0));
        assertEquals(1, actions.refused, "there is no server");
        actions.timers.clear();
        assertThrows(
                IllegalStateException.class,
                () -> loadBalancer.onEvent(5 * SECOND, new TimerFired(TICK_TIMER, 0)),
                "the log call fails");
        assertEquals(List.of(TICK_TIMER), actions.timers);
    }
}
