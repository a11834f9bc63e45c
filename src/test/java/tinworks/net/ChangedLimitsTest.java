package tinworks.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import tinworks.node.NodeProcess;

/** Guards against clients with kept connections being held to the limits of an older configuration. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class ChangedLimitsTest {
    private static final int LOW_BODY_BYTES = 1_000;
    private static final int HIGH_BODY_BYTES = 1 << 20;
    private static final int LOW_HEAD_BYTES = 512;
    private static final int HIGH_HEAD_BYTES = 16_384;
    private static final int BETWEEN_BODY_BYTES = 1_800;
    private static final int BETWEEN_HEAD_BYTES = 5_000;

    private final ClosingEventLoopGroup group = new ClosingEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final ByteBudget bodies = new ByteBudget(64 << 20);
    private final ByteBudget heads = new ByteBudget(1 << 20);
    private ClientServer server;
    private Socket client;
    private InputStream responses;

    /** Responds with the length of the request body. */
    private static final class LengthListener implements ClientServer.Listener {
        @Override
        public boolean ready() {
            return true;
        }

        @Override
        public void onRequest(FullHttpRequest request, long arrivedAt, ClientServer.Reply reply) {
            reply.text(HttpResponseStatus.OK, "took " + request.content().readableBytes(), 0);
        }
    }

    @BeforeEach
    void start() throws IOException {
        server = NodeProcess.call(
                loop,
                () -> new ClientServer(
                        loop,
                        Transport.TCP,
                        new MonotonicClock(),
                        bounds(LOW_HEAD_BYTES, LOW_BODY_BYTES),
                        BodyBudget.split(bodies, bodies),
                        heads,
                        new LengthListener()));
        NodeProcess.call(loop, () -> server.listen(new InetSocketAddress("127.0.0.1", 0)))
                .syncUninterruptibly();
        connect();
    }

    private void connect() throws IOException {
        client = new Socket();
        client.connect(server.address(), 2_000);
        client.setTcpNoDelay(true);
        client.setSoTimeout(20_000);
        responses = new BufferedInputStream(client.getInputStream());
    }

    @AfterEach
    void stop() throws Exception {
        client.close();
        GatewayFixture.await("the release of all memory", () -> reservedBytes() == 0);
        NodeProcess.run(loop, server::close);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(5, TimeUnit.SECONDS);
    }

    private long reservedBytes() {
        return NodeProcess.call(loop, () -> bodies.reservedBytes() + heads.reservedBytes());
    }

    private static ClientServer.Bounds bounds(int headBytes, int bodyBytes) {
        return new ClientServer.Bounds(50, TimeUnit.SECONDS.toNanos(20), 0, headBytes, bodyBytes, null);
    }

    private void limit(int headBytes, int bodyBytes) {
        NodeProcess.run(loop, () -> server.updateBounds(bounds(headBytes, bodyBytes)));
    }

    private void write(String bytes) throws IOException {
        client.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
    }

    /** The next response: its status, and the body's first line. */
    private String read() throws IOException {
        ScriptedHost.Message response = ScriptedHost.Message.read(responses);
        return response == null
                ? null
                : response.firstLine().split(" ")[1] + " " + response.body().strip();
    }

    /** Connects anew under these limits: the new connection is accepted with them. */
    private void reconnect(int headBytes, int bodyBytes) throws IOException {
        client.close();
        limit(headBytes, bodyBytes);
        connect();
        exchangeSmall();
    }

    private static String post(int bodyBytes, boolean chunked) {
        String body = "x".repeat(bodyBytes);
        return "POST / HTTP/1.1\r\nHost: x\r\n"
                + (chunked
                        ? "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(bodyBytes) + "\r\n" + body
                                + "\r\n0\r\n\r\n"
                        : "Content-Length: " + bodyBytes + "\r\n\r\n" + body);
    }

    private static String get(int headBytes) {
        return "GET / HTTP/1.1\r\nX-Pad: " + "p".repeat(headBytes) + "\r\n\r\n";
    }

    /** Makes sure that the server has read all that was sent before, and that nothing is open. */
    private void exchangeSmall() throws IOException {
        write(post(10, false));
        assertEquals("200 took 10", read());
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aRaisedBodyLimitAppliesToKeptConnections(boolean chunked) throws IOException {
        exchangeSmall();
        limit(LOW_HEAD_BYTES, HIGH_BODY_BYTES);
        write(post(BETWEEN_BODY_BYTES, chunked));
        assertEquals("200 took " + BETWEEN_BODY_BYTES, read());
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aLoweredBodyLimitAppliesToKeptConnections(boolean chunked) throws IOException {
        reconnect(LOW_HEAD_BYTES, HIGH_BODY_BYTES);
        limit(LOW_HEAD_BYTES, LOW_BODY_BYTES);
        write(post(BETWEEN_BODY_BYTES, chunked));
        assertEquals("413 the body is too long", read());
        assertNull(read());
    }

    @Test
    void aRaisedHeadLimitAppliesToKeptConnections() throws IOException {
        exchangeSmall();
        limit(HIGH_HEAD_BYTES, LOW_BODY_BYTES);
        write(get(BETWEEN_HEAD_BYTES));
        assertEquals("200 took 0", read());
    }

    @Test
    void aLoweredHeadLimitAppliesToKeptConnections() throws IOException {
        reconnect(HIGH_HEAD_BYTES, LOW_BODY_BYTES);
        limit(LOW_HEAD_BYTES, LOW_BODY_BYTES);
        write(get(BETWEEN_HEAD_BYTES));
        assertEquals("400 not a readable HTTP request", read());
        assertNull(read());
    }

    /** Where a request is cut by the change: within its first line, its headers, and its body. */
    @ParameterizedTest
    @CsvSource({"4,200 took 1800", "30,413 the body is too long", "70,413 the body is too long"})
    void aRequestIsHeldToTheLimitsOfItsFirstLine(int bytesBefore, String expected) throws Exception {
        exchangeSmall();
        String request = post(BETWEEN_BODY_BYTES, true);
        write(request.substring(0, bytesBefore));
        awaitReceived(bytesBefore);
        limit(LOW_HEAD_BYTES, HIGH_BODY_BYTES);
        write(request.substring(bytesBefore));
        assertEquals(expected, read());
    }

    /** The head of a request that is not complete has reserved memory, as its first line has not. */
    private void awaitReceived(int bytes) throws InterruptedException {
        GatewayFixture.await("the first part", () -> reservedBytes() >= bytes);
    }

    /** The next request is in the decoder already when the one before it, which came under the old limit, ends. */
    @Test
    void aPipelinedRequestThatFollowsAChangeIsHeldToTheNewLimits() throws Exception {
        String first = post(100, false);
        write(first.substring(0, 80));
        awaitReceived(50);
        limit(LOW_HEAD_BYTES, HIGH_BODY_BYTES);
        write(first.substring(80) + post(BETWEEN_BODY_BYTES, true) + post(BETWEEN_BODY_BYTES + 1, false) + get(10));
        assertEquals("200 took 100", read());
        assertEquals("200 took 1800", read());
        assertEquals("200 took 1801", read());
        assertEquals("200 took 0", read());
    }
}
