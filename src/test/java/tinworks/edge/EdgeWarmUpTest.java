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
import tinworks.net.GatewayClock;
import tinworks.node.NodeProcess;

/** An edge's warm-up before it calls itself ready. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class EdgeWarmUpTest {
    private final ClosingEventLoopGroup group = new ClosingEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(5_000);
    }

    private EdgeWarmUp.Result warmUp(boolean clientThere) {
        CompletableFuture<EdgeWarmUp.Result> played = new CompletableFuture<>();
        NodeProcess.run(
                loop, () -> new EdgeWarmUp(loop, new GatewayClock(), () -> clientThere, played::complete).start());
        return played.join();
    }

    @Test
    void requestsAreServedThroughTheEdgesComponents() {
        EdgeWarmUp.Result played = warmUp(false);
        assertTrue(played.responses() > 100, played.toString());
        assertTrue(played.served() * 10 >= played.responses() * 9L, "nearly all by a host: " + played);
    }

    @Test
    void endsWithTheFirstResponseOnceAClientIsConnected() {
        assertEquals(1, warmUp(true).responses());
    }
}
