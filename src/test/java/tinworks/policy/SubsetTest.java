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

/** How the gateways of a large fleet divide its servers while each meets them seldom. */
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
        GatewayFixture fleet = new GatewayFixture(numbered, 7 + number).withServers(SERVERS);
        return fleet;
    }

    /** The servers drawn in a second by requests that are answered before the next comes, the rate being known. */
    private static Set<String> drawnOneByOne(GatewayFixture fleet, long apartNanos) {
        aTick(fleet, apartNanos);
        return aTick(fleet, apartNanos);
    }

    private static Set<String> aTick(GatewayFixture fleet, long apartNanos) {
        Set<String> drawn = new HashSet<>();
        for (long end = fleet.now + GatewayFixture.SECOND; fleet.now < end; fleet.now += apartNanos) {
            drawn.add(fleet.requestAndAnswer(READ, Outcome.SERVED, 10 * MS));
        }
        fleet.fireTimer(TICK);
        fleet.recorder.take();
        return drawn;
    }

    @Test
    void whereSamplesAreSparseEachGatewayKeepsToItsPortionAndNoServerIsLeftOut() {
        Set<String> together = new HashSet<>();
        int drawn = 0;
        for (int i = 0; i < GATEWAYS; i++) {
            Set<String> portion = drawnOneByOne(gateway(i), 16 * MS);
            drawn += portion.size();
            together.addAll(portion);
        }
        assertEquals(SERVERS, together.size());
        // Six servers each and those on the borders twice; chance reaches beyond with one request in some hundred.
        assertTrue(drawn <= SERVERS + 2 * GATEWAYS, "drawn in all: " + drawn);
    }

    @Test
    void whereSamplesAreManyAllServersAreDrawn() {
        assertEquals(SERVERS, drawnOneByOne(gateway(0), 2 * MS).size());
    }

    @Test
    void goesBeyondItsPortionWhileThatHasNoRoom() {
        GatewayFixture fleet = gateway(0);
        int portion = drawnOneByOne(gateway(0), 16 * MS).size();
        Set<String> drawn = new HashSet<>();
        for (int i = 0; i < portion + 2; i++) {
            fleet.request(READ);
            drawn.add(fleet.sentTo());
        }
        assertTrue(drawn.size() > portion, drawn + " where " + portion + " are its own");
    }

    @Test
    void portionsAreOfEqualCapacityAndNotOfEqualNumber() {
        List<ServerInfo> list = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            list.add(new ServerInfo("s" + i, "a", "k", 0, Readiness.READY, i < LARGE ? LARGE_HINT : 1, 0));
        }
        double part = (LARGE * LARGE_HINT + SERVERS - LARGE) / GATEWAYS;
        for (int i = 0; i < GATEWAYS; i++) {
            GatewayFixture fleet = gateway(i);
            fleet.list(ServerListKind.FULL, list);
            double capacity = drawnOneByOne(fleet, 16 * MS).stream()
                    .mapToDouble(id -> Integer.parseInt(id.substring(1)) < LARGE ? LARGE_HINT : 1)
                    .sum();
            assertTrue(capacity >= part && capacity <= part + 2 * LARGE_HINT, "capacity " + capacity + " of " + part);
        }
    }

    /** How many of four seconds' sparse requests the gateway sends to a server that has just started. */
    private static int sentToCold(int gateway) {
        GatewayFixture fleet = gateway(gateway);
        drawnOneByOne(fleet, 16 * MS);
        fleet.list(ServerListKind.CHANGES, GatewayFixture.server("s0", "a", Readiness.READY, fleet.now));
        int sent = 0;
        for (long end = fleet.now + 4 * GatewayFixture.SECOND; fleet.now < end; fleet.now += 16 * MS) {
            sent += "s0".equals(fleet.requestAndAnswer(READ, Outcome.SERVED, 10 * MS)) ? 1 : 0;
        }
        return sent;
    }

    @Test
    void aColdServersBudgetIsItsOwnGateways() {
        int together = 0;
        int most = 0;
        for (int i = 0; i < GATEWAYS; i++) {
            int sent = sentToCold(i);
            together += sent;
            most = Math.max(most, sent);
        }
        // A warm one gets 10 a second from all; half of 2.5 times a fifth of that is 2.6, and more as it warms. Of
        // this the own gateway has five eighths, where an equal part would be a quarter.
        assertTrue(most >= 5, "its own gateway sent " + most + " of " + together);
        assertTrue(together <= 16, "sent in all: " + together);
    }

    @Test
    void aDoubtfulServerIsTriedByItsOwnGatewayOnceInATrialTime() {
        GatewayFixture fleet =
                new GatewayFixture(settings(false, GATEWAYS, List.of(), List.of(READ)), 7).withServers(SERVERS);
        drawnOneByOne(fleet, 16 * MS);
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < 60; i++) {
            fleet.now += 16 * MS;
            counts.merge(fleet.requestAndAnswer(READ, Outcome.SERVED, 10 * MS), 1, Integer::sum);
        }
        String own =
                Collections.max(counts.entrySet(), Map.Entry.comparingByValue()).getKey();
        int trials = 0;
        for (long end = fleet.now + 8 * GatewayFixture.SECOND; fleet.now < end; fleet.now += 16 * MS) {
            String id = fleet.request(READ);
            String server = fleet.sentTo();
            boolean fails = own.equals(server) && fleet.now < end - 4 * GatewayFixture.SECOND;
            trials += own.equals(server) && fleet.now >= end - 4 * GatewayFixture.SECOND ? 1 : 0;
            fleet.endAttempt(id, 0, server, fails ? Outcome.ERROR : Outcome.SERVED, 10 * MS, true);
            fleet.recorder.take();
        }
        // Trials a second apart, of which the first few that are served free it; four gateways' time would allow one.
        assertTrue(trials >= 3, "trials in four seconds: " + trials);
    }

    @Test
    void aGatewayOfLittleTrafficAdmitsEnoughToLearnFromWhileItSheds() {
        GatewayFixture fleet = gateway(0);
        drawnOneByOne(fleet, 16 * MS);
        int admitted = 0;
        for (int i = 0; i < 400; i++) {
            fleet.fireTimer(GatewayFixture.SWEEP);
            fleet.recorder.take();
            fleet.now += 16 * MS;
            String server = fleet.requestAndAnswer(READ, Outcome.SERVED, 450 * MS);
            admitted += i >= 200 && server != null ? 1 : 0;
        }
        // Of 62 requests a second, 20 are enough; a twentieth would be 10 of these 200.
        assertTrue(admitted >= 40 && admitted <= 100, "admitted " + admitted + " of 200 while all answers were late");
    }
}
