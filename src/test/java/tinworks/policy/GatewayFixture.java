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

/** A gateway under test: its module, its recorder, and short ways to say what happens. */
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

    /** Servers s0, s1 and so on, warm, in the gateway's zone. */
    GatewayFixture withServers(int servers) {
        return withServers(servers, "a");
    }

    /** The same, in the gateway's zone and another by turns. */
    GatewayFixture withServers(int servers, String otherZone) {
        List<ServerInfo> list = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            list.add(server("s" + i, i % 2 == 0 ? "a" : otherZone, Readiness.READY, 0));
        }
        list(ServerListKind.CACHED, list);
        return this;
    }

    void list(ServerListKind kind, List<ServerInfo> servers) {
        loadBalancer.onEvent(now, new ServerListReceived(kind, servers));
    }

    void list(ServerListKind kind, ServerInfo... servers) {
        list(kind, List.of(servers));
    }

    /** A request of the class; its id. */
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

    /** The server that the only send since the last look went to, or null. */
    String sentTo() {
        List<Recorder.Action> sends = recorder.take("send");
        if (sends.size() > 1) {
            throw new AssertionError("more than one send: " + sends);
        }
        return sends.isEmpty() ? null : sends.get(0).server();
    }

    /** Asks and answers at once; the server that served. */
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

    /** How many of so many requests go out when none is answered. */
    int countSent(RequestClass c, int n) {
        int out = 0;
        for (int i = 0; i < n; i++) {
            request(c);
            out += sentTo() == null ? 0 : 1;
        }
        return out;
    }

    /** Asks all at once and answers each when it is out. */
    void serveConcurrently(RequestClass c, int n, long elapsed) {
        for (int i = 0; i < n; i++) {
            request(c);
        }
        answerAllSent(elapsed);
    }

    /** Answers each request when it is out, until none is; the requests in the order in which they went out. */
    List<String> answerAllSent(long elapsed) {
        List<String> sent = new ArrayList<>();
        for (List<Recorder.Action> out = recorder.take("send"); !out.isEmpty(); out = recorder.take("send")) {
            for (Recorder.Action a : out) {
                sent.add(a.id());
                endAttempt(a.id(), 0, a.server(), Outcome.SERVED, elapsed);
            }
        }
        return sent;
    }

    /** How many requests go out before the next is held; all are called back afterwards. */
    int maxInFlight() {
        List<Recorder.Action> out = new ArrayList<>();
        List<String> asked = new ArrayList<>();
        for (List<Recorder.Action> sends = null; sends == null || !sends.isEmpty(); ) {
            asked.add(request(firstClass));
            sends = recorder.take("send");
            out.addAll(sends);
        }
        asked.forEach(id -> loadBalancer.onEvent(now, new ClientDisconnected(id)));
        out.forEach(a -> endAttempt(a.id(), 0, a.server(), Outcome.NOT_SENT, 0, true));
        recorder.take();
        return out.size();
    }
}
