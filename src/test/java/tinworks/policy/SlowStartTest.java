package tinworks.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static tinworks.policy.GatewayFixture.MS;
import static tinworks.policy.GatewayFixture.ORDER;
import static tinworks.policy.GatewayFixture.PARAMETERS;
import static tinworks.policy.GatewayFixture.SECOND;
import static tinworks.policy.GatewayFixture.server;
import static tinworks.policy.GatewayFixture.settings;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tinworks.policy.LoadBalancerApi.Outcome;
import tinworks.policy.LoadBalancerApi.Readiness;
import tinworks.policy.LoadBalancerApi.ServerListKind;

/** Slow start with many gateways that do not know of each other and a server that has just started. */
class SlowStartTest {
    private static final int GATEWAYS = 40;
    private static final int PER_SECOND = 240;
    private static final int WARM_SERVERS = 2;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void allGatewaysTogetherDoNotOverloadANewServerWhileTheOthersAreFull(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<GatewayFixture> gateways = new ArrayList<>();
        long start = 100 * SECOND;
        for (int g = 0; g < GATEWAYS; g++) {
            GatewayFixture gateway =
                    new GatewayFixture(settings(false, GATEWAYS, List.of(), List.of(ORDER)), seed * GATEWAYS + g);
            gateway.list(
                    ServerListKind.CACHED, server("s0"), server("s1"), server("cold", "a", Readiness.READY, start));
            gateways.add(gateway);
        }
        ArrayDeque<Long> window = new ArrayDeque<>();
        int most = 0;
        for (int i = 0; i < 4 * PER_SECOND; i++) {
            long now = start + i * SECOND / PER_SECOND;
            GatewayFixture gateway = gateways.get(random.nextInt(GATEWAYS));
            gateway.now = now;
            gateway.request(ORDER);
            int attempt = 0;
            for (List<Recorder.Action> sends = gateway.recorder.take("send");
                    !sends.isEmpty();
                    sends = gateway.recorder.take("send")) {
                Recorder.Action sent = sends.get(0);
                boolean isNew = sent.server().equals("cold");
                if (isNew) {
                    window.add(now);
                }
                gateway.endAttempt(sent.id(), attempt++, sent.server(), isNew ? Outcome.SERVED : Outcome.FULL, MS);
            }
            while (!window.isEmpty() && window.peek() < now - PARAMETERS.overloadWindowNanos()) {
                window.poll();
            }
            most = Math.max(most, window.size());
        }
        // The load of a warmed-up server, times the capacity of one that is four seconds old.
        double capacity = PARAMETERS.slowStartInitialFraction()
                + (1 - PARAMETERS.slowStartInitialFraction()) * 4 * SECOND / PARAMETERS.slowStartNanos();
        double seconds = PARAMETERS.overloadWindowNanos() / (double) SECOND;
        double bound = PARAMETERS.overloadFactor() * capacity * PER_SECOND / (WARM_SERVERS + 1.0) * seconds;
        assertTrue(most > 0 && most <= bound, "sent in one window: " + most + " of " + bound);
    }
}
