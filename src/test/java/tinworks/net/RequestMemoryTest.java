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

/** Bodies of several clients together: what there is no room for is told to come back, and the room is had again. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class RequestMemoryTest {
    private static final int LONGEST = 1 << 20;
    private static final int HEADS = 400_000;

    private final ClosingEventLoopGroup group = new ClosingEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final ByteBudget bodies = new ByteBudget(2 * LONGEST);
    private final ByteBudget heads = new ByteBudget(HEADS);
    private ClientServer server;

    /**
     * Each request is answered with the length of its body; one for {@code /keep} keeps its body until another comes.
     */
    private static final class Counting implements ClientServer.Listener {
        private final List<ClientServer.Reply> kept = new ArrayList<>();

        @Override
        public boolean ready() {
            return true;
        }

        @Override
        public void onRequest(FullHttpRequest request, long arrivedAt, ClientServer.Reply reply) {
            if (request.uri().equals("/keep")) {
                reply.retainRequest(request);
                kept.add(reply);
            } else {
                kept.forEach(ClientServer.Reply::releaseRequest);
                kept.clear();
            }
            reply.text(HttpResponseStatus.OK, "took " + request.content().readableBytes(), 0);
        }
    }

    private void start(ByteBudget budget) {
        start(BodyBudget.shared(budget), new Counting());
    }

    private void start(BodyBudget budget, ClientServer.Listener listener) {
        server = NodeProcess.call(
                loop,
                () -> new ClientServer(
                        loop,
                        Transport.TCP,
                        new MonotonicClock(),
                        new ClientServer.Bounds(50, TimeUnit.SECONDS.toNanos(20), 0, 8_192, LONGEST, "/ready"),
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

    private Socket begin(String path, String length) throws IOException {
        Socket socket = new Socket();
        socket.connect(server.address(), 2_000);
        socket.setSoTimeout(10_000);
        socket.getOutputStream()
                .write(("POST " + path + " HTTP/1.1\r\nHost: x\r\n" + length + "\r\nConnection: close\r\n\r\nbegun")
                        .getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private static String answer(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    private String whole(String path, int length) throws IOException {
        try (Socket socket = begin(path, "Content-Length: " + length)) {
            socket.getOutputStream().write(new byte[length - "begun".length()]);
            return answer(socket);
        }
    }

    private void awaitTaken(long bytes) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (NodeProcess.call(loop, bodies::reservedBytes) != bytes) {
            assertTrue(System.nanoTime() < until, "taken: " + bodies.reservedBytes() + ", wanted " + bytes);
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    /** The third of three of the longest while two are under way. */
    private String third(ByteBudget budget) throws IOException, InterruptedException {
        start(budget);
        try (Socket one = begin("/a", "Content-Length: " + LONGEST);
                Socket two = begin("/a", "Transfer-Encoding: chunked")) {
            if (budget == bodies) {
                awaitTaken(2 * LONGEST);
            }
            assertTrue(two.isConnected());
            String third = whole("/a", LONGEST);
            assertTrue(whole("/a", LONGEST + 1).startsWith("HTTP/1.1 413 "), "too long for any time");
            one.getOutputStream().write(new byte[LONGEST - "begun".length()]);
            assertTrue(answer(one).endsWith("took " + LONGEST + "\n"));
            return third;
        }
    }

    @Test
    void aBodyThatThereIsNoRoomForIsToldToComeBackAndTheRoomIsHadAgain() throws Exception {
        String third = third(bodies);
        assertTrue(third.startsWith("HTTP/1.1 503 "), third);
        assertTrue(third.toLowerCase(java.util.Locale.ROOT).contains("retry-after: 0.2"), third);
        awaitTaken(0);
        assertTrue(whole("/a", LONGEST).endsWith("took " + LONGEST + "\n"));
        awaitTaken(0);
    }

    @Test
    void aLengthThatIsNoneIsABadRequestAndTakesNoRoom() throws Exception {
        start(bodies);
        for (String length : List.of("five", "-5", "99999999999999999999", "5, 6", "")) {
            try (Socket socket = begin("/a", "Content-Length: " + length)) {
                assertTrue(answer(socket).startsWith("HTTP/1.1 400 "), length);
            }
        }
        awaitTaken(0);
    }

    @Test
    void withoutABudgetAllAreTaken() throws Exception {
        assertTrue(third(new ByteBudget(Long.MAX_VALUE)).startsWith("HTTP/1.1 200 "));
    }

    @Test
    void aBodyThatIsKeptCountsUntilItIsDroppedAndOneThatBreaksOffNoMore() throws Exception {
        start(bodies);
        assertTrue(whole("/keep", LONGEST).startsWith("HTTP/1.1 200 "));
        assertTrue(whole("/keep", LONGEST).startsWith("HTTP/1.1 200 "));
        assertEquals(2 * LONGEST, NodeProcess.call(loop, bodies::reservedBytes));
        assertTrue(whole("/a", 100).startsWith("HTTP/1.1 503 "));
        try (Socket asks = new Socket()) {
            asks.connect(server.address(), 2_000);
            asks.getOutputStream()
                    .write("GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            assertTrue(answer(asks).startsWith("HTTP/1.1 200 "), "what has no body needs no room");
        }
        awaitTaken(0);
        try (Socket breaks = begin("/a", "Content-Length: " + LONGEST)) {
            awaitTaken(LONGEST);
            assertFalse(breaks.isClosed());
        }
        awaitTaken(0);
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

    /** As at an edge: short bodies have room of their own, and a body of unknown length takes what has come of it. */
    @Test
    void longBodiesDontKeepOutShortOnesAndUnknownLengthsGrow() throws Exception {
        ByteBudget shortOnes = new ByteBudget(BodyBudget.SHORT_BODY_BYTES);
        start(BodyBudget.split(shortOnes, bodies), new Counting());
        try (Socket one = chunked();
                Socket two = chunked();
                Socket third = chunked()) {
            chunk(one, LONGEST - 1);
            awaitTaken(LONGEST - 1);
            chunk(two, LONGEST / 2);
            awaitTaken(LONGEST - 1 + LONGEST / 2);
            chunk(third, BodyBudget.SHORT_BODY_BYTES / 2);
            chunk(third, LONGEST);
            String told = answer(third);
            assertTrue(told.startsWith("HTTP/1.1 503 "), told);
            assertTrue(told.toLowerCase(java.util.Locale.ROOT).contains("retry-after: 0.2"), told);
            assertTrue(whole("/a", BodyBudget.SHORT_BODY_BYTES).endsWith("took " + BodyBudget.SHORT_BODY_BYTES + "\n"));
            chunk(two, LONGEST / 2 - 1);
            awaitTaken(2 * LONGEST - 2);
            one.getOutputStream().write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            assertTrue(answer(one).endsWith("took " + (LONGEST - 1) + "\n"));
        }
        awaitTaken(0);
        assertEquals(0, NodeProcess.call(loop, shortOnes::reservedBytes));
    }

    /** A client sends two hundred requests ahead and reads nothing: their answers don't pile up here. */
    @Test
    void answersAreMadeAsTheirClientReadsThem() throws Exception {
        int requests = 200;
        int length = 50_000;
        java.util.concurrent.atomic.AtomicInteger taken = new java.util.concurrent.atomic.AtomicInteger();
        start(BodyBudget.shared(bodies), new ClientServer.Listener() {
            @Override
            public boolean ready() {
                return true;
            }

            @Override
            public void onRequest(FullHttpRequest request, long arrivedAt, ClientServer.Reply reply) {
                taken.incrementAndGet();
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
            int before = taken.get();
            TimeUnit.MILLISECONDS.sleep(300);
            assertEquals(before, taken.get(), "goes on though nothing is read");
            assertTrue(before < requests, before + " of " + requests + " answers were made");
            long read = 0;
            byte[] buffer = new byte[1 << 16];
            while (read < (long) requests * length) {
                int some = socket.getInputStream().read(buffer);
                assertTrue(some > 0, read + " bytes came");
                read += some;
            }
        }
        assertEquals(requests, taken.get());
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

    private void awaitHeads(boolean taken) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (NodeProcess.call(loop, () -> heads.reservedBytes() > 0) != taken) {
            assertTrue(System.nanoTime() < until, "taken: " + heads.reservedBytes());
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    /** Whether its head comes whole, in parts, or never. */
    @Test
    void aHeadThatThereIsNoRoomForIsToldToComeBackAndTheRoomIsHadAgain() throws Exception {
        start(bodies);
        try (Socket unfinished = send(longHead("/a"))) {
            awaitHeads(true);
            try (Socket whole = send(longHead("/a") + "\r\n");
                    Socket never = send(longHead("/a"));
                    Socket usual = send("GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")) {
                for (Socket refused : List.of(whole, never)) {
                    String told = answer(refused);
                    assertTrue(told.startsWith("HTTP/1.1 503 "), told);
                    assertTrue(told.toLowerCase(java.util.Locale.ROOT).contains("retry-after: 0.2"), told);
                }
                assertTrue(answer(usual).endsWith("took 0\n"), "there is room for a usual one");
            }
            unfinished.getOutputStream().write("Connection: close\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            assertTrue(answer(unfinished).endsWith("took 0\n"));
        }
        awaitHeads(false);
    }

    /** A request that is sent ahead holds its room until its turn; a client that leaves gives all of it back. */
    @Test
    void headsThatWaitForTheirTurnHoldTheirRoom() throws Exception {
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
            awaitHeads(true);
            third.setSoTimeout(2_000);
            long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
            while (NodeProcess.call(loop, heads::reservedBytes) < 3 * 600 * RequestDecoder.BYTES_PER_LINE) {
                assertTrue(System.nanoTime() < until, "taken: " + heads.reservedBytes());
                TimeUnit.MILLISECONDS.sleep(5);
            }
            assertTrue(NodeProcess.call(loop, heads::reservedBytes) <= HEADS);
        }
        awaitHeads(false);
    }
}
