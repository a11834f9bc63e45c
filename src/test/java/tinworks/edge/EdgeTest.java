package tinworks.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import tinworks.channel.HostListVersion;
import tinworks.config.Configuration;
import tinworks.config.Configuration.Route;
import tinworks.config.Configuration.Split;
import tinworks.policy.LoadBalancerApi.Outcome;

/** Routing, the edge's protocol headers, and the freshness gate. */
class EdgeTest {
    private final EdgeProtocol protocol = new EdgeProtocol(1);

    private static Route route(String name, String domain, String prefix) {
        return new Route(name, domain, prefix, Configuration.Type.IDEM, 1000, 300, 1, List.of(new Split("s", 1)), 2);
    }

    @Test
    void longestPrefixWithinTheDomainWins() {
        RouteTable table = new RouteTable(List.of(
                route("a", "x.example", "/"),
                route("b", "x.example", "/p/"),
                route("c", "x.example", "/p/q/"),
                route("d", "y.example", "/p/")));
        assertEquals("c", table.find("X.example:8080", "/p/q/r?x=/p/").route().name());
        assertEquals("b", table.find("x.example", "/p/qq").route().name());
        assertEquals("a", table.find("x.example", "/p").route().name());
        assertEquals("d", table.find("y.example", "/p/").route().name());
        assertNull(table.find("y.example", "/q/"));
        assertNull(table.find("z.example", "/p/"));
        assertNull(table.find(null, "/p/"));
    }

    @Test
    void lookupTimeDoesNotGrowWithTheNumberOfRoutes() {
        List<Route> routes = new ArrayList<>();
        for (int i = 0; i < 100_000; i++) {
            routes.add(route("r" + i, "x.example", "/p" + i + "/"));
        }
        RouteTable table = new RouteTable(routes);
        long startedAtNanos = System.nanoTime();
        for (int i = 0; i < 100_000; i++) {
            assertEquals(
                    "r" + i,
                    table.find("x.example", "/p" + i + "/a/b/c").route().name());
        }
        // A linear search would take minutes; the bound is wide for slow machines.
        assertFalse(System.nanoTime() - startedAtNanos > TimeUnit.SECONDS.toNanos(20));
    }

    private static HttpResponse response(int status, String... headers) {
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        for (int i = 0; i < headers.length; i += 2) {
            response.headers().add(headers[i], headers[i + 1]);
        }
        return response;
    }

    @Test
    void onlyACompleteSealedResponseCountsAsServed() {
        assertEquals(
                Outcome.SERVED, protocol.outcome("id", response(200, "Origin-Seal", "s", "Attempt-Id", "id"), true));
        assertEquals(Outcome.SERVED, protocol.outcome("id", response(201, "Origin-Seal", "s"), true));
        assertEquals(Outcome.ERROR, protocol.outcome("id", response(200, "Origin-Seal", "s"), false));
        assertEquals(Outcome.ERROR, protocol.outcome("id", response(200), true));
        assertEquals(
                Outcome.ERROR,
                protocol.outcome("id", response(200, "Origin-Seal", "s", "Content-Encoding", "gzip"), true));
    }

    @Test
    void onlyNotRunProvesThatAHostDidNotRunARequest() {
        assertEquals(Outcome.FULL, protocol.outcome("id", response(503, "Not-Run", "1"), true));
        assertEquals(Outcome.CONNECT_FAILED, protocol.outcome("id", response(421, "Not-Run", "1"), true));
        assertFalse(protocol.outcome("id", response(503), true).provesNotExecuted());
        assertFalse(protocol.outcome("id", response(429), true).provesNotExecuted());
        assertFalse(protocol.outcome("id", response(500), true).provesNotExecuted());
    }

    @Test
    void requestIsForwardedWithItsRemainingTimeAndItsHost() {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.POST, "/p/?a=%20b", Unpooled.copiedBuffer(new byte[] {1, 2, 3}));
        request.headers()
                .add("Attempt-Id", "id")
                .add("Deadline-Ms", "1500")
                .add("Connection", "keep-alive, X-Hop")
                .add("X-Hop", "1")
                .add("X-End", "2")
                .add("Transfer-Encoding", "chunked")
                .add("Host", "x.example")
                .add("want-host", "i-8")
                .add("X-Bytes", "caf\u00e9")
                .add("X-Two", "a")
                .add("X-Two", "b");
        FullHttpRequest sent = protocol.forHost(request, "i-9", TimeUnit.MILLISECONDS.toNanos(900));
        assertEquals("/p/?a=%20b", sent.uri());
        assertEquals("900", sent.headers().get("Deadline-Ms"));
        assertEquals(List.of("i-9"), sent.headers().getAll("Want-Host"));
        assertEquals(List.of("a", "b"), sent.headers().getAll("x-two"));
        assertEquals("caf\u00e9", sent.headers().get("X-Bytes"), "bytes outside of ASCII are forwarded unchanged");
        assertEquals("3", sent.headers().get("Content-Length"));
        assertEquals("2", sent.headers().get("X-End"));
        assertNull(sent.headers().get("X-Hop"));
        assertNull(sent.headers().get("Transfer-Encoding"));
    }

    @Test
    void mutatingRequestNeedsARecentlyUsedConnection() {
        protocol.setMutatingClasses(Set.of("m"));
        assertEquals(Long.MAX_VALUE, protocol.maxIdleNanos("i"));
        assertFalse(protocol.maxIdleNanos("m") > TimeUnit.MILLISECONDS.toNanos(200));
    }

    @Test
    void newEdgeIsNotReadyWithTheStateOfANodeWithoutLeaderContact() {
        FreshnessGate gate = new FreshnessGate();
        gate.announced(4, HostListVersion.NONE, false);
        gate.holds(4, HostListVersion.NONE);
        assertFalse(gate.reached(), "the node that announces 4 may lag behind");
        gate.announced(7, HostListVersion.NONE, true);
        gate.holds(4, HostListVersion.NONE);
        assertFalse(gate.reached());
        gate.holds(7, HostListVersion.NONE);
        gate.announced(9, HostListVersion.NONE, true);
        gate.holds(7, HostListVersion.NONE);
        assertEquals(true, gate.reached(), "a later version does not make a ready edge unready");
    }
}
