package tinworks.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tinworks.node.NodeProcess;
import tinworks.policy.LoadBalancerApi.Outcome;

/** Memory budget for long responses of hosts: reading one that does not fit pauses until memory is released. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class LargeResponseTest {
    private static final int LENGTH = 3 << 20;

    private final ClosingEventLoopGroup group = new ClosingEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final ByteBudget budget = new ByteBudget(LENGTH + LENGTH / 2);
    private final HostPool pool = NodeProcess.call(
            loop,
            () -> new HostPool(
                    loop,
                    Transport.TCP,
                    new MonotonicClock(),
                    new HostPool.Bounds(1_000_000_000L, 9_000_000_000L, 10, 2 * LENGTH),
                    budget,
                    BalancerProtocol.INSTANCE));
    /** The outcome of each attempt and the number of its body bytes. */
    private final List<String> ended = new CopyOnWriteArrayList<>();

    private final List<Reservation> held = new ArrayList<>();

    @AfterEach
    void stop() throws InterruptedException {
        NodeProcess.run(loop, pool::close);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(5, TimeUnit.SECONDS);
    }

    private static ScriptedHost host(boolean chunked) throws Exception {
        String body = ".".repeat(LENGTH);
        String response = chunked
                ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(LENGTH) + "\r\n" + body
                        + "\r\n0\r\n\r\n"
                : "HTTP/1.1 200 OK\r\nContent-Length: " + LENGTH + "\r\n\r\n" + body;
        return new ScriptedHost((socket, request) -> ScriptedHost.write(socket, response));
    }

    private void send(String host, long timeoutMillis) {
        NodeProcess.run(
                loop,
                () -> pool.send(
                        host,
                        "r",
                        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/a", Unpooled.EMPTY_BUFFER),
                        TimeUnit.MILLISECONDS.toNanos(timeoutMillis),
                        Long.MAX_VALUE,
                        (attempt, outcome, at, load, response) -> {
                            if (response != null) {
                                held.add(response.reserved().retain());
                            }
                            ended.add(outcome + " "
                                    + (response == null ? 0 : response.body().readableBytes()));
                        }));
    }

    private void await(int count) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (ended.size() < count) {
            assertTrue(System.nanoTime() < until, ended.toString());
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    private void twoResponses(boolean chunked) throws Exception {
        try (ScriptedHost first = host(chunked);
                ScriptedHost second = host(chunked)) {
            NodeProcess.run(
                    loop,
                    () -> pool.update(
                            List.of(
                                    new HostPool.HostEntry("one", first.address(), 0, true, false),
                                    new HostPool.HostEntry("two", second.address(), 0, true, false)),
                            true));
            send("one", 15_000);
            await(1);
            send("two", 15_000);
            TimeUnit.MILLISECONDS.sleep(400);
            assertEquals(List.of(Outcome.SERVED + " " + LENGTH), ended, "the second does not fit yet");
            NodeProcess.run(loop, () -> held.remove(0).release());
            await(2);
            assertEquals(Outcome.SERVED + " " + LENGTH, ended.get(1));
            send("one", 300);
            await(3);
            assertEquals(Outcome.TIMED_OUT + " 0", ended.get(2), "the second response's memory is still held");
            NodeProcess.run(loop, () -> held.remove(0).release());
            assertEquals(
                    0, NodeProcess.call(loop, budget::reservedBytes), "the abandoned attempt reserves nothing later");
        }
    }

    @Test
    void theSecondResponseWaitsForTheFirst() throws Exception {
        twoResponses(false);
    }

    @Test
    void theSecondResponseWaitsForTheFirstIfTheirLengthsAreUnknown() throws Exception {
        twoResponses(true);
    }

    @Test
    void aShortResponseNeedsNoMemory() throws Exception {
        NodeProcess.run(loop, () -> budget.tryReserve(LENGTH + LENGTH / 2));
        try (ScriptedHost host = new ScriptedHost(
                (socket, request) -> ScriptedHost.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))) {
            NodeProcess.run(
                    loop,
                    () -> pool.update(List.of(new HostPool.HostEntry("one", host.address(), 0, true, false)), true));
            send("one", 5_000);
            await(1);
            assertEquals("SERVED 2", ended.get(0));
        }
    }

    /** The read in which memory runs out may also contain the end of the response. */
    @Test
    void readingResumesIfTheResponseIsCompleteWhenMemoryRunsOut() {
        ByteBudget emptyBudget = new ByteBudget(0);
        List<Integer> lengths = new ArrayList<>();
        ResponseReader.Listener listener = new ResponseReader.Listener() {
            @Override
            public boolean isAwaitingResponse() {
                return true;
            }

            @Override
            public boolean isHeadRequest() {
                return false;
            }

            @Override
            public HostPool.ResponseMatch match(HttpResponse head) {
                return HostPool.ResponseMatch.THIS_REQUEST;
            }

            @Override
            public void onResponse(
                    HttpResponse head, ByteBuf body, Reservation reserved, boolean framed, boolean clean) {
                lengths.add(body.readableBytes());
            }

            @Override
            public void onInvalidResponse() {
                lengths.add(-1);
            }
        };
        ResponseReader reader = new ResponseReader(listener, LENGTH, emptyBudget);
        EmbeddedChannel channel = new EmbeddedChannel(reader.decoder(), reader);
        int length = BodyBudget.SHORT_BODY_BYTES + 4_000;
        String response = "HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n" + ".".repeat(length);
        channel.writeInbound(Unpooled.copiedBuffer(response, StandardCharsets.US_ASCII));
        assertEquals(List.of(length), lengths);
        assertFalse(emptyBudget.hasWaiters(), "no reservation is queued any more");
        assertTrue(channel.config().isAutoRead(), "the next response may come on this connection");
        channel.finishAndReleaseAll();
    }
}
