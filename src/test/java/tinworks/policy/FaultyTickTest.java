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
 * A fault in one step of the shares is not the last step. The timer of the next one was set at the end of a step: after
 * a fault in it shares stood still for good, and nothing showed it but {@code NO_FAULT} 1 in the metrics.
 */
class FaultyTickTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long STEP_TOKEN = 1;
    private static final long SWEEP_TOKEN = 2;

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
            throw new AssertionError("nothing was tried");
        }

        @Override
        public void cancel(String request, int attempt) {
            throw new AssertionError("nothing was tried");
        }

        @Override
        public void setTimer(long delayNanos, long token) {
            timers.add(token);
        }

        @Override
        public void subscribe() {
            throw new AssertionError("the list comes by itself");
        }

        @Override
        public void log(String line) {
            throw new IllegalStateException("a fault");
        }
    }

    @Test
    void theNextStepIsDueAllTheSame() {
        FaultyLog actions = new FaultyLog();
        RequestClass kind = new RequestClass(
                "k", Idempotency.SAFE, DedupScope.ALL, 0, SECOND, 2 * SECOND, 1, 0.5, false, 2, 2 * SECOND);
        LoadBalancer choice = new LoadBalancer(
                new Settings(
                        1,
                        -1,
                        "z",
                        false,
                        SECOND / 1_000,
                        List.of(kind),
                        List.of(),
                        1,
                        new Permissions(32, true, false),
                        new PolicyParameters(0, 0, Long.MAX_VALUE, 0.5, SECOND, 1e9, SECOND)),
                1,
                actions);
        choice.onEvent(0, new ServerListReceived(ServerListKind.FULL, List.of()));
        choice.onEvent(1, new RequestArrived("r", "k", null, null, SECOND, 0, false, 0));
        choice.onEvent(3 * SECOND, new TimerFired(SWEEP_TOKEN, 0));
        assertEquals(1, actions.refused, "it has no server");
        actions.timers.clear();
        assertThrows(
                IllegalStateException.class,
                () -> choice.onEvent(5 * SECOND, new TimerFired(STEP_TOKEN, 0)),
                "it logs");
        assertEquals(List.of(STEP_TOKEN), actions.timers);
    }
}
