package tinworks.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tinworks.config.Configuration;
import tinworks.edge.EdgeFixture.Client;
import tinworks.edge.EdgeFixture.Message;
import tinworks.net.ScriptedHost;
import tinworks.node.NodeProcess;
import tinworks.policy.LoadBalancerApi.ShutdownStarted;

/** Connection draining during graceful shutdown: every request that was read gets its complete response. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class ConnectionDrainingTest {
    /** More than the socket buffers hold when the client reads slowly. */
    private static final int LARGE_BODY_BYTES = 12 << 20;

    private static final int SMALL_BUFFER_BYTES = 4_096;

    private static final String SERVED = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nOrigin-Seal: s\r\nAttempt-Id: ";

    @Test
    void pipelinedRequestsAreAnsweredBeforeTheConnectionCloses() throws Exception {
        CompletableFuture<Socket> held = new CompletableFuture<>();
        try (ScriptedHost host = new ScriptedHost((socket, request) -> {
                    String id = request.header("Attempt-Id");
                    if (id.equals("a")) {
                        held.complete(socket);
                    } else {
                        ScriptedHost.write(socket, SERVED + id + "\r\n\r\nfine");
                    }
                });
                EdgeFixture edge = new EdgeFixture(new EdgeProtocol(1));
                Client client = edge.client()) {
            edge.host("h", host.address(), true);
            edge.route("m", Configuration.Type.MUTATING, 2, "h");
            client.write(EdgeFixture.request("a", "m", "x", 9_000, false)
                    + EdgeFixture.request("b", "m", "y", 9_000, false)
                    + EdgeFixture.request("c", "m", "zz", 9_000, true));
            Socket at = held.get(EdgeFixture.WAIT_MILLIS, TimeUnit.MILLISECONDS);
            edge.dispatch(new ShutdownStarted(TimeUnit.SECONDS.toNanos(5)));
            NodeProcess.run(edge.loop, edge.clients::closeAfterNextResponse);
            NodeProcess.run(edge.loop, edge.clients::stopAccepting);
            ScriptedHost.write(at, SERVED + "a\r\n\r\nfine");
            for (String id : new String[] {"a", "b", "c"}) {
                Message response = client.read();
                assertEquals(200, response.status());
                assertEquals(id, response.headers().get("attempt-id"));
                assertEquals(
                        id.equals("c") ? "close" : null,
                        response.headers().get("connection"),
                        "only the last response closes the connection");
            }
            assertNull(client.read());
        }
    }

    /**
     * The response started before the shutdown, without {@code Connection: close}. Its connection counts as idle while
     * the rest is still being written.
     */
    @Test
    void slowlyReadResponseIsNotCutWhenTheEdgeStopsAccepting() throws Exception {
        try (ScriptedHost host = new ScriptedHost((socket, request) -> ScriptedHost.write(
                        socket,
                        "HTTP/1.1 200 OK\r\nContent-Length: " + LARGE_BODY_BYTES
                                + "\r\nOrigin-Seal: s\r\nAttempt-Id: a\r\n\r\n" + "x".repeat(LARGE_BODY_BYTES)));
                EdgeFixture edge = new EdgeFixture(new EdgeProtocol(1));
                Socket client = new Socket()) {
            edge.host("h", host.address(), true);
            edge.route("i", Configuration.Type.IDEM, 2, "h");
            client.setReceiveBufferSize(SMALL_BUFFER_BYTES);
            client.setSoTimeout(EdgeFixture.WAIT_MILLIS);
            client.connect(NodeProcess.call(edge.loop, edge.clients::address));
            client.getOutputStream()
                    .write(EdgeFixture.request("a", "i", "", 9_000, false).getBytes(StandardCharsets.US_ASCII));
            InputStream in = new BufferedInputStream(client.getInputStream());
            in.mark(1);
            in.read();
            in.reset();
            NodeProcess.run(edge.loop, edge.clients::stopAccepting);
            assertTrue(
                    NodeProcess.call(edge.loop, edge.clients::hasConnections),
                    "the process stays until the response has been written");
            Message response = Message.read(in, true);
            assertNotNull(response, "the response was cut");
            assertEquals(LARGE_BODY_BYTES, response.body().length());
            assertEquals(-1, in.read(), "its connection is closed after it");
            assertFalse(NodeProcess.call(edge.loop, edge.clients::hasConnections));
        }
    }
}
