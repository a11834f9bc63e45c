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

/** Long answers of hosts together: one that there is no room for waits at its host until there is. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class LargeResponseTest {
    private static final int LENGTH = 3 << 20;

    private final ClosingEventLoopGroup group = new ClosingEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final ByteBudget answers = new ByteBudget(LENGTH + LENGTH / 2);
    private final HostPool pool = NodeProcess.call(
            loop,
            () -> new HostPool(
                    loop,
                    Transport.TCP,
                    new MonotonicClock(),
                    new HostPool.Bounds(1_000_000_000L, 9_000_000_000L, 10, 2 * LENGTH),
                    answers,
                    BalancerProtocol.INSTANCE));
    /** Each outcome and how many bytes came. */
    private final List<String> ended = new CopyOnWriteArrayList<>();

    private final List<Reservation> held = new ArrayList<>();

    @AfterEach
    void stop() throws InterruptedException {
        NodeProcess.run(loop, pool::close);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(5, TimeUnit.SECONDS);
    }

    private static ScriptedHost host(boolean chunked) throws Exception {
        String body = ".".repeat(LENGTH);
        String answer = chunked
                ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(LENGTH) + "\r\n" + body
                        + "\r\n0\r\n\r\n"
                : "HTTP/1.1 200 OK\r\nContent-Length: " + LENGTH + "\r\n\r\n" + body;
        return new ScriptedHost((socket, request) -> ScriptedHost.write(socket, answer));
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
                        (attempt, outcome, at, load, answer) -> {
                            if (answer != null) {
                                held.add(answer.reserved().retain());
                            }
                            ended.add(outcome + " "
                                    + (answer == null ? 0 : answer.body().readableBytes()));
                        }));
    }

    private void await(int count) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (ended.size() < count) {
            assertTrue(System.nanoTime() < until, ended.toString());
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    private void twoAnswers(boolean chunked) throws Exception {
        try (ScriptedHost one = host(chunked);
                ScriptedHost two = host(chunked)) {
            NodeProcess.run(
                    loop,
                    () -> pool.update(
                            List.of(
                                    new HostPool.HostEntry("one", one.address(), 0, true, false),
                                    new HostPool.HostEntry("two", two.address(), 0, true, false)),
                            true));
            send("one", 15_000);
            await(1);
            send("two", 15_000);
            TimeUnit.MILLISECONDS.sleep(400);
            assertEquals(List.of(Outcome.SERVED + " " + LENGTH), ended, "there is no room for the second yet");
            NodeProcess.run(loop, () -> held.remove(0).release());
            await(2);
            assertEquals(Outcome.SERVED + " " + LENGTH, ended.get(1));
            send("one", 300);
            await(3);
            assertEquals(Outcome.TIMED_OUT + " 0", ended.get(2), "the second one is still held");
            NodeProcess.run(loop, () -> held.remove(0).release());
            assertEquals(0, NodeProcess.call(loop, answers::reservedBytes), "what was given up takes no room later");
        }
    }

    @Test
    void theSecondWaitsForTheFirst() throws Exception {
        twoAnswers(false);
    }

    @Test
    void theSameWhereNoLengthIsTold() throws Exception {
        twoAnswers(true);
    }

    @Test
    void aShortOneNeedsNoRoom() throws Exception {
        NodeProcess.run(loop, () -> answers.tryReserve(LENGTH + LENGTH / 2));
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

    /** The end of an answer may lie in the very read that finds no room for more of it. */
    @Test
    void aConnectionIsReadOnWhereItsAnswerEndedWhileItWaited() {
        ByteBudget none = new ByteBudget(0);
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
            public HostPool.ResponseMatch ownerOf(HttpResponse head) {
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
        ResponseReader reader = new ResponseReader(listener, LENGTH, none);
        EmbeddedChannel channel = new EmbeddedChannel(reader.decoder(), reader);
        int length = BodyBudget.SHORT_BODY_BYTES + 4_000;
        String answer = "HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n" + ".".repeat(length);
        channel.writeInbound(Unpooled.copiedBuffer(answer, StandardCharsets.US_ASCII));
        assertEquals(List.of(length), lengths);
        assertFalse(none.hasWaiters(), "nobody waits any more");
        assertTrue(channel.config().isAutoRead(), "the next answer may come on this connection");
        channel.finishAndReleaseAll();
    }
}
