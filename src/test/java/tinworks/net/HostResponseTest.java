package tinworks.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static tinworks.net.GatewayFixture.LONG_TIMEOUT_MILLIS;
import static tinworks.net.GatewayFixture.await;
import static tinworks.net.GatewayFixture.status;
import static tinworks.net.GatewayFixture.submit;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tinworks.net.GatewayFixture.Client;
import tinworks.net.ScriptedHost.Message;
import tinworks.net.ScriptedHost.Script;

/** How a gateway handles invalid responses of hosts, and valid ones that are preceded or followed by other bytes. */
class HostResponseTest {
    private static final String VALID = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine";

    private static Script sends(String bytes) {
        return (socket, request) -> ScriptedHost.write(socket, bytes);
    }

    /** The host keeps the connection open, so the attempt ends only if the gateway detects the invalid response. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "noise that no line ends\0\1\2\r\n\r\n",
                "HTTP/1.1 OK 200\r\nContent-Length: 4\r\n\r\nfine",
                "HTTP/9.9 200 OK\r\nContent-Length: 4\r\n\r\nfine",
                "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 4\r\n\r\nfine",
                "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nfine",
                "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nfine",
                "HTTP/1.1 200 OK\r\nContent-Length: four\r\n\r\nfine",
                "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nfine",
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nfi\r\nzz\r\nne\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\n\r\nfine",
                "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"
            })
    void anInvalidResponseFailsItsAttemptAndClosesTheConnection(String bytes) throws Exception {
        try (ScriptedHost host = new ScriptedHost(sends(bytes));
                GatewayFixture f = GatewayFixture.withHosts(host)) {
            Message response = f.client().exchange(submit("r", LONG_TIMEOUT_MILLIS, "x"));
            assertTrue(response.firstLine().contains(" 502 "), response.firstLine());
            assertEquals(1, host.requests.size(), "it may have run");
            await("the close", () -> host.connections.get(0).isClosed());
        }
    }

    /** Endless responses, which would fill the memory if the gateway went on reading. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\n|X-Pad: pppppppppppppppppppppppp\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n|4\r\nmore\r\n",
                "|HTTP/1.1 200 OK"
            })
    void anEndlessResponseIsAborted(String headAndRepeatedPart) throws Exception {
        String[] parts = headAndRepeatedPart.split("\\|");
        try (ScriptedHost host = new ScriptedHost((socket, request) -> {
                    ScriptedHost.write(socket, parts[0]);
                    for (int i = 0; i < 1_000_000; i++) {
                        ScriptedHost.write(socket, parts[1]);
                    }
                });
                GatewayFixture f = GatewayFixture.withHosts(host)) {
            Message response = f.client().exchange(submit("r", LONG_TIMEOUT_MILLIS, "x"));
            assertTrue(response.firstLine().contains(" 502 "), response.firstLine());
            await("the close", () -> host.connections.get(0).isClosed());
        }
    }

    /** If the connection were reused, the extra bytes would be taken for the response to the second request. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                VALID,
                "noise",
                "noise\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 100 Continue\r\n\r\n"
            })
    void aValidResponseFollowedByMoreBytesIsServedAndItsConnectionNotReused(String more) throws Exception {
        try (ScriptedHost host = new ScriptedHost(sends(VALID + more));
                GatewayFixture f = GatewayFixture.withHosts(host)) {
            Client client = f.client();
            assertEquals(
                    "fine",
                    client.exchange(submit("r1", LONG_TIMEOUT_MILLIS, "x")).body());
            host.script(ScriptedHost.reply("200 OK", "second"));
            assertEquals(
                    "second",
                    client.exchange(submit("r2", LONG_TIMEOUT_MILLIS, "x")).body());
            assertEquals(2, host.connections.size());
        }
    }

    @Test
    void bytesOnAnIdleConnectionCloseIt() throws Exception {
        try (ScriptedHost host = new ScriptedHost(sends(VALID));
                GatewayFixture f = GatewayFixture.withHosts(host)) {
            Client client = f.client();
            assertEquals(
                    "fine",
                    client.exchange(submit("r1", LONG_TIMEOUT_MILLIS, "x")).body());
            Socket connection = host.connections.get(0);
            ScriptedHost.write(connection, "late noise without a line's end");
            await("the close", () -> closed(connection));
            assertEquals(
                    "fine",
                    client.exchange(submit("r2", LONG_TIMEOUT_MILLIS, "x")).body());
            assertEquals(2, host.connections.size());
        }
    }

    private static boolean closed(Socket socket) {
        try {
            ScriptedHost.write(socket, "x");
            return socket.isClosed();
        } catch (IOException e) {
            return true;
        }
    }

    @Test
    void informationalResponsesAreSkippedAndTheConnectionIsReused() throws Exception {
        String informational = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n";
        try (ScriptedHost host = new ScriptedHost(sends(informational + VALID));
                GatewayFixture f = GatewayFixture.withHosts(host)) {
            Client client = f.client();
            assertEquals(
                    "fine",
                    client.exchange(submit("r1", LONG_TIMEOUT_MILLIS, "x")).body());
            assertEquals(
                    "fine",
                    client.exchange(submit("r2", LONG_TIMEOUT_MILLIS, "x")).body());
            assertEquals(1, host.connections.size());
        }
    }

    @Test
    void aResponseReceivedInPartsIsForwardedWhole() throws Exception {
        String body = "0123456789".repeat(5000);
        try (ScriptedHost host = new ScriptedHost((socket, request) -> {
                    String chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + Integer.toHexString(body.length()) + "\r\n" + body + "\r\n0\r\n\r\n";
                    byte[] bytes = chunked.getBytes(StandardCharsets.UTF_8);
                    for (int i = 0; i < bytes.length; i += 777) {
                        socket.getOutputStream().write(bytes, i, Math.min(777, bytes.length - i));
                    }
                });
                GatewayFixture f = GatewayFixture.withHosts(host)) {
            Client client = f.client();
            assertEquals(
                    body, client.exchange(status("r1", LONG_TIMEOUT_MILLIS)).body());
            assertEquals(
                    body, client.exchange(status("r2", LONG_TIMEOUT_MILLIS)).body());
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "=,=",
                "TEXT ?",
                "tps=NaN",
                "tps=Infinity",
                "load_share=-1",
                "err_ps=1e300",
                "tps=1,load_share=x",
                "tps=1,load_share"
            })
    void anInvalidLoadReportIsIgnored(String report) {
        assertNull(LoadReportParser.parse(List.of(report)));
    }

    @Test
    void aLoadReportIsParsedByEitherSetOfNamesAndARepeatedOneIsIgnored() {
        assertEquals(
                LoadReportParser.parse(List.of("qps=140,util=0.62,eps=0.5")),
                LoadReportParser.parse(List.of("tps=140,load_share=0.62,err_ps=0.5")));
        assertEquals(
                0.62,
                LoadReportParser.parse(List.of("tps=140, load_share=0.62")).utilisation());
        assertNotNull(LoadReportParser.parse(List.of("other=3")));
        assertNull(LoadReportParser.parse(List.of("tps=1", "tps=2")));
        assertNull(LoadReportParser.parse(List.of()));
    }
}
