package tinworks.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static tinworks.policy.GatewayFixture.FILE;
import static tinworks.policy.GatewayFixture.MS;
import static tinworks.policy.GatewayFixture.ORDER;
import static tinworks.policy.GatewayFixture.READ;
import static tinworks.policy.GatewayFixture.RESUBSCRIBE;
import static tinworks.policy.GatewayFixture.SECOND;
import static tinworks.policy.GatewayFixture.SWEEP;
import static tinworks.policy.GatewayFixture.TICK;
import static tinworks.policy.GatewayFixture.server;
import static tinworks.policy.GatewayFixture.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import tinworks.policy.LoadBalancerApi.ClientDisconnected;
import tinworks.policy.LoadBalancerApi.DedupScope;
import tinworks.policy.LoadBalancerApi.Idempotency;
import tinworks.policy.LoadBalancerApi.Outcome;
import tinworks.policy.LoadBalancerApi.Readiness;
import tinworks.policy.LoadBalancerApi.RequestArrived;
import tinworks.policy.LoadBalancerApi.RequestClass;
import tinworks.policy.LoadBalancerApi.ServerInfo;
import tinworks.policy.LoadBalancerApi.ServerListKind;
import tinworks.policy.LoadBalancerApi.Settings;
import tinworks.policy.LoadBalancerApi.StreamStarted;
import tinworks.policy.LoadBalancerApi.Tenant;
import tinworks.policy.LoadBalancerApi.TimerFired;

/** Decisions of one load balancer, event by event. */
class LoadBalancerTest {
    private static final int DRAWS = 6000;

    /** Counts how often each server is drawn when every request is answered at once. */
    private static Map<String, Integer> countDraws(GatewayFixture gateway, int n) {
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < n; i++) {
            counts.merge(gateway.requestAndAnswer(READ, Outcome.SERVED, 10 * MS), 1, Integer::sum);
        }
        return counts;
    }

    /** Runs a tick in which each server answers the given number of requests with the given latencies. */
    private static void runTick(GatewayFixture gateway, int each, long... elapsed) {
        int[] left = new int[elapsed.length];
        java.util.Arrays.fill(left, each);
        for (int n = 0; n < each * elapsed.length; ) {
            String id = gateway.request(READ);
            String s = gateway.sentTo();
            if (s == null) {
                continue; // shed
            }
            int i = Integer.parseInt(s.substring(1));
            boolean counted = left[i]-- > 0;
            n += counted ? 1 : 0;
            gateway.endAttempt(id, 0, s, counted ? Outcome.SERVED : Outcome.NOT_SENT, elapsed[i], true);
        }
        gateway.fireTimer(TICK);
        gateway.recorder.take();
    }

    private static void assertFraction(double expected, Map<String, Integer> counts, String server) {
        double fraction = counts.getOrDefault(server, 0) / (double) DRAWS;
        assertEquals(expected, fraction, 0.03, server + " of " + counts);
    }

    @Test
    void drawsFollowEqualSharesAtStart() {
        Map<String, Integer> counts = countDraws(new GatewayFixture().withServers(4), DRAWS);
        for (int i = 0; i < 4; i++) {
            assertFraction(0.25, counts, "s" + i);
        }
    }

    @Test
    void aTickMovesSharesByAlgorithm1() {
        GatewayFixture gateway = new GatewayFixture().withServers(2);
        // l = 30 and 10, l_mean = 20, |l_mean - l| / l_mean = 0.5. With many samples, a tick multiplies the shares by
        // 0.9 and 1.1.
        for (int i = 0; i < 5; i++) {
            runTick(gateway, 400, 30 * MS, 10 * MS);
        }
        double slow = Math.pow(0.9, 5) / (Math.pow(0.9, 5) + Math.pow(1.1, 5));
        Map<String, Integer> counts = countDraws(gateway, DRAWS);
        assertFraction(slow, counts, "s0");
        assertFraction(1 - slow, counts, "s1");
    }

    @Test
    void aServerWithoutSamplesKeepsItsShare() {
        GatewayFixture gateway = new GatewayFixture().withServers(2);
        gateway.fireTimer(TICK);
        gateway.fireTimer(TICK);
        assertFraction(0.5, countDraws(gateway, DRAWS), "s0");
    }

    @Test
    void aSingleServerAndAMeanOfZeroKeepAllShares() {
        GatewayFixture one = new GatewayFixture().withServers(1);
        runTick(one, 5, 10 * MS);
        assertEquals("s0", one.requestAndAnswer(READ, Outcome.SERVED, MS));
        GatewayFixture zero = new GatewayFixture().withServers(2);
        runTick(zero, 5, 0, 0);
        assertFraction(0.5, countDraws(zero, DRAWS), "s0");
    }

    @Test
    void aFactorThatWouldBeNegativeHalvesTheShareAndTheShareRecovers() {
        GatewayFixture gateway = new GatewayFixture().withServers(8);
        long[] elapsed = {2000 * MS, MS, MS, MS, MS, MS, MS, MS};
        runTick(gateway, 50, elapsed); // |l_mean - l| / l_mean = 7 for s0: 1 - 0.2 * 7 is below zero
        double others = 1 + 0.2 * 0.98;
        double expected = 0.5 / (0.5 + 7 * others);
        assertFraction(expected, countDraws(gateway, DRAWS), "s0");
    }

    @Test
    void differentlyLongClassesDoNotMakeAServerLookSlow() {
        RequestClass brief =
                new RequestClass("brief", Idempotency.SAFE, DedupScope.ALL, 0, 500 * MS, SECOND, 1, 0, false);
        GatewayFixture gateway =
                new GatewayFixture(settings(false, 1, List.of(), List.of(READ, brief)), 7).withServers(2);
        for (int t = 0; t < 6; t++) {
            for (int i = 0; i < 400; i++) { // s0 gets only long requests, s1 only short ones
                RequestClass c = i % 2 == 0 ? READ : brief;
                String id = gateway.request(c);
                boolean fits = gateway.sentTo().equals(c.equals(READ) ? "s0" : "s1");
                gateway.endAttempt(
                        id,
                        0,
                        c.equals(READ) == fits ? "s0" : "s1",
                        fits ? Outcome.SERVED : Outcome.NOT_SENT,
                        c.equals(READ) ? 80 * MS : 8 * MS,
                        true);
            }
            gateway.fireTimer(TICK);
            gateway.recorder.take();
        }
        assertFraction(0.5, countDraws(gateway, DRAWS), "s0");
    }

    @Test
    void aClassWhoseResponsesAllMissedTheTargetIsAdmittedAgain() {
        GatewayFixture gateway = new GatewayFixture(settings(false, 1, List.of(), List.of(ORDER)), 7).withServers(4);
        for (int i = 0; i < 400; i++) {
            gateway.requestAndAnswer(ORDER, Outcome.SERVED, 800 * MS);
            gateway.now += 5 * MS;
        }
        gateway.fireTimer(SWEEP);
        gateway.recorder.take();
        for (int i = 0; i < 2000; i++) { // fast again
            gateway.requestAndAnswer(ORDER, Outcome.SERVED, 10 * MS);
            gateway.now += 5 * MS;
        }
        int served = 0;
        for (int i = 0; i < 100; i++) {
            served += gateway.requestAndAnswer(ORDER, Outcome.SERVED, 10 * MS) == null ? 0 : 1;
            gateway.now += 5 * MS;
        }
        assertEquals(100, served);
    }

    @Test
    void requestsStayInTheZoneUntilMostResponsesTakeHalfTheTarget() {
        GatewayFixture gateway = new GatewayFixture().withServers(4, "b"); // s1 and s3 are in the other zone
        assertEquals(Set.of("s0", "s2"), countDraws(gateway, 200).keySet());
        for (int i = 0; i < 12; i++) {
            gateway.requestAndAnswer(READ, Outcome.SERVED, 260 * MS);
        }
        assertTrue(countDraws(gateway, 12).keySet().size() > 2);
    }

    @Test
    void otherZonesGetAllRequestsIfTheOwnZoneHasNoServer() {
        GatewayFixture gateway = new GatewayFixture();
        gateway.list(
                ServerListKind.CACHED, server("s0", "b", Readiness.READY, 0), server("s1", "c", Readiness.READY, 0));
        assertFraction(0.5, countDraws(gateway, DRAWS), "s0");
    }

    @Test
    void noRequestIsSentToADrainingOrRemovedServer() {
        GatewayFixture gateway = new GatewayFixture().withServers(3);
        gateway.list(
                ServerListKind.CHANGES,
                server("s0", "a", Readiness.DRAINING, 0),
                server("s1", "b", Readiness.REMOVED, 0));
        assertEquals(Set.of("s2"), countDraws(gateway, 50).keySet());
    }

    @Test
    void aServerMissingFromAFullListIsRemovedAndOneMissingFromChangesIsKept() {
        GatewayFixture gateway = new GatewayFixture().withServers(2);
        gateway.list(ServerListKind.CHANGES, server("s2"));
        assertEquals(Set.of("s0", "s1", "s2"), countDraws(gateway, 100).keySet());
        gateway.list(ServerListKind.FULL, server("s2"));
        assertEquals(Set.of("s2"), countDraws(gateway, 20).keySet());
    }

    @Test
    void aServerThatReturnsToTheListStartsWithAnEqualShare() {
        GatewayFixture gateway = new GatewayFixture().withServers(2);
        for (int i = 0; i < 4; i++) {
            runTick(gateway, 20, 10 * MS, 90 * MS);
        }
        gateway.list(ServerListKind.CHANGES, server("s1", "a", Readiness.REMOVED, 0));
        gateway.list(ServerListKind.CHANGES, server("s1", "a", Readiness.READY, 0));
        assertFraction(0.5, countDraws(gateway, DRAWS), "s1");
    }

    @Test
    void anEmptyListQueuesRequestsAndRefusesThemInTime() {
        GatewayFixture gateway = new GatewayFixture().withServers(0);
        String id = gateway.request(ORDER);
        assertNull(gateway.sentTo());
        gateway.now += 600 * MS; // past the target, and late responses have no value
        gateway.fireTimer(SWEEP);
        assertEquals(id, gateway.recorder.take("refuse").get(0).id());
    }

    @Test
    void aQueuedRequestIsSentWhenAServerAppears() {
        GatewayFixture gateway = new GatewayFixture().withServers(0);
        gateway.request(ORDER);
        gateway.list(ServerListKind.CHANGES, server("s9"));
        assertEquals("s9", gateway.sentTo());
    }

    @Test
    void aRequestThatExpiresBeforeTheNextSweepIsRefusedAtOnce() {
        GatewayFixture gateway = new GatewayFixture().withServers(0);
        String id = gateway.request(READ, null, 4 * MS);
        assertEquals(id, gateway.recorder.take("refuse").get(0).id());
    }

    @Test
    void anUnsafeRequestIsRetriedOnlyIfItProvablyDidNotRun() {
        for (Outcome outcome : Outcome.values()) {
            if (outcome == Outcome.SERVED) {
                continue;
            }
            GatewayFixture gateway = new GatewayFixture().withServers(3);
            String id = gateway.request(ORDER);
            String first = gateway.sentTo();
            gateway.endAttempt(id, 0, first, outcome, MS);
            List<Recorder.Action> after = gateway.recorder.take();
            boolean sent = after.stream().anyMatch(a -> a.type().equals("send"));
            boolean failed = after.stream().anyMatch(a -> a.type().equals("fail"));
            assertEquals(outcome.provesNotExecuted(), sent, outcome.toString());
            assertEquals(!outcome.provesNotExecuted(), failed, outcome.toString());
        }
    }

    @Test
    void aKeyedRequestThatMayHaveRunStaysInItsDedupScopeAndWindow() {
        for (int i = 0; i < 20; i++) {
            GatewayFixture gateway = new GatewayFixture(settings(false), i).withServers(6, "b");
            String id = gateway.request(FILE);
            String first = gateway.sentTo();
            gateway.endAttempt(id, 0, first, Outcome.ERROR, MS);
            String second = gateway.sentTo();
            assertNotEquals(first, second);
            assertEquals(Integer.parseInt(first.substring(1)) % 2, Integer.parseInt(second.substring(1)) % 2);
        }
        RequestClass brief =
                new RequestClass("brief", Idempotency.KEYED, DedupScope.ALL, 50 * MS, 500 * MS, SECOND, 1, 0, false);
        GatewayFixture gateway = new GatewayFixture(settings(false, 1, List.of(), List.of(brief)), 7).withServers(6);
        String id = gateway.request(brief);
        String first = gateway.sentTo();
        gateway.now += 60 * MS;
        gateway.endAttempt(id, 0, first, Outcome.ERROR, 60 * MS);
        assertNull(gateway.sentTo(), "the deduplication window has passed");
    }

    @Test
    void aKeyedRequestOfOneZoneThatMayHaveRunIsFailedNotRefused() {
        GatewayFixture gateway = new GatewayFixture();
        gateway.list(ServerListKind.CACHED, server("s0"), server("s1", "b", Readiness.READY, 0));
        String id = gateway.request(FILE);
        gateway.endAttempt(id, 0, gateway.sentTo(), Outcome.ERROR, MS);
        gateway.now += 1990 * MS;
        gateway.fireTimer(SWEEP);
        List<Recorder.Action> actions = gateway.recorder.take();
        assertTrue(actions.stream().anyMatch(a -> a.type().equals("fail") && a.id().equals(id)), actions::toString);
        assertTrue(actions.stream()
                .noneMatch(a -> a.type().equals("refuse") || a.type().equals("send")));
    }

    @Test
    void retriesStopAtMaxAttemptsAndNeverGoToTheSameServer() {
        GatewayFixture gateway = new GatewayFixture().withServers(8);
        String id = gateway.request(READ);
        Set<String> tried = new HashSet<>();
        for (int attempt = 0; attempt < 4; attempt++) {
            String s = gateway.sentTo();
            assertTrue(tried.add(s), "tried twice: " + s);
            gateway.endAttempt(id, attempt, s, Outcome.CONNECT_FAILED, MS);
        }
        assertEquals(1, gateway.recorder.take("refuse").size());
    }

    @Test
    void retriesAfterFailuresStayWithinTheRetryBudget() {
        GatewayFixture gateway = new GatewayFixture().withServers(8);
        int sends = 0;
        for (int i = 0; i < 500; i++) {
            String id = gateway.request(READ);
            for (int attempt = 0; attempt < 4; attempt++) {
                String s = gateway.sentTo();
                if (s == null) {
                    break;
                }
                sends++;
                gateway.endAttempt(id, attempt, s, Outcome.ERROR, MS);
            }
            gateway.recorder.take();
        }
        assertTrue(sends <= 500 + 50 + 10, "sends: " + sends);
    }

    @Test
    void eventsAfterTheEndOfARequestAreIgnored() {
        GatewayFixture gateway = new GatewayFixture().withServers(2);
        String id = gateway.request(READ);
        String s = gateway.sentTo();
        gateway.endAttempt(id, 0, s, Outcome.SERVED, MS);
        gateway.recorder.take();
        gateway.endAttempt(id, 0, s, Outcome.SERVED, MS);
        gateway.loadBalancer.onEvent(gateway.now, new ClientDisconnected(id));
        assertEquals(List.of(), gateway.recorder.take());
    }

    @Test
    void afterTheClientDisconnectsTheAttemptIsCancelledAndNothingIsSent() {
        GatewayFixture gateway = new GatewayFixture().withServers(2);
        String id = gateway.request(READ);
        String s = gateway.sentTo();
        gateway.loadBalancer.onEvent(gateway.now, new ClientDisconnected(id));
        assertEquals(1, gateway.recorder.take("cancel").size());
        gateway.endAttempt(id, 0, s, Outcome.CANCELLED, MS, true);
        assertEquals(List.of(), gateway.recorder.take());
    }

    @Test
    void aClientRetryPastItsTargetWaitsBehindNewRequests() {
        GatewayFixture gateway = new GatewayFixture(settings(false, 1, List.of(), List.of(READ)), 7).withServers(1);
        for (int i = 0; i < 30; i++) {
            gateway.request(READ, null, 1500 * MS);
        }
        String newRequest = gateway.request(READ, null, 1501 * MS);
        String retry = gateway.request(READ, null, 1200 * MS);
        List<String> sent = gateway.answerAllSent(100 * MS);
        assertEquals(32, sent.size());
        assertTrue(sent.indexOf(newRequest) < sent.indexOf(retry));
        assertEquals(retry, sent.get(31), "800 ms of 2 s have passed, the target is 500 ms");
    }

    @Test
    void differentClientTimeoutsAreNotTakenForRetries() {
        GatewayFixture gateway = new GatewayFixture(settings(false, 1, List.of(), List.of(READ)), 7).withServers(1);
        for (int i = 0; i < 30; i++) {
            gateway.request(READ, null, (1000 + 100 * (i % 7)) * MS);
        }
        String last = gateway.request(READ, null, 1200 * MS);
        assertEquals(
                1, gateway.answerAllSent(100 * MS).indexOf(last), "the newest is sent first after the one in flight");
    }

    @Test
    void aStreamThatStartedIsNeitherRetriedNorCancelled() {
        GatewayFixture gateway = new GatewayFixture().withServers(3);
        String id = gateway.request(READ);
        gateway.loadBalancer.onEvent(gateway.now, new StreamStarted(id, 0, gateway.sentTo()));
        gateway.now += 5 * SECOND;
        gateway.fireTimer(SWEEP);
        assertTrue(gateway.recorder.take().stream()
                .noneMatch(a -> Set.of("send", "cancel", "fail", "refuse").contains(a.type())));
    }

    /** Servers whose fast responses have raised their concurrency limits above 1. */
    private static GatewayFixture withRaisedLimits(int servers) {
        GatewayFixture gateway = new GatewayFixture().withServers(servers);
        gateway.serveConcurrently(READ, 50 * servers, 10 * MS);
        gateway.recorder.take();
        return gateway;
    }

    @Test
    void aServerWithFastErrorsLosesTrafficAndRegainsItAfterRecovery() {
        GatewayFixture gateway = new GatewayFixture().withServers(4);
        int failed = 0;
        for (int i = 0; i < 200; i++) {
            failed += requestFailsAtS0(gateway) ? 1 : 0;
        }
        assertTrue(failed >= 2 && failed <= 8, "of 200 requests, sent to the failing server: " + failed);
        gateway.now += 30 * SECOND;
        assertFraction(0.25, countDraws(gateway, DRAWS), "s0");
    }

    /** Delivers an order, which s0 fails and all others serve; returns whether s0 got it. */
    private static boolean requestFailsAtS0(GatewayFixture gateway) {
        String id = gateway.request(ORDER);
        String s = gateway.sentTo();
        boolean fails = s.equals("s0");
        gateway.endAttempt(id, 0, s, fails ? Outcome.ERROR : Outcome.SERVED, MS);
        gateway.recorder.take();
        return fails;
    }

    @Test
    void allGatewaysTogetherTryAFailingServerOncePerSecond() {
        assertEquals(9, countTrials(1, 10), 1, "one gateway, in ten seconds");
        assertEquals(1, countTrials(10, 10), 1, "one of ten gateways");
    }

    /** Counts the requests that a failing server, known as such, gets from one of several gateways. */
    private static int countTrials(int gateways, int seconds) {
        GatewayFixture gateway =
                new GatewayFixture(settings(false, gateways, List.of(), List.of(ORDER)), 7).withServers(20);
        int before = 0;
        int after = 0;
        for (int i = 0; i < 400 + 100 * seconds; i++) {
            boolean failed = requestFailsAtS0(gateway);
            before += failed && i < 400 ? 1 : 0;
            after += failed && i >= 400 ? 1 : 0;
            gateway.now += i < 400 ? 0 : 10 * MS;
        }
        assertTrue(before >= 2, "known as failing after " + before + " of 400 requests from one of " + gateways);
        return after;
    }

    @Test
    void aDeadServerIsNotFloodedWhenAllOthersAreAtTheirLimits() {
        GatewayFixture gateway = new GatewayFixture().withServers(3);
        int toDead = 0;
        for (int i = 0; i < 200; i++) { // the others never answer, so they are at their limits
            gateway.request(READ);
            for (List<Recorder.Action> sends = gateway.recorder.take("send");
                    !sends.isEmpty();
                    sends = gateway.recorder.take("send")) {
                for (Recorder.Action a : sends) {
                    if (a.server().equals("s0")) {
                        toDead++;
                        gateway.endAttempt(a.id(), 0, "s0", Outcome.CONNECT_FAILED, MS);
                    }
                }
            }
            gateway.now += MS;
        }
        assertTrue(toDead >= 2 && toDead <= 4, "requests sent to the dead server in 0.2 s: " + toDead);
    }

    @Test
    void underOverloadRequestsAreShedLowestValueFirst() {
        RequestClass bulk =
                new RequestClass("bulk", Idempotency.SAFE, DedupScope.ALL, 0, 500 * MS, SECOND, 1, 0, false);
        for (long elapsed : new long[] {200 * MS, 300 * MS}) {
            GatewayFixture gateway =
                    new GatewayFixture(settings(false, 1, List.of(), List.of(bulk, ORDER)), 7).withServers(9);
            for (int i = 0; i < 5; i++) {
                gateway.requestAndAnswer(i % 2 == 0 ? bulk : ORDER, Outcome.SERVED, elapsed);
            }
            gateway.fireTimer(SWEEP);
            int orders = 0;
            int bulks = 0;
            for (int i = 0; i < 300; i++) { // with an outcome that is not recorded
                orders += gateway.requestAndAnswer(ORDER, Outcome.NOT_SENT, MS, true) == null ? 0 : 1;
                bulks += gateway.requestAndAnswer(bulk, Outcome.NOT_SENT, MS, true) == null ? 0 : 1;
            }
            boolean late = elapsed > ORDER.targetNanos() / 2;
            assertEquals(late, orders < 280, "orders " + orders);
            assertTrue(
                    orders > 50 && (late ? bulks < orders / 2 : bulks == 300), "orders " + orders + ", bulk " + bulks);
        }
    }

    @Test
    void aLostZoneGetsOnlyTrialsAndAPartlyFailingOneStaysInUse() {
        int dead = countSentToFourOfFive(1);
        assertTrue(dead <= 12, "dead, in two seconds: " + dead);
        int some = countSentToFourOfFive(2);
        assertTrue(some > 40, "every second response is an error: " + some);
    }

    /** Counts how many of 200 requests go to four of five servers where one request in {@code oneIn} fails. */
    private static int countSentToFourOfFive(int oneIn) {
        GatewayFixture gateway = new GatewayFixture().withServers(5);
        int sent = 0;
        for (int i = 0; i < 500; i++) {
            String id = gateway.request(ORDER);
            String s = gateway.sentTo();
            boolean fails = !s.equals("s0") && i % oneIn == 0;
            gateway.endAttempt(id, 0, s, fails ? Outcome.ERROR : Outcome.SERVED, MS);
            gateway.now += 10 * MS;
            gateway.fireTimer(SWEEP);
            gateway.recorder.take();
            sent += i >= 300 && !s.equals("s0") ? 1 : 0;
        }
        return sent;
    }

    @Test
    void ifAllServersAreSuspectNoneIsEjected() {
        GatewayFixture gateway = new GatewayFixture().withServers(3);
        for (int i = 0; i < 60; i++) {
            gateway.requestAndAnswer(ORDER, Outcome.ERROR, MS);
            gateway.fireTimer(SWEEP);
            gateway.recorder.take();
        }
        for (int i = 0; i < 20; i++) {
            assertNotEquals(null, gateway.requestAndAnswer(ORDER, Outcome.SERVED, MS));
        }
    }

    @Test
    void anUnresponsiveServerIsEjectedWithinATickAndReturnsWithItsFirstResponse() {
        GatewayFixture gateway = withRaisedLimits(3);
        Map<String, String> unanswered = new HashMap<>();
        for (int i = 0; i < 60; i++) {
            String id = gateway.request(ORDER); // never retried
            String s = gateway.sentTo();
            if (s.equals("s0") && unanswered.size() < 3) {
                unanswered.put(id, s);
            } else {
                gateway.endAttempt(id, 0, s, Outcome.SERVED, 10 * MS);
            }
        }
        gateway.now += 300 * MS;
        gateway.fireTimer(SWEEP);
        List<Recorder.Action> logged = gateway.recorder.take("log");
        assertEquals(1, logged.size());
        assertTrue(logged.get(0).id().startsWith("server s0 is unresponsive"), logged::toString);
        assertEquals(Set.of("s1", "s2"), countDraws(gateway, 100).keySet());
        unanswered.forEach((id, s) -> gateway.endAttempt(id, 0, s, Outcome.SERVED, 900 * MS));
        gateway.now += 2 * SECOND;
        gateway.recorder.take();
        assertTrue(countDraws(gateway, 200).containsKey("s0"));
    }

    @Test
    void oneOverdueAttemptMarksARarelyUsedServer() {
        GatewayFixture gateway = new GatewayFixture(settings(false, 20, List.of(), List.of(ORDER)), 7).withServers(40);
        String first = gateway.request(ORDER);
        String s = gateway.sentTo();
        gateway.now += 300 * MS;
        gateway.fireTimer(SWEEP);
        assertEquals(1, gateway.recorder.take("log").size());
        gateway.now += 400 * MS;
        gateway.endAttempt(first, 0, s, Outcome.SERVED, 700 * MS); // a response past the target is no sign of health
        gateway.now += 500 * MS;
        for (int i = 0; i < 400; i++) {
            assertNotEquals(s, gateway.requestAndAnswer(ORDER, Outcome.SERVED, 20 * MS));
        }
    }

    @Test
    void aRequestQueuedForHalfItsTargetIsRefusedIfLateResponsesHaveNoValue() {
        GatewayFixture gateway = new GatewayFixture().withServers(0);
        String id = gateway.request(ORDER);
        gateway.now += ORDER.targetNanos() / 2 - 10 * MS;
        gateway.fireTimer(SWEEP);
        assertEquals(List.of(), gateway.recorder.take("refuse"));
        gateway.now += 20 * MS;
        gateway.fireTimer(SWEEP);
        assertEquals(id, gateway.recorder.take("refuse").get(0).id());
    }

    @Test
    void theFirstTickHasARandomPhase() {
        Set<Long> phases = new HashSet<>();
        for (int seed = 0; seed < 20; seed++) {
            GatewayFixture gateway = new GatewayFixture(settings(false), seed).withServers(1);
            phases.add(gateway.recorder.take("setTimer").get(0).number());
        }
        assertEquals(20, phases.size());
    }

    @Test
    void serversWithoutASampleFollowTheirMachineTypeIfSamplesAreFew() {
        GatewayFixture gateway = new GatewayFixture();
        List<ServerInfo> list = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            list.add(new ServerInfo("s" + i, "a", i % 2 == 0 ? "slow" : "fast", 0, Readiness.READY, 1, 0));
        }
        gateway.list(ServerListKind.CACHED, list);
        for (int t = 0; t < 30; t++) {
            for (int i = 0; i < 10; i++) { // a quarter of a sample for each server
                String id = gateway.request(READ);
                String s = gateway.sentTo();
                long elapsed = Integer.parseInt(s.substring(1)) % 2 == 0 ? 60 * MS : 20 * MS;
                gateway.endAttempt(id, 0, s, Outcome.SERVED, elapsed);
            }
            gateway.fireTimer(TICK);
            gateway.recorder.take();
        }
        Map<String, Integer> counts = countDraws(gateway, DRAWS);
        for (int i = 0; i < 40; i += 2) {
            assertTrue(counts.getOrDefault("s" + i, 0) < DRAWS / 80, "s" + i + " of " + counts);
        }
    }

    @Test
    void inFlightIsLimitedAndTheRestIsQueued() {
        GatewayFixture gateway = new GatewayFixture().withServers(2);
        int sent = gateway.countSent(READ, 100);
        assertTrue(sent >= 2 && sent <= 20, "in flight: " + sent);
    }

    @Test
    void limitsDoNotRiseWhileTheyAreNotReached() {
        GatewayFixture gateway = new GatewayFixture().withServers(4);
        countDraws(gateway, 400);
        assertEquals(4, gateway.maxInFlight(), "one per server, the initial limit");
    }

    @Test
    void theLimitRisesWithFastResponsesAndFallsWithLateOnes() {
        GatewayFixture gateway = new GatewayFixture().withServers(1);
        assertEquals(1, gateway.maxInFlight());
        for (int i = 0; i < 5; i++) {
            gateway.serveConcurrently(READ, 10, 20 * MS);
        }
        int early = gateway.maxInFlight();
        assertTrue(early >= 5, "after fast responses: " + early);
        for (int i = 0; i < 5; i++) {
            gateway.serveConcurrently(READ, 10, 240 * MS);
        }
        assertEquals(3, gateway.maxInFlight(), "the minimum limit");
    }

    @Test
    void aShortTargetDoesNotPinTheLimitToItsMinimum() {
        RequestClass tight =
                new RequestClass("tight", Idempotency.SAFE, DedupScope.ALL, 0, 200 * MS, SECOND, 1, 0, false);
        GatewayFixture gateway = new GatewayFixture(settings(false, 1, List.of(), List.of(tight)), 7).withServers(1);
        for (int i = 0; i < 14; i++) { // a fifth of the target is 40 ms, the least median 0.69 * 80 ms
            gateway.serveConcurrently(tight, 10, (i < 10 ? 80 : 50) * MS);
        }
        assertTrue(gateway.maxInFlight() > 3);
    }

    @Test
    void aServerIsNotUnresponsiveIfTheWholeFleetIsAsLate() {
        GatewayFixture gateway = new GatewayFixture().withServers(4);
        for (int i = 0; i < 4000; i++) {
            gateway.requestAndAnswer(READ, Outcome.SERVED, 400 * MS);
        }
        for (int i = 0; i < 12; i++) {
            gateway.request(READ);
        }
        gateway.now += 350 * MS; // past half the target, but within the current latency
        gateway.fireTimer(SWEEP);
        assertTrue(gateway.recorder.take("log").isEmpty());
    }

    @Test
    void refusalsAreLoggedOncePerTick() {
        GatewayFixture gateway = new GatewayFixture().withServers(0);
        gateway.request(ORDER);
        gateway.request(ORDER);
        gateway.now += ORDER.targetNanos();
        gateway.fireTimer(SWEEP);
        assertEquals(2, gateway.recorder.take("refuse").size());
        gateway.fireTimer(TICK);
        List<Recorder.Action> logged = gateway.recorder.take("log");
        assertEquals(1, logged.size());
        assertEquals("refused 2 requests in this tick, 2 arrived", logged.get(0).id());
        gateway.fireTimer(TICK);
        assertEquals(List.of(), gateway.recorder.take("log"));
    }

    @Test
    void allGatewaysTogetherStayWithinTheServerLimits() {
        GatewayFixture gateway = new GatewayFixture(settings(false, 20, List.of(), List.of(READ)), 7).withServers(40);
        int sent = gateway.countSent(READ, 200);
        assertTrue(
                sent >= 2 && sent <= 5,
                "a twentieth of 1 per server at 40 servers, plus the allowance for bursts: " + sent);
    }

    @Test
    void queuedRequestsAreSentByValueDensityAndWithinQuotaFirst() {
        Settings s = settings(false, 1, List.of(new Tenant("t", 1)), List.of(READ, ORDER));
        GatewayFixture gateway = new GatewayFixture(s, 7).withServers(0);
        gateway.request(ORDER, "t", 2 * SECOND);
        String over = gateway.request(ORDER, "t", 2 * SECOND);
        String read = gateway.request(READ);
        String order = gateway.request(ORDER);
        gateway.list(ServerListKind.CHANGES, server("s0"));
        List<String> sent = gateway.answerAllSent(100 * MS);
        assertEquals(4, sent.size());
        assertEquals(order, sent.get(0));
        assertTrue(sent.indexOf(read) < sent.indexOf(over), sent::toString);
    }

    @Test
    void aServerInSlowStartIsNotOverloadedAndRequestsAreQueued() {
        GatewayFixture gateway = new GatewayFixture();
        gateway.list(ServerListKind.CACHED, server("s0", "a", Readiness.READY, gateway.now));
        int sent = 0;
        for (int i = 0; i < 300; i++) {
            sent += gateway.requestAndAnswer(READ, Outcome.SERVED, MS) == null ? 0 : 1;
            gateway.now += 5 * MS;
        }
        // 200 requests arrive per second; 0.5 * 2.5 * 0.2 of them may go to it, and slightly more as it warms up.
        assertTrue(sent > 10 && sent < 110, "sent in 1.5 s: " + sent);
    }

    @Test
    void aNewServerAmongOthersStartsAtItsInitialFraction() {
        GatewayFixture gateway = new GatewayFixture().withServers(3);
        countDraws(gateway, 300);
        gateway.now += SECOND;
        gateway.list(ServerListKind.CHANGES, server("s9", "a", Readiness.READY, gateway.now));
        gateway.now += SECOND;
        int initial = countDraws(gateway, 300).getOrDefault("s9", 0);
        gateway.now += 2 * GatewayFixture.SLOW_START;
        int later = countDraws(gateway, 300).getOrDefault("s9", 0);
        assertTrue(initial < later / 2, initial + " in slow start, " + later + " after it");
    }

    @Test
    void subscribesAtOnceAndAgainAfterAFailure() {
        GatewayFixture gateway = new GatewayFixture(settings(true), 7).withServers(1);
        assertEquals(1, gateway.recorder.take("subscribe").size());
        for (int i = 0; i < 12; i++) {
            gateway.list(ServerListKind.FAILED);
            long wait = gateway.recorder.take("setTimer").get(0).number();
            assertTrue(wait > 0 && wait <= 5 * SECOND, "subscribed again after " + wait);
            gateway.fireTimer(RESUBSCRIBE);
            assertEquals(1, gateway.recorder.take("subscribe").size());
        }
    }

    @Test
    void errorsNameTheInvalidSettingOrEvent() {
        IllegalArgumentException e =
                assertThrows(IllegalArgumentException.class, () -> settings(false, 0, List.of(), List.of(READ)));
        assertEquals("settings: gateways cannot be 0", e.getMessage());
        GatewayFixture gateway = new GatewayFixture().withServers(1);
        e = assertThrows(
                IllegalArgumentException.class,
                () -> gateway.loadBalancer.onEvent(
                        gateway.now, new RequestArrived("r", "missing", null, null, SECOND, 0, false)));
        assertEquals("requestClass: unknown class missing", e.getMessage());
        e = assertThrows(IllegalArgumentException.class, () -> gateway.loadBalancer.onEvent(1, new TimerFired(TICK)));
        assertTrue(e.getMessage().startsWith("nowNanos: "), e.getMessage());
    }
}
