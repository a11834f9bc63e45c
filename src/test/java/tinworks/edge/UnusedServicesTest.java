package tinworks.edge;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tinworks.channel.ConfigurationCodec;
import tinworks.channel.PeerMessage.ConfigurationBody;
import tinworks.config.CompressedBytes;
import tinworks.config.Configuration;
import tinworks.config.Configuration.Limits;
import tinworks.config.Configuration.Route;
import tinworks.config.Configuration.Service;
import tinworks.config.Configuration.Split;
import tinworks.net.ClosingEventLoopGroup;
import tinworks.net.MonotonicClock;
import tinworks.node.BootSettings;
import tinworks.node.NodeProcess;

/**
 * Guards against load balancers that outlive their services. Each service that a configuration version ever named kept
 * its load balancer, with a timer and metrics: 400 versions with one service each left 400 of them, which cost 80 kB of
 * metrics and 34 ms of processor time a second.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class UnusedServicesTest {
    private static final int VERSIONS = 20;

    private static byte[] version(int rev) {
        String service = "s-" + rev;
        Route route = new Route(
                "r", "x.example", "/p/", Configuration.Type.IDEM, 1_000, 300, 1, List.of(new Split(service, 1)), 2);
        return CompressedBytes.compress(ConfigurationCodec.write(new Configuration(
                rev, List.of(route), Map.of(service, new Service(service, "/", 100)), Limits.DEFAULTS)));
    }

    @Test
    void modulesOfRemovedServicesAreClosed() throws InterruptedException {
        ClosingEventLoopGroup group = new ClosingEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
        BootSettings settings = new BootSettings(
                "edge", "z", any, any, null, any, List.of("127.0.0.1:1"), false, 1_000, null, 1, 6_000, any);
        try {
            EdgeNode edge = NodeProcess.call(loop, () -> new EdgeNode(loop, new MonotonicClock(), settings, 1));
            NodeProcess.run(loop, edge::start);
            for (int rev = 1; rev <= VERSIONS; rev++) {
                ConfigurationBody body = new ConfigurationBody(rev, version(rev));
                NodeProcess.run(loop, () -> edge.follower().received(null, body));
                await(() -> NodeProcess.call(loop, () -> edge.follower().rev()) == body.rev());
            }
            await(() -> NodeProcess.call(loop, edge::serviceCount) == 1);
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(5, TimeUnit.SECONDS);
        }
    }

    private static void await(java.util.function.BooleanSupplier condition) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < until, "modules of removed services were not closed");
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }
}
