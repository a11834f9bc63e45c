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
import tinworks.policy.LoadBalancerApi.Reconfigured;
import tinworks.policy.LoadBalancerApi.RequestArrived;
import tinworks.policy.LoadBalancerApi.RequestClass;
import tinworks.policy.LoadBalancerApi.ServerInfo;
import tinworks.policy.LoadBalancerApi.ServerListKind;
import tinworks.policy.LoadBalancerApi.ServerListReceived;
import tinworks.policy.LoadBalancerApi.Settings;
import tinworks.policy.LoadBalancerApi.ShutdownStarted;
import tinworks.policy.LoadBalancerApi.TimerFired;

/** What the decision module does for the system beyond what the earlier protocol asks. */
class EdgeSettingsTest {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;
    private static final long TIMEOUT = 1_200 * MS;
    private static final long NEVER = Long.MAX_VALUE;
    private final Sent sent = new Sent();

    private static final class Sent implements Actions {
        final List<String> requests = new ArrayList<>();
        final List<String> servers = new ArrayList<>();
        int refused;
        int cancelled;
        final List<String> lines = new ArrayList<>();

        @Override
        public void send(String request, String server, long timeoutNanos) {
            requests.add(request);
            servers.add(server);
        }

        @Override
        public void refuse(String request, long pauseNanos) {
            refused++;
        }

        @Override
        public void fail(String request) {
            refused++;
        }

        @Override
        public void cancel(String request, int attempt) {
            cancelled++;
        }

        @Override
        public void setTimer(long delayNanos, long token) {}

        @Override
        public void subscribe() {}

        @Override
        public void log(String line) {
            lines.add(line);
        }
    }

    private static RequestClass kind(String name, Idempotency effect) {
        return new RequestClass(name, effect, DedupScope.ALL, 0, 300 * MS, TIMEOUT, 1, 0.5, false, 2, TIMEOUT);
    }

    private LoadBalancer choice(int gateways, Idempotency effect) {
        PolicyParameters rules = new PolicyParameters(0, 0, Long.MAX_VALUE, 0.5, 3 * SECOND, 1e9, SECOND, 30, 2.5, 0.5);
        LoadBalancer choice = new LoadBalancer(
                new Settings(
                        gateways,
                        -1,
                        "z",
                        false,
                        MS,
                        List.of(kind("r", effect)),
                        List.of(),
                        1,
                        new Permissions(32, true, false),
                        rules),
                1,
                sent);
        List<ServerInfo> servers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            servers.add(new ServerInfo("i-" + i, "z", "", 0, Readiness.READY, 3, 0));
        }
        choice.onEvent(0, new ServerListReceived(ServerListKind.FULL, servers));
        return choice;
    }

    private static RequestArrived request(int number) {
        return new RequestArrived("q" + number, "r", null, null, TIMEOUT, 0, false);
    }

    /** Sends requests one after the other, each attempt ending in this way; returns the arrivals beyond the first. */
    private int further(LoadBalancer choice, int requests, Outcome outcome) {
        for (int i = 0; i < requests; i++) {
            long now = i * 100L * MS;
            int before = sent.servers.size();
            choice.onEvent(now, request(i));
            for (int n = 0; before + n < sent.servers.size(); n++) {
                choice.onEvent(
                        now + MS, new AttemptEnded("q" + i, n, sent.servers.get(before + n), outcome, MS, false, null));
            }
        }
        return sent.servers.size() - (int) sent.requests.stream().distinct().count();
    }

    @Test
    void arrivalsThatAHostTurnsAwayAreChargedToTheBudgetThatAllGatewaysShare() {
        int further = further(choice(10, Idempotency.SAFE), 100, Outcome.FULL);
        assertTrue(further > 0, "a first refusal is tried again");
        assertTrue(
                further <= 100 / 10 + 30 / 10, "a tenth of the requests and a tenth of what all may save: " + further);
    }

    @Test
    void whatNeverArrivedIsNotCharged() {
        assertEquals(
                1,
                further(choice(100, Idempotency.UNSAFE), 1, Outcome.CONNECT_FAILED),
                "a second server, and no third");
    }

    @Test
    void whatMayHaveRunIsNotTriedAgainWhereThatDoesHarm() {
        assertEquals(0, further(choice(10, Idempotency.UNSAFE), 20, Outcome.RESET));
    }

    @Test
    void aVersionInTheMiddleOfATickKeepsWhatWasLearnedAndTakesItsNewTries() {
        LoadBalancer choice = choice(10, Idempotency.SAFE);
        choice.onEvent(MS, request(1));
        RequestClass once = new RequestClass(
                "r", Idempotency.SAFE, DedupScope.ALL, 0, 300 * MS, TIMEOUT, 1, 0.5, false, 1, TIMEOUT);
        choice.onEvent(2 * MS, new Reconfigured(List.of(once, kind("new", Idempotency.UNSAFE)), 5));
        choice.onEvent(3 * MS, new AttemptEnded("q1", 0, sent.servers.get(0), Outcome.FULL, MS, false, null));
        assertEquals(1, sent.servers.size(), "one try is all that the new version allows");
        assertEquals(1, sent.refused);
        choice.onEvent(4 * MS, new RequestArrived("q2", "new", null, null, TIMEOUT, 0, false));
        assertEquals(2, sent.servers.size());
    }

    @Test
    void aFastFailureSamplesAsTheWholeTimeOutAndLosesShare() {
        LoadBalancer choice = choice(1, Idempotency.SAFE);
        int[] first = new int[2];
        for (int i = 0; i < 2_000; i++) {
            long now = i * 10L * MS;
            choice.onEvent(now, request(i));
            String server = sent.servers.get(sent.servers.size() - 1);
            boolean bad = server.equals("i-0");
            first[i / 1_000] += bad ? 1 : 0;
            int attempt = 0;
            choice.onEvent(
                    now + MS,
                    new AttemptEnded(
                            "q" + i,
                            attempt,
                            server,
                            bad ? Outcome.ERROR : Outcome.SERVED,
                            bad ? MS : 50 * MS,
                            !bad,
                            null));
            if (bad
                    && sent.requests.get(sent.requests.size() - 1).equals("q" + i)
                    && !sent.servers.get(sent.servers.size() - 1).equals("i-0")) {
                choice.onEvent(
                        now + 2 * MS,
                        new AttemptEnded(
                                "q" + i,
                                1,
                                sent.servers.get(sent.servers.size() - 1),
                                Outcome.SERVED,
                                50 * MS,
                                true,
                                null));
            }
            if (i % 100 == 99) {
                choice.onEvent(now + 3 * MS, new TimerFired(1));
            }
        }
        assertTrue(first[1] < 100, "of 1,000 later requests " + first[1] + " went to the server that fails at once");
    }

    /** One request of several needs long: how many attempts are called off so long after it was sent. */
    private int calledOffAfter(long waited) {
        return calledOffAfter(choice(10, Idempotency.SAFE), waited, NEVER);
    }

    private int calledOffAfter(LoadBalancer choice, long waited, long endsAt) {
        choice.onEvent(0, request(0));
        boolean ending = false;
        for (long now = 0; now < waited; now += 20 * MS) {
            if (now >= endsAt && !ending) {
                ending = true;
                choice.onEvent(now, new ShutdownStarted(5_500 * MS));
            }
            if (now % (400 * MS) == 0) {
                int before = sent.servers.size();
                String id = "f" + now;
                choice.onEvent(now, new RequestArrived(id, "r", null, null, TIMEOUT, 0, false));
                for (int n = before; n < sent.servers.size(); n++) {
                    choice.onEvent(
                            now + MS,
                            new AttemptEnded(
                                    sent.requests.get(n), 0, sent.servers.get(n), Outcome.SERVED, MS, true, null));
                }
            }
            choice.onEvent(now + MS, new TimerFired(2));
        }
        return sent.cancelled;
    }

    /**
     * Three requests a second, each taking so long by the clock, of which the gateway itself was held up; the refused.
     */
    private int refusedOf(LoadBalancer choice, int from, int seconds, long elapsed, long heldUp) {
        int before = sent.refused;
        for (int i = 0; i < 3 * seconds; i++) {
            long now = from * SECOND + i * SECOND / 3;
            int out = sent.servers.size();
            choice.onEvent(now, new RequestArrived("h" + now, "r", null, null, TIMEOUT, 0, false));
            if (sent.servers.size() > out) {
                choice.onEvent(
                        now + 300 * MS,
                        new AttemptEnded(
                                "h" + now, 0, sent.servers.get(out), Outcome.SERVED, elapsed, true, null, heldUp));
            }
            choice.onEvent(now + 310 * MS, new TimerFired(2));
            if (i % 3 == 2) {
                choice.onEvent(now + 320 * MS, new TimerFired(1));
            }
        }
        return sent.refused - before;
    }

    @Test
    void whatLayUnreadHereIsNotTheHosts() {
        assertEquals(0, refusedOf(choice(64, Idempotency.SAFE), 0, 60, 900 * MS, 850 * MS));
    }

    @Test
    void aGatewayThatShutAllOutIsOpenAgainWithinTwoSecondsOfCalm() {
        LoadBalancer choice = choice(64, Idempotency.SAFE);
        long now = 0;
        for (int i = 0; i < 200; i++) { // a burst, all of it late: the pressure is at its most
            now = i * 10L * MS;
            int out = sent.servers.size();
            choice.onEvent(now, new RequestArrived("b" + i, "r", null, null, TIMEOUT, 0, false));
            if (sent.servers.size() > out) {
                choice.onEvent(
                        now, new AttemptEnded("b" + i, 0, sent.servers.get(out), Outcome.SERVED, 900 * MS, true, null));
            }
        }
        assertTrue(sent.refused > 50, "shut: " + sent.refused);
        refusedOf(choice, 2, 2, 50 * MS, 0);
        assertEquals(0, refusedOf(choice, 4, 20, 50 * MS, 0));
    }

    @Test
    void aServerIsNotSilentWhileItsAnswersLieUnread() {
        LoadBalancer choice = choice(64, Idempotency.SAFE);
        choice.onEvent(0, request(0));
        choice.onEvent(0, request(1));
        choice.onEvent(1_000 * MS, new TimerFired(2, 990 * MS));
        choice.onEvent(1_001 * MS, new TimerFired(2, 0));
        assertEquals(
                List.of("server " + sent.servers.get(0) + " is unresponsive: no response to 1 attempts"),
                sent.lines.subList(0, 1));
        sent.lines.clear();
        LoadBalancer held = choice(64, Idempotency.SAFE);
        held.onEvent(0, request(0));
        held.onEvent(1_000 * MS, new TimerFired(2, 990 * MS));
        assertEquals(List.of(), sent.lines);
    }

    @Test
    void afterTheWordToEndNothingIsCalledOffThatAHostMayWorkOn() {
        for (long endsAt : List.of(0L, 100 * MS, 200 * MS, 400 * MS)) {
            LoadBalancer choice = choice(10, Idempotency.SAFE);
            assertEquals(0, calledOffAfter(choice, 1_180 * MS, endsAt), "told to end at " + endsAt);
            assertEquals(0, sent.refused, "nor is there an answer of its own before the deadline");
        }
    }

    /** Its deadline lies past the end, when nobody could answer it any more. */
    @Test
    void whatStillWaitsForAServerIsRefusedBeforeTheEnd() {
        for (Idempotency effect : List.of(Idempotency.SAFE, Idempotency.UNSAFE)) {
            LoadBalancer choice = choice(1, effect);
            choice.onEvent(0, new ServerListReceived(ServerListKind.FULL, List.of()));
            choice.onEvent(0, request(0));
            choice.onEvent(100 * MS, new ShutdownStarted(500 * MS));
            int before = sent.refused;
            for (long now = 100 * MS; now < 600 * MS; now += 10 * MS) {
                choice.onEvent(now, new TimerFired(2));
            }
            assertEquals(1, sent.refused - before, () -> "refused by the end: " + effect);
        }
    }

    @Test
    void whatHasNoTryLeftIsNotCalledOff() {
        LoadBalancer choice = choice(10, Idempotency.SAFE);
        RequestClass once = new RequestClass(
                "r", Idempotency.SAFE, DedupScope.ALL, 0, 300 * MS, TIMEOUT, 1, 0.5, false, 1, TIMEOUT);
        choice.onEvent(0, new Reconfigured(List.of(once), 10));
        assertEquals(
                0, calledOffAfter(choice, 1_180 * MS, NEVER), "it would be answered here while its host is at work");
    }

    /** With a single server there is no other to go to. */
    @Test
    void whatCanGoNowhereElseIsNotCalledOff() {
        LoadBalancer choice = choice(64, Idempotency.SAFE);
        choice.onEvent(
                0,
                new ServerListReceived(
                        ServerListKind.FULL, List.of(new ServerInfo("i-0", "z", "", 0, Readiness.READY, 3, 0))));
        choice.onEvent(0, request(0));
        for (long now = 0; now < 1_100 * MS; now += 20 * MS) {
            choice.onEvent(now, new TimerFired(2));
        }
        assertEquals(1, sent.servers.size());
        assertEquals(0, sent.cancelled);
    }

    @Test
    void longWorkIsLeftToEndAndWhatNeverEndsIsCalledOff() {
        assertEquals(0, calledOffAfter(400 * MS), "late, but it may still be at work");
    }

    @Test
    void anAnswerThatIsLostIsCalledOffWhileThereIsTimeForAnotherTry() {
        assertEquals(1, calledOffAfter(900 * MS));
    }
}
