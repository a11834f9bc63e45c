package tinworks.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static tinworks.policy.GatewayFixture.MS;
import static tinworks.policy.GatewayFixture.READ;
import static tinworks.policy.GatewayFixture.TICK;
import static tinworks.policy.GatewayFixture.settings;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import tinworks.policy.LoadBalancerApi.Outcome;
import tinworks.policy.LoadBalancerApi.Readiness;
import tinworks.policy.LoadBalancerApi.ServerInfo;
import tinworks.policy.LoadBalancerApi.ServerListKind;
import tinworks.policy.LoadBalancerApi.Settings;

/** Subsetting: how the gateways of a large fleet divide its servers while each uses a server rarely. */
class SubsetTest {
    private static final int GATEWAYS = 4;
    private static final int SERVERS = 24;
    private static final int LARGE = 6;
    private static final double LARGE_HINT = 9;

    private static GatewayFixture gateway(int number) {
        Settings one = settings(false, GATEWAYS, List.of(), List.of(READ));
        Settings numbered = new Settings(
                GATEWAYS,
                number,
                one.zone(),
                false,
                one.timerResolutionNanos(),
                one.classes(),
                one.tenants(),
                one.overQuotaValue(),
                one.permissions(),
                one.parameters());
        GatewayFixture gateway = new GatewayFixture(numbered, 7 + number).withServers(SERVERS);
        return gateway;
    }

    /** The servers drawn in a second by requests that are answered before the next arrives, once the rate is known. */
    private static Set<String> serversDrawn(GatewayFixture gateway, long intervalNanos) {
        runTick(gateway, intervalNanos);
        return runTick(gateway, intervalNanos);
    }

    private static Set<String> runTick(GatewayFixture gateway, long intervalNanos) {
        Set<String> drawn = new HashSet<>();
        for (long end = gateway.now + GatewayFixture.SECOND; gateway.now < end; gateway.now += intervalNanos) {
            drawn.add(gateway.requestAndAnswer(READ, Outcome.SERVED, 10 * MS));
        }
        gateway.fireTimer(TICK);
        gateway.recorder.take();
        return drawn;
    }

    @Test
    void withSparseSamplesEachGatewayKeepsToItsSubsetAndEveryServerIsUsed() {
        Set<String> total = new HashSet<>();
        int drawn = 0;
        for (int i = 0; i < GATEWAYS; i++) {
            Set<String> subset = serversDrawn(gateway(i), 16 * MS);
            drawn += subset.size();
            total.addAll(subset);
        }
        assertEquals(SERVERS, total.size());
        // Six servers each, and those on the borders twice; about one request in several hundred goes elsewhere.
        assertTrue(drawn <= SERVERS + 2 * GATEWAYS, "drawn in all: " + drawn);
    }

    @Test
    void withManySamplesAllServersAreDrawn() {
        assertEquals(SERVERS, serversDrawn(gateway(0), 2 * MS).size());
    }

    @Test
    void usesOtherServersWhileItsSubsetHasNoCapacity() {
        GatewayFixture gateway = gateway(0);
        int subset = serversDrawn(gateway(0), 16 * MS).size();
        Set<String> drawn = new HashSet<>();
        for (int i = 0; i < subset + 2; i++) {
            gateway.request(READ);
            drawn.add(gateway.sentTo());
        }
        assertTrue(drawn.size() > subset, drawn + " where " + subset + " are in its subset");
    }

    @Test
    void subsetsHaveEqualCapacityNotEqualSize() {
        List<ServerInfo> list = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            list.add(new ServerInfo("s" + i, "a", "k", 0, Readiness.READY, i < LARGE ? LARGE_HINT : 1, 0));
        }
        double part = (LARGE * LARGE_HINT + SERVERS - LARGE) / GATEWAYS;
        for (int i = 0; i < GATEWAYS; i++) {
            GatewayFixture gateway = gateway(i);
            gateway.list(ServerListKind.FULL, list);
            double capacity = serversDrawn(gateway, 16 * MS).stream()
                    .mapToDouble(id -> Integer.parseInt(id.substring(1)) < LARGE ? LARGE_HINT : 1)
                    .sum();
            assertTrue(capacity >= part && capacity <= part + 2 * LARGE_HINT, "capacity " + capacity + " of " + part);
        }
    }

    /** Counts how many of four seconds' sparse requests the gateway sends to a server that has just started. */
    private static int sentToNewServer(int index) {
        GatewayFixture gateway = gateway(index);
        serversDrawn(gateway, 16 * MS);
        gateway.list(ServerListKind.CHANGES, GatewayFixture.server("s0", "a", Readiness.READY, gateway.now));
        int sent = 0;
        for (long end = gateway.now + 4 * GatewayFixture.SECOND; gateway.now < end; gateway.now += 16 * MS) {
            sent += "s0".equals(gateway.requestAndAnswer(READ, Outcome.SERVED, 10 * MS)) ? 1 : 0;
        }
        return sent;
    }

    @Test
    void mostSlowStartTokensOfAServerAreItsOwnGateways() {
        int total = 0;
        int most = 0;
        for (int i = 0; i < GATEWAYS; i++) {
            int sent = sentToNewServer(i);
            total += sent;
            most = Math.max(most, sent);
        }
        // A warmed-up server gets 10 a second from all gateways; half of 2.5 times a fifth of that is 2.6, and more as
        // it warms up. Of this its own gateway gets five eighths, where an equal part would be a quarter.
        assertTrue(most >= 5, "its own gateway sent " + most + " of " + total);
        assertTrue(total <= 16, "sent in all: " + total);
    }

    @Test
    void aSuspectServerIsTriedByItsOwnGatewayOncePerTrialInterval() {
        GatewayFixture gateway =
                new GatewayFixture(settings(false, GATEWAYS, List.of(), List.of(READ)), 7).withServers(SERVERS);
        serversDrawn(gateway, 16 * MS);
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < 60; i++) {
            gateway.now += 16 * MS;
            counts.merge(gateway.requestAndAnswer(READ, Outcome.SERVED, 10 * MS), 1, Integer::sum);
        }
        String ownServer =
                Collections.max(counts.entrySet(), Map.Entry.comparingByValue()).getKey();
        int trials = 0;
        for (long end = gateway.now + 8 * GatewayFixture.SECOND; gateway.now < end; gateway.now += 16 * MS) {
            String id = gateway.request(READ);
            String server = gateway.sentTo();
            boolean fails = ownServer.equals(server) && gateway.now < end - 4 * GatewayFixture.SECOND;
            trials += ownServer.equals(server) && gateway.now >= end - 4 * GatewayFixture.SECOND ? 1 : 0;
            gateway.endAttempt(id, 0, server, fails ? Outcome.ERROR : Outcome.SERVED, 10 * MS, true);
            gateway.recorder.take();
        }
        // Trials are a second apart, and the first few that are served clear the server. At the trial interval of four
        // equal gateways there would be one.
        assertTrue(trials >= 3, "trials in four seconds: " + trials);
    }

    @Test
    void aGatewayWithLittleTrafficAdmitsEnoughToLearnWhileShedding() {
        GatewayFixture gateway = gateway(0);
        serversDrawn(gateway, 16 * MS);
        int admitted = 0;
        for (int i = 0; i < 400; i++) {
            gateway.fireTimer(GatewayFixture.SWEEP);
            gateway.recorder.take();
            gateway.now += 16 * MS;
            String server = gateway.requestAndAnswer(READ, Outcome.SERVED, 450 * MS);
            admitted += i >= 200 && server != null ? 1 : 0;
        }
        // Of 62 requests a second, 20 are enough; a twentieth would be 10 of these 200.
        assertTrue(admitted >= 40 && admitted <= 100, "admitted " + admitted + " of 200 while all answers were late");
    }
}
