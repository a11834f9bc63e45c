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

/**
 * The load balancer with the settings of an edge: a shared retry budget, long requests, queueing delays, configuration
 * changes and shutdown.
 */
class EdgeSettingsTest {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;
    private static final long TIMEOUT = 1_200 * MS;
    private static final long NEVER = Long.MAX_VALUE;
    private final RecordingActions actions = new RecordingActions();

    private static final class RecordingActions implements Actions {
        final List<String> requests = new ArrayList<>();
        final List<String> servers = new ArrayList<>();
        int refusedCount;
        int cancelledCount;
        final List<String> logLines = new ArrayList<>();

        @Override
        public void send(String request, String server, long timeoutNanos) {
            requests.add(request);
            servers.add(server);
        }

        @Override
        public void refuse(String request, long pauseNanos) {
            refusedCount++;
        }

        @Override
        public void fail(String request) {
            refusedCount++;
        }

        @Override
        public void cancel(String request, int attempt) {
            cancelledCount++;
        }

        @Override
        public void setTimer(long delayNanos, long token) {}

        @Override
        public void subscribe() {}

        @Override
        public void log(String line) {
            logLines.add(line);
        }
    }

    private static RequestClass requestClass(String name, Idempotency idempotency) {
        return new RequestClass(name, idempotency, DedupScope.ALL, 0, 300 * MS, TIMEOUT, 1, 0.5, false, 2, TIMEOUT);
    }

    private LoadBalancer loadBalancer(int gateways, Idempotency idempotency) {
        PolicyParameters parameters =
                new PolicyParameters(0, 0, Long.MAX_VALUE, 0.5, 3 * SECOND, 1e9, SECOND, 30, 2.5, 0.5);
        LoadBalancer loadBalancer = new LoadBalancer(
                new Settings(
                        gateways,
                        -1,
                        "z",
                        false,
                        MS,
                        List.of(requestClass("r", idempotency)),
                        List.of(),
                        1,
                        new Permissions(32, true, false),
                        parameters),
                1,
                actions);
        List<ServerInfo> servers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            servers.add(new ServerInfo("i-" + i, "z", "", 0, Readiness.READY, 3, 0));
        }
        loadBalancer.onEvent(0, new ServerListReceived(ServerListKind.FULL, servers));
        return loadBalancer;
    }

    private static RequestArrived request(int number) {
        return new RequestArrived("q" + number, "r", null, null, TIMEOUT, 0, false);
    }

    /** Delivers requests in turn, each attempt ending with the outcome, and returns the number of retries. */
    private int countRetries(LoadBalancer loadBalancer, int requests, Outcome outcome) {
        for (int i = 0; i < requests; i++) {
            long now = i * 100L * MS;
            int before = actions.servers.size();
            loadBalancer.onEvent(now, request(i));
            for (int n = 0; before + n < actions.servers.size(); n++) {
                loadBalancer.onEvent(
                        now + MS,
                        new AttemptEnded("q" + i, n, actions.servers.get(before + n), outcome, MS, false, null));
            }
        }
        return actions.servers.size()
                - (int) actions.requests.stream().distinct().count();
    }

    @Test
    void retriesOfRequestsRefusedByServersCountInTheSharedRetryBudget() {
        int retries = countRetries(loadBalancer(10, Idempotency.SAFE), 100, Outcome.FULL);
        assertTrue(retries > 0, "a first refusal is retried");
        assertTrue(
                retries <= 100 / 10 + 30 / 10, "a tenth of the requests and a tenth of the total budget: " + retries);
    }

    @Test
    void retriesAfterFailedConnectionsDoNotCountInTheRetryBudget() {
        assertEquals(
                1,
                countRetries(loadBalancer(100, Idempotency.UNSAFE), 1, Outcome.CONNECT_FAILED),
                "a second server, and no third");
    }

    @Test
    void unsafeRequestsThatMayHaveRunAreNotRetried() {
        assertEquals(0, countRetries(loadBalancer(10, Idempotency.UNSAFE), 20, Outcome.RESET));
    }

    @Test
    void aNewConfigurationKeepsTheStateAndAppliesItsMaxAttempts() {
        LoadBalancer loadBalancer = loadBalancer(10, Idempotency.SAFE);
        loadBalancer.onEvent(MS, request(1));
        RequestClass once = new RequestClass(
                "r", Idempotency.SAFE, DedupScope.ALL, 0, 300 * MS, TIMEOUT, 1, 0.5, false, 1, TIMEOUT);
        loadBalancer.onEvent(2 * MS, new Reconfigured(List.of(once, requestClass("new", Idempotency.UNSAFE)), 5));
        loadBalancer.onEvent(3 * MS, new AttemptEnded("q1", 0, actions.servers.get(0), Outcome.FULL, MS, false, null));
        assertEquals(1, actions.servers.size(), "the new version allows one attempt");
        assertEquals(1, actions.refusedCount);
        loadBalancer.onEvent(4 * MS, new RequestArrived("q2", "new", null, null, TIMEOUT, 0, false));
        assertEquals(2, actions.servers.size());
    }

    @Test
    void fastFailuresCountAsTimeoutsAndLowerTheShare() {
        LoadBalancer loadBalancer = loadBalancer(1, Idempotency.SAFE);
        int[] first = new int[2];
        for (int i = 0; i < 2_000; i++) {
            long now = i * 10L * MS;
            loadBalancer.onEvent(now, request(i));
            String server = actions.servers.get(actions.servers.size() - 1);
            boolean bad = server.equals("i-0");
            first[i / 1_000] += bad ? 1 : 0;
            int attempt = 0;
            loadBalancer.onEvent(
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
                    && actions.requests.get(actions.requests.size() - 1).equals("q" + i)
                    && !actions.servers.get(actions.servers.size() - 1).equals("i-0")) {
                loadBalancer.onEvent(
                        now + 2 * MS,
                        new AttemptEnded(
                                "q" + i,
                                1,
                                actions.servers.get(actions.servers.size() - 1),
                                Outcome.SERVED,
                                50 * MS,
                                true,
                                null));
            }
            if (i % 100 == 99) {
                loadBalancer.onEvent(now + 3 * MS, new TimerFired(1));
            }
        }
        assertTrue(first[1] < 100, "of 1,000 later requests " + first[1] + " went to the failing server");
    }

    /** Leaves one of several requests unanswered and returns how many attempts are cancelled in that time. */
    private int cancelledAfter(long waitNanos) {
        return cancelledAfter(loadBalancer(10, Idempotency.SAFE), waitNanos, NEVER);
    }

    private int cancelledAfter(LoadBalancer loadBalancer, long waitNanos, long shutdownAt) {
        loadBalancer.onEvent(0, request(0));
        boolean shutdownStarted = false;
        for (long now = 0; now < waitNanos; now += 20 * MS) {
            if (now >= shutdownAt && !shutdownStarted) {
                shutdownStarted = true;
                loadBalancer.onEvent(now, new ShutdownStarted(5_500 * MS));
            }
            if (now % (400 * MS) == 0) {
                int before = actions.servers.size();
                String id = "f" + now;
                loadBalancer.onEvent(now, new RequestArrived(id, "r", null, null, TIMEOUT, 0, false));
                for (int n = before; n < actions.servers.size(); n++) {
                    loadBalancer.onEvent(
                            now + MS,
                            new AttemptEnded(
                                    actions.requests.get(n),
                                    0,
                                    actions.servers.get(n),
                                    Outcome.SERVED,
                                    MS,
                                    true,
                                    null));
                }
            }
            loadBalancer.onEvent(now + MS, new TimerFired(2));
        }
        return actions.cancelledCount;
    }

    /**
     * Delivers three requests a second, each with the given elapsed time and queueing delay, and returns how many are
     * refused.
     */
    private int countRefused(LoadBalancer loadBalancer, int from, int seconds, long elapsed, long queueingDelay) {
        int before = actions.refusedCount;
        for (int i = 0; i < 3 * seconds; i++) {
            long now = from * SECOND + i * SECOND / 3;
            int sendsBefore = actions.servers.size();
            loadBalancer.onEvent(now, new RequestArrived("h" + now, "r", null, null, TIMEOUT, 0, false));
            if (actions.servers.size() > sendsBefore) {
                loadBalancer.onEvent(
                        now + 300 * MS,
                        new AttemptEnded(
                                "h" + now,
                                0,
                                actions.servers.get(sendsBefore),
                                Outcome.SERVED,
                                elapsed,
                                true,
                                null,
                                queueingDelay));
            }
            loadBalancer.onEvent(now + 310 * MS, new TimerFired(2));
            if (i % 3 == 2) {
                loadBalancer.onEvent(now + 320 * MS, new TimerFired(1));
            }
        }
        return actions.refusedCount - before;
    }

    @Test
    void queueingDelayOfTheGatewayIsNotCountedAgainstServers() {
        assertEquals(0, countRefused(loadBalancer(64, Idempotency.SAFE), 0, 60, 900 * MS, 850 * MS));
    }

    @Test
    void sheddingEndsWithinTwoSecondsAfterOverload() {
        LoadBalancer loadBalancer = loadBalancer(64, Idempotency.SAFE);
        long now = 0;
        for (int i = 0; i < 200; i++) { // a burst of late responses raises the pressure to its maximum
            now = i * 10L * MS;
            int sendsBefore = actions.servers.size();
            loadBalancer.onEvent(now, new RequestArrived("b" + i, "r", null, null, TIMEOUT, 0, false));
            if (actions.servers.size() > sendsBefore) {
                loadBalancer.onEvent(
                        now,
                        new AttemptEnded(
                                "b" + i, 0, actions.servers.get(sendsBefore), Outcome.SERVED, 900 * MS, true, null));
            }
        }
        assertTrue(actions.refusedCount > 50, "refused: " + actions.refusedCount);
        countRefused(loadBalancer, 2, 2, 50 * MS, 0);
        assertEquals(0, countRefused(loadBalancer, 4, 20, 50 * MS, 0));
    }

    @Test
    void aServerIsNotUnresponsiveWhileItsResponsesAreUnread() {
        LoadBalancer loadBalancer = loadBalancer(64, Idempotency.SAFE);
        loadBalancer.onEvent(0, request(0));
        loadBalancer.onEvent(0, request(1));
        loadBalancer.onEvent(1_000 * MS, new TimerFired(2, 990 * MS));
        loadBalancer.onEvent(1_001 * MS, new TimerFired(2, 0));
        assertEquals(
                List.of("server " + actions.servers.get(0) + " is unresponsive: no response to 1 attempts"),
                actions.logLines.subList(0, 1));
        actions.logLines.clear();
        LoadBalancer delayed = loadBalancer(64, Idempotency.SAFE);
        delayed.onEvent(0, request(0));
        delayed.onEvent(1_000 * MS, new TimerFired(2, 990 * MS));
        assertEquals(List.of(), actions.logLines);
    }

    @Test
    void duringShutdownNoAttemptIsCancelled() {
        for (long shutdownAt : List.of(0L, 100 * MS, 200 * MS, 400 * MS)) {
            LoadBalancer loadBalancer = loadBalancer(10, Idempotency.SAFE);
            assertEquals(0, cancelledAfter(loadBalancer, 1_180 * MS, shutdownAt), "shutdown at " + shutdownAt);
            assertEquals(0, actions.refusedCount, "no refusal before the deadline");
        }
    }

    /** The deadline is after the shutdown, when nothing could answer the request any more. */
    @Test
    void queuedRequestsAreRefusedBeforeTheEndOfAShutdown() {
        for (Idempotency idempotency : List.of(Idempotency.SAFE, Idempotency.UNSAFE)) {
            LoadBalancer loadBalancer = loadBalancer(1, idempotency);
            loadBalancer.onEvent(0, new ServerListReceived(ServerListKind.FULL, List.of()));
            loadBalancer.onEvent(0, request(0));
            loadBalancer.onEvent(100 * MS, new ShutdownStarted(500 * MS));
            int before = actions.refusedCount;
            for (long now = 100 * MS; now < 600 * MS; now += 10 * MS) {
                loadBalancer.onEvent(now, new TimerFired(2));
            }
            assertEquals(1, actions.refusedCount - before, () -> "refused before the end: " + idempotency);
        }
    }

    @Test
    void anAttemptIsNotCancelledIfNoRetryIsLeft() {
        LoadBalancer loadBalancer = loadBalancer(10, Idempotency.SAFE);
        RequestClass once = new RequestClass(
                "r", Idempotency.SAFE, DedupScope.ALL, 0, 300 * MS, TIMEOUT, 1, 0.5, false, 1, TIMEOUT);
        loadBalancer.onEvent(0, new Reconfigured(List.of(once), 10));
        assertEquals(
                0,
                cancelledAfter(loadBalancer, 1_180 * MS, NEVER),
                "cancelling would fail it while its server works on it");
    }

    /** With a single server there is no other to retry at. */
    @Test
    void anAttemptIsNotCancelledIfThereIsNoOtherServer() {
        LoadBalancer loadBalancer = loadBalancer(64, Idempotency.SAFE);
        loadBalancer.onEvent(
                0,
                new ServerListReceived(
                        ServerListKind.FULL, List.of(new ServerInfo("i-0", "z", "", 0, Readiness.READY, 3, 0))));
        loadBalancer.onEvent(0, request(0));
        for (long now = 0; now < 1_100 * MS; now += 20 * MS) {
            loadBalancer.onEvent(now, new TimerFired(2));
        }
        assertEquals(1, actions.servers.size());
        assertEquals(0, actions.cancelledCount);
    }

    @Test
    void aLongRequestIsNotCancelled() {
        assertEquals(0, cancelledAfter(400 * MS), "late, but the server may still work on it");
    }

    @Test
    void anAttemptWithALostResponseIsCancelledInTimeForARetry() {
        assertEquals(1, cancelledAfter(900 * MS));
    }
}
