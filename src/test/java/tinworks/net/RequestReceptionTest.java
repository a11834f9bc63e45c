package tinworks.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static tinworks.net.GatewayFixture.AWAIT_TIMEOUT_MILLIS;
import static tinworks.net.GatewayFixture.LONG_TIMEOUT_MILLIS;
import static tinworks.net.GatewayFixture.entry;
import static tinworks.net.GatewayFixture.list;
import static tinworks.net.GatewayFixture.status;
import static tinworks.net.GatewayFixture.submit;

import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tinworks.net.GatewayFixture.Client;
import tinworks.net.ScriptedHost.Message;

/**
 * How a gateway handles incomplete, late, ambiguous and invalid requests, and connections that are idle or
 * unresponsive.
 */
class RequestReceptionTest {
    private static final ScriptedHost.Script SERVES = ScriptedHost.reply("200 OK", "fine");
    private static final String HEAD = "Host: x\r\nX-Timeout: 20000m\r\n";

    /** Clients that send one request and keep the connection would otherwise use up the connection limit. */
    @Test
    void overHalfTheConnectionLimitResponsesCloseTheirConnections() throws Exception {
        // 64 descriptors are kept for other uses; half of the other 16 are for clients.
        ScriptedHost host = new ScriptedHost(SERVES);
        try (host;
                GatewayFixture f = new GatewayFixture(
                        list(1, true, List.of(entry("s", host, "up", 0))),
                        GatewayFixture.quietDiscovery(),
                        60_000_000_000L,
                        80)) {
            Client first = f.client();
            for (int i = 0; i < 3; i++) {
                assertNull(f.client()
                        .exchange(status("r" + i, LONG_TIMEOUT_MILLIS))
                        .header("Connection"));
            }
            assertNull(first.exchange(status("first", LONG_TIMEOUT_MILLIS)).header("Connection"));
            Client oneMore = f.client();
            assertEquals(
                    "close",
                    oneMore.exchange(status("more", LONG_TIMEOUT_MILLIS)).header("Connection"));
            assertNull(oneMore.read());
            assertTrue(
                    first.exchange(status("again", LONG_TIMEOUT_MILLIS))
                            .firstLine()
                            .contains(" 200 "),
                    "its connection is still open");
        }
    }

    @Test
    void aReadinessProbeClosesItsConnection() throws Exception {
        try (ScriptedHost host = new ScriptedHost(SERVES);
                GatewayFixture f = GatewayFixture.withHosts(host)) {
            Client probe = f.client();
            assertTrue(probe.exchange("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                    .firstLine()
                    .contains(" 200 "));
            assertNull(probe.read());
        }
    }

    @Test
    void aSilentConnectionIsClosed() throws Exception {
        try (ScriptedHost host = new ScriptedHost(SERVES);
                GatewayFixture f = GatewayFixture.withHosts(host)) {
            assertNull(f.client().read());
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "G",
                "GET /status HTTP/1.1\r\nHost:",
                "POST /submit HTTP/1.1\r\nX-Request-ID: r\r\nContent-Length: 9000\r\n\r\nbegun"
            })
    void aRequestSentByteByByteTimesOut(String partOfRequest) throws Exception {
        try (ScriptedHost host = new ScriptedHost(SERVES);
                GatewayFixture f = GatewayFixture.withHosts(host)) {
            Client client = f.client();
            client.socket.setSoTimeout(20);
            client.write(partOfRequest);
            Message response = null;
            for (long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(AWAIT_TIMEOUT_MILLIS);
                    response == null; ) {
                assertTrue(System.nanoTime() < end, "each byte renews the limit");
                try {
                    response = client.read();
                } catch (SocketTimeoutException e) {
                    client.write("x");
                }
            }
            assertTrue(response.firstLine().contains(" 408 "), response.firstLine());
            client.socket.setSoTimeout(AWAIT_TIMEOUT_MILLIS);
            assertNull(client.read());
            assertEquals(0, host.requests.size());
        }
    }

    /** The received part of the head ends with a line break, so the decoder holds no unread bytes. */
    @Test
    void aRequestThatStopsAtTheEndOfALineTimesOut() throws Exception {
        try (ScriptedHost host = new ScriptedHost(SERVES);
                GatewayFixture f = GatewayFixture.withHosts(host)) {
            Client client = f.client();
            assertEquals(
                    "fine", client.exchange(status("r", LONG_TIMEOUT_MILLIS)).body());
            client.write("GET /status/7 HTTP/1.1\r\nHost: x\r\n");
            assertTrue(client.read().firstLine().contains(" 408 "));
            assertNull(client.read());
        }
    }

    /** A rejected pipelined request must not be answered before the open request ahead of it. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "413|POST /submit HTTP/1.1\r\nX-Request-ID: b\r\nContent-Length: 60000000\r\n\r\nbegun",
                "413|POST /submit HTTP/1.1\r\nX-Request-ID: b\r\nExpect: 100-continue\r\nContent-Length: 60000000\r\n\r\n",
                "400|GET /status NOT-HTTP\r\n\r\n"
            })
    void aRejectedPipelinedRequestIsAnsweredInItsTurn(String statusAndRequest) throws Exception {
        String[] parts = statusAndRequest.split("\\|");
        CompletableFuture<Socket> held = new CompletableFuture<>();
        try (ScriptedHost host = new ScriptedHost((socket, request) -> held.complete(socket));
                GatewayFixture f = GatewayFixture.withHosts(host)) {
            Client client = f.client();
            client.write(submit("a", LONG_TIMEOUT_MILLIS, "x") + parts[1]);
            SERVES.answer(held.get(AWAIT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), null);
            assertEquals("fine", client.read().body());
            assertTrue(client.read().firstLine().contains(" " + parts[0] + " "));
            assertNull(client.read());
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "POST /submit HTTP/1.1\r\nX-Request-ID: r\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET ",
                "POST /submit HTTP/1.1\r\nX-Request-ID: r\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
                "POST /submit HTTP/1.1\r\nX-Request-ID: r\r\nContent-Length: -4\r\n\r\n",
                "POST /submit HTTP/1.1\r\nX-Request-ID: r\r\nX-Request-ID: s\r\nContent-Length: 0\r\n\r\n",
                "POST /submit HTTP/1.1\r\nX-Request-ID: two words\r\nContent-Length: 0\r\n\r\n",
                "POST /submit HTTP/1.1\r\nX-Request-ID: r\u00e9\r\nContent-Length: 0\r\n\r\n",
                "POST /submit HTTP/1.1\r\nX-Request-ID: r\r\nIdempotency-Key: k\r\nContent-Length: 0\r\n\r\n",
                "GET /submit HTTP/1.1\r\nX-Request-ID: r\r\n\r\n",
                "POST /status HTTP/1.1\r\nX-Request-ID: r\r\nContent-Length: 0\r\n\r\n",
                "GET /status HTTP/1.1\r\nX-Request-ID: r\r\nContent-Length: 1\r\n\r\nx"
            })
    void anAmbiguousOrInvalidRequestIsRejected(String request) throws Exception {
        try (ScriptedHost host = new ScriptedHost(SERVES);
                GatewayFixture f = GatewayFixture.withHosts(host)) {
            Message response = f.client().exchange(request.replaceFirst("\r\n", "\r\n" + HEAD));
            assertTrue(response.firstLine().matches("HTTP/1.1 4\\d\\d .*"), response.firstLine());
            assertEquals(0, host.requests.size(), "must not be forwarded");
        }
    }

    @Test
    void connectionsWithoutARequestAreClosedBeforeOneThatSentOne() throws Exception {
        ScriptedHost host = new ScriptedHost(SERVES);
        // 64 descriptors are kept for other uses; half of the other 16 are for clients.
        try (host;
                GatewayFixture f = new GatewayFixture(
                        list(1, true, List.of(entry("s", host, "up", 0))),
                        GatewayFixture.quietDiscovery(),
                        60_000_000_000L,
                        80)) {
            Client active = f.client();
            assertEquals(
                    "fine", active.exchange(status("r1", LONG_TIMEOUT_MILLIS)).body());
            Client firstSilent = f.client();
            for (int i = 0; i < 20; i++) {
                f.client();
            }
            assertNull(firstSilent.read());
            assertEquals(
                    "fine",
                    active.exchange(status("r2", LONG_TIMEOUT_MILLIS)).body(),
                    "the active client's connection is kept");
        }
    }

    /** The first request times out at the host. The second was received with it, so its timeout has passed too. */
    @Test
    void theTimeoutOfAPipelinedRequestCountsFromItsLastByte() throws Exception {
        try (ScriptedHost host = new ScriptedHost((socket, request) -> {});
                GatewayFixture f = GatewayFixture.withHosts(host)) {
            Client client = f.client();
            client.write(submit("a", 1000, "x") + submit("b", 900, "x"));
            assertTrue(client.read().firstLine().contains(" 502 "));
            assertTrue(client.read().firstLine().contains(" 503 "));
            assertEquals(1, host.requests.size(), "the second must not be forwarded");
        }
    }
}
