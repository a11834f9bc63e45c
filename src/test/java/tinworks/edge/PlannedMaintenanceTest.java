package tinworks.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
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
import tinworks.net.MonotonicClock;
import tinworks.net.ScriptedHost;
import tinworks.node.BootSettings;
import tinworks.node.NodeProcess;

/** Reloads and graceful shutdown of a whole edge under load, with hosts that take tens of milliseconds. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class PlannedMaintenanceTest {
    private static final int CLIENTS = 16;
    private static final int HOSTS = 24;
    private static final int REQUESTS = 2_000;
    private static final int TIMEOUT_MILLIS = 20_000;
    private static final long GRACE_MILLIS = 6_000;
    private static final long MAX_CLOSE_RACE_MILLIS = 200;
    private static final long MIN_WORK_MILLIS = 10;
    private static final int WORK_SPREAD_MILLIS = 40;
    private static final long SETTINGS_INTERVAL_MILLIS = 5;
    private static final long VERSION_INTERVAL_MILLIS = 10;
    private static final int MAX_ATTEMPTS = 3;
    private static final String SERVED = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nOrigin-Seal: s\r\nAttempt-Id: ";

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Set<String> startedAtHost = ConcurrentHashMap.newKeySet();
    private final List<String> failures = new CopyOnWriteArrayList<>();
    private final AtomicInteger ids = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger closedUnread = new AtomicInteger();
    private volatile boolean finished;
    private volatile boolean shuttingDown;
    private ScriptedHost host;
    private BootSettings settings;
    private EdgeNode edge;
    private int port;

    @BeforeEach
    void start() throws Exception {
        host = new ScriptedHost(this::handle);
        List<Integer> ports = FreePorts.at("127.0.0.1", 4);
        port = ports.get(0);
        settings = settings(ports, GRACE_MILLIS);
        edge = NodeProcess.call(loop, () -> new EdgeNode(loop, new MonotonicClock(), settings, 7));
        for (ChannelFuture bound : NodeProcess.call(loop, edge::start)) {
            bound.syncUninterruptibly();
        }
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            String service = i % 2 == 0 ? "s" : "t";
            hosts.add(new Host("i-" + i, service, "127.0.0.1:" + host.address().getPort(), "z", 3, false, 0));
        }
        NodeProcess.run(loop, () -> {
            edge.hostListChanged(new HostList(new HostListVersion(1, 1), hosts));
            edge.decode(1, () -> version(1));
        });
        for (long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
                !isServed("warm-" + ids.incrementAndGet()); ) {
            assertTrue(System.nanoTime() < end, "the edge does not serve");
        }
    }

    @AfterEach
    void stop() {
        host.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(5_000);
    }

    private static BootSettings settings(List<Integer> ports, long graceMillis) {
        return new BootSettings(
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
                graceMillis,
                new InetSocketAddress("127.0.0.1", ports.get(3)));
    }

    /**
     * Each version moves the routes between services and changes their attempts and types, other routes and the limits.
     */
    private static Configuration version(int rev) {
        List<Route> routes = new ArrayList<>();
        routes.add(route("i", rev % 2 == 0 ? "s" : "t", Configuration.Type.IDEM, 1 + rev % MAX_ATTEMPTS));
        routes.add(route("m", rev % 3 == 0 ? "s" : "t", Configuration.Type.MUTATING, 1 + rev % MAX_ATTEMPTS));
        routes.add(route(
                "changing",
                rev % 5 == 0 ? "s" : "t",
                rev % 4 < 2 ? Configuration.Type.IDEM : Configuration.Type.MUTATING,
                2));
        for (int i = 0; i < rev % 7; i++) {
            routes.add(route("other-" + rev + "-" + i, "s", Configuration.Type.IDEM, 2));
        }
        Limits limits = rev % 2 == 0 ? Limits.DEFAULTS : new Limits(8_192, 1 << 16, 3_000, 15_000);
        return new Configuration(
                rev, routes, Map.of("s", new Service("s", "/", 100), "t", new Service("t", "/", 100)), limits);
    }

    private static Route route(String name, String service, Configuration.Type type, int maxAttempts) {
        return new Route(
                name,
                EdgeFixture.DOMAIN,
                "/" + name + "/",
                type,
                TIMEOUT_MILLIS,
                TIMEOUT_MILLIS / 2,
                1,
                List.of(new Split(service, 1)),
                maxAttempts);
    }

    private void handle(Socket socket, ScriptedHost.Message request) throws IOException {
        String id = request.header("Attempt-Id");
        startedAtHost.add(id);
        try {
            TimeUnit.MILLISECONDS.sleep(MIN_WORK_MILLIS + Math.floorMod(id.hashCode(), WORK_SPREAD_MILLIS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        ScriptedHost.write(socket, SERVED + id + "\r\n\r\nfine");
    }

    private boolean isServed(String id) throws IOException {
        try (Client client = new Client(port)) {
            client.write(EdgeFixture.request(id, "i", "", TIMEOUT_MILLIS, false));
            Message response = client.read();
            return response != null && response.status() == 200;
        }
    }

    /** Sends requests, reconnecting when needed, until the test is finished or connections are refused. */
    private void sendUntilFinished() {
        Client client = null;
        try {
            while (!finished) {
                client = client == null ? new Client(port) : client;
                client = sendOne(client) ? client : null;
            }
        } catch (IOException e) {
            if (!shuttingDown) {
                failures.add("no connection: " + e);
            }
        }
    }

    /** Sends one request; returns whether the connection can be used again. */
    private boolean sendOne(Client client) throws IOException {
        int number = ids.incrementAndGet();
        String route = List.of("i", "m", "changing").get(number % 3);
        String id = route + "-" + number;
        long sentAt = System.nanoTime();
        Message response;
        try {
            client.write(EdgeFixture.request(id, route, number % 2 == 0 ? "" : "body", TIMEOUT_MILLIS, false));
            response = client.read();
        } catch (IOException e) {
            response = null;
        }
        checkResponse(id, response, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt));
        if (response == null || "close".equals(response.headers().get("connection"))) {
            client.close();
            return false;
        }
        return true;
    }

    private void checkResponse(String id, Message response, long millis) {
        boolean success = response != null
                && response.status() == 200
                && id.equals(response.headers().get("attempt-id"));
        if (success) {
            served.incrementAndGet();
        } else if (startedAtHost.contains(id)) {
            failures.add("a host had started " + id + ", which got " + response);
        } else if (response == null && millis > MAX_CLOSE_RACE_MILLIS) {
            failures.add("no response to " + id + " after " + millis + " ms");
        } else if (response == null) {
            closedUnread.incrementAndGet();
        } else if (response.status() == 503) {
            refused.incrementAndGet();
        } else {
            failures.add(id + " got " + response);
        }
    }

    /** Repeats an operation under client load until {@link #REQUESTS} requests have been served. */
    private void runUnderLoad(String what, long everyMillis, java.util.function.IntConsumer work)
            throws InterruptedException {
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(new Thread(this::sendUntilFinished));
        }
        clients.forEach(Thread::start);
        int times = 0;
        while (served.get() < REQUESTS && failures.isEmpty()) {
            work.accept(++times);
            TimeUnit.MILLISECONDS.sleep(everyMillis);
        }
        finished = true;
        for (Thread client : clients) {
            client.join();
        }
        System.out.printf(
                "%s %d times: %d served, %d refused, %d closed unread%n",
                what, times, served.get(), refused.get(), closedUnread.get());
        assertEquals(List.of(), failures);
    }

    @Test
    void changedSettingsInterruptNoRequest() throws Exception {
        BootSettings other = new BootSettings(
                settings.node(),
                settings.zone(),
                settings.http(),
                settings.readyz(),
                settings.ctl(),
                new InetSocketAddress("127.0.0.1", 1),
                settings.seeds(),
                false,
                1_000,
                null,
                1,
                GRACE_MILLIS,
                settings.inner());
        runUnderLoad(
                "settings changed",
                SETTINGS_INTERVAL_MILLIS,
                times -> loop.execute(() -> edge.settingsChanged(times % 2 == 0 ? settings : other)));
        assertEquals(0, refused.get() + closedUnread.get());
    }

    @Test
    void newVersionsInterruptNoRequest() throws Exception {
        runUnderLoad(
                "configuration changed",
                VERSION_INTERVAL_MILLIS,
                times -> loop.execute(() -> edge.decode(1 + times, () -> version(1 + times))));
        assertEquals(0, refused.get() + closedUnread.get());
    }

    @Test
    void shutdownInterruptsNoRequestAtAHost() throws Exception {
        Thread[] clients = new Thread[CLIENTS];
        for (int i = 0; i < CLIENTS; i++) {
            clients[i] = new Thread(this::sendUntilFinished);
            clients[i].start();
        }
        while (served.get() < REQUESTS / 3) {
            TimeUnit.MILLISECONDS.sleep(SETTINGS_INTERVAL_MILLIS);
        }
        shuttingDown = true;
        CompletableFuture<Void> ended = NodeProcess.call(loop, () -> edge.shutDown(MonotonicTime.millis()));
        for (Thread client : clients) {
            client.join();
        }
        ended.get(GRACE_MILLIS, TimeUnit.MILLISECONDS);
        System.out.printf(
                "ended: %d served, %d refused, %d closed unread%n", served.get(), refused.get(), closedUnread.get());
        assertEquals(List.of(), failures);
        assertTrue(served.get() > REQUESTS * 2 / 3, "served: " + served.get());
    }
}
