package tinworks.system;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import tinworks.control.CoreNode;
import tinworks.edge.EdgeNode;
import tinworks.local.FreePorts;
import tinworks.net.ClosingEventLoopGroup;
import tinworks.net.MonotonicClock;
import tinworks.node.BootSettings;
import tinworks.node.NodeProcess;
import tinworks.raft.HardState;
import tinworks.raft.Member;
import tinworks.raft.Snapshot;
import tinworks.store.CoreStore;

/** End-to-end test: three core nodes and an edge over loopback, with stubs of the platform and of a host. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class WholeSystemTest {
    private static final long MAX_WAIT_SECONDS = 20;

    @TempDir
    private Path disks;

    private final ClosingEventLoopGroup group = new ClosingEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final List<CoreNode> cores = new ArrayList<>();
    private HttpServer platform;
    private HttpServer host;
    private EdgeNode edge;
    private int peerPort;
    private int ctl;
    private int http;
    private int readyz;

    @BeforeEach
    void start() throws Exception {
        platform = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        host = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        platform.createContext(
                "/hosts",
                call -> answer(
                        call,
                        "{\"hosts\":[{\"svc\":\"s\",\"addr\":\"127.0.0.1:"
                                + host.getAddress().getPort()
                                + "\",\"az\":\"z\",\"slots\":3,\"status\":\"ready\",\"warmupMs\":0,\"id\":\"i-1\"}],"
                                + "\"nextCursor\":null}"));
        host.createContext("/", call -> {
            call.getResponseHeaders().add("Origin-Seal", "seal");
            call.getResponseHeaders().add("Attempt-Id", call.getRequestHeaders().getFirst("Attempt-Id"));
            answer(
                    call,
                    "ran " + call.getRequestURI() + " for "
                            + call.getRequestHeaders().getFirst("Want-Host"));
        });
        platform.start();
        host.start();
        List<Integer> ports = FreePorts.at("127.0.0.2", 4);
        peerPort = ports.get(0);
        ctl = ports.get(1);
        http = ports.get(2);
        readyz = ports.get(3);
        List<Member> voters = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            voters.add(new Member(i + 1, ip(i) + ":" + peerPort));
        }
        for (int i = 0; i < 3; i++) {
            CoreStore store = CoreStore.open(disks.resolve("core" + i));
            store.initialize(i + 1, HardState.NONE, new Snapshot(0, 0, voters, new byte[0]));
            long id = i + 1L;
            BootSettings settings = settings("core-" + i, ip(i));
            CoreNode core = onLoop(() -> new CoreNode(loop, settings, store, id, store.load()));
            cores.add(core);
            onLoop(core::start)
                    .forEach(bound ->
                            assertTrue(bound.awaitUninterruptibly().isSuccess(), String.valueOf(bound.cause())));
        }
        edge = onLoop(() -> new EdgeNode(loop, new MonotonicClock(), settings("edge-1", "127.0.0.9"), 77));
        onLoop(edge::start)
                .forEach(bound -> assertTrue(bound.awaitUninterruptibly().isSuccess(), String.valueOf(bound.cause())));
    }

    @AfterEach
    void stop() throws Exception {
        for (CoreNode core : cores) {
            onLoop(() -> {
                core.close();
                return true;
            });
            core.awaitClosed(5_000);
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(5, TimeUnit.SECONDS);
        platform.stop(0);
        host.stop(0);
    }

    private static String ip(int i) {
        return "127.0.0." + (i + 2);
    }

    private BootSettings settings(String node, String ip) {
        return new BootSettings(
                node,
                "z",
                new InetSocketAddress(ip, http),
                new InetSocketAddress(ip, readyz),
                new InetSocketAddress(ip, ctl),
                new InetSocketAddress(ip, peerPort),
                List.of(ip(0) + ":" + peerPort, ip(1) + ":" + peerPort, ip(2) + ":" + peerPort),
                true,
                1_000,
                null,
                1,
                6_000,
                platform.getAddress());
    }

    private <T> T onLoop(Callable<T> work) {
        return NodeProcess.call(loop, work);
    }

    private static void answer(com.sun.net.httpserver.HttpExchange call, String text) throws IOException {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        call.getRequestBody().readAllBytes();
        call.sendResponseHeaders(200, body.length);
        call.getResponseBody().write(body);
        call.close();
    }

    /**
     * Sends one request on a new connection; returns the whole response as text, or an empty text where there was none.
     */
    private static String call(String ip, int port, String head, String body) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port), 2_000);
            socket.setSoTimeout(5_000);
            socket.getOutputStream()
                    .write((head + "\r\nConnection: close\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                            .getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            return "";
        }
    }

    private static void await(String what, Callable<Boolean> holds) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_WAIT_SECONDS);
        while (!holds.call()) {
            assertTrue(System.nanoTime() < until, "timed out waiting: " + what);
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    private static String configuration(int rev, String prefix) {
        return "{\"rev\":" + rev + ",\"routes\":[{\"name\":\"r\",\"domain\":\"x.example\",\"prefix\":\"" + prefix
                + "\",\"type\":\"mutating\",\"timeoutMs\":3000,\"targetMs\":500,\"svc\":\"s\"}],\"svcs\":[{\"name\":\"s\"}]}";
    }

    private String replace(int core, long base, String body) throws IOException {
        return call(ip(core), ctl, "POST /-/config/replace HTTP/1.1\r\nHost: ctl\r\nBase-Rev: " + base, body);
    }

    private String request(String path, String id) throws IOException {
        return call(
                "127.0.0.9",
                http,
                "POST " + path + " HTTP/1.1\r\nHost: x.example\r\nDeadline-Ms: 3000\r\nAttempt-Id: " + id,
                "");
    }

    private static boolean is(String answer, int status) {
        return answer.startsWith("HTTP/1.1 " + status + " ");
    }

    @Test
    void aConfigurationReachesTheEdgeAndSurvivesTheLossOfTheLeader() throws Exception {
        assertTrue(
                is(request("/p/1", "a0"), 503),
                "without a configuration, routes are unknown, so the answer is 503 and not 404");
        await("the first configuration is accepted", () -> is(replace(0, 0, configuration(2, "/p/")), 200));
        await("the edge is ready", () -> is(call("127.0.0.9", readyz, "GET /-/readyz HTTP/1.1\r\nHost: e", ""), 200));
        await(
                "a request is served",
                () -> request("/p/1?x=1", "a" + System.nanoTime()).endsWith("ran /p/1?x=1 for i-1"));
        assertTrue(is(request("/q/1", "a2"), 404));
        String edgeMetrics = call("127.0.0.9", readyz, "GET /-/metrics HTTP/1.1\r\nHost: e", "");
        assertTrue(edgeMetrics.contains("tinworks_configuration_version 2.0"), edgeMetrics);
        assertTrue(edgeMetrics.contains("tinworks_attempts_total{outcome=\"served\",service=\"s\"} 1.0"), edgeMetrics);
        assertTrue(call(ip(0), ctl, "GET /-/metrics HTTP/1.1\r\nHost: c", "").contains("tinworks_voters 3.0"));

        assertTrue(is(replace(1, 2, configuration(3, "/p/").replace("\"svc\":\"s\"", "\"svc\":\"t\"")), 400));
        assertTrue(is(replace(1, 1, configuration(3, "/p/")), 412), "based on a version that is not current");
        assertTrue(is(replace(2, 0, configuration(2, "/p/")), 200), "a retry of the same change at another node");

        await(
                "a core node is fresh under the leader lease",
                () -> call(ip(1), ctl, "GET /-/status HTTP/1.1\r\nHost: c", "").contains("\"fresh\":true")
                        && is(call(ip(1), ctl, "GET /-/readyz HTTP/1.1\r\nHost: c", ""), 200));

        int leader = -1;
        for (int i = 0; i < 3; i++) {
            if (call(ip(i), ctl, "GET /-/status HTTP/1.1\r\nHost: c", "").contains("\"role\":\"LEADER\"")) {
                leader = i;
            }
        }
        assertTrue(leader >= 0);
        CoreNode stopped = cores.remove(leader);
        onLoop(() -> {
            stopped.close();
            return true;
        });
        stopped.awaitClosed(5_000);
        int other = (leader + 1) % 3;
        await(
                "the other nodes commit a change without the old leader",
                () -> is(replace(other, 2, configuration(5, "/q/")), 200));
        await("the edge applies the new configuration", () -> is(request("/q/1", "b" + System.nanoTime()), 200));
        assertTrue(is(request("/p/1", "b2"), 404), "the removed route");
        String shown = call(ip((leader + 2) % 3), ctl, "GET /-/config/show HTTP/1.1\r\nHost: c", "");
        assertEquals(configuration(5, "/q/"), shown.substring(shown.indexOf("\r\n\r\n") + 4));
    }
}
