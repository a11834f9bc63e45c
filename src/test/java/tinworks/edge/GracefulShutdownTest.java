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

/** A whole edge after its SIGTERM, with hosts at work on requests of both kinds. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class GracefulShutdownTest {
    private static final long GRACE_MILLIS = 6_000;
    private static final long FIRST_HALF_MILLIS = GRACE_MILLIS / 2;
    private static final long FIRST_HALF_NANOS = TimeUnit.MILLISECONDS.toNanos(FIRST_HALF_MILLIS);
    private static final String SERVED = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nOrigin-Seal: s\r\nAttempt-Id: ";
    /** More than the requests of a second, so that each host which has not answered in time is taken for silent. */
    private static final int HOSTS = 240;

    private static final int AIM_MILLIS = 500;
    private static final int ROUNDS = 20;
    private static final int DEADLINE_MILLIS = 1_200;
    private static final int LAGGED_CLIENTS = 24;
    private static final long LAG_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private final ClosingEventLoopGroup group = new ClosingEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    /** Requests at work by their ids, and how often each came. */
    private final Map<String, Socket> atWork = new ConcurrentHashMap<>();

    private final Map<String, Integer> came = new ConcurrentHashMap<>();

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(5_000);
    }

    private static Route route(String name, Configuration.Type type) {
        return new Route(
                name, EdgeFixture.DOMAIN, "/" + name + "/", type, 20_000, AIM_MILLIS, 1, List.of(new Split("s", 1)), 2);
    }

    private static void await(String what, BooleanSupplier holds) throws InterruptedException {
        for (long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20); !holds.getAsBoolean(); ) {
            assertTrue(System.nanoTime() < end, "not in time: " + what);
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    /** Serves, but keeps those called held at work, and turns those called turned away the first time. */
    private void host(Socket socket, ScriptedHost.Message request) throws java.io.IOException {
        String id = request.header("Attempt-Id");
        int times = came.merge(id, 1, Integer::sum);
        if (id.startsWith("turned") && times == 1) {
            ScriptedHost.write(
                    socket, "HTTP/1.1 503 Full\r\nContent-Length: 0\r\nNot-Run: 1\r\nAttempt-Id: " + id + "\r\n\r\n");
        } else if (id.startsWith("held") || id.startsWith("turned")) {
            atWork.put(id, socket);
        } else {
            ScriptedHost.write(socket, SERVED + id + "\r\n\r\nfine");
        }
    }

    private static boolean serves(int port, String id) {
        try (Client client = new Client(port)) {
            client.write(EdgeFixture.request(id, "i", "", 2_000, false));
            Message answer = client.read();
            return answer != null && answer.status() == 200;
        } catch (java.io.IOException e) {
            return false;
        }
    }

    /** A whole edge that serves, with {@link #HOSTS} hosts at one address. */
    private EdgeNode serving(List<Integer> ports, ScriptedHost host) throws Exception {
        return serving(ports, host, new MonotonicClock());
    }

    private EdgeNode serving(List<Integer> ports, ScriptedHost host, MonotonicClock clock) throws Exception {
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
     * A signal that the event loop gets to late: what no host answers is answered here while the process still lives.
     */
    @Test
    void theGraceRunsFromTheSignalAndNotFromWhenTheEventLoopGetsToIt() throws Exception {
        List<Integer> ports = FreePorts.at("127.0.0.1", 4);
        try (ScriptedHost host = new ScriptedHost(this::host)) {
            EdgeNode edge = serving(ports, host);
            long signalledAt = MonotonicTime.millis() - FIRST_HALF_MILLIS;
            NodeProcess.call(loop, () -> edge.shutDown(signalledAt));
            Map<String, Client> waiting = new LinkedHashMap<>();
            String id = ask(waiting, ports.get(0), "held-m-late");
            try (Client client = waiting.get(id)) {
                assertEquals(502, client.read().status(), "its host is still at work in the second half of the grace");
                long after = MonotonicTime.millis() - signalledAt;
                assertTrue(
                        after > FIRST_HALF_MILLIS && after < GRACE_MILLIS,
                        "answered " + after + " ms after the signal");
            }
        }
    }

    @Test
    void noRequestThatAHostWorksOnIsGivenUpInTheFirstHalfOfTheGrace() throws Exception {
        List<Integer> ports = FreePorts.at("127.0.0.1", 4);
        int http = ports.get(0);
        try (ScriptedHost host = new ScriptedHost(this::host)) {
            EdgeNode edge = serving(ports, host);
            awaitSentElsewhere(http, "held-i-control");
            Map<String, Client> waiting = askBeforeAnyIsOverdue(http);
            long began = System.nanoTime();
            CompletableFuture<Void> ended = NodeProcess.call(loop, () -> edge.shutDown(MonotonicTime.millis()));
            for (String id : List.of("held-i-after", "held-m-after", "turned-i-after", "turned-m-after")) {
                ask(waiting, http, id);
            }
            // Others are served on and overtake them, until nobody is taken in any more.
            int served = 0;
            for (int i = 0; System.nanoTime() - began < FIRST_HALF_NANOS * 8 / 10; i++) {
                served += serves(http, "other-" + i) ? 1 : 0;
                TimeUnit.MILLISECONDS.sleep(10);
            }
            assertTrue(served > 10, "served on: " + served);
            for (Map.Entry<String, Client> one : waiting.entrySet()) {
                long left = TimeUnit.NANOSECONDS.toMillis(began + FIRST_HALF_NANOS - System.nanoTime());
                one.getValue().socket.setSoTimeout((int) Math.max(1, left - 50));
                assertThrows(
                        SocketTimeoutException.class, one.getValue()::read, () -> one.getKey() + " was told something");
            }
            for (Map.Entry<String, Client> one : waiting.entrySet()) {
                String id = one.getKey();
                assertEquals(id.startsWith("turned") ? 2 : 1, came.get(id), "at one host's work: " + id);
                ScriptedHost.write(atWork.get(id), SERVED + id + "\r\n\r\nfine");
                one.getValue().socket.setSoTimeout(EdgeFixture.PATIENCE_MILLIS);
                Message answer = one.getValue().read();
                assertEquals(200, answer.status(), id);
                assertEquals(id, answer.headers().get("attempt-id"));
                assertEquals("close", answer.headers().get("connection"));
            }
            ended.get(5, TimeUnit.SECONDS);
            for (Client client : waiting.values()) {
                client.close();
            }
        }
    }

    /** What is read after long work may have lain here for as long, or may have come only just now. */
    @Test
    void noRequestIsBrokenOffForTimeThatItOnlyMayHaveLainUnread() throws Exception {
        List<Integer> ports = FreePorts.at("127.0.0.1", 4);
        try (ScriptedHost host = new ScriptedHost(this::host)) {
            EdgeNode edge = serving(ports, host, new MonotonicClock(() -> TimeUnit.MILLISECONDS.toNanos(AIM_MILLIS)));
            NodeProcess.call(loop, () -> edge.shutDown(MonotonicTime.millis()));
            for (String route : List.of("i", "m")) {
                try (Client client = new Client(ports.get(0))) {
                    String id = "held-" + route + "-" + System.nanoTime();
                    long sentAt = System.nanoTime();
                    client.write(
                            EdgeFixture.request(id, route, route.equals("m") ? "body" : "", DEADLINE_MILLIS, false));
                    assertEquals(route.equals("m") ? 502 : 503, client.read().status());
                    long after = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt);
                    assertTrue(came.containsKey(id), "a host was at work on it");
                    assertTrue(after >= DEADLINE_MILLIS, "broken off after " + after + " ms, before its deadline");
                }
            }
        }
    }

    /** Clients on new and on kept connections, while the event loop is at other work for most of the time. */
    @Test
    void anEdgeWhoseEventLoopLagsAnswersAllThatCameToAHost() throws Exception {
        List<Integer> ports = FreePorts.at("127.0.0.1", 4);
        try (ScriptedHost host = new ScriptedHost(this::host)) {
            EdgeNode edge = serving(ports, host);
            Map<String, String> told = new ConcurrentHashMap<>();
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < LAGGED_CLIENTS; i++) {
                String name = "lagged-" + i + "-";
                boolean keeps = i % 2 == 0;
                clients.add(new Thread(() -> askUntilRefused(ports.get(0), name, keeps, told)));
            }
            clients.forEach(Thread::start);
            await("requests are served", () -> told.size() > LAGGED_CLIENTS);
            NodeProcess.run(loop, this::lag);
            Set<String> before = Set.copyOf(came.keySet());
            CompletableFuture<Void> ended = NodeProcess.call(loop, () -> edge.shutDown(MonotonicTime.millis()));
            ended.get(GRACE_MILLIS, TimeUnit.MILLISECONDS);
            for (Thread client : clients) {
                client.join();
            }
            told.keySet().retainAll(came.keySet());
            told.keySet().removeAll(before);
            assertTrue(told.size() > LAGGED_CLIENTS, "came to hosts since the signal: " + told.size());
            told.values().removeIf("200"::equals);
            assertEquals(Map.of(), told, "a host got these");
        }
    }

    /** From now on the event loop is at other work for two thirds of the time. */
    private void lag() {
        LockSupport.parkNanos(2 * LAG_NANOS);
        loop.schedule(this::lag, LAG_NANOS, TimeUnit.NANOSECONDS);
    }

    /** Asks for one thing after the other until nobody takes connections any more, and notes what was told of each. */
    private static void askUntilRefused(int port, String name, boolean keeps, Map<String, String> told) {
        Client client = null;
        try {
            for (int i = 0; ; i++) {
                client = client == null ? new Client(port) : client;
                String id = name + i;
                boolean mutating = i % 3 == 0;
                Message answer = null;
                try {
                    client.write(EdgeFixture.request(id, mutating ? "m" : "i", mutating ? "body" : "", 3_000, false));
                    answer = client.read();
                } catch (java.io.IOException e) {
                    // The edge has closed the connection: an answer that is cut, or none.
                }
                told.put(id, answer == null ? "nothing" : String.valueOf(answer.status()));
                boolean ends = answer == null || "close".equals(answer.headers().get("connection"));
                if (ends || !keeps) {
                    client.close();
                    client = null;
                }
            }
        } catch (java.io.IOException e) {
            // No connection is taken any more.
        }
    }

    /** Requests at their hosts, of which none has been there for its aim yet: what is overdue may be sent elsewhere. */
    private Map<String, Client> askBeforeAnyIsOverdue(int port) throws Exception {
        for (int round = 0; round < ROUNDS; round++) {
            Map<String, Client> waiting = new LinkedHashMap<>();
            long began = System.nanoTime();
            for (String name : List.of("held-i-before-", "held-m-before-", "turned-i-before-", "turned-m-before-")) {
                ask(waiting, port, name + round);
            }
            if (System.nanoTime() - began < TimeUnit.MILLISECONDS.toNanos(AIM_MILLIS)) {
                return waiting;
            }
            for (Client client : waiting.values()) {
                client.close();
            }
        }
        throw new AssertionError("too slow a machine to have four requests at hosts within " + AIM_MILLIS + " ms");
    }

    /**
     * Before the signal, what a silent host holds is called off and sent to another: without the guard it would be
     * after it too.
     */
    private void awaitSentElsewhere(int port, String name) throws Exception {
        Map<String, Client> control = new LinkedHashMap<>();
        String id = ask(control, port, name);
        await(id + " is sent to another host", () -> {
            serves(port, "beside-" + System.nanoTime());
            return came.get(id) == 2;
        });
        control.get(id).close();
    }

    /** Until a host is at work on it; one that the edge refused before, on a busy machine, is asked anew. */
    private String ask(Map<String, Client> waiting, int port, String name) throws Exception {
        for (int tries = 0; tries < 20; tries++) {
            String id = name + "-" + tries;
            Client client = new Client(port);
            client.write(EdgeFixture.request(
                    id, id.contains("-m-") ? "m" : "i", id.contains("-m-") ? "body" : "", 15_000, false));
            await("a host at work on " + id + ", or a refusal", () -> atWork.containsKey(id) || available(client));
            if (atWork.containsKey(id)) {
                waiting.put(id, client);
                return id;
            }
            assertEquals(503, client.read().status(), "no host is at work on it");
            client.close();
            // Further tries come out of a part of the requests.
            for (int i = 0; i < 10; i++) {
                serves(port, "between-" + id + "-" + i);
            }
        }
        throw new AssertionError("no host ever worked on " + name);
    }

    private static boolean available(Client client) {
        try {
            return client.socket.getInputStream().available() > 0;
        } catch (java.io.IOException e) {
            return true;
        }
    }
}
