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

/** Measurement of event loop lag on real sockets. */
@Timeout(value = 30, unit = TimeUnit.SECONDS)
class LoopLagTest {
    private static final long BLOCK_MILLIS = 200;
    private static final long IDLE_MILLIS = 100;
    private static final long SLOW_READ_MILLIS = 5;

    private final LoopLag lag = new LoopLag();
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, lag);
    private final BlockingQueue<Long> measured = new LinkedBlockingQueue<>();

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

    /** Records the lag some milliseconds into each read, as happens with a decoder that is not compiled yet. */
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
                                measured.add(lag.nanos());
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
    void inputDuringWorkHasWaitedForAllOfIt() throws Exception {
        try (Socket client = new Socket("127.0.0.1", listen())) {
            client.getOutputStream().write(1);
            measured.take();
            CountDownLatch started = new CountDownLatch(1);
            CountDownLatch sent = new CountDownLatch(1);
            group.next().execute(() -> {
                started.countDown();
                try {
                    sent.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                pause(BLOCK_MILLIS);
            });
            started.await();
            client.getOutputStream().write(2);
            sent.countDown();
            long lagMillis = TimeUnit.NANOSECONDS.toMillis(measured.take());
            assertTrue(lagMillis >= BLOCK_MILLIS, "measured " + lagMillis + " ms");
        }
    }

    @Test
    void inputDuringAnIdleWaitHasNotWaitedSinceTheLastWork() throws Exception {
        try (Socket client = new Socket("127.0.0.1", listen())) {
            client.getOutputStream().write(1);
            measured.take();
            group.next().submit(() -> pause(BLOCK_MILLIS)).sync();
            long idleSince = System.nanoTime();
            pause(IDLE_MILLIS);
            client.getOutputStream().write(2);
            long lagNanos = measured.take();
            assertTrue(
                    lagNanos < System.nanoTime() - idleSince,
                    "measured " + lagNanos + " ns, which includes time before the wait");
        }
    }
}
