package tinworks.policy;

import java.util.ArrayList;
import java.util.List;
import tinworks.policy.LoadBalancerApi.AttemptEnded;
import tinworks.policy.LoadBalancerApi.ClientDisconnected;
import tinworks.policy.LoadBalancerApi.DedupScope;
import tinworks.policy.LoadBalancerApi.Idempotency;
import tinworks.policy.LoadBalancerApi.Outcome;
import tinworks.policy.LoadBalancerApi.Permissions;
import tinworks.policy.LoadBalancerApi.PolicyParameters;
import tinworks.policy.LoadBalancerApi.Readiness;
import tinworks.policy.LoadBalancerApi.RequestArrived;
import tinworks.policy.LoadBalancerApi.RequestClass;
import tinworks.policy.LoadBalancerApi.ServerInfo;
import tinworks.policy.LoadBalancerApi.ServerListKind;
import tinworks.policy.LoadBalancerApi.ServerListReceived;
import tinworks.policy.LoadBalancerApi.Settings;
import tinworks.policy.LoadBalancerApi.Tenant;
import tinworks.policy.LoadBalancerApi.TimerFired;

/** A load balancer under test with its recorder, and short methods to deliver events to it. */
final class GatewayFixture {
    static final long MS = 1_000_000L;
    static final long SECOND = 1_000 * MS;
    static final long SLOW_START = 20 * SECOND;
    static final long TICK = 1;
    static final long SWEEP = 2;
    static final long RESUBSCRIBE = 3;
    static final RequestClass READ =
            new RequestClass("read", Idempotency.SAFE, DedupScope.ALL, 0, 500 * MS, 2 * SECOND, 1, 0.5, false);
    static final RequestClass ORDER =
            new RequestClass("order", Idempotency.UNSAFE, DedupScope.ALL, 0, 500 * MS, 2 * SECOND, 5, 0, false);
    static final RequestClass FILE =
            new RequestClass("file", Idempotency.KEYED, DedupScope.ZONE, 5 * SECOND, 500 * MS, 2 * SECOND, 2, 0, false);
    static final Permissions ALL_PERMISSIONS = new Permissions(4, true, true);
    static final PolicyParameters PARAMETERS =
            new PolicyParameters(20 * MS, 250 * MS, 10 * SECOND, 0.2, SLOW_START, 2.5, 1500 * MS);

    final Recorder recorder = new Recorder();
    final LoadBalancer loadBalancer;
    long now = 100 * SECOND;
    private final RequestClass firstClass;
    private int requests;

    GatewayFixture() {
        this(settings(false), 7);
    }

    GatewayFixture(Settings settings, long seed) {
        loadBalancer = new LoadBalancer(settings, seed, recorder);
        firstClass = settings.classes().get(0);
    }

    static Settings settings(boolean subscribe) {
        return settings(subscribe, 1, List.of(), List.of(READ, ORDER, FILE));
    }

    static Settings settings(boolean subscribe, int gateways, List<Tenant> tenants, List<RequestClass> classes) {
        return new Settings(gateways, 0, "a", subscribe, 5 * MS, classes, tenants, 0.1, ALL_PERMISSIONS, PARAMETERS);
    }

    static ServerInfo server(String id, String zone, Readiness readiness, long startedAt) {
        return new ServerInfo(id, zone, "k", zone.charAt(0), readiness, 1, startedAt);
    }

    static ServerInfo server(String id) {
        return server(id, "a", Readiness.READY, 0);
    }

    /** Adds servers s0, s1 and so on, past slow start, in the gateway's zone. */
    GatewayFixture withServers(int servers) {
        return withServers(servers, "a");
    }

    /** Adds servers alternately in the gateway's zone and in another. */
    GatewayFixture withServers(int servers, String otherZone) {
        List<ServerInfo> list = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            list.add(server("s" + i, i % 2 == 0 ? "a" : otherZone, Readiness.READY, 0));
        }
        list(ServerListKind.CACHED, list);
        return this;
    }

    void list(ServerListKind listKind, List<ServerInfo> servers) {
        loadBalancer.onEvent(now, new ServerListReceived(listKind, servers));
    }

    void list(ServerListKind listKind, ServerInfo... servers) {
        list(listKind, List.of(servers));
    }

    /** Delivers a request of the class and returns its id. */
    String request(RequestClass c) {
        return request(c, null, c.deadlineNanos());
    }

    String request(RequestClass c, String tenant, long expiresIn) {
        String id = "r" + requests++;
        loadBalancer.onEvent(now, new RequestArrived(id, c.name(), tenant, null, expiresIn, 0, false));
        return id;
    }

    void endAttempt(String id, int attempt, String server, Outcome outcome, long elapsed) {
        endAttempt(id, attempt, server, outcome, elapsed, outcome == Outcome.SERVED);
    }

    void endAttempt(String id, int attempt, String server, Outcome outcome, long elapsed, boolean concluded) {
        loadBalancer.onEvent(now, new AttemptEnded(id, attempt, server, outcome, elapsed, concluded, null));
    }

    void fireTimer(long token) {
        loadBalancer.onEvent(now, new TimerFired(token));
    }

    /** Returns the server of the only send since the last call, or null if there was none. */
    String sentTo() {
        List<Recorder.Action> sends = recorder.take("send");
        if (sends.size() > 1) {
            throw new AssertionError("more than one send: " + sends);
        }
        return sends.isEmpty() ? null : sends.get(0).server();
    }

    /** Delivers a request, answers it at once and returns the server that it was sent to. */
    String requestAndAnswer(RequestClass c, Outcome outcome, long elapsed) {
        return requestAndAnswer(c, outcome, elapsed, outcome == Outcome.SERVED);
    }

    String requestAndAnswer(RequestClass c, Outcome outcome, long elapsed, boolean concluded) {
        String id = request(c);
        String server = sentTo();
        if (server != null) {
            endAttempt(id, 0, server, outcome, elapsed, concluded);
            recorder.take();
        }
        return server;
    }

    /** Delivers requests that are not answered and returns how many are sent. */
    int countSent(RequestClass c, int n) {
        int sent = 0;
        for (int i = 0; i < n; i++) {
            request(c);
            sent += sentTo() == null ? 0 : 1;
        }
        return sent;
    }

    /** Delivers all requests at once and answers each when it is sent. */
    void serveConcurrently(RequestClass c, int n, long elapsed) {
        for (int i = 0; i < n; i++) {
            request(c);
        }
        answerAllSent(elapsed);
    }

    /** Answers each request when it is sent, until none is; returns the requests in the order of their sends. */
    List<String> answerAllSent(long elapsed) {
        List<String> sent = new ArrayList<>();
        for (List<Recorder.Action> sends = recorder.take("send"); !sends.isEmpty(); sends = recorder.take("send")) {
            for (Recorder.Action a : sends) {
                sent.add(a.id());
                endAttempt(a.id(), 0, a.server(), Outcome.SERVED, elapsed);
            }
        }
        return sent;
    }

    /** Returns how many requests are sent before the next is queued; all are cancelled afterwards. */
    int maxInFlight() {
        List<Recorder.Action> inFlight = new ArrayList<>();
        List<String> requested = new ArrayList<>();
        for (List<Recorder.Action> sends = null; sends == null || !sends.isEmpty(); ) {
            requested.add(request(firstClass));
            sends = recorder.take("send");
            inFlight.addAll(sends);
        }
        requested.forEach(id -> loadBalancer.onEvent(now, new ClientDisconnected(id)));
        inFlight.forEach(a -> endAttempt(a.id(), 0, a.server(), Outcome.NOT_SENT, 0, true));
        recorder.take();
        return inFlight.size();
    }
}
