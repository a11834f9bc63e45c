package tinworks.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What an event loop tells of the time that bytes lay unread, on real sockets. */
@Timeout(value = 30, unit = TimeUnit.SECONDS)
class LoopLagTest {
    private static final long BLOCK_MILLIS = 200;
    private static final long IDLE_MILLIS = 100;
    private static final long SLOW_READ_MILLIS = 5;

    private final LoopLag lag = new LoopLag();
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, lag);
    private final BlockingQueue<Long> told = new LinkedBlockingQueue<>();

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(5_000);
    }

    private static void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Tells the lag for each read, some milliseconds into it, as a decoder that isn't compiled yet does. */
    private int listen() {
        Channel server = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new SimpleChannelInboundHandler<ByteBuf>() {
                            @Override
                            protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
                                pause(SLOW_READ_MILLIS);
                                told.add(lag.nanos());
                            }
                        });
                    }
                })
                .bind(new InetSocketAddress("127.0.0.1", 0))
                .syncUninterruptibly()
                .channel();
        return ((InetSocketAddress) server.localAddress()).getPort();
    }

    @Test
    void whatComesWhileTheLoopIsAtWorkHasLainForAllOfIt() throws Exception {
        try (Socket client = new Socket("127.0.0.1", listen())) {
            client.getOutputStream().write(1);
            told.take();
            CountDownLatch begun = new CountDownLatch(1);
            CountDownLatch sent = new CountDownLatch(1);
            group.next().execute(() -> {
                begun.countDown();
                try {
                    sent.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                pause(BLOCK_MILLIS);
            });
            begun.await();
            client.getOutputStream().write(2);
            sent.countDown();
            long lay = TimeUnit.NANOSECONDS.toMillis(told.take());
            assertTrue(lay >= BLOCK_MILLIS, "told " + lay + " ms");
        }
    }

    @Test
    void whatComesWhileTheLoopWaitsHasNotLainSinceItsLastWork() throws Exception {
        try (Socket client = new Socket("127.0.0.1", listen())) {
            client.getOutputStream().write(1);
            told.take();
            group.next().submit(() -> pause(BLOCK_MILLIS)).sync();
            long idleSince = System.nanoTime();
            pause(IDLE_MILLIS);
            client.getOutputStream().write(2);
            long lay = told.take();
            assertTrue(lay < System.nanoTime() - idleSince, "told " + lay + " ns, which is from before it waited");
        }
    }
}
