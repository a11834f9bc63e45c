package tinworks.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tinworks.channel.HostList;
import tinworks.channel.HostList.Host;
import tinworks.channel.HostListVersion;
import tinworks.channel.MonotonicTime;
import tinworks.config.Configuration;
import tinworks.config.Configuration.Limits;
import tinworks.config.Configuration.Route;
import tinworks.config.Configuration.Service;
import tinworks.config.Configuration.Split;
import tinworks.edge.EdgeFixture.Client;
import tinworks.edge.EdgeFixture.Message;
import tinworks.local.FreePorts;
import tinworks.net.ClosingEventLoopGroup;
import tinworks.net.MonotonicClock;
import tinworks.net.ScriptedHost;
import tinworks.node.BootSettings;
import tinworks.node.NodeProcess;

/** Graceful shutdown of a whole edge while hosts process requests of both kinds. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class GracefulShutdownTest {
    private static final long GRACE_MILLIS = 6_000;
    private static final long FIRST_HALF_MILLIS = GRACE_MILLIS / 2;
    private static final long FIRST_HALF_NANOS = TimeUnit.MILLISECONDS.toNanos(FIRST_HALF_MILLIS);
    private static final String SERVED = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nOrigin-Seal: s\r\nAttempt-Id: ";
    /** More than the requests of a second, so that each host that misses its target counts as unresponsive. */
    private static final int HOSTS = 240;

    private static final int TARGET_MILLIS = 500;
    private static final int ROUNDS = 20;
    private static final int DEADLINE_MILLIS = 1_200;
    private static final int LAGGED_CLIENTS = 24;
    private static final long LAG_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private final ClosingEventLoopGroup group = new ClosingEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    /** The connections of requests in progress at a host, by request id. */
    private final Map<String, Socket> inProgress = new ConcurrentHashMap<>();

    /** How often each request arrived at a host. */
    private final Map<String, Integer> arrivals = new ConcurrentHashMap<>();

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(5_000);
    }

    private static Route route(String name, Configuration.Type type) {
        return new Route(
                name,
                EdgeFixture.DOMAIN,
                "/" + name + "/",
                type,
                20_000,
                TARGET_MILLIS,
                1,
                List.of(new Split("s", 1)),
                2);
    }

    private static void await(String what, BooleanSupplier holds) throws InterruptedException {
        for (long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20); !holds.getAsBoolean(); ) {
            assertTrue(System.nanoTime() < end, "timed out waiting for: " + what);
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    /**
     * Serves requests, but holds those named held, and rejects those named turned on first arrival and then holds them.
     */
    private void handle(Socket socket, ScriptedHost.Message request) throws java.io.IOException {
        String id = request.header("Attempt-Id");
        int times = arrivals.merge(id, 1, Integer::sum);
        if (id.startsWith("turned") && times == 1) {
            ScriptedHost.write(
                    socket, "HTTP/1.1 503 Full\r\nContent-Length: 0\r\nNot-Run: 1\r\nAttempt-Id: " + id + "\r\n\r\n");
        } else if (id.startsWith("held") || id.startsWith("turned")) {
            inProgress.put(id, socket);
        } else {
            ScriptedHost.write(socket, SERVED + id + "\r\n\r\nfine");
        }
    }

    private static boolean serves(int port, String id) {
        try (Client client = new Client(port)) {
            client.write(EdgeFixture.request(id, "i", "", 2_000, false));
            Message response = client.read();
            return response != null && response.status() == 200;
        } catch (java.io.IOException e) {
            return false;
        }
    }

    /** A running edge with {@link #HOSTS} hosts at one address, which serves requests. */
    private EdgeNode startServingEdge(List<Integer> ports, ScriptedHost host) throws Exception {
        return startServingEdge(ports, host, new MonotonicClock());
    }

    private EdgeNode startServingEdge(List<Integer> ports, ScriptedHost host, MonotonicClock clock) throws Exception {
        BootSettings settings = new BootSettings(
                "e",
                "z",
                new InetSocketAddress("127.0.0.1", ports.get(0)),
                new InetSocketAddress("127.0.0.1", ports.get(1)),
                null,
                new InetSocketAddress("127.0.0.1", ports.get(2)),
                List.of(),
                false,
                1_000,
                null,
                1,
                GRACE_MILLIS,
                new InetSocketAddress("127.0.0.1", ports.get(3)));
        Configuration configuration = new Configuration(
                1,
                List.of(route("i", Configuration.Type.IDEM), route("m", Configuration.Type.MUTATING)),
                Map.of("s", new Service("s", "/", 100)),
                Limits.DEFAULTS);
        EdgeNode edge = NodeProcess.call(loop, () -> new EdgeNode(loop, clock, settings, 7));
        for (ChannelFuture bound : NodeProcess.call(loop, edge::start)) {
            bound.syncUninterruptibly();
        }
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            hosts.add(new Host("i-" + i, "s", "127.0.0.1:" + host.address().getPort(), "z", 3, false, 0));
        }
        NodeProcess.run(loop, () -> {
            edge.hostListChanged(new HostList(new HostListVersion(1, 1), hosts));
            edge.decode(1, () -> configuration);
        });
        await("the edge serves", () -> serves(ports.get(0), "first" + System.nanoTime()));
        return edge;
    }

    /**
     * The event loop processes the signal late. A request that no host answers must still be answered by the edge
     * before the process is killed.
     */
    @Test
    void graceRunsFromTheSignalEvenIfTheEventLoopIsLate() throws Exception {
        List<Integer> ports = FreePorts.at("127.0.0.1", 4);
        try (ScriptedHost host = new ScriptedHost(this::handle)) {
            EdgeNode edge = startServingEdge(ports, host);
            long signalledAt = MonotonicTime.millis() - FIRST_HALF_MILLIS;
            NodeProcess.call(loop, () -> edge.shutDown(signalledAt));
            Map<String, Client> waiting = new LinkedHashMap<>();
            String id = sendUntilInProgress(waiting, ports.get(0), "held-m-late");
            try (Client client = waiting.get(id)) {
                assertEquals(
                        502,
                        client.read().status(),
                        "its host still processes it in the second half of the grace period");
                long after = MonotonicTime.millis() - signalledAt;
                assertTrue(
                        after > FIRST_HALF_MILLIS && after < GRACE_MILLIS,
                        "got the response " + after + " ms after the signal");
            }
        }
    }

    @Test
    void noRequestInProgressIsAbandonedInTheFirstHalfOfTheGrace() throws Exception {
        List<Integer> ports = FreePorts.at("127.0.0.1", 4);
        int http = ports.get(0);
        try (ScriptedHost host = new ScriptedHost(this::handle)) {
            EdgeNode edge = startServingEdge(ports, host);
            awaitRetryElsewhere(http, "held-i-control");
            Map<String, Client> waiting = sendBeforeAnyIsOverdue(http);
            long began = System.nanoTime();
            CompletableFuture<Void> ended = NodeProcess.call(loop, () -> edge.shutDown(MonotonicTime.millis()));
            for (String id : List.of("held-i-after", "held-m-after", "turned-i-after", "turned-m-after")) {
                sendUntilInProgress(waiting, http, id);
            }
            // Further requests are served and overtake them, until the edge stops accepting.
            int served = 0;
            for (int i = 0; System.nanoTime() - began < FIRST_HALF_NANOS * 8 / 10; i++) {
                served += serves(http, "other-" + i) ? 1 : 0;
                TimeUnit.MILLISECONDS.sleep(10);
            }
            assertTrue(served > 10, "served during shutdown: " + served);
            for (Map.Entry<String, Client> entry : waiting.entrySet()) {
                long left = TimeUnit.NANOSECONDS.toMillis(began + FIRST_HALF_NANOS - System.nanoTime());
                entry.getValue().socket.setSoTimeout((int) Math.max(1, left - 50));
                assertThrows(
                        SocketTimeoutException.class,
                        entry.getValue()::read,
                        () -> entry.getKey() + " received a response");
            }
            for (Map.Entry<String, Client> entry : waiting.entrySet()) {
                String id = entry.getKey();
                assertEquals(id.startsWith("turned") ? 2 : 1, arrivals.get(id), "arrivals at hosts: " + id);
                ScriptedHost.write(inProgress.get(id), SERVED + id + "\r\n\r\nfine");
                entry.getValue().socket.setSoTimeout(EdgeFixture.WAIT_MILLIS);
                Message response = entry.getValue().read();
                assertEquals(200, response.status(), id);
                assertEquals(id, response.headers().get("attempt-id"));
                assertEquals("close", response.headers().get("connection"));
            }
            ended.get(5, TimeUnit.SECONDS);
            for (Client client : waiting.values()) {
                client.close();
            }
        }
    }

    /** A request read after a stall may have been queued for as long as the stall, or may only just have arrived. */
    @Test
    void noRequestIsCutShortForAQueueingDelayItMayNotHaveHad() throws Exception {
        List<Integer> ports = FreePorts.at("127.0.0.1", 4);
        try (ScriptedHost host = new ScriptedHost(this::handle)) {
            EdgeNode edge = startServingEdge(
                    ports, host, new MonotonicClock(() -> TimeUnit.MILLISECONDS.toNanos(TARGET_MILLIS)));
            NodeProcess.call(loop, () -> edge.shutDown(MonotonicTime.millis()));
            for (String route : List.of("i", "m")) {
                try (Client client = new Client(ports.get(0))) {
                    String id = "held-" + route + "-" + System.nanoTime();
                    long sentAt = System.nanoTime();
                    client.write(
                            EdgeFixture.request(id, route, route.equals("m") ? "body" : "", DEADLINE_MILLIS, false));
                    assertEquals(route.equals("m") ? 502 : 503, client.read().status());
                    long after = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt);
                    assertTrue(arrivals.containsKey(id), "a host processed it");
                    assertTrue(after >= DEADLINE_MILLIS, "ended after " + after + " ms, before its deadline");
                }
            }
        }
    }

    /** Clients use new and reused connections while the event loop is busy for most of the time. */
    @Test
    void laggingEdgeAnswersEveryRequestThatReachedAHost() throws Exception {
        List<Integer> ports = FreePorts.at("127.0.0.1", 4);
        try (ScriptedHost host = new ScriptedHost(this::handle)) {
            EdgeNode edge = startServingEdge(ports, host);
            Map<String, String> statusById = new ConcurrentHashMap<>();
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < LAGGED_CLIENTS; i++) {
                String name = "lagged-" + i + "-";
                boolean reusesConnection = i % 2 == 0;
                clients.add(
                        new Thread(() -> sendUntilConnectionRefused(ports.get(0), name, reusesConnection, statusById)));
            }
            clients.forEach(Thread::start);
            await("requests are served", () -> statusById.size() > LAGGED_CLIENTS);
            NodeProcess.run(loop, this::startLag);
            Set<String> before = Set.copyOf(arrivals.keySet());
            CompletableFuture<Void> ended = NodeProcess.call(loop, () -> edge.shutDown(MonotonicTime.millis()));
            ended.get(GRACE_MILLIS, TimeUnit.MILLISECONDS);
            for (Thread client : clients) {
                client.join();
            }
            statusById.keySet().retainAll(arrivals.keySet());
            statusById.keySet().removeAll(before);
            assertTrue(
                    statusById.size() > LAGGED_CLIENTS,
                    "requests that reached hosts since the signal: " + statusById.size());
            statusById.values().removeIf("200"::equals);
            assertEquals(Map.of(), statusById, "these reached a host but were not served");
        }
    }

    /** Keeps the event loop busy for two thirds of the time from now on. */
    private void startLag() {
        LockSupport.parkNanos(2 * LAG_NANOS);
        loop.schedule(this::startLag, LAG_NANOS, TimeUnit.NANOSECONDS);
    }

    /** Sends requests one after the other until connections are refused, and records the status of each. */
    private static void sendUntilConnectionRefused(
            int port, String name, boolean reusesConnection, Map<String, String> statusById) {
        Client client = null;
        try {
            for (int i = 0; ; i++) {
                client = client == null ? new Client(port) : client;
                String id = name + i;
                boolean mutating = i % 3 == 0;
                Message response = null;
                try {
                    client.write(EdgeFixture.request(id, mutating ? "m" : "i", mutating ? "body" : "", 3_000, false));
                    response = client.read();
                } catch (java.io.IOException e) {
                    // The edge closed the connection: the response is cut or missing.
                }
                statusById.put(id, response == null ? "nothing" : String.valueOf(response.status()));
                boolean ends =
                        response == null || "close".equals(response.headers().get("connection"));
                if (ends || !reusesConnection) {
                    client.close();
                    client = null;
                }
            }
        } catch (java.io.IOException e) {
            // Connections are no longer accepted.
        }
    }

    /** Requests in progress, none of which has exceeded its target yet: an overdue one could be retried elsewhere. */
    private Map<String, Client> sendBeforeAnyIsOverdue(int port) throws Exception {
        for (int round = 0; round < ROUNDS; round++) {
            Map<String, Client> waiting = new LinkedHashMap<>();
            long began = System.nanoTime();
            for (String name : List.of("held-i-before-", "held-m-before-", "turned-i-before-", "turned-m-before-")) {
                sendUntilInProgress(waiting, port, name + round);
            }
            if (System.nanoTime() - began < TimeUnit.MILLISECONDS.toNanos(TARGET_MILLIS)) {
                return waiting;
            }
            for (Client client : waiting.values()) {
                client.close();
            }
        }
        throw new AssertionError(
                "the machine is too slow to get four requests to hosts within " + TARGET_MILLIS + " ms");
    }

    /**
     * Positive control: before the signal, a request held by an unresponsive host is cancelled and retried at another
     * one. Without the guard the same would happen during shutdown.
     */
    private void awaitRetryElsewhere(int port, String name) throws Exception {
        Map<String, Client> control = new LinkedHashMap<>();
        String id = sendUntilInProgress(control, port, name);
        await(id + " is retried at another host", () -> {
            serves(port, "beside-" + System.nanoTime());
            return arrivals.get(id) == 2;
        });
        control.get(id).close();
    }

    /** Sends a request until a host processes it; the edge may refuse it first if the machine is busy. */
    private String sendUntilInProgress(Map<String, Client> waiting, int port, String name) throws Exception {
        for (int attempt = 0; attempt < 20; attempt++) {
            String id = name + "-" + attempt;
            Client client = new Client(port);
            client.write(EdgeFixture.request(
                    id, id.contains("-m-") ? "m" : "i", id.contains("-m-") ? "body" : "", 15_000, false));
            await("a host to process " + id + ", or a refusal", () -> inProgress.containsKey(id) || available(client));
            if (inProgress.containsKey(id)) {
                waiting.put(id, client);
                return id;
            }
            assertEquals(503, client.read().status(), "no host processes it");
            client.close();
            // Retries draw on a budget that is a fraction of the requests.
            for (int i = 0; i < 10; i++) {
                serves(port, "between-" + id + "-" + i);
            }
        }
        throw new AssertionError("no host ever processed " + name);
    }

    private static boolean available(Client client) {
        try {
            return client.socket.getInputStream().available() > 0;
        } catch (java.io.IOException e) {
            return true;
        }
    }
}
