package tinworks.edge;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tinworks.channel.HostList;
import tinworks.channel.HostList.Host;
import tinworks.channel.HostListVersion;
import tinworks.net.ClosingEventLoopGroup;
import tinworks.net.MonotonicClock;
import tinworks.node.BootSettings;
import tinworks.node.NodeProcess;

/** Guards against one entry with an invalid address keeping the rest of the platform's host list from an edge. */
@Timeout(value = 30, unit = TimeUnit.SECONDS)
class UnreadableHostTest {
    @Test
    void otherHostsAreAccepted() throws InterruptedException {
        ClosingEventLoopGroup group = new ClosingEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
        BootSettings settings = new BootSettings(
                "edge", "z", any, any, null, any, List.of("127.0.0.1:1"), false, 1_000, null, 1, 6_000, any);
        try {
            EdgeNode edge = NodeProcess.call(loop, () -> new EdgeNode(loop, new MonotonicClock(), settings, 1));
            Host unreadable = new Host("h-1", "s", "starting", "z", 4, false, 0);
            Host sound = new Host("h-2", "s", "127.0.0.1:8080", "z", 4, false, 0);
            HostList list = new HostList(new HostListVersion(1, 1), List.of(unreadable, sound));
            NodeProcess.run(loop, () -> edge.hostListChanged(list));
            assertTrue(NodeProcess.call(loop, () -> edge.isReady("h-2")));
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(5, TimeUnit.SECONDS);
        }
    }
}
