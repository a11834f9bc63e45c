package tinworks.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tinworks.config.Configuration;
import tinworks.edge.EdgeFixture.Client;
import tinworks.edge.EdgeFixture.Message;
import tinworks.net.ScriptedHost;

/**
 * Guards against request smuggling: a request that two parsers could read differently, or that would reach a host
 * altered, must not be forwarded.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class AmbiguousRequestTest {
    private static final String HEAD = "POST /m/a HTTP/1.1\r\nHost: x.example\r\nAttempt-Id: a\r\n";
    private static final String SMUGGLED =
            "POST /m/b HTTP/1.1\r\nHost: x.example\r\nAttempt-Id: b\r\nContent-Length: 0\r\n\r\n";
    private final EdgeFixture edge = new EdgeFixture(new EdgeProtocol(1));
    private ScriptedHost host;

    @BeforeEach
    void start() throws IOException {
        host = new ScriptedHost((socket, request) -> {
            String id = request.header("Attempt-Id");
            boolean head = request.firstLine().startsWith("HEAD ");
            boolean empty = request.firstLine().contains("/empty");
            ScriptedHost.write(
                    socket,
                    "HTTP/1.1 " + (empty ? "204 No Content\r\n" : "200 OK\r\nContent-Length: 4\r\n") + "Attempt-Id: "
                            + id + "\r\nOrigin-Seal: s\r\n\r\n" + (head || empty ? "" : "fine"));
        });
        edge.host("h", host.address(), true);
        edge.route("m", Configuration.Type.MUTATING, 2, "h");
        edge.route("i", Configuration.Type.IDEM, 2, "h");
    }

    @AfterEach
    void stop() {
        edge.close();
        host.close();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                HEAD + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + SMUGGLED,
                HEAD + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + SMUGGLED,
                HEAD + "Content-Length: 0\r\nContent-Length: 99\r\n\r\n" + SMUGGLED,
                HEAD + "Content-Length: 0\r\nContent-Length: 0\r\n\r\n" + SMUGGLED,
                HEAD + "Content-Length: 0, 99\r\n\r\n" + SMUGGLED,
                HEAD + "Content-Length: +0\r\n\r\n" + SMUGGLED,
                HEAD + "Content-Length: -0\r\n\r\n" + SMUGGLED,
                HEAD + "Content-Length: 0x0\r\n\r\n" + SMUGGLED,
                HEAD + "Content-Length: 0 0\r\n\r\n" + SMUGGLED,
                HEAD + "Content-Length:\r\n\r\n" + SMUGGLED,
                HEAD + "Content-Length: 99999999999999999999\r\n\r\n" + SMUGGLED,
                HEAD + "Content-Length : 99\r\n\r\n" + SMUGGLED,
                HEAD + "Content-Length\r\n\r\n" + SMUGGLED,
                HEAD + "Transfer-Encoding: gzip\r\n\r\n" + SMUGGLED,
                HEAD + "Transfer-Encoding: identity\r\n\r\n" + SMUGGLED,
                HEAD + "Transfer-Encoding: xchunked\r\n\r\n" + SMUGGLED,
                HEAD + "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n" + SMUGGLED,
                HEAD + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + SMUGGLED,
                HEAD + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + SMUGGLED,
                HEAD + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n" + SMUGGLED,
                HEAD + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + SMUGGLED,
                HEAD + "Transfer-Encoding: \"chunked\"\r\n\r\n0\r\n\r\n" + SMUGGLED,
                HEAD + "Transfer-Encoding: chunked\r\n\r\n0x0\r\n\r\n" + SMUGGLED,
                HEAD + "Transfer-Encoding: chunked\r\n\r\n-0\r\n\r\n" + SMUGGLED,
                HEAD + "Transfer-Encoding: chunked\r\n\r\n+0\r\n\r\n" + SMUGGLED,
                HEAD + "Transfer-Encoding: chunked\r\n\r\n1 0\r\n\r\n" + SMUGGLED,
                HEAD + "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n" + SMUGGLED,
                HEAD + "Transfer-Encoding: chunked\r\n\r\n1\na\r\n0\r\n\r\n" + SMUGGLED,
                HEAD + "Transfer-Encoding: chunked\r\n\r\n1;x=\ny\r\na\r\n0\r\n\r\n" + SMUGGLED,
                HEAD + "Transfer-Encoding: chunked\r\n\r\n100000001\r\na\r\n0\r\n\r\n" + SMUGGLED,
                HEAD + "Content-Length: 0\n\n" + SMUGGLED,
                HEAD + "X-A: a\nContent-Length: 99\r\n\r\n" + SMUGGLED,
                HEAD + "X-A: a\rContent-Length: 99\r\n\r\n" + SMUGGLED,
                HEAD + "X-A: a\0b\r\nContent-Length: 0\r\n\r\n" + SMUGGLED,
                HEAD + "X A: a\r\nContent-Length: 0\r\n\r\n" + SMUGGLED,
                HEAD + ": a\r\nContent-Length: 0\r\n\r\n" + SMUGGLED,
                HEAD + "nonsense\r\nContent-Length: 0\r\n\r\n" + SMUGGLED,
                "POST /m/a HTTP/1.0\r\nHost: x.example\r\nAttempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
                        + SMUGGLED,
                "POST /m/a HTTP/2.0\r\nHost: x.example\r\nAttempt-Id: a\r\nContent-Length: 0\r\n\r\n" + SMUGGLED,
                "POST /m/a b HTTP/1.1\r\nHost: x.example\r\nAttempt-Id: a\r\nContent-Length: 0\r\n\r\n" + SMUGGLED,
                "P(ST /m/a HTTP/1.1\r\nHost: x.example\r\nAttempt-Id: a\r\nContent-Length: 0\r\n\r\n" + SMUGGLED
            })
    void ambiguousRequestReachesNoHostAndNeitherDoesWhatFollows(String bytes) throws Exception {
        try (Client client = edge.client()) {
            client.write(bytes);
            Message response = client.read();
            assertTrue(response != null && response.status() == 400, "got " + response + " after " + host.requests);
            assertNull(client.read(), "what follows cannot be separated from it");
            assertEquals(0, host.requests.size(), () -> "forwarded: " + host.requests);
        }
    }

    /** An invalid pipelined request must not suppress the response to the request in flight. */
    @Test
    void invalidPipelinedLengthIsAnsweredAfterTheRequestInFlight() throws Exception {
        try (Client client = edge.client()) {
            client.write(EdgeFixture.request("a", "m", "some body", 9_000, false)
                    + HEAD.replace("Attempt-Id: a", "Attempt-Id: b") + "Content-Length: 0x0\r\n\r\n");
            assertEquals("a", client.read().headers().get("attempt-id"));
            assertEquals(400, client.read().status());
            assertNull(client.read());
        }
    }

    /** The request is invalid but its end is unambiguous, so the request after it is served. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                HEAD + "Attempt-Id: b\r\nContent-Length: 0\r\n\r\n" + SMUGGLED,
                HEAD + "Host: y.example\r\nContent-Length: 0\r\n\r\n" + SMUGGLED,
                "POST /m/a\u00e9 HTTP/1.1\r\nHost: x.example\r\nAttempt-Id: a\r\nContent-Length: 0\r\n\r\n" + SMUGGLED,
                "POST /m/a?\u00ff HTTP/1.1\r\nHost: x.example\r\nAttempt-Id: a\r\nContent-Length: 0\r\n\r\n" + SMUGGLED,
                "POST /m/a\u0001 HTTP/1.1\r\nHost: x.example\r\nAttempt-Id: a\r\nContent-Length: 0\r\n\r\n" + SMUGGLED,
                "POST http://x.example/m/a HTTP/1.1\r\nHost: x.example\r\nAttempt-Id: a\r\nContent-Length: 0\r\n\r\n"
                        + SMUGGLED
            })
    void requestThatWouldReachAHostAlteredReachesNone(String bytes) throws Exception {
        try (Client client = edge.client()) {
            client.write(bytes);
            int status = client.read().status();
            assertTrue(status == 400 || status == 404, "got " + status + " after " + host.requests);
            assertEquals("b", client.read().headers().get("attempt-id"));
            assertEquals(1, host.requests.size(), () -> "forwarded: " + host.requests);
        }
    }

    /**
     * A folded header is joined to one line, as RFC 9112 requires of a proxy; it must not turn into a second header.
     */
    @Test
    void foldedHeaderIsForwardedAsOneLine() throws Exception {
        try (Client client = edge.client()) {
            client.write(HEAD + "X-Folded: a\r\n Content-Length: 99\r\nContent-Length: 0\r\n\r\n" + SMUGGLED);
            assertEquals("a", client.read().headers().get("attempt-id"));
            assertEquals("b", client.read().headers().get("attempt-id"));
            assertEquals("a Content-Length: 99", host.requests.get(0).header("X-Folded"));
            assertEquals("0", host.requests.get(0).header("Content-Length"));
        }
    }

    @Test
    void validRequestReachesTheHostUnchanged() throws Exception {
        try (Client client = edge.client()) {
            client.write(EdgeFixture.request("a", "m", "some body", 9_000, true)
                    + EdgeFixture.request("b", "m", "other", 9_000, false));
            assertEquals("fine", client.read().body());
            assertEquals("fine", client.read().body());
            assertEquals("POST /m/a?q=%20a HTTP/1.1", host.requests.get(0).firstLine());
            assertEquals("some body", host.requests.get(0).body());
            assertEquals("other", host.requests.get(1).body());
        }
    }

    /** The response to a HEAD has no body; bytes of one would be read as the start of the next response. */
    @Test
    void headResponseHasNoBody() throws Exception {
        try (Client client = edge.client()) {
            client.write("HEAD /none/a HTTP/1.1\r\nHost: x.example\r\nAttempt-Id: a\r\n\r\n"
                    + "HEAD /i/b HTTP/1.1\r\nHost: x.example\r\nAttempt-Id: b\r\nDeadline-Ms: 5000\r\n\r\n"
                    + EdgeFixture.request("c", "i", "", 9_000, false));
            assertEquals(404, client.readHead().status());
            Message head = client.readHead();
            assertEquals(200, head.status());
            assertEquals("b", head.headers().get("attempt-id"));
            assertEquals("4", head.headers().get("content-length"), "as sent by the host");
            Message next = client.read();
            assertEquals("c", next.headers().get("attempt-id"));
            assertEquals("fine", next.body());
        }
    }

    @Test
    void responseWithoutABodyIsCompleteWithoutALength() throws Exception {
        try (Client client = edge.client()) {
            client.write(EdgeFixture.request("empty", "m", "x", 9_000, false)
                    + EdgeFixture.request("c", "i", "", 9_000, false));
            Message response = client.read();
            assertEquals(204, response.status());
            assertEquals("s", response.headers().get("origin-seal"));
            assertEquals("fine", client.read().body());
            assertEquals(1, host.connections.size(), "its connection is reused");
        }
    }
}
