package tinworks.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tinworks.node.NodeProcess;
import tinworks.policy.LoadBalancerApi.Outcome;

/**
 * Guards against giving up a request of which no byte was sent: it has not run, and can go to another host. Requests of
 * which a part was sent are in {@code InterruptedUploadTest}.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class InterruptedWriteTest {
    private static final long LONG_NANOS = TimeUnit.SECONDS.toNanos(30);

    private final ClosingEventLoopGroup group = new ClosingEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private HostPool pool;

    @BeforeEach
    void start() {
        HostPool.Bounds bounds = new HostPool.Bounds(LONG_NANOS, LONG_NANOS, 10, 1_000);
        pool = NodeProcess.call(
                loop, () -> new HostPool(loop, Transport.TCP, new MonotonicClock(), bounds, BalancerProtocol.INSTANCE));
    }

    @AfterEach
    void stop() throws InterruptedException {
        NodeProcess.run(loop, pool::close);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(5, TimeUnit.SECONDS);
    }

    private void list(ScriptedHost host) {
        NodeProcess.run(
                loop,
                () -> pool.update(List.of(new HostPool.HostEntry("host", host.address(), 0, true, false)), false));
    }

    /** To be called on the event loop. */
    private CompletableFuture<Outcome> send() {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.POST, "/", Unpooled.wrappedBuffer(new byte[10]));
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, 10);
        CompletableFuture<Outcome> ended = new CompletableFuture<>();
        pool.send(
                "host",
                "id",
                request,
                LONG_NANOS,
                LONG_NANOS,
                (attempt, outcome, at, load, response) -> ended.complete(outcome));
        return ended;
    }

    private static Outcome await(CompletableFuture<Outcome> ended) throws Exception {
        return ended.get(20, TimeUnit.SECONDS);
    }

    @Test
    void aRequestOfWhichNothingWasSentHasNotRun() throws Exception {
        try (ScriptedHost host = new ScriptedHost(ScriptedHost.reply("200 OK", "fine"))) {
            list(host);
            assertEquals(Outcome.SERVED, await(NodeProcess.call(loop, this::send)));
            Socket connection = onlyConnection(host);
            // The event loop is busy meanwhile, so that it notices the reset only by its write.
            CompletableFuture<Outcome> ended = NodeProcess.call(loop, () -> {
                try {
                    ScriptedHost.reset(connection);
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(300));
                return send();
            });
            assertEquals(Outcome.CONNECT_FAILED, await(ended));
            assertEquals(1, host.requests.size());
        }
    }

    private static Socket onlyConnection(ScriptedHost host) throws InterruptedException {
        GatewayFixture.await("the connection", () -> !host.connections.isEmpty());
        return host.connections.get(0);
    }
}
