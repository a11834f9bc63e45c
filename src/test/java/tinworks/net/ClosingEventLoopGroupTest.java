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

/** Event loops that are told to end amid a task, which is when Netty's own leave their channels open. */
class ClosingEventLoopGroupTest {
    private static final int CLIENTS = 3;

    /** How many of an acceptor and its clients are open after the end. */
    private static long leftOpen(MultiThreadIoEventLoopGroup group) {
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
    void closesAllChannelsBeforeItEnds() {
        assertEquals(0, leftOpen(new ClosingEventLoopGroup(1, NioIoHandler.newFactory())));
    }

    /** The mutant: without the extra round. Where this fails, Netty closes them itself and the class can go. */
    @Test
    void withoutTheExtraRoundTheyStayOpen() {
        assertEquals(CLIENTS + 1, leftOpen(new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())));
    }

    @Test
    void endsAlsoWhereAChannelIsOpenedForEachThatIsClosed() {
        MultiThreadIoEventLoopGroup group = new ClosingEventLoopGroup(1, NioIoHandler.newFactory());
        bindAgainAndAgain(group);
        group.next().execute(() -> group.shutdownGracefully(0, 1, TimeUnit.SECONDS));
        assertTrue(group.terminationFuture().awaitUninterruptibly(GatewayFixture.AWAIT_TIMEOUT_MILLIS));
        assertTrue(group.isTerminated());
    }

    private static void bindAgainAndAgain(MultiThreadIoEventLoopGroup group) {
        new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInboundHandlerAdapter())
                .bind(new InetSocketAddress("127.0.0.1", 0))
                .channel()
                .closeFuture()
                .addListener(closed -> bindAgainAndAgain(group));
    }
}
