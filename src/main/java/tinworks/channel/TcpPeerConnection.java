package tinworks.channel;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.TimeUnit;
import tinworks.channel.PeerMessage.Hello;
import tinworks.channel.PeerMessage.NodeRole;
import tinworks.channel.PeerMessage.Ping;
import tinworks.logging.Fatal;

/**
 * A conversation over TCP. A frame is a length (4 bytes) and as many bytes of a {@link PeerMessage}; a frame that can't
 * be read closes the connection and harms nothing else. Each side says something once a {@link #PING_MILLIS}, and
 * closes when it has heard nothing for {@link #SILENCE_MILLIS}: a machine without power sends no end of a connection.
 * All on one event loop.
 */
public final class TcpPeerConnection extends ByteToMessageDecoder implements PeerConnection {
    static final long PING_MILLIS = 1_000;
    static final long SILENCE_MILLIS = 2_600;
    /**
     * What a far side that doesn't read may pile up here before something else is said: a tenth of a core machine's
     * heap.
     */
    static final int MOST_WAITING = 4 << 20;
    /** A Hello has three texts of 4,096 bytes at most. */
    static final int LONGEST_HELLO = 16 << 10;
    /** What edges say is short: only core machines send entries, snapshots and calls of operators to each other. */
    static final int LONGEST_OF_EDGE = 64 << 10;

    private final Hello own;
    private final boolean dialled;
    private final Listener listener;
    private Channel channel;
    private Hello peer;
    private long openedAt;
    private long heardAt;
    private long saidAt;
    private boolean closed;

    TcpPeerConnection(Hello own, boolean dialled, Listener listener) {
        this.own = own;
        this.dialled = dialled;
        this.listener = listener;
    }

    @Override
    public Hello peer() {
        return peer;
    }

    @Override
    public boolean isOutbound() {
        return dialled;
    }

    @Override
    public boolean isOpen() {
        return peer != null && !closed && channel.isActive();
    }

    @Override
    public void send(PeerMessage signal) {
        if (channel == null || !channel.isActive()) {
            return;
        }
        if (channel.unsafe().outboundBuffer() != null
                && channel.unsafe().outboundBuffer().totalPendingWriteBytes() > MOST_WAITING) {
            close("the far side doesn't read");
            return;
        }
        ByteBuffer bytes = PeerMessageCodec.write(signal);
        ByteBuf frame = Unpooled.wrappedBuffer(Unpooled.copyInt(bytes.remaining()), Unpooled.wrappedBuffer(bytes));
        saidAt = MonotonicTime.millis();
        channel.writeAndFlush(frame, channel.voidPromise());
    }

    @Override
    public void close(String why) {
        if (!closed && channel != null && channel.isActive()) {
            listener.log("closing the connection with " + name() + ": " + why);
        }
        if (channel != null) {
            channel.close();
        }
    }

    private String name() {
        return peer == null ? String.valueOf(channel.remoteAddress()) : peer.node();
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        openedAt = MonotonicTime.millis();
        heardAt = openedAt;
        send(own);
        channel.eventLoop().schedule(this::watch, PING_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void watch() {
        if (!channel.isActive()) {
            return;
        }
        long now = MonotonicTime.millis();
        if (now - heardAt > SILENCE_MILLIS) {
            close("silent for " + (now - heardAt) + " ms");
            return;
        }
        if (peer == null && now - openedAt > SILENCE_MILLIS) {
            close("no Hello");
            return;
        }
        if (now - saidAt >= PING_MILLIS) {
            send(new Ping());
        }
        channel.eventLoop().schedule(this::watch, PING_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        heardAt = MonotonicTime.millis();
        while (in.readableBytes() >= Integer.BYTES && channel.isActive()) {
            int length = in.getInt(in.readerIndex());
            if (length <= 0 || length > longest()) {
                in.skipBytes(in.readableBytes());
                close("a frame of " + length + " bytes");
                return;
            }
            if (in.readableBytes() < Integer.BYTES + length) {
                return;
            }
            in.skipBytes(Integer.BYTES);
            byte[] bytes = new byte[length];
            in.readBytes(bytes);
            take(ByteBuffer.wrap(bytes));
        }
    }

    /** Guards against a memory full of frames that aren't whole yet, of peers who need none as long. */
    private int longest() {
        if (peer == null) {
            return LONGEST_HELLO;
        }
        return peer.role() == NodeRole.EDGE ? LONGEST_OF_EDGE : PeerMessageCodec.LONGEST;
    }

    private void take(ByteBuffer bytes) {
        try {
            PeerMessage signal = PeerMessageCodec.read(bytes);
            if (peer == null) {
                greeted(signal);
            } else if (!(signal instanceof Ping)) {
                listener.received(this, signal);
            }
        } catch (MalformedDataException e) {
            close("can't read a frame: " + e.getMessage());
        }
    }

    private void greeted(PeerMessage signal) throws MalformedDataException {
        if (!(signal instanceof Hello hello)) {
            throw new MalformedDataException("no Hello at the start");
        }
        peer = hello;
        listener.opened(this);
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext ctx) {
        ended();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        ended();
    }

    private void ended() {
        if (!closed) {
            closed = true;
            if (peer != null) {
                listener.closed(this);
            }
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        Fatal.pass(cause);
        listener.log("the connection with " + name() + " broke: " + cause);
        ctx.close();
    }
}
