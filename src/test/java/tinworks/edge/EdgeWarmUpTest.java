package tinworks.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tinworks.net.ClosingEventLoopGroup;
import tinworks.net.MonotonicClock;
import tinworks.node.NodeProcess;

/** The warm-up of an edge: it sends requests through the edge's components, and ends when a client connects. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class EdgeWarmUpTest {
    private final ClosingEventLoopGroup group = new ClosingEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(5_000);
    }

    private EdgeWarmUp.Result warmUp(boolean clientPresent) {
        CompletableFuture<EdgeWarmUp.Result> result = new CompletableFuture<>();
        NodeProcess.run(
                loop, () -> new EdgeWarmUp(loop, new MonotonicClock(), () -> clientPresent, result::complete).start());
        return result.join();
    }

    @Test
    void requestsAreServedThroughTheEdgesComponents() {
        EdgeWarmUp.Result result = warmUp(false);
        assertTrue(result.responses() > 100, result.toString());
        assertTrue(result.served() * 10 >= result.responses() * 9L, "nearly all are served by a host: " + result);
    }

    @Test
    void endsWithTheFirstResponseOnceAClientIsConnected() {
        assertEquals(1, warmUp(true).responses());
    }
}
