package tinworks.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tinworks.config.Configuration;
import tinworks.edge.EdgeFixture.Client;
import tinworks.edge.EdgeFixture.Message;
import tinworks.net.ScriptedHost;

/** Requests at an edge whose event loop is blocked for longer than their timeouts. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class BlockedLoopTest {
    private static final long BLOCK_MILLIS = 400;
    private static final long TOLERANCE_MILLIS = 250;
    private static final long LONG_TIMEOUT_MILLIS = 5_000;
    private static final long SHORT_TIMEOUT_MILLIS = 300;
    private static final int CLIENTS = 20;
    private static final int HOSTS = 8;
    private static final int ROUNDS = 6;
    private static final long STARVED_BLOCK_MILLIS = 200;
    private static final long STARVED_GAP_MILLIS = 20;

    private final Map<String, Long> deadlines = new ConcurrentHashMap<>();
    private ScriptedHost host;
    private EdgeFixture edge;

    @BeforeEach
    void start() throws Exception {
        host = new ScriptedHost(this::serve);
        start(true);
    }

    private void start(boolean measuresLag) {
        edge = new EdgeFixture(new EdgeProtocol(1), measuresLag);
        String[] hosts = IntStream.range(0, HOSTS).mapToObj(i -> "h" + i).toArray(String[]::new);
        for (String id : hosts) {
            edge.host(id, host.address(), true);
        }
        edge.route("long", Configuration.Type.IDEM, LONG_TIMEOUT_MILLIS, 2, hosts);
        edge.route("short", Configuration.Type.IDEM, SHORT_TIMEOUT_MILLIS, 2, hosts);
    }

    @AfterEach
    void stop() {
        edge.close();
        host.close();
    }

    /** Serves requests of the route with the long timeout and does not respond to others. */
    private void serve(java.net.Socket socket, ScriptedHost.Message request) throws java.io.IOException {
        String id = request.header("Attempt-Id");
        deadlines.put(id, Long.parseLong(request.header("Deadline-Ms")));
        if (request.firstLine().contains("/long/")) {
            ScriptedHost.write(
                    socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nOrigin-Seal: s\r\nAttempt-Id: " + id + "\r\n\r\n");
        }
    }

    private static String request(String id, String route) {
        return EdgeFixture.request(id, route, "", EdgeFixture.LONG_MILLIS, false);
    }

    /**
     * Blocks the event loop; returns once it is blocked. It stays so for {@link #BLOCK_MILLIS} after the latch opens.
     */
    private CountDownLatch blockLoop() throws InterruptedException {
        CountDownLatch begun = new CountDownLatch(1);
        CountDownLatch sent = new CountDownLatch(1);
        edge.loop.execute(() -> {
            begun.countDown();
            try {
                sent.await();
                TimeUnit.MILLISECONDS.sleep(BLOCK_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        begun.await();
        return sent;
    }

    /** A connection that the edge has accepted and read from. */
    private Client usedConnection(String id) throws Exception {
        Client client = edge.client();
        client.write(request(id, "long"));
        assertEquals(200, client.read().status());
        return client;
    }

    @Test
    void queueingDelayIsDeductedFromTheTimeout() throws Exception {
        try (Client used = usedConnection("first");
                Client other = usedConnection("other")) {
            CountDownLatch sent = blockLoop();
            used.write(request("a", "long"));
            other.write(request("b", "short"));
            Client fresh = edge.client();
            fresh.write(request("c", "long"));
            sent.countDown();
            for (Client served : List.of(used, fresh)) {
                assertEquals(200, served.read().status());
            }
            for (String id : List.of("a", "c")) {
                long givenMillis = deadlines.get(id);
                assertTrue(
                        givenMillis <= LONG_TIMEOUT_MILLIS - BLOCK_MILLIS,
                        "the host was given " + givenMillis + " ms for " + id);
            }
            fresh.close();
            Message late = other.read();
            assertEquals(503, late.status(), "its timeout had passed before it was read");
            assertNotNull(late.headers().get("retry-after"));
            assertTrue(!deadlines.containsKey("b"), "no host received it");
        }
    }

    @Test
    void withoutLagMeasurementTheHostIsGivenElapsedTime() throws Exception {
        edge.close();
        start(false);
        try (Client used = usedConnection("first")) {
            CountDownLatch sent = blockLoop();
            used.write(request("a", "long"));
            sent.countDown();
            assertEquals(200, used.read().status());
            assertTrue(
                    deadlines.get("a") > LONG_TIMEOUT_MILLIS - BLOCK_MILLIS,
                    "the host was given " + deadlines.get("a"));
        }
    }

    @Test
    void timedOutRequestsAreAnsweredAsSoonAsTheLoopResumes() throws Exception {
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(usedConnection("first-" + i));
        }
        for (int i = 0; i < CLIENTS; i++) {
            clients.get(i).write(request("out-" + i, "short"));
        }
        // Some are at hosts, others are queued at the edge for a host with capacity.
        while (deadlines.keySet().stream().filter(id -> id.startsWith("out-")).count() < HOSTS / 2) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        CountDownLatch sent = blockLoop();
        sent.countDown();
        edge.loop.submit(() -> {}).sync();
        long resumedAt = System.nanoTime();
        long worst = 0;
        for (Client client : clients) {
            assertEquals(503, client.read().status());
            worst = Math.max(worst, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - resumedAt));
            client.close();
        }
        System.out.println("answered after the loop resumed: " + worst + " ms at most");
        assertTrue(worst <= TOLERANCE_MILLIS, "answered " + worst + " ms after the loop resumed");
    }

    /** The event loop is blocked for most of the time. Measures how long past its timeout a request is held at most. */
    @Test
    void starvedLoopHoldsNoRequestMuchLongerThanOneTurnPastItsTimeout() throws Exception {
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(usedConnection("first-" + i));
        }
        edge.loop.scheduleWithFixedDelay(
                () -> {
                    try {
                        TimeUnit.MILLISECONDS.sleep(STARVED_BLOCK_MILLIS);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                0,
                STARVED_GAP_MILLIS,
                TimeUnit.MILLISECONDS);
        List<Thread> threads = new ArrayList<>();
        List<Long> held = java.util.Collections.synchronizedList(new ArrayList<>());
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            threads.add(new Thread(() -> sendRequests(clients.get(number), number, held)));
        }
        threads.forEach(Thread::start);
        for (Thread thread : threads) {
            thread.join();
        }
        long worst = held.stream().mapToLong(Long::longValue).max().orElseThrow() - SHORT_TIMEOUT_MILLIS;
        System.out.println("held past the timeout on a starved edge: " + worst + " ms at most of " + held.size());
        assertEquals(CLIENTS * ROUNDS, held.size());
        assertTrue(worst <= STARVED_BLOCK_MILLIS + TOLERANCE_MILLIS, "held " + worst + " ms past its timeout");
    }

    private void sendRequests(Client client, int number, List<Long> held) {
        try (client) {
            for (int resumedAt = 0; resumedAt < ROUNDS; resumedAt++) {
                // At varying points of the loop's turn.
                TimeUnit.MILLISECONDS.sleep((number * 37 + resumedAt * 53) % STARVED_BLOCK_MILLIS);
                long sentAt = System.nanoTime();
                client.write(request("starved-" + number + "-" + resumedAt, "short"));
                client.read();
                held.add(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt));
            }
        } catch (java.io.IOException | InterruptedException e) {
            held.add(Long.MAX_VALUE);
        }
    }
}
