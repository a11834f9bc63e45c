package tinworks.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import tinworks.policy.Protocol.Actions;
import tinworks.policy.Protocol.Allowed;
import tinworks.policy.Protocol.Effect;
import tinworks.policy.Protocol.Group;
import tinworks.policy.Protocol.ListKind;
import tinworks.policy.Protocol.ListReceived;
import tinworks.policy.Protocol.RequestArrived;
import tinworks.policy.Protocol.RequestClass;
import tinworks.policy.Protocol.Rules;
import tinworks.policy.Protocol.Settings;
import tinworks.policy.Protocol.TimerFired;

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
        RequestClass kind =
                new RequestClass("k", Effect.SAFE, Group.ALL, 0, SECOND, 2 * SECOND, 1, 0.5, false, 2, 2 * SECOND);
        Choice choice = new Choice(
                new Settings(
                        1,
                        -1,
                        "z",
                        false,
                        SECOND / 1_000,
                        List.of(kind),
                        List.of(),
                        1,
                        new Allowed(32, true, false),
                        new Rules(0, 0, Long.MAX_VALUE, 0.5, SECOND, 1e9, SECOND)),
                1,
                actions);
        choice.on(0, new ListReceived(ListKind.WHOLE, List.of()));
        choice.on(1, new RequestArrived("r", "k", null, null, SECOND, 0, false, 0));
        choice.on(3 * SECOND, new TimerFired(SWEEP_TOKEN, 0));
        assertEquals(1, actions.refused, "it has no server");
        actions.timers.clear();
        assertThrows(
                IllegalStateException.class, () -> choice.on(5 * SECOND, new TimerFired(STEP_TOKEN, 0)), "it logs");
        assertEquals(List.of(STEP_TOKEN), actions.timers);
    }
}
