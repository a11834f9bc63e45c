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

/** The decisions of one gateway, event by event. */
class LoadBalancerTest {
    private static final int DRAWS = 6000;

    /** How often each of the servers is drawn when every answer comes at once. */
    private static Map<String, Integer> draws(GatewayFixture fleet, int n) {
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < n; i++) {
            counts.merge(fleet.requestAndAnswer(READ, Outcome.SERVED, 10 * MS), 1, Integer::sum);
        }
        return counts;
    }

    /** One tick in which the servers' answers take the given times, so many for each. */
    private static void tick(GatewayFixture fleet, int each, long... elapsed) {
        int[] left = new int[elapsed.length];
        java.util.Arrays.fill(left, each);
        for (int n = 0; n < each * elapsed.length; ) {
            String id = fleet.request(READ);
            String s = fleet.sentTo();
            if (s == null) {
                continue; // shed
            }
            int i = Integer.parseInt(s.substring(1));
            boolean counted = left[i]-- > 0;
            n += counted ? 1 : 0;
            fleet.endAttempt(id, 0, s, counted ? Outcome.SERVED : Outcome.NOT_SENT, elapsed[i], true);
        }
        fleet.fireTimer(TICK);
        fleet.recorder.take();
    }

    private static void assertPart(double expected, Map<String, Integer> counts, String server) {
        double part = counts.getOrDefault(server, 0) / (double) DRAWS;
        assertEquals(expected, part, 0.03, server + " of " + counts);
    }

    @Test
    void drawsFollowEqualSharesAtStart() {
        Map<String, Integer> counts = draws(new GatewayFixture().withServers(4), DRAWS);
        for (int i = 0; i < 4; i++) {
            assertPart(0.25, counts, "s" + i);
        }
    }

    @Test
    void aStepMovesSharesAsThePaperSays() {
        GatewayFixture fleet = new GatewayFixture().withServers(2);
        // l = 30 and 10, l_mean = 20, l^ = 0.5: with many samples 0.5 * 0.9 and 0.5 * 1.1 a step.
        for (int i = 0; i < 5; i++) {
            tick(fleet, 400, 30 * MS, 10 * MS);
        }
        double slow = Math.pow(0.9, 5) / (Math.pow(0.9, 5) + Math.pow(1.1, 5));
        Map<String, Integer> counts = draws(fleet, DRAWS);
        assertPart(slow, counts, "s0");
        assertPart(1 - slow, counts, "s1");
    }

    @Test
    void aServerWithoutSamplesKeepsItsShare() {
        GatewayFixture fleet = new GatewayFixture().withServers(2);
        fleet.fireTimer(TICK);
        fleet.fireTimer(TICK);
        assertPart(0.5, draws(fleet, DRAWS), "s0");
    }

    @Test
    void aSingleServerAndAMeanOfZeroKeepAllShares() {
        GatewayFixture one = new GatewayFixture().withServers(1);
        tick(one, 5, 10 * MS);
        assertEquals("s0", one.requestAndAnswer(READ, Outcome.SERVED, MS));
        GatewayFixture zero = new GatewayFixture().withServers(2);
        tick(zero, 5, 0, 0);
        assertPart(0.5, draws(zero, DRAWS), "s0");
    }

    @Test
    void aFactorThatWouldTurnNegativeOnlyHalvesAndTheShareComesBack() {
        GatewayFixture fleet = new GatewayFixture().withServers(8);
        long[] elapsed = {2000 * MS, MS, MS, MS, MS, MS, MS, MS};
        tick(fleet, 50, elapsed); // l^ = 7 there: 1 - 0.2 * 7 is below zero
        double others = 1 + 0.2 * 0.98;
        double expected = 0.5 / (0.5 + 7 * others);
        assertPart(expected, draws(fleet, DRAWS), "s0");
    }

    @Test
    void classesOfUnlikeLengthDontPassForSlowServers() {
        RequestClass brief =
                new RequestClass("brief", Idempotency.SAFE, DedupScope.ALL, 0, 500 * MS, SECOND, 1, 0, false);
        GatewayFixture fleet =
                new GatewayFixture(settings(false, 1, List.of(), List.of(READ, brief)), 7).withServers(2);
        for (int t = 0; t < 6; t++) {
            for (int i = 0; i < 400; i++) { // s0 happens to get only long work, s1 only brief
                RequestClass c = i % 2 == 0 ? READ : brief;
                String id = fleet.request(c);
                boolean fits = fleet.sentTo().equals(c.equals(READ) ? "s0" : "s1");
                fleet.endAttempt(
                        id,
                        0,
                        c.equals(READ) == fits ? "s0" : "s1",
                        fits ? Outcome.SERVED : Outcome.NOT_SENT,
                        c.equals(READ) ? 80 * MS : 8 * MS,
                        true);
            }
            fleet.fireTimer(TICK);
            fleet.recorder.take();
        }
        assertPart(0.5, draws(fleet, DRAWS), "s0");
    }

    @Test
    void aClassWhoseAnswersAllTookLongerThanItsAimIsTriedAgain() {
        GatewayFixture fleet = new GatewayFixture(settings(false, 1, List.of(), List.of(ORDER)), 7).withServers(4);
        for (int i = 0; i < 400; i++) {
            fleet.requestAndAnswer(ORDER, Outcome.SERVED, 800 * MS);
            fleet.now += 5 * MS;
        }
        fleet.fireTimer(SWEEP);
        fleet.recorder.take();
        for (int i = 0; i < 2000; i++) { // calm again
            fleet.requestAndAnswer(ORDER, Outcome.SERVED, 10 * MS);
            fleet.now += 5 * MS;
        }
        int served = 0;
        for (int i = 0; i < 100; i++) {
            served += fleet.requestAndAnswer(ORDER, Outcome.SERVED, 10 * MS) == null ? 0 : 1;
            fleet.now += 5 * MS;
        }
        assertEquals(100, served);
    }

    @Test
    void requestsStayInTheirZoneUntilMostOfItsAnswersTakeHalfTheirAim() {
        GatewayFixture fleet = new GatewayFixture().withServers(4, "b"); // s1 and s3 lie in the other zone
        assertEquals(Set.of("s0", "s2"), draws(fleet, 200).keySet());
        for (int i = 0; i < 12; i++) {
            fleet.requestAndAnswer(READ, Outcome.SERVED, 260 * MS);
        }
        assertTrue(draws(fleet, 12).keySet().size() > 2);
    }

    @Test
    void whereTheOwnZoneHasNoServerTheOthersGetAll() {
        GatewayFixture fleet = new GatewayFixture();
        fleet.list(ServerListKind.CACHED, server("s0", "b", Readiness.READY, 0), server("s1", "c", Readiness.READY, 0));
        assertPart(0.5, draws(fleet, DRAWS), "s0");
    }

    @Test
    void nothingNewGoesToADrainingOrGoneServer() {
        GatewayFixture fleet = new GatewayFixture().withServers(3);
        fleet.list(
                ServerListKind.CHANGES,
                server("s0", "a", Readiness.DRAINING, 0),
                server("s1", "b", Readiness.REMOVED, 0));
        assertEquals(Set.of("s2"), draws(fleet, 50).keySet());
    }

    @Test
    void aServerMissingFromAWholeListIsGoneAndOneMissingFromChangesIsNot() {
        GatewayFixture fleet = new GatewayFixture().withServers(2);
        fleet.list(ServerListKind.CHANGES, server("s2"));
        assertEquals(Set.of("s0", "s1", "s2"), draws(fleet, 100).keySet());
        fleet.list(ServerListKind.FULL, server("s2"));
        assertEquals(Set.of("s2"), draws(fleet, 20).keySet());
    }

    @Test
    void aServerThatComesBackIntoTheListStartsAfresh() {
        GatewayFixture fleet = new GatewayFixture().withServers(2);
        for (int i = 0; i < 4; i++) {
            tick(fleet, 20, 10 * MS, 90 * MS);
        }
        fleet.list(ServerListKind.CHANGES, server("s1", "a", Readiness.REMOVED, 0));
        fleet.list(ServerListKind.CHANGES, server("s1", "a", Readiness.READY, 0));
        assertPart(0.5, draws(fleet, DRAWS), "s1");
    }

    @Test
    void anEmptyListHoldsRequestsAndAnswersThemInTime() {
        GatewayFixture fleet = new GatewayFixture().withServers(0);
        String id = fleet.request(ORDER);
        assertNull(fleet.sentTo());
        fleet.now += 600 * MS; // past the aim, and late answers are worth nothing
        fleet.fireTimer(SWEEP);
        assertEquals(id, fleet.recorder.take("refuse").get(0).id());
    }

    @Test
    void aHeldRequestGoesOutWhenAServerAppears() {
        GatewayFixture fleet = new GatewayFixture().withServers(0);
        fleet.request(ORDER);
        fleet.list(ServerListKind.CHANGES, server("s9"));
        assertEquals("s9", fleet.sentTo());
    }

    @Test
    void aRequestWithLessTimeThanTheNextSweepIsAnsweredAtOnce() {
        GatewayFixture fleet = new GatewayFixture().withServers(0);
        String id = fleet.request(READ, null, 4 * MS);
        assertEquals(id, fleet.recorder.take("refuse").get(0).id());
    }

    @Test
    void anUnsafeRequestIsTriedAgainOnlyAfterProofThatItNeverRan() {
        for (Outcome outcome : Outcome.values()) {
            if (outcome == Outcome.SERVED) {
                continue;
            }
            GatewayFixture fleet = new GatewayFixture().withServers(3);
            String id = fleet.request(ORDER);
            String first = fleet.sentTo();
            fleet.endAttempt(id, 0, first, outcome, MS);
            List<Recorder.Action> after = fleet.recorder.take();
            boolean sent = after.stream().anyMatch(a -> a.type().equals("send"));
            boolean failed = after.stream().anyMatch(a -> a.type().equals("fail"));
            assertEquals(outcome.provesNotExecuted(), sent, outcome.toString());
            assertEquals(!outcome.provesNotExecuted(), failed, outcome.toString());
        }
    }

    @Test
    void aKeyedRequestThatMayHaveRunStaysInItsGroupAndWindow() {
        for (int i = 0; i < 20; i++) {
            GatewayFixture fleet = new GatewayFixture(settings(false), i).withServers(6, "b");
            String id = fleet.request(FILE);
            String first = fleet.sentTo();
            fleet.endAttempt(id, 0, first, Outcome.ERROR, MS);
            String second = fleet.sentTo();
            assertNotEquals(first, second);
            assertEquals(Integer.parseInt(first.substring(1)) % 2, Integer.parseInt(second.substring(1)) % 2);
        }
        RequestClass brief =
                new RequestClass("brief", Idempotency.KEYED, DedupScope.ALL, 50 * MS, 500 * MS, SECOND, 1, 0, false);
        GatewayFixture fleet = new GatewayFixture(settings(false, 1, List.of(), List.of(brief)), 7).withServers(6);
        String id = fleet.request(brief);
        String first = fleet.sentTo();
        fleet.now += 60 * MS;
        fleet.endAttempt(id, 0, first, Outcome.ERROR, 60 * MS);
        assertNull(fleet.sentTo(), "the window has passed");
    }

    @Test
    void aKeyedRequestOfOneZoneThatMayHaveRunIsFailedAndNotRefused() {
        GatewayFixture fleet = new GatewayFixture();
        fleet.list(ServerListKind.CACHED, server("s0"), server("s1", "b", Readiness.READY, 0));
        String id = fleet.request(FILE);
        fleet.endAttempt(id, 0, fleet.sentTo(), Outcome.ERROR, MS);
        fleet.now += 1990 * MS;
        fleet.fireTimer(SWEEP);
        List<Recorder.Action> actions = fleet.recorder.take();
        assertTrue(actions.stream().anyMatch(a -> a.type().equals("fail") && a.id().equals(id)), actions::toString);
        assertTrue(actions.stream()
                .noneMatch(a -> a.type().equals("refuse") || a.type().equals("send")));
    }

    @Test
    void furtherTriesStopAtTheAllowedNumberAndNeverGoToTheSameServer() {
        GatewayFixture fleet = new GatewayFixture().withServers(8);
        String id = fleet.request(READ);
        Set<String> tried = new HashSet<>();
        for (int attempt = 0; attempt < 4; attempt++) {
            String s = fleet.sentTo();
            assertTrue(tried.add(s), "tried twice: " + s);
            fleet.endAttempt(id, attempt, s, Outcome.CONNECT_FAILED, MS);
        }
        assertEquals(1, fleet.recorder.take("refuse").size());
    }

    @Test
    void triesAfterFailuresStayWithinTheirBudget() {
        GatewayFixture fleet = new GatewayFixture().withServers(8);
        int sends = 0;
        for (int i = 0; i < 500; i++) {
            String id = fleet.request(READ);
            for (int attempt = 0; attempt < 4; attempt++) {
                String s = fleet.sentTo();
                if (s == null) {
                    break;
                }
                sends++;
                fleet.endAttempt(id, attempt, s, Outcome.ERROR, MS);
            }
            fleet.recorder.take();
        }
        assertTrue(sends <= 500 + 50 + 10, "sends: " + sends);
    }

    @Test
    void anAnswerAfterTheRequestEndedIsPassedOver() {
        GatewayFixture fleet = new GatewayFixture().withServers(2);
        String id = fleet.request(READ);
        String s = fleet.sentTo();
        fleet.endAttempt(id, 0, s, Outcome.SERVED, MS);
        fleet.recorder.take();
        fleet.endAttempt(id, 0, s, Outcome.SERVED, MS);
        fleet.loadBalancer.onEvent(fleet.now, new ClientDisconnected(id));
        assertEquals(List.of(), fleet.recorder.take());
    }

    @Test
    void afterTheClientLeftNothingGoesOutAndTheAttemptIsCalledOff() {
        GatewayFixture fleet = new GatewayFixture().withServers(2);
        String id = fleet.request(READ);
        String s = fleet.sentTo();
        fleet.loadBalancer.onEvent(fleet.now, new ClientDisconnected(id));
        assertEquals(1, fleet.recorder.take("cancel").size());
        fleet.endAttempt(id, 0, s, Outcome.CANCELLED, MS, true);
        assertEquals(List.of(), fleet.recorder.take());
    }

    @Test
    void aRepeatWhoseAimPassedWithItsFirstTryWaitsBehindFreshRequests() {
        GatewayFixture fleet = new GatewayFixture(settings(false, 1, List.of(), List.of(READ)), 7).withServers(1);
        for (int i = 0; i < 30; i++) {
            fleet.request(READ, null, 1500 * MS);
        }
        String fresh = fleet.request(READ, null, 1501 * MS);
        String repeat = fleet.request(READ, null, 1200 * MS);
        List<String> sent = fleet.answerAllSent(100 * MS);
        assertEquals(32, sent.size());
        assertTrue(sent.indexOf(fresh) < sent.indexOf(repeat));
        assertEquals(repeat, sent.get(31), "800 ms of 2 s are gone, the aim is 500 ms");
    }

    @Test
    void clientsOfManyTimeOutsDontPassForRepeats() {
        GatewayFixture fleet = new GatewayFixture(settings(false, 1, List.of(), List.of(READ)), 7).withServers(1);
        for (int i = 0; i < 30; i++) {
            fleet.request(READ, null, (1000 + 100 * (i % 7)) * MS);
        }
        String last = fleet.request(READ, null, 1200 * MS);
        assertEquals(1, fleet.answerAllSent(100 * MS).indexOf(last), "the newest is the first after the one in flight");
    }

    @Test
    void aStreamThatBeganIsLeftAlone() {
        GatewayFixture fleet = new GatewayFixture().withServers(3);
        String id = fleet.request(READ);
        fleet.loadBalancer.onEvent(fleet.now, new StreamStarted(id, 0, fleet.sentTo()));
        fleet.now += 5 * SECOND;
        fleet.fireTimer(SWEEP);
        assertTrue(fleet.recorder.take().stream()
                .noneMatch(a -> Set.of("send", "cancel", "fail", "refuse").contains(a.type())));
    }

    /** Servers whose early answers have let more than one attempt in flight at each. */
    private static GatewayFixture fastServers(int servers) {
        GatewayFixture fleet = new GatewayFixture().withServers(servers);
        fleet.serveConcurrently(READ, 50 * servers, 10 * MS);
        fleet.recorder.take();
        return fleet;
    }

    @Test
    void fastErrorsLoseTrafficAndWinItBackAfterRecovery() {
        GatewayFixture fleet = new GatewayFixture().withServers(4);
        int failed = 0;
        for (int i = 0; i < 200; i++) {
            failed += failsAtS0(fleet) ? 1 : 0;
        }
        assertTrue(failed >= 2 && failed <= 8, "of 200 requests the failing server got " + failed);
        fleet.now += 30 * SECOND;
        assertPart(0.25, draws(fleet, DRAWS), "s0");
    }

    /** Asks for an order that s0 answers with an error and all others serve; whether s0 got it. */
    private static boolean failsAtS0(GatewayFixture fleet) {
        String id = fleet.request(ORDER);
        String s = fleet.sentTo();
        boolean fails = s.equals("s0");
        fleet.endAttempt(id, 0, s, fails ? Outcome.ERROR : Outcome.SERVED, MS);
        fleet.recorder.take();
        return fails;
    }

    @Test
    void manyGatewaysTogetherTryAFailingServerOnceASecond() {
        assertEquals(9, trials(1, 10), 1, "alone, in ten seconds");
        assertEquals(1, trials(10, 10), 1, "one of ten");
    }

    /** Requests that a failing server, known as such, gets from one of so many gateways. */
    private static int trials(int gateways, int seconds) {
        GatewayFixture fleet =
                new GatewayFixture(settings(false, gateways, List.of(), List.of(ORDER)), 7).withServers(20);
        int before = 0;
        int after = 0;
        for (int i = 0; i < 400 + 100 * seconds; i++) {
            boolean failed = failsAtS0(fleet);
            before += failed && i < 400 ? 1 : 0;
            after += failed && i >= 400 ? 1 : 0;
            fleet.now += i < 400 ? 0 : 10 * MS;
        }
        assertTrue(before >= 2, "it is known as failing, after " + before + " of 400 from one of " + gateways);
        return after;
    }

    @Test
    void aFullFleetDoesNotPourItsRestIntoADeadServer() {
        GatewayFixture fleet = new GatewayFixture().withServers(3);
        int toDead = 0;
        for (int i = 0; i < 200; i++) { // the others never answer, so all their room is taken
            fleet.request(READ);
            for (List<Recorder.Action> out = fleet.recorder.take("send");
                    !out.isEmpty();
                    out = fleet.recorder.take("send")) {
                for (Recorder.Action a : out) {
                    if (a.server().equals("s0")) {
                        toDead++;
                        fleet.endAttempt(a.id(), 0, "s0", Outcome.CONNECT_FAILED, MS);
                    }
                }
            }
            fleet.now += MS;
        }
        assertTrue(toDead >= 2 && toDead <= 4, "in a fifth of a second the dead server got " + toDead);
    }

    @Test
    void whileHalfTheAnswersTakeHalfTheirAimSomeAreShedAndLeastWorthFirst() {
        RequestClass bulk =
                new RequestClass("bulk", Idempotency.SAFE, DedupScope.ALL, 0, 500 * MS, SECOND, 1, 0, false);
        for (long elapsed : new long[] {200 * MS, 300 * MS}) {
            GatewayFixture fleet =
                    new GatewayFixture(settings(false, 1, List.of(), List.of(bulk, ORDER)), 7).withServers(9);
            for (int i = 0; i < 5; i++) {
                fleet.requestAndAnswer(i % 2 == 0 ? bulk : ORDER, Outcome.SERVED, elapsed);
            }
            fleet.fireTimer(SWEEP);
            int orders = 0;
            int bulks = 0;
            for (int i = 0; i < 300; i++) { // without an outcome that tells anything
                orders += fleet.requestAndAnswer(ORDER, Outcome.NOT_SENT, MS, true) == null ? 0 : 1;
                bulks += fleet.requestAndAnswer(bulk, Outcome.NOT_SENT, MS, true) == null ? 0 : 1;
            }
            boolean late = elapsed > ORDER.targetNanos() / 2;
            assertEquals(late, orders < 280, "orders " + orders);
            assertTrue(
                    orders > 50 && (late ? bulks < orders / 2 : bulks == 300), "orders " + orders + ", bulk " + bulks);
        }
    }

    @Test
    void aLostZoneOfMostServersGetsTrialsOnlyAndOneThatServesSomeGoesOn() {
        int dead = toFourOfFive(1);
        assertTrue(dead <= 12, "dead, in two seconds: " + dead);
        int some = toFourOfFive(2);
        assertTrue(some > 40, "every second answer is an error: " + some);
    }

    /** Of 200 requests, those to four of five servers, where one request in so many fails. */
    private static int toFourOfFive(int oneIn) {
        GatewayFixture fleet = new GatewayFixture().withServers(5);
        int sent = 0;
        for (int i = 0; i < 500; i++) {
            String id = fleet.request(ORDER);
            String s = fleet.sentTo();
            boolean fails = !s.equals("s0") && i % oneIn == 0;
            fleet.endAttempt(id, 0, s, fails ? Outcome.ERROR : Outcome.SERVED, MS);
            fleet.now += 10 * MS;
            fleet.fireTimer(SWEEP);
            fleet.recorder.take();
            sent += i >= 300 && !s.equals("s0") ? 1 : 0;
        }
        return sent;
    }

    @Test
    void whereAllServersAreDoubtfulNoneIs() {
        GatewayFixture fleet = new GatewayFixture().withServers(3);
        for (int i = 0; i < 60; i++) {
            fleet.requestAndAnswer(ORDER, Outcome.ERROR, MS);
            fleet.fireTimer(SWEEP);
            fleet.recorder.take();
        }
        for (int i = 0; i < 20; i++) {
            assertNotEquals(null, fleet.requestAndAnswer(ORDER, Outcome.SERVED, MS));
        }
    }

    @Test
    void aSilentServerIsLeftWellWithinATickAndComesBackWithItsFirstAnswer() {
        GatewayFixture fleet = fastServers(3);
        Map<String, String> unanswered = new HashMap<>();
        for (int i = 0; i < 60; i++) {
            String id = fleet.request(ORDER); // no second copies
            String s = fleet.sentTo();
            if (s.equals("s0") && unanswered.size() < 3) {
                unanswered.put(id, s);
            } else {
                fleet.endAttempt(id, 0, s, Outcome.SERVED, 10 * MS);
            }
        }
        fleet.now += 300 * MS;
        fleet.fireTimer(SWEEP);
        List<Recorder.Action> logged = fleet.recorder.take("log");
        assertEquals(1, logged.size());
        assertTrue(logged.get(0).id().startsWith("server s0 is unresponsive"), logged::toString);
        assertEquals(Set.of("s1", "s2"), draws(fleet, 100).keySet());
        unanswered.forEach((id, s) -> fleet.endAttempt(id, 0, s, Outcome.SERVED, 900 * MS));
        fleet.now += 2 * SECOND;
        fleet.recorder.take();
        assertTrue(draws(fleet, 200).containsKey("s0"));
    }

    @Test
    void oneOverdueAttemptMarksAServerThatThisGatewaySeldomMeets() {
        GatewayFixture fleet = new GatewayFixture(settings(false, 20, List.of(), List.of(ORDER)), 7).withServers(40);
        String first = fleet.request(ORDER);
        String s = fleet.sentTo();
        fleet.now += 300 * MS;
        fleet.fireTimer(SWEEP);
        assertEquals(1, fleet.recorder.take("log").size());
        fleet.now += 400 * MS;
        fleet.endAttempt(first, 0, s, Outcome.SERVED, 700 * MS); // an answer past the aim is no sign of health
        fleet.now += 500 * MS;
        for (int i = 0; i < 400; i++) {
            assertNotEquals(s, fleet.requestAndAnswer(ORDER, Outcome.SERVED, 20 * MS));
        }
    }

    @Test
    void aRequestThatHasWaitedHalfItsAimIsRefusedWhereLateAnswersAreWorthNothing() {
        GatewayFixture fleet = new GatewayFixture().withServers(0);
        String id = fleet.request(ORDER);
        fleet.now += ORDER.targetNanos() / 2 - 10 * MS;
        fleet.fireTimer(SWEEP);
        assertEquals(List.of(), fleet.recorder.take("refuse"));
        fleet.now += 20 * MS;
        fleet.fireTimer(SWEEP);
        assertEquals(id, fleet.recorder.take("refuse").get(0).id());
    }

    @Test
    void theFirstStepFallsOnAPhaseOfItsOwn() {
        Set<Long> phases = new HashSet<>();
        for (int seed = 0; seed < 20; seed++) {
            GatewayFixture fleet = new GatewayFixture(settings(false), seed).withServers(1);
            phases.add(fleet.recorder.take("setTimer").get(0).number());
        }
        assertEquals(20, phases.size());
    }

    @Test
    void serversWithoutASampleMoveWithTheirLikeWhereSamplesAreFew() {
        GatewayFixture fleet = new GatewayFixture();
        List<ServerInfo> list = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            list.add(new ServerInfo("s" + i, "a", i % 2 == 0 ? "slow" : "fast", 0, Readiness.READY, 1, 0));
        }
        fleet.list(ServerListKind.CACHED, list);
        for (int t = 0; t < 30; t++) {
            for (int i = 0; i < 10; i++) { // a quarter of a sample for each server
                String id = fleet.request(READ);
                String s = fleet.sentTo();
                long elapsed = Integer.parseInt(s.substring(1)) % 2 == 0 ? 60 * MS : 20 * MS;
                fleet.endAttempt(id, 0, s, Outcome.SERVED, elapsed);
            }
            fleet.fireTimer(TICK);
            fleet.recorder.take();
        }
        Map<String, Integer> counts = draws(fleet, DRAWS);
        for (int i = 0; i < 40; i += 2) {
            assertTrue(counts.getOrDefault("s" + i, 0) < DRAWS / 80, "s" + i + " of " + counts);
        }
    }

    @Test
    void inFlightIsBoundedWhenAnswersComeLateAndTheRestIsHeld() {
        GatewayFixture fleet = new GatewayFixture().withServers(2);
        int out = fleet.countSent(READ, 100);
        assertTrue(out >= 2 && out <= 20, "in flight: " + out);
    }

    @Test
    void limitsDontRiseWhileTheGatewayHasRoom() {
        GatewayFixture fleet = new GatewayFixture().withServers(4);
        draws(fleet, 400);
        assertEquals(4, fleet.maxInFlight(), "one at each, as at the start");
    }

    @Test
    void inFlightRisesWhileAnswersComeEarlyAndFallsWhenTheyComeLate() {
        GatewayFixture fleet = new GatewayFixture().withServers(1);
        assertEquals(1, fleet.maxInFlight());
        for (int i = 0; i < 5; i++) {
            fleet.serveConcurrently(READ, 10, 20 * MS);
        }
        int early = fleet.maxInFlight();
        assertTrue(early >= 5, "after early answers: " + early);
        for (int i = 0; i < 5; i++) {
            fleet.serveConcurrently(READ, 10, 240 * MS);
        }
        assertEquals(3, fleet.maxInFlight(), "the floor");
    }

    @Test
    void anAimThatIsShortForTheWorkDoesNotPinTheLimitToItsFloor() {
        RequestClass tight =
                new RequestClass("tight", Idempotency.SAFE, DedupScope.ALL, 0, 200 * MS, SECOND, 1, 0, false);
        GatewayFixture fleet = new GatewayFixture(settings(false, 1, List.of(), List.of(tight)), 7).withServers(1);
        for (int i = 0; i < 14; i++) { // a fifth of the aim is 40 ms, the median at the calmest 0.69 * 80 ms
            fleet.serveConcurrently(tight, 10, (i < 10 ? 80 : 50) * MS);
        }
        assertTrue(fleet.maxInFlight() > 3);
    }

    @Test
    void aServerIsNotSilentWhereTheWholeFleetIsAsLate() {
        GatewayFixture fleet = new GatewayFixture().withServers(4);
        for (int i = 0; i < 4000; i++) {
            fleet.requestAndAnswer(READ, Outcome.SERVED, 400 * MS);
        }
        for (int i = 0; i < 12; i++) {
            fleet.request(READ);
        }
        fleet.now += 350 * MS; // past half the aim, yet within what answers take now
        fleet.fireTimer(SWEEP);
        assertTrue(fleet.recorder.take("log").isEmpty());
    }

    @Test
    void refusalsAreLoggedOnceATick() {
        GatewayFixture fleet = new GatewayFixture().withServers(0);
        fleet.request(ORDER);
        fleet.request(ORDER);
        fleet.now += ORDER.targetNanos();
        fleet.fireTimer(SWEEP);
        assertEquals(2, fleet.recorder.take("refuse").size());
        fleet.fireTimer(TICK);
        List<Recorder.Action> logged = fleet.recorder.take("log");
        assertEquals(1, logged.size());
        assertEquals("refused 2 requests in this tick, 2 arrived", logged.get(0).id());
        fleet.fireTimer(TICK);
        assertEquals(List.of(), fleet.recorder.take("log"));
    }

    @Test
    void manyGatewaysTogetherStayWithinWhatOneServerBears() {
        GatewayFixture fleet = new GatewayFixture(settings(false, 20, List.of(), List.of(READ)), 7).withServers(40);
        int out = fleet.countSent(READ, 200);
        assertTrue(out >= 2 && out <= 5, "a twentieth of 1 at each of 40 servers, and chance: " + out);
    }

    @Test
    void whatIsHeldGoesOutByWorthForWorkAndWithinSharesFirst() {
        Settings s = settings(false, 1, List.of(new Tenant("t", 1)), List.of(READ, ORDER));
        GatewayFixture fleet = new GatewayFixture(s, 7).withServers(0);
        fleet.request(ORDER, "t", 2 * SECOND);
        String over = fleet.request(ORDER, "t", 2 * SECOND);
        String read = fleet.request(READ);
        String order = fleet.request(ORDER);
        fleet.list(ServerListKind.CHANGES, server("s0"));
        List<String> sent = fleet.answerAllSent(100 * MS);
        assertEquals(4, sent.size());
        assertEquals(order, sent.get(0));
        assertTrue(sent.indexOf(read) < sent.indexOf(over), sent::toString);
    }

    @Test
    void aColdServerGetsLittleAndRequestsWaitRatherThanTopplingIt() {
        GatewayFixture fleet = new GatewayFixture();
        fleet.list(ServerListKind.CACHED, server("s0", "a", Readiness.READY, fleet.now));
        int sent = 0;
        for (int i = 0; i < 300; i++) {
            sent += fleet.requestAndAnswer(READ, Outcome.SERVED, MS) == null ? 0 : 1;
            fleet.now += 5 * MS;
        }
        // 200 a second come; 0.5 * 2.5 * 0.2 of that may go to it, rising a little as it warms
        assertTrue(sent > 10 && sent < 110, "sent in 1.5 s: " + sent);
    }

    @Test
    void aColdServerAmongWarmOnesStartsAtItsColdPart() {
        GatewayFixture fleet = new GatewayFixture().withServers(3);
        draws(fleet, 300);
        fleet.now += SECOND;
        fleet.list(ServerListKind.CHANGES, server("s9", "a", Readiness.READY, fleet.now));
        fleet.now += SECOND;
        int cold = draws(fleet, 300).getOrDefault("s9", 0);
        fleet.now += 2 * GatewayFixture.SLOW_START;
        int warm = draws(fleet, 300).getOrDefault("s9", 0);
        assertTrue(cold < warm / 2, cold + " cold, " + warm + " warm");
    }

    @Test
    void subscribesAtOnceAndAsksAgainAfterAFailure() {
        GatewayFixture fleet = new GatewayFixture(settings(true), 7).withServers(1);
        assertEquals(1, fleet.recorder.take("subscribe").size());
        for (int i = 0; i < 12; i++) {
            fleet.list(ServerListKind.FAILED);
            long wait = fleet.recorder.take("setTimer").get(0).number();
            assertTrue(wait > 0 && wait <= 5 * SECOND, "asked again after " + wait);
            fleet.fireTimer(RESUBSCRIBE);
            assertEquals(1, fleet.recorder.take("subscribe").size());
        }
    }

    @Test
    void badSettingsAndEventsAreNamed() {
        IllegalArgumentException e =
                assertThrows(IllegalArgumentException.class, () -> settings(false, 0, List.of(), List.of(READ)));
        assertEquals("settings: gateways cannot be 0", e.getMessage());
        GatewayFixture fleet = new GatewayFixture().withServers(1);
        e = assertThrows(
                IllegalArgumentException.class,
                () -> fleet.loadBalancer.onEvent(
                        fleet.now, new RequestArrived("r", "unheard", null, null, SECOND, 0, false)));
        assertEquals("requestClass: unknown class unheard", e.getMessage());
        e = assertThrows(IllegalArgumentException.class, () -> fleet.loadBalancer.onEvent(1, new TimerFired(TICK)));
        assertTrue(e.getMessage().startsWith("nowNanos: "), e.getMessage());
    }
}
