package tinworks.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Shutdown of event loops that is requested during a task, in which Netty's own loops leave their channels open. */
class ClosingEventLoopGroupTest {
    private static final int CLIENTS = 3;

    /** How many channels of a listener and its clients are open after the group has terminated. */
    private static long openAfterTermination(MultiThreadIoEventLoopGroup group) {
        Channel acceptor = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInboundHandlerAdapter())
                .bind(new InetSocketAddress("127.0.0.1", 0))
                .syncUninterruptibly()
                .channel();
        List<Channel> channels = new ArrayList<>(List.of(acceptor));
        for (int i = 0; i < CLIENTS; i++) {
            channels.add(new Bootstrap()
                    .group(group)
                    .channel(NioSocketChannel.class)
                    .handler(new ChannelInboundHandlerAdapter())
                    .connect(acceptor.localAddress())
                    .syncUninterruptibly()
                    .channel());
        }
        group.next().execute(() -> group.shutdownGracefully(0, 1, TimeUnit.SECONDS));
        assertTrue(group.terminationFuture().awaitUninterruptibly(GatewayFixture.AWAIT_TIMEOUT_MILLIS));
        return channels.stream().filter(Channel::isOpen).count();
    }

    @Test
    void closesAllChannelsBeforeItTerminates() {
        assertEquals(0, openAfterTermination(new ClosingEventLoopGroup(1, NioIoHandler.newFactory())));
    }

    /** Shows the fault in Netty. If this fails, Netty closes the channels itself, and the class can be removed. */
    @Test
    void withoutTheExtraIterationChannelsStayOpen() {
        assertEquals(CLIENTS + 1, openAfterTermination(new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())));
    }

    @Test
    void terminatesEvenIfAChannelIsOpenedForEachClosedOne() {
        MultiThreadIoEventLoopGroup group = new ClosingEventLoopGroup(1, NioIoHandler.newFactory());
        rebindOnClose(group);
        group.next().execute(() -> group.shutdownGracefully(0, 1, TimeUnit.SECONDS));
        assertTrue(group.terminationFuture().awaitUninterruptibly(GatewayFixture.AWAIT_TIMEOUT_MILLIS));
        assertTrue(group.isTerminated());
    }

    private static void rebindOnClose(MultiThreadIoEventLoopGroup group) {
        new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInboundHandlerAdapter())
                .bind(new InetSocketAddress("127.0.0.1", 0))
                .channel()
                .closeFuture()
                .addListener(closed -> rebindOnClose(group));
    }
}
