package tinworks.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tinworks.config.Configuration;
import tinworks.edge.EdgeFixture.Client;
import tinworks.edge.EdgeFixture.Message;
import tinworks.invariant.BreaksInvariants;
import tinworks.invariant.Invariant;
import tinworks.net.Forwarding;
import tinworks.net.HostPool;
import tinworks.node.NodeProcess;
import tinworks.policy.LoadBalancerApi.ClientDisconnected;

/** Each invariant check on the edge's requests detects a load balancer that violates it. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
@BreaksInvariants({
    Invariant.RUNS_ONCE,
    Invariant.PROMISE_KEPT,
    Invariant.ONE_ANSWER,
    Invariant.ANSWERED_IN_TIME,
    Invariant.TRIES_KEPT,
    Invariant.DEADLINE_KEPT,
    Invariant.NOT_TO_DRAINED,
    Invariant.OWN_ANSWER
})
class ForwardingInvariantsTest {
    private static final String ROUTE = "m";
    private static final long DEADLINE_MILLIS = 10_000;

    private final EdgeProtocol protocol = new EdgeProtocol(1) {
        @Override
        public HostPool.ResponseMatch match(String request, io.netty.handler.codec.http.HttpHeaders headers) {
            return HostPool.ResponseMatch.THIS_REQUEST;
        }
    };
    private final CountDownLatch mayRespond = new CountDownLatch(1);
    private final CountDownLatch received = new CountDownLatch(1);
    private ServerSocket host;
    private EdgeFixture edge;
    private Client client;

    /** Starts an edge whose load balancer knows one host, which holds requests. */
    @BeforeEach
    void start() throws Exception {
        host = new ServerSocket(0, 16, InetAddress.getByName("127.0.0.1"));
        Thread serving = new Thread(this::serve, "host");
        serving.setDaemon(true);
        serving.start();
        edge = new EdgeFixture(protocol);
        edge.host("h-1", host.getLocalSocketAddress(), true);
        edge.host("h-2", host.getLocalSocketAddress(), true);
        edge.host("h-draining", host.getLocalSocketAddress(), false);
        edge.drained.add("h-draining");
        edge.route(ROUTE, Configuration.Type.MUTATING, 2, "h-1");
        client = edge.client();
    }

    @AfterEach
    void stop() throws IOException {
        mayRespond.countDown();
        client.close();
        edge.close();
        host.close();
    }

    private void serve() {
        while (!host.isClosed()) {
            try {
                Socket socket = host.accept();
                Thread connection = new Thread(() -> respond(socket), "host's connection");
                connection.setDaemon(true);
                connection.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    /** Holds each request until the test allows a response, and then responds with another request's id. */
    private void respond(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            if (Message.read(in, true) != null) {
                received.countDown();
                mayRespond.await();
                String response =
                        "HTTP/1.1 200 OK\r\nAttempt-Id: another\r\nOrigin-Seal: s\r\nContent-Length: 2\r\n\r\nok";
                socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
                in.read();
            }
        } catch (IOException e) {
            // Closed by the edge.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void sendRequest(String id, long deadlineMillis) throws Exception {
        client.write(EdgeFixture.request(id, ROUTE, "body", deadlineMillis, false));
        assertTrue(received.await(EdgeFixture.WAIT_MILLIS, TimeUnit.MILLISECONDS));
    }

    private void assertViolated(Invariant invariant, Consumer<Forwarding> violation) {
        long before = invariant.violations();
        NodeProcess.run(edge.loop, () -> violation.accept(edge.module(ROUTE)));
        assertTrue(invariant.violations() > before, invariant.name());
    }

    @Test
    void secondSendOfARequestThatMayBeRunning() throws Exception {
        sendRequest("a1", DEADLINE_MILLIS);
        assertViolated(Invariant.RUNS_ONCE, module -> module.send("a1", "h-2", 1_000_000));
        assertViolated(Invariant.TRIES_KEPT, module -> module.send("a1", "h-2", 1_000_000));
    }

    @Test
    void refusalOfARequestThatMayHaveRunAndASendAfterIt() throws Exception {
        sendRequest("a1", DEADLINE_MILLIS);
        assertViolated(Invariant.PROMISE_KEPT, module -> module.refuse("a1", 0));
        assertEquals(503, client.read().status());
        assertViolated(Invariant.ONE_ANSWER, module -> module.send("a1", "h-2", 1_000_000));
    }

    @Test
    void sendToADrainingHostAndBeyondTheDeadline() throws Exception {
        sendRequest("a1", DEADLINE_MILLIS);
        assertViolated(Invariant.NOT_TO_DRAINED, module -> module.send("a1", "h-draining", 1_000_000));
        assertViolated(
                Invariant.DEADLINE_KEPT,
                module -> module.send("a1", "h-2", TimeUnit.MILLISECONDS.toNanos(DEADLINE_MILLIS + 1)));
    }

    @Test
    void responseToAnotherRequest() throws Exception {
        long before = Invariant.OWN_ANSWER.violations();
        sendRequest("a1", DEADLINE_MILLIS);
        mayRespond.countDown();
        client.read();
        assertEquals(before + 1, Invariant.OWN_ANSWER.violations());
    }

    /** The module considers the request ended; the client would wait forever. */
    @Test
    void forgottenRequestIsFailed() throws Exception {
        sendRequest("a1", 100);
        NodeProcess.run(edge.loop, () -> edge.module(ROUTE).dispatch(new ClientDisconnected("a1")));
        TimeUnit.MILLISECONDS.sleep(1_200);
        NodeProcess.run(edge.loop, () -> edge.module(ROUTE).failOverdue());
        assertViolated(Invariant.ANSWERED_IN_TIME, Forwarding::failOverdue);
        assertEquals(502, client.read().status());
    }
}
