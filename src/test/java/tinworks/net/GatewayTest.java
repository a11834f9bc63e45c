package tinworks.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static tinworks.net.GatewayFixture.AWAIT_TIMEOUT_MILLIS;
import static tinworks.net.GatewayFixture.LONG_TIMEOUT_MILLIS;
import static tinworks.net.GatewayFixture.await;
import static tinworks.net.GatewayFixture.entry;
import static tinworks.net.GatewayFixture.line;
import static tinworks.net.GatewayFixture.list;
import static tinworks.net.GatewayFixture.status;
import static tinworks.net.GatewayFixture.submit;

import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tinworks.net.GatewayFixture.Client;
import tinworks.net.ScriptedHost.Message;
import tinworks.net.ScriptedHost.Script;

/** The behaviour of a gateway towards clients and hosts, over loopback sockets. */
class GatewayTest {
    private static final Script SERVES = ScriptedHost.reply("200 OK", "fine");
    private static final Script NEVER_RESPONDS = (socket, request) -> {};

    @Test
    void forwardsRequestAndResponseUnchangedOverOneConnection() throws Exception {
        try (ScriptedHost host = new ScriptedHost(SERVES);
                GatewayFixture f = GatewayFixture.withHosts(host)) {
            Client client = f.client();
            Message first = client.exchange(submit("r1", LONG_TIMEOUT_MILLIS, "12 MWh"));
            Message second = client.exchange(status("r2", LONG_TIMEOUT_MILLIS));
            assertTrue(first.firstLine().contains(" 200 ") && second.firstLine().contains(" 200 "));
            assertEquals("fine", first.body());
            Message sent = host.requests.get(0);
            assertEquals("POST /submit HTTP/1.1", sent.firstLine());
            assertEquals("r1", sent.header("X-Request-ID"));
            assertEquals("12 MWh", sent.body());
            assertTrue(sent.header("X-Timeout").endsWith("u"));
            assertEquals("GET /status/7?q=1 HTTP/1.1", host.requests.get(1).firstLine());
            assertEquals(1, host.connections.size(), "the keep-alive connection is reused");
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "POST /submit HTTP/1.1\r\nContent-Length: 0\r\nX-Timeout: 20000m\r\n\r\n",
                "GET /status HTTP/1.1\r\nX-Request-ID: b\r\nX-Timeout: soon\r\n\r\n",
                "GET /status HTTP/1.1\r\nX-Request-ID: b\r\nX-Timeout: -5m\r\n\r\n",
                "GET /status HTTP/1.1\r\nX-Request-ID: b\r\nX-Timeout: 99999999999999999999m\r\n\r\n",
                "GET /nonsense HTTP/1.1\r\nX-Request-ID: b\r\nX-Timeout: 20000m\r\n\r\n",
                "POST /submit HTTP/1.1\r\nX-Request-ID: b\r\nX-Timeout: 20000m\r\nContent-Length: 65537\r\n\r\n",
                "GET /status NOT-HTTP\r\n\r\n"
            })
    void answersMalformedInputWith4xxAndServesOthers(String bad) throws Exception {
        try (ScriptedHost host = new ScriptedHost(SERVES);
                GatewayFixture f = GatewayFixture.withHosts(host)) {
            String line = f.client().exchange(bad).firstLine();
            assertTrue(line.startsWith("HTTP/1.1 4"), line);
            assertEquals(0, host.requests.size(), "a malformed request is not forwarded");
            assertTrue(f.client()
                    .exchange(status("good", LONG_TIMEOUT_MILLIS))
                    .firstLine()
                    .contains(" 200 "));
        }
    }

    @Test
    void rejectsDuplicateIdOfOpenRequest() throws Exception {
        CompletableFuture<Socket> pending = new CompletableFuture<>();
        try (ScriptedHost host = new ScriptedHost((socket, request) -> pending.complete(socket));
                GatewayFixture f = GatewayFixture.withHosts(host)) {
            Client first = f.client();
            first.write(submit("same", LONG_TIMEOUT_MILLIS, "x"));
            Socket socket = pending.get(AWAIT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            assertTrue(f.client()
                    .exchange(submit("same", LONG_TIMEOUT_MILLIS, "x"))
                    .firstLine()
                    .contains(" 409 "));
            SERVES.answer(socket, null);
            assertTrue(first.read().firstLine().contains(" 200 "));
            assertEquals(1, host.requests.size());
        }
    }

    /** Pipelines more requests at once than the gateway queues for a connection. */
    @Test
    void answersPipelinedRequestsInOrder() throws Exception {
        Script echoesId = (socket, request) ->
                ScriptedHost.reply("200 OK", request.header("X-Request-ID")).answer(socket, request);
        try (ScriptedHost host = new ScriptedHost(echoesId);
                GatewayFixture f = GatewayFixture.withHosts(host)) {
            Client client = f.client();
            StringBuilder pipelined = new StringBuilder();
            for (int i = 0; i < 40; i++) {
                pipelined.append(status("r" + i, LONG_TIMEOUT_MILLIS));
            }
            client.write(pipelined.toString());
            for (int i = 0; i < 40; i++) {
                assertEquals("r" + i, client.read().body());
            }
        }
    }

    @Test
    void neverRetriesUnsafeRequestThatMayHaveExecuted() throws Exception {
        Script resets = (socket, request) -> ScriptedHost.reset(socket);
        try (ScriptedHost a = new ScriptedHost(resets);
                ScriptedHost b = new ScriptedHost(resets);
                GatewayFixture f = GatewayFixture.withHosts(a, b)) {
            assertTrue(f.client()
                    .exchange(submit("r", LONG_TIMEOUT_MILLIS, "x"))
                    .firstLine()
                    .contains(" 502 "));
            assertEquals(1, a.requests.size() + b.requests.size());
        }
    }

    /** The first exchange leaves a keep-alive connection, which the host resets on the second request. */
    @Test
    void neverReplaysWhenKeepAliveConnectionBreaks() throws Exception {
        try (ScriptedHost host = new ScriptedHost(SERVES);
                GatewayFixture f = GatewayFixture.withHosts(host)) {
            Client client = f.client();
            assertTrue(client.exchange(submit("r1", LONG_TIMEOUT_MILLIS, "x"))
                    .firstLine()
                    .contains(" 200 "));
            host.script((socket, request) -> ScriptedHost.reset(socket));
            assertTrue(client.exchange(submit("r2", LONG_TIMEOUT_MILLIS, "x"))
                    .firstLine()
                    .contains(" 502 "));
            assertEquals(2, host.requests.size());
            assertEquals(1, host.connections.size());
        }
    }

    @Test
    void failsOverFromHostThatRefusesConnections() throws Exception {
        try (ScriptedHost dead = new ScriptedHost(SERVES);
                ScriptedHost host = new ScriptedHost(SERVES)) {
            try (GatewayFixture f = GatewayFixture.withHosts(dead, host)) {
                dead.stop();
                for (int i = 0; i < 8; i++) {
                    assertTrue(f.client()
                            .exchange(submit("r" + i, LONG_TIMEOUT_MILLIS, "x"))
                            .firstLine()
                            .contains(" 200 "));
                }
            }
            assertEquals(8, host.requests.size());
        }
    }

    @Test
    void retriesOnlyWhatHostMarksNotProcessed() throws Exception {
        Script full = ScriptedHost.reply("503 Service Unavailable", "", "X-Not-Processed: 1");
        try (ScriptedHost a = new ScriptedHost(full);
                ScriptedHost b = new ScriptedHost(full);
                GatewayFixture f = GatewayFixture.withHosts(a, b)) {
            Message refused = f.client().exchange(submit("r1", 2000, "x"));
            assertTrue(refused.firstLine().contains(" 503 "), refused.firstLine());
            assertEquals(1, a.requests.size());
            assertEquals(1, b.requests.size());
        }
        Script unmarked = ScriptedHost.reply("503 Service Unavailable", "");
        try (ScriptedHost a = new ScriptedHost(unmarked);
                ScriptedHost b = new ScriptedHost(unmarked);
                GatewayFixture f = GatewayFixture.withHosts(a, b)) {
            Message failed = f.client().exchange(submit("r2", LONG_TIMEOUT_MILLIS, "x"));
            assertTrue(failed.firstLine().contains(" 502 "), failed.firstLine());
            assertEquals(1, a.requests.size() + b.requests.size());
        }
    }

    @Test
    void doesNotServeBodyDelimitedByConnectionClose() throws Exception {
        try (ScriptedHost host = new ScriptedHost((socket, request) -> {
                    ScriptedHost.write(socket, "HTTP/1.1 200 OK\r\n\r\nhalf of it");
                    socket.close();
                });
                GatewayFixture f = GatewayFixture.withHosts(host)) {
            assertTrue(f.client()
                    .exchange(submit("r", LONG_TIMEOUT_MILLIS, "x"))
                    .firstLine()
                    .contains(" 502 "));
        }
    }

    @Test
    void answersWithinDeadlineAndClosesAttempt() throws Exception {
        try (ScriptedHost host = new ScriptedHost(NEVER_RESPONDS);
                GatewayFixture f = GatewayFixture.withHosts(host)) {
            assertTrue(f.client().exchange(submit("r", 1500, "x")).firstLine().contains(" 502 "));
            assertEquals(1, host.requests.size());
            await("the attempt is closed", () -> host.connections.get(0).isClosed());
        }
    }

    @Test
    void cancelsAttemptWhenClientDisconnects() throws Exception {
        try (ScriptedHost host = new ScriptedHost(NEVER_RESPONDS);
                GatewayFixture f = GatewayFixture.withHosts(host)) {
            Client client = f.client();
            client.write(status("r", LONG_TIMEOUT_MILLIS));
            await("the attempt", () -> host.requests.size() == 1);
            client.socket.close();
            await("the attempt is closed", () -> host.connections.get(0).isClosed());
            host.script(SERVES);
            assertTrue(
                    f.client()
                            .exchange(status("r", LONG_TIMEOUT_MILLIS))
                            .firstLine()
                            .contains(" 200 "),
                    "its id can be used again");
        }
    }

    @Test
    void closesIdleConnectionBeforeHostDoes() throws Exception {
        ScriptedHost host = new ScriptedHost(SERVES);
        try (host;
                GatewayFixture f = new GatewayFixture(
                        list(1, true, List.of(entry("s", host, "up", 0))),
                        GatewayFixture.quietDiscovery(),
                        TimeUnit.MILLISECONDS.toNanos(300),
                        1024)) {
            assertTrue(f.client()
                    .exchange(status("r", LONG_TIMEOUT_MILLIS))
                    .firstLine()
                    .contains(" 200 "));
            await(
                    "the gateway closes the connection",
                    () -> host.connections.get(0).isClosed());
        }
    }

    @Test
    void finishesOpenRequestsOfDrainingHostAndSendsNoNewOnes() throws Exception {
        List<Socket> watches = new CopyOnWriteArrayList<>();
        CompletableFuture<Socket> pending = new CompletableFuture<>();
        ScriptedHost discovery = new ScriptedHost((socket, request) -> {
            GatewayFixture.startWatch(socket);
            watches.add(socket);
            line(socket, list(1, false, List.of()));
        });
        try (ScriptedHost draining = new ScriptedHost((socket, request) -> pending.complete(socket));
                ScriptedHost other = new ScriptedHost(SERVES);
                GatewayFixture f = new GatewayFixture(
                        list(1, true, List.of(entry("s", draining, "up", 0))), discovery, 60_000_000_000L, 1024)) {
            Client first = f.client();
            first.write(submit("r1", LONG_TIMEOUT_MILLIS, "x"));
            Socket socket = pending.get(AWAIT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            await("the gateway watches discovery", () -> !watches.isEmpty());
            line(
                    watches.get(0),
                    list(
                            2,
                            false,
                            List.of(
                                    entry("s", draining, "draining", 0),
                                    entry("o", other, "up", 0),
                                    entry("p", other, "up", 0))));
            for (int i = 0; other.requests.isEmpty(); i++) {
                // Refused requests are retried until the gateway has received the list.
                assertTrue(i < AWAIT_TIMEOUT_MILLIS);
                f.client().exchange(status("s" + i, 200));
            }
            SERVES.answer(socket, null);
            assertTrue(first.read().firstLine().contains(" 200 "));
            await(
                    "the gateway closes the draining host's connection",
                    () -> draining.connections.get(0).isClosed());
            for (int i = 0; i < 4; i++) {
                assertTrue(f.client()
                        .exchange(submit("u" + i, LONG_TIMEOUT_MILLIS, "x"))
                        .firstLine()
                        .contains(" 200 "));
            }
            assertEquals(1, draining.requests.size());
        }
    }

    @Test
    void failsOpenRequestsOfRestartedHost() throws Exception {
        List<Socket> watches = new CopyOnWriteArrayList<>();
        ScriptedHost discovery = new ScriptedHost((socket, request) -> {
            GatewayFixture.startWatch(socket);
            watches.add(socket);
            line(socket, list(1, false, List.of()));
        });
        try (ScriptedHost host = new ScriptedHost(NEVER_RESPONDS);
                GatewayFixture f = new GatewayFixture(
                        list(1, true, List.of(entry("s", host, "up", 0))), discovery, 60_000_000_000L, 1024)) {
            Client client = f.client();
            client.write(submit("r", LONG_TIMEOUT_MILLIS, "x"));
            await("the attempt", () -> host.requests.size() == 1);
            long later = System.currentTimeMillis() + 1000;
            await("the gateway watches discovery", () -> !watches.isEmpty());
            line(watches.get(0), list(2, false, List.of(entry("s", host, "up", later))));
            assertTrue(client.read().firstLine().contains(" 502 "));
        }
    }

    @Test
    void answersAcceptedRequestsBeforeShutdownCompletes() throws Exception {
        CompletableFuture<Socket> pending = new CompletableFuture<>();
        try (ScriptedHost host = new ScriptedHost((socket, request) -> pending.complete(socket));
                GatewayFixture f = GatewayFixture.withHosts(host)) {
            Client idle = f.client();
            Client open = f.client();
            open.write(submit("r", LONG_TIMEOUT_MILLIS, "x"));
            Socket socket = pending.get(AWAIT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            CompletableFuture<Void> terminated = f.gateway.shutDown();
            assertNull(idle.read(), "an idle connection is closed");
            assertFalse(terminated.isDone(), "a request is still open");
            SERVES.answer(socket, null);
            Message response = open.read();
            assertTrue(response.firstLine().contains(" 200 "));
            assertEquals("close", response.header("Connection"));
            terminated.get(AWAIT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Clients may have no other gateway, so requests on open connections are served for a while. */
    @Test
    void servesKeepAliveConnectionsDuringShutdown() throws Exception {
        try (ScriptedHost host = new ScriptedHost(SERVES);
                GatewayFixture f = GatewayFixture.withHosts(host)) {
            Client client = f.client();
            client.exchange(status("before", LONG_TIMEOUT_MILLIS));
            CompletableFuture<Void> terminated = f.gateway.shutDown();
            await("the shutdown begins", () -> f.get("/ready").firstLine().contains(" 503 "));
            Message response = client.exchange(status("after", LONG_TIMEOUT_MILLIS));
            assertTrue(response.firstLine().contains(" 200 "));
            assertNull(response.header("Connection"), "the connection stays open");
            assertTrue(client.exchange(status("again", LONG_TIMEOUT_MILLIS))
                    .firstLine()
                    .contains(" 200 "));
            assertNull(client.read(), "closed when the shutdown completes");
            terminated.get(AWAIT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    @Test
    void closesLongestIdleClientConnectionAtLimit() throws Exception {
        ScriptedHost host = new ScriptedHost(SERVES);
        // 64 descriptors are reserved for other uses; half of the other 16 are for clients.
        try (host;
                GatewayFixture f = new GatewayFixture(
                        list(1, true, List.of(entry("s", host, "up", 0))),
                        GatewayFixture.quietDiscovery(),
                        60_000_000_000L,
                        80)) {
            Client oldest = f.client();
            for (int i = 0; i < 12; i++) {
                assertTrue(f.client()
                        .exchange(status("r" + i, LONG_TIMEOUT_MILLIS))
                        .firstLine()
                        .contains(" 200 "));
            }
            assertNull(oldest.read());
        }
    }

    @Test
    void resumesBrokenWatchFromLastIndex() throws Exception {
        List<String> watchRequests = new CopyOnWriteArrayList<>();
        ScriptedHost discovery = new ScriptedHost((socket, request) -> {
            watchRequests.add(request.firstLine());
            GatewayFixture.startWatch(socket);
            line(socket, list(40 + watchRequests.size(), false, List.of()));
            if (watchRequests.size() == 1) {
                socket.close();
            }
        });
        try (ScriptedHost host = new ScriptedHost(SERVES);
                GatewayFixture f = new GatewayFixture(
                        list(40, true, List.of(entry("s", host, "up", 0))), discovery, 60_000_000_000L, 1024)) {
            await("the second watch", () -> watchRequests.size() == 2);
            assertTrue(watchRequests.get(0).contains("since=40"), watchRequests.get(0));
            assertTrue(watchRequests.get(1).contains("since=41"), watchRequests.get(1));
            assertNotNull(f.client().exchange(status("r", LONG_TIMEOUT_MILLIS)));
        }
    }

    /** Most hosts fail one request class and serve the other: only the failing class has to avoid them. */
    @Test
    void routesClassAroundHostsThatFailIt() throws Exception {
        Script failsPosts = (socket, request) -> ScriptedHost.reply(
                        request.firstLine().startsWith("POST") ? "500 Broken" : "200 OK", "x")
                .answer(socket, request);
        try (ScriptedHost a = new ScriptedHost(failsPosts);
                ScriptedHost b = new ScriptedHost(failsPosts);
                ScriptedHost c = new ScriptedHost(failsPosts);
                ScriptedHost healthy = new ScriptedHost(SERVES);
                GatewayFixture f = GatewayFixture.withHosts(a, b, c, healthy)) {
            Client client = f.client();
            int failed = 0;
            long begin = System.nanoTime();
            for (int i = 0; i < 200; i++) {
                assertTrue(client.exchange(status("s" + i, LONG_TIMEOUT_MILLIS))
                        .firstLine()
                        .contains(" 200 "));
                failed += client.exchange(submit("p" + i, LONG_TIMEOUT_MILLIS, "x"))
                                .firstLine()
                                .contains(" 502 ")
                        ? 1
                        : 0;
            }
            // Some until the failures are detected, then one probe per second at each failing host.
            long maxFailed = 20 + 3 * TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - begin);
            assertTrue(failed <= maxFailed, failed + " of 200 failed");
        }
    }

    /** A lost response is not awaited until its timeout once the host has answered a later request. */
    @Test
    void retriesOvertakenRequestOnAnotherHost() throws Exception {
        List<Socket> watches = new CopyOnWriteArrayList<>();
        ScriptedHost discovery = new ScriptedHost((socket, request) -> {
            GatewayFixture.startWatch(socket);
            line(socket, list(1, false, List.of()));
            watches.add(socket);
        });
        Script dropsOne = (socket, request) -> {
            if (!"lost".equals(request.header("X-Request-ID"))) {
                SERVES.answer(socket, request);
            }
        };
        try (ScriptedHost host = new ScriptedHost(dropsOne);
                ScriptedHost other = new ScriptedHost(SERVES);
                GatewayFixture f = new GatewayFixture(
                        list(1, true, List.of(entry("s", host, "up", 0))), discovery, 60_000_000_000L, 1024)) {
            Client client = f.client();
            client.exchange(status("before", LONG_TIMEOUT_MILLIS));
            Client waits = f.client();
            waits.write(status("lost", LONG_TIMEOUT_MILLIS));
            await("the attempt", () -> host.requests.size() == 2);
            client.exchange(status("after", LONG_TIMEOUT_MILLIS));
            assertEquals(3, host.requests.size(), "the host still responds");
            line(watches.get(0), list(2, false, List.of(entry("o", other, "up", 0))));
            assertTrue(waits.read().firstLine().contains(" 200 "));
            assertEquals("lost", other.requests.get(other.requests.size() - 1).header("X-Request-ID"));
        }
    }
}
