package tinworks.soak;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import tinworks.channel.MalformedDataException;
import tinworks.channel.PeerMessage;
import tinworks.channel.PeerMessageCodec;

/**
 * Passes on what the system's own processes say to core machines, and can cut, delay and reset it by who speaks with
 * whom. A cut is silent: bytes are held, as behind a dead link, and go on once it heals and both ends are still there.
 * Who dials is known by the Hello with which each connection begins. All on one event loop.
 */
final class Relays {
    private static final long SWEEP_MILLIS = 10;
    private static final int MOST_HELD = 1 << 20;

    private final EventLoop loop;
    private final Set<Pair> pairs = new HashSet<>();
    /** Whether what the first says reaches the second. */
    private BiPredicate<String, String> cut = (from, to) -> false;

    private BiPredicate<String, String> slow = (from, to) -> false;
    private long delayMillis;

    Relays(EventLoop loop) {
        this.loop = loop;
        loop.scheduleWithFixedDelay(this::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Relays an address to a machine at another one. */
    void relay(String machine, InetSocketAddress listen, InetSocketAddress target) {
        new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        new Pair(machine, channel, target);
                    }
                })
                .bind(listen)
                .syncUninterruptibly();
    }

    /** Cuts what this holds for, from its first to its second machine, in place of what was cut before. */
    void cut(BiPredicate<String, String> changed) {
        cut = changed;
        sweep();
    }

    /** Delays what this holds for by so much, in place of what was delayed before. */
    void delay(BiPredicate<String, String> changed, long millis) {
        slow = changed;
        delayMillis = millis;
    }

    /** Resets all connections of a machine. */
    void reset(String machine) {
        for (Pair pair : List.copyOf(pairs)) {
            if (machine.equals(pair.dialler) || machine.equals(pair.machine)) {
                pair.reset();
            }
        }
    }

    private void sweep() {
        for (Pair pair : List.copyOf(pairs)) {
            pair.there.flush();
            pair.back.flush();
        }
    }

    /** A connection and what it is relayed to. */
    private final class Pair {
        private final String machine;
        private final Channel near;
        private final Channel far;
        private final Direction there;
        private final Direction back;
        private String dialler;

        Pair(String machine, Channel near, InetSocketAddress target) {
            this.machine = machine;
            this.near = near;
            far = new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            // Its reader is added below, once both ends are known.
                        }
                    })
                    .connect(target)
                    .channel();
            there = new Direction(this, far, true);
            back = new Direction(this, near, false);
            near.pipeline().addLast(there);
            far.pipeline().addLast(back);
            pairs.add(this);
        }

        void reset() {
            resetAtClose(near);
            resetAtClose(far);
            end();
        }

        private static void resetAtClose(Channel channel) {
            try {
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
            } catch (ChannelException e) {
                // Its far side has closed it already.
                return;
            }
        }

        void end() {
            pairs.remove(this);
            near.close();
            far.close();
            there.drop();
            back.drop();
        }

        /** The dialler's name is in its first frame. */
        private void learn(ByteBuf held) {
            if (held.readableBytes() < Integer.BYTES) {
                return;
            }
            int length = held.getInt(held.readerIndex());
            if (length > 0 && length < MOST_HELD && held.readableBytes() >= Integer.BYTES + length) {
                byte[] frame = new byte[length];
                held.getBytes(held.readerIndex() + Integer.BYTES, frame);
                try {
                    dialler = PeerMessageCodec.read(ByteBuffer.wrap(frame)) instanceof PeerMessage.Hello hello
                            ? hello.node()
                            : "";
                } catch (MalformedDataException e) {
                    dialler = "";
                }
            }
        }
    }

    /** One direction of a connection. */
    private final class Direction extends ChannelInboundHandlerAdapter {
        private final Pair pair;
        private final Channel to;
        private final boolean fromDialler;
        private final ByteBuf held = Unpooled.buffer();
        private long heldSince;
        private boolean ended;

        Direction(Pair pair, Channel to, boolean fromDialler) {
            this.pair = pair;
            this.to = to;
            this.fromDialler = fromDialler;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            try {
                if (held.refCnt() > 0) {
                    heldSince = held.isReadable() ? heldSince : System.nanoTime();
                    held.writeBytes(bytes);
                    ctx.channel().config().setAutoRead(held.readableBytes() < MOST_HELD);
                }
            } finally {
                bytes.release();
            }
            flush();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            ended = true;
            flush();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }

        void flush() {
            if (held.refCnt() == 0) {
                return;
            }
            if (fromDialler && pair.dialler == null) {
                pair.learn(held);
            }
            if (pair.dialler == null) {
                endIfOver();
                return;
            }
            String from = fromDialler ? pair.dialler : pair.machine;
            String target = fromDialler ? pair.machine : pair.dialler;
            if (cut.test(from, target)) {
                // Nobody hears of an end behind a cut either.
                return;
            }
            boolean late = slow.test(from, target)
                    && System.nanoTime() - heldSince < TimeUnit.MILLISECONDS.toNanos(delayMillis);
            if (held.isReadable() && to.isActive() && !late) {
                to.writeAndFlush(held.copy());
                held.clear();
                (fromDialler ? pair.near : pair.far).config().setAutoRead(true);
            }
            endIfOver();
        }

        private void endIfOver() {
            if (!to.isOpen() || (ended && !held.isReadable())) {
                pair.end();
            }
        }

        void drop() {
            if (held.refCnt() > 0) {
                held.release();
            }
        }
    }
}
