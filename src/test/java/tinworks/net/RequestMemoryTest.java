package tinworks.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tinworks.node.NodeProcess;

/** Memory budgets for request heads and bodies: a request that exceeds them gets a 503, and memory is released. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class RequestMemoryTest {
    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final int HEAD_BUDGET_BYTES = 400_000;

    private final ClosingEventLoopGroup group = new ClosingEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final ByteBudget bodies = new ByteBudget(2 * MAX_BODY_BYTES);
    private final ByteBudget heads = new ByteBudget(HEAD_BUDGET_BYTES);
    private ClientServer server;

    /**
     * Responds with the length of the request body. A request for {@code /keep} is retained until one for another path.
     */
    private static final class CountingListener implements ClientServer.Listener {
        private final List<ClientServer.Reply> retained = new ArrayList<>();

        @Override
        public boolean ready() {
            return true;
        }

        @Override
        public void onRequest(FullHttpRequest request, long arrivedAt, ClientServer.Reply reply) {
            if (request.uri().equals("/keep")) {
                reply.retainRequest(request);
                retained.add(reply);
            } else {
                retained.forEach(ClientServer.Reply::releaseRequest);
                retained.clear();
            }
            reply.text(HttpResponseStatus.OK, "took " + request.content().readableBytes(), 0);
        }
    }

    private void start(ByteBudget budget) {
        start(BodyBudget.shared(budget), new CountingListener());
    }

    private void start(BodyBudget budget, ClientServer.Listener listener) {
        server = NodeProcess.call(
                loop,
                () -> new ClientServer(
                        loop,
                        Transport.TCP,
                        new MonotonicClock(),
                        new ClientServer.Bounds(50, TimeUnit.SECONDS.toNanos(20), 0, 8_192, MAX_BODY_BYTES, "/ready"),
                        budget,
                        heads,
                        listener));
        NodeProcess.call(loop, () -> server.listen(new InetSocketAddress("127.0.0.1", 0)))
                .syncUninterruptibly();
    }

    @AfterEach
    void stop() throws InterruptedException {
        NodeProcess.run(loop, server::close);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(5, TimeUnit.SECONDS);
    }

    private Socket sendPart(String path, String length) throws IOException {
        Socket socket = new Socket();
        socket.connect(server.address(), 2_000);
        socket.setSoTimeout(10_000);
        socket.getOutputStream()
                .write(("POST " + path + " HTTP/1.1\r\nHost: x\r\n" + length + "\r\nConnection: close\r\n\r\nbegun")
                        .getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private static String readResponse(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    private String exchange(String path, int length) throws IOException {
        try (Socket socket = sendPart(path, "Content-Length: " + length)) {
            socket.getOutputStream().write(new byte[length - "begun".length()]);
            return readResponse(socket);
        }
    }

    private void awaitReservedBytes(long bytes) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (NodeProcess.call(loop, bodies::reservedBytes) != bytes) {
            assertTrue(System.nanoTime() < until, "reserved: " + bodies.reservedBytes() + ", expected " + bytes);
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    /** The response to the third of three requests of maximum length while the other two are incomplete. */
    private String third(ByteBudget budget) throws IOException, InterruptedException {
        start(budget);
        try (Socket first = sendPart("/a", "Content-Length: " + MAX_BODY_BYTES);
                Socket second = sendPart("/a", "Transfer-Encoding: chunked")) {
            if (budget == bodies) {
                awaitReservedBytes(2 * MAX_BODY_BYTES);
            }
            assertTrue(second.isConnected());
            String third = exchange("/a", MAX_BODY_BYTES);
            assertTrue(
                    exchange("/a", MAX_BODY_BYTES + 1).startsWith("HTTP/1.1 413 "),
                    "exceeds the limit for a single body");
            first.getOutputStream().write(new byte[MAX_BODY_BYTES - "begun".length()]);
            assertTrue(readResponse(first).endsWith("took " + MAX_BODY_BYTES + "\n"));
            return third;
        }
    }

    @Test
    void aBodyOverTheBudgetIsRejectedWithRetryAfterAndMemoryIsReleased() throws Exception {
        String third = third(bodies);
        assertTrue(third.startsWith("HTTP/1.1 503 "), third);
        assertTrue(third.toLowerCase(java.util.Locale.ROOT).contains("retry-after: 0.2"), third);
        awaitReservedBytes(0);
        assertTrue(exchange("/a", MAX_BODY_BYTES).endsWith("took " + MAX_BODY_BYTES + "\n"));
        awaitReservedBytes(0);
    }

    @Test
    void anInvalidLengthIsABadRequestAndReservesNothing() throws Exception {
        start(bodies);
        for (String length : List.of("five", "-5", "99999999999999999999", "5, 6", "")) {
            try (Socket socket = sendPart("/a", "Content-Length: " + length)) {
                assertTrue(readResponse(socket).startsWith("HTTP/1.1 400 "), length);
            }
        }
        awaitReservedBytes(0);
    }

    @Test
    void withoutABudgetAllAreAccepted() throws Exception {
        assertTrue(third(new ByteBudget(Long.MAX_VALUE)).startsWith("HTTP/1.1 200 "));
    }

    @Test
    void aRetainedBodyCountsUntilReleasedAndAnAbortedOneDoesNot() throws Exception {
        start(bodies);
        assertTrue(exchange("/keep", MAX_BODY_BYTES).startsWith("HTTP/1.1 200 "));
        assertTrue(exchange("/keep", MAX_BODY_BYTES).startsWith("HTTP/1.1 200 "));
        assertEquals(2 * MAX_BODY_BYTES, NodeProcess.call(loop, bodies::reservedBytes));
        assertTrue(exchange("/a", 100).startsWith("HTTP/1.1 503 "));
        try (Socket withoutBody = new Socket()) {
            withoutBody.connect(server.address(), 2_000);
            withoutBody
                    .getOutputStream()
                    .write("GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            assertTrue(
                    readResponse(withoutBody).startsWith("HTTP/1.1 200 "), "a request without a body needs no memory");
        }
        awaitReservedBytes(0);
        try (Socket aborted = sendPart("/a", "Content-Length: " + MAX_BODY_BYTES)) {
            awaitReservedBytes(MAX_BODY_BYTES);
            assertFalse(aborted.isClosed());
        }
        awaitReservedBytes(0);
    }

    private static void chunk(Socket socket, int bytes) throws IOException {
        socket.getOutputStream().write((Integer.toHexString(bytes) + "\r\n").getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().write(new byte[bytes]);
        socket.getOutputStream().write("\r\n".getBytes(StandardCharsets.US_ASCII));
    }

    private Socket chunked() throws IOException {
        Socket socket = new Socket();
        socket.connect(server.address(), 2_000);
        socket.setSoTimeout(10_000);
        socket.getOutputStream()
                .write("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
                        .getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    /** The setup of an edge: short bodies have a budget of their own, and unknown lengths reserve what is received. */
    @Test
    void longBodiesDoNotStarveShortOnesAndUnknownLengthsReserveAsReceived() throws Exception {
        ByteBudget shortBodies = new ByteBudget(BodyBudget.SHORT_BODY_BYTES);
        start(BodyBudget.split(shortBodies, bodies), new CountingListener());
        try (Socket first = chunked();
                Socket second = chunked();
                Socket third = chunked()) {
            chunk(first, MAX_BODY_BYTES - 1);
            awaitReservedBytes(MAX_BODY_BYTES - 1);
            chunk(second, MAX_BODY_BYTES / 2);
            awaitReservedBytes(MAX_BODY_BYTES - 1 + MAX_BODY_BYTES / 2);
            chunk(third, BodyBudget.SHORT_BODY_BYTES / 2);
            chunk(third, MAX_BODY_BYTES);
            String response = readResponse(third);
            assertTrue(response.startsWith("HTTP/1.1 503 "), response);
            assertTrue(response.toLowerCase(java.util.Locale.ROOT).contains("retry-after: 0.2"), response);
            assertTrue(
                    exchange("/a", BodyBudget.SHORT_BODY_BYTES).endsWith("took " + BodyBudget.SHORT_BODY_BYTES + "\n"));
            chunk(second, MAX_BODY_BYTES / 2 - 1);
            awaitReservedBytes(2 * MAX_BODY_BYTES - 2);
            first.getOutputStream().write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            assertTrue(readResponse(first).endsWith("took " + (MAX_BODY_BYTES - 1) + "\n"));
        }
        awaitReservedBytes(0);
        assertEquals(0, NodeProcess.call(loop, shortBodies::reservedBytes));
    }

    /** A client pipelines two hundred requests and reads nothing: the responses must not accumulate in memory. */
    @Test
    void requestsAreProcessedAsTheirClientReadsResponses() throws Exception {
        int requests = 200;
        int length = 50_000;
        java.util.concurrent.atomic.AtomicInteger processed = new java.util.concurrent.atomic.AtomicInteger();
        start(BodyBudget.shared(bodies), new ClientServer.Listener() {
            @Override
            public boolean ready() {
                return true;
            }

            @Override
            public void onRequest(FullHttpRequest request, long arrivedAt, ClientServer.Reply reply) {
                processed.incrementAndGet();
                reply.text(HttpResponseStatus.OK, ".".repeat(length - 1), 0);
            }
        });
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(4_096);
            socket.connect(server.address(), 2_000);
            socket.setSoTimeout(10_000);
            socket.getOutputStream()
                    .write("GET /a HTTP/1.1\r\nHost: x\r\n\r\n".repeat(requests).getBytes(StandardCharsets.US_ASCII));
            TimeUnit.MILLISECONDS.sleep(500);
            int before = processed.get();
            TimeUnit.MILLISECONDS.sleep(300);
            assertEquals(before, processed.get(), "requests are processed though the client reads nothing");
            assertTrue(before < requests, before + " of " + requests + " requests were processed");
            long read = 0;
            byte[] buffer = new byte[1 << 16];
            while (read < (long) requests * length) {
                int some = socket.getInputStream().read(buffer);
                assertTrue(some > 0, read + " bytes received");
                read += some;
            }
        }
        assertEquals(requests, processed.get());
    }

    /** A head of many short lines, without its end. */
    private static String longHead(String path) {
        return "GET " + path + " HTTP/1.1\r\nHost: x\r\n" + "a:b\r\n".repeat(1_500);
    }

    private Socket send(String text) throws IOException {
        Socket socket = new Socket();
        socket.connect(server.address(), 2_000);
        socket.setSoTimeout(10_000);
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private void awaitHeadReservation(boolean reserved) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (NodeProcess.call(loop, () -> heads.reservedBytes() > 0) != reserved) {
            assertTrue(System.nanoTime() < until, "reserved: " + heads.reservedBytes());
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    /** Holds whether the end of the head is received or not. */
    @Test
    void aHeadOverTheBudgetIsRejectedWithRetryAfterAndMemoryIsReleased() throws Exception {
        start(bodies);
        try (Socket unfinished = send(longHead("/a"))) {
            awaitHeadReservation(true);
            try (Socket complete = send(longHead("/a") + "\r\n");
                    Socket unterminated = send(longHead("/a"));
                    Socket small = send("GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")) {
                for (Socket rejected : List.of(complete, unterminated)) {
                    String response = readResponse(rejected);
                    assertTrue(response.startsWith("HTTP/1.1 503 "), response);
                    assertTrue(response.toLowerCase(java.util.Locale.ROOT).contains("retry-after: 0.2"), response);
                }
                assertTrue(readResponse(small).endsWith("took 0\n"), "a small head fits");
            }
            unfinished.getOutputStream().write("Connection: close\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            assertTrue(readResponse(unfinished).endsWith("took 0\n"));
        }
        awaitHeadReservation(false);
    }

    /** A pipelined request keeps its reservation until its turn; a disconnect releases all of them. */
    @Test
    void headsOfPipelinedRequestsKeepTheirReservations() throws Exception {
        start(BodyBudget.shared(bodies), new ClientServer.Listener() {
            @Override
            public boolean ready() {
                return true;
            }

            @Override
            public void onRequest(FullHttpRequest request, long arrivedAt, ClientServer.Reply reply) {
                reply.retainRequest(request);
                reply.onClientDisconnect(reply::releaseRequest);
            }
        });
        String small = "GET /a HTTP/1.1\r\nHost: x\r\n" + "a:b\r\n".repeat(600) + "\r\n";
        try (Socket ahead = send(small + small);
                Socket third = send(small + small)) {
            assertTrue(ahead.isConnected());
            awaitHeadReservation(true);
            third.setSoTimeout(2_000);
            long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
            while (NodeProcess.call(loop, heads::reservedBytes) < 3 * 600 * RequestDecoder.OVERHEAD_BYTES_PER_LINE) {
                assertTrue(System.nanoTime() < until, "reserved: " + heads.reservedBytes());
                TimeUnit.MILLISECONDS.sleep(5);
            }
            assertTrue(NodeProcess.call(loop, heads::reservedBytes) <= HEAD_BUDGET_BYTES);
        }
        awaitHeadReservation(false);
    }
}
