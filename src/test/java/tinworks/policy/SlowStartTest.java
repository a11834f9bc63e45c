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

/** A bank of gateways, none of which knows of the others, beside a server that has just started. */
class SlowStartTest {
    private static final int GATEWAYS = 40;
    private static final int PER_SECOND = 240;
    private static final int WARM = 2;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void allGatewaysTogetherDontToppleAColdServerWhileTheWarmOnesAreFull(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<GatewayFixture> bank = new ArrayList<>();
        long start = 100 * SECOND;
        for (int g = 0; g < GATEWAYS; g++) {
            GatewayFixture fleet =
                    new GatewayFixture(settings(false, GATEWAYS, List.of(), List.of(ORDER)), seed * GATEWAYS + g);
            fleet.list(ServerListKind.CACHED, server("s0"), server("s1"), server("cold", "a", Readiness.READY, start));
            bank.add(fleet);
        }
        ArrayDeque<Long> window = new ArrayDeque<>();
        int most = 0;
        for (int i = 0; i < 4 * PER_SECOND; i++) {
            long now = start + i * SECOND / PER_SECOND;
            GatewayFixture fleet = bank.get(random.nextInt(GATEWAYS));
            fleet.now = now;
            fleet.request(ORDER);
            int attempt = 0;
            for (List<Recorder.Action> out = fleet.recorder.take("send");
                    !out.isEmpty();
                    out = fleet.recorder.take("send")) {
                Recorder.Action sent = out.get(0);
                boolean cold = sent.server().equals("cold");
                if (cold) {
                    window.add(now);
                }
                fleet.endAttempt(sent.id(), attempt++, sent.server(), cold ? Outcome.SERVED : Outcome.FULL, MS);
            }
            while (!window.isEmpty() && window.peek() < now - PARAMETERS.overloadWindowNanos()) {
                window.poll();
            }
            most = Math.max(most, window.size());
        }
        // What a warm server would be asked to bear, at the capacity of one that is four seconds old.
        double capacity = PARAMETERS.slowStartInitialFraction()
                + (1 - PARAMETERS.slowStartInitialFraction()) * 4 * SECOND / PARAMETERS.slowStartNanos();
        double seconds = PARAMETERS.overloadWindowNanos() / (double) SECOND;
        double bound = PARAMETERS.overloadFactor() * capacity * PER_SECOND / (WARM + 1.0) * seconds;
        assertTrue(most > 0 && most <= bound, "in one window " + most + " of " + bound);
    }
}
