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

/** A whole edge under load, with hosts that take tens of milliseconds, through each kind of planned work. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class PlannedMaintenanceTest {
    private static final int CLIENTS = 16;
    private static final int HOSTS = 24;
    private static final int REQUESTS = 2_000;
    private static final int TIMEOUT_MILLIS = 20_000;
    private static final long GRACE_MILLIS = 6_000;
    private static final long LOSS_MILLIS = 200;
    private static final long LEAST_WORK_MILLIS = 10;
    private static final int WORK_SPREAD_MILLIS = 40;
    private static final long SETTINGS_EVERY_MILLIS = 5;
    private static final long VERSION_EVERY_MILLIS = 10;
    private static final int MOST_TRIES = 3;
    private static final String SERVED = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nOrigin-Seal: s\r\nAttempt-Id: ";

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Set<String> begun = ConcurrentHashMap.newKeySet();
    private final List<String> faults = new CopyOnWriteArrayList<>();
    private final AtomicInteger ids = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger unread = new AtomicInteger();
    private volatile boolean over;
    private volatile boolean ending;
    private ScriptedHost host;
    private BootSettings settings;
    private EdgeNode edge;
    private int port;

    @BeforeEach
    void start() throws Exception {
        host = new ScriptedHost(this::work);
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
            assertTrue(System.nanoTime() < end, "the edge doesn't serve");
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

    /** Each moves the routes between services, and changes their tries and kinds, other routes, and the limits. */
    private static Configuration version(int rev) {
        List<Route> routes = new ArrayList<>();
        routes.add(route("i", rev % 2 == 0 ? "s" : "t", Configuration.Type.IDEM, 1 + rev % MOST_TRIES));
        routes.add(route("m", rev % 3 == 0 ? "s" : "t", Configuration.Type.MUTATING, 1 + rev % MOST_TRIES));
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

    private static Route route(String name, String service, Configuration.Type type, int tries) {
        return new Route(
                name,
                EdgeFixture.DOMAIN,
                "/" + name + "/",
                type,
                TIMEOUT_MILLIS,
                TIMEOUT_MILLIS / 2,
                1,
                List.of(new Split(service, 1)),
                tries);
    }

    private void work(Socket socket, ScriptedHost.Message request) throws IOException {
        String id = request.header("Attempt-Id");
        begun.add(id);
        try {
            TimeUnit.MILLISECONDS.sleep(LEAST_WORK_MILLIS + Math.floorMod(id.hashCode(), WORK_SPREAD_MILLIS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        ScriptedHost.write(socket, SERVED + id + "\r\n\r\nfine");
    }

    private boolean isServed(String id) throws IOException {
        try (Client client = new Client(port)) {
            client.write(EdgeFixture.request(id, "i", "", TIMEOUT_MILLIS, false));
            Message answer = client.read();
            return answer != null && answer.status() == 200;
        }
    }

    /** Asks on one connection after the other until the work is over, or nobody is taken in any more. */
    private void ask() {
        Client client = null;
        try {
            while (!over) {
                client = client == null ? new Client(port) : client;
                client = askOnce(client) ? client : null;
            }
        } catch (IOException e) {
            if (!ending) {
                faults.add("no connection: " + e);
            }
        }
    }

    /** Whether the connection carries on. */
    private boolean askOnce(Client client) throws IOException {
        int number = ids.incrementAndGet();
        String route = List.of("i", "m", "changing").get(number % 3);
        String id = route + "-" + number;
        long sentAt = System.nanoTime();
        Message answer;
        try {
            client.write(EdgeFixture.request(id, route, number % 2 == 0 ? "" : "body", TIMEOUT_MILLIS, false));
            answer = client.read();
        } catch (IOException e) {
            answer = null;
        }
        judge(id, answer, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt));
        if (answer == null || "close".equals(answer.headers().get("connection"))) {
            client.close();
            return false;
        }
        return true;
    }

    private void judge(String id, Message answer, long millis) {
        boolean own = answer != null
                && answer.status() == 200
                && id.equals(answer.headers().get("attempt-id"));
        if (own) {
            served.incrementAndGet();
        } else if (begun.contains(id)) {
            faults.add("a host was at work on " + id + ", which got " + answer);
        } else if (answer == null && millis > LOSS_MILLIS) {
            faults.add("no answer to " + id + " after " + millis + " ms");
        } else if (answer == null) {
            unread.incrementAndGet();
        } else if (answer.status() == 503) {
            refused.incrementAndGet();
        } else {
            faults.add(id + " got " + answer);
        }
    }

    /** Has clients ask while the work is done again and again, until so many have been served. */
    private void during(String what, long everyMillis, java.util.function.IntConsumer work)
            throws InterruptedException {
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(new Thread(this::ask));
        }
        clients.forEach(Thread::start);
        int times = 0;
        while (served.get() < REQUESTS && faults.isEmpty()) {
            work.accept(++times);
            TimeUnit.MILLISECONDS.sleep(everyMillis);
        }
        over = true;
        for (Thread client : clients) {
            client.join();
        }
        System.out.printf(
                "%s %d times: %d served, %d refused, %d closed unread%n",
                what, times, served.get(), refused.get(), unread.get());
        assertEquals(List.of(), faults);
    }

    @Test
    void changedSettingsCutNothing() throws Exception {
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
        during(
                "settings changed",
                SETTINGS_EVERY_MILLIS,
                times -> loop.execute(() -> edge.settingsChanged(times % 2 == 0 ? settings : other)));
        assertEquals(0, refused.get() + unread.get());
    }

    @Test
    void newVersionsCutNothing() throws Exception {
        during(
                "configuration changed",
                VERSION_EVERY_MILLIS,
                times -> loop.execute(() -> edge.decode(1 + times, () -> version(1 + times))));
        assertEquals(0, refused.get() + unread.get());
    }

    @Test
    void theWordToEndCutsNothingThatAHostIsAtWorkOn() throws Exception {
        Thread[] clients = new Thread[CLIENTS];
        for (int i = 0; i < CLIENTS; i++) {
            clients[i] = new Thread(this::ask);
            clients[i].start();
        }
        while (served.get() < REQUESTS / 3) {
            TimeUnit.MILLISECONDS.sleep(SETTINGS_EVERY_MILLIS);
        }
        ending = true;
        CompletableFuture<Void> ended = NodeProcess.call(loop, () -> edge.shutDown(MonotonicTime.millis()));
        for (Thread client : clients) {
            client.join();
        }
        ended.get(GRACE_MILLIS, TimeUnit.MILLISECONDS);
        System.out.printf(
                "ended: %d served, %d refused, %d closed unread%n", served.get(), refused.get(), unread.get());
        assertEquals(List.of(), faults);
        assertTrue(served.get() > REQUESTS * 2 / 3, "served: " + served.get());
    }
}
