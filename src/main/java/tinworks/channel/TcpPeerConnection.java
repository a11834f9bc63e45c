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
 * be read closes the connection and harms nothing else. Each side says something once a {@link #PING_INTERVAL_MILLIS},
 * and closes when it has heard nothing for {@link #PEER_TIMEOUT_MILLIS}: a machine without power sends no end of a
 * connection. All on one event loop.
 */
public final class TcpPeerConnection extends ByteToMessageDecoder implements PeerConnection {
    static final long PING_INTERVAL_MILLIS = 1_000;
    static final long PEER_TIMEOUT_MILLIS = 2_600;
    /**
     * What a far side that doesn't read may pile up here before something else is said: a tenth of a core machine's
     * heap.
     */
    static final int MAX_PENDING_WRITE_BYTES = 4 << 20;
    /** A Hello has three texts of 4,096 bytes at most. */
    static final int MAX_HELLO_FRAME_BYTES = 16 << 10;
    /** What edges say is short: only core machines send entries, snapshots and calls of operators to each other. */
    static final int MAX_EDGE_FRAME_BYTES = 64 << 10;

    private final Hello localHello;
    private final boolean outbound;
    private final Listener listener;
    private Channel channel;
    private Hello peer;
    private long openedMillis;
    private long lastReceivedMillis;
    private long lastSentMillis;
    private boolean closed;

    TcpPeerConnection(Hello own, boolean dialled, Listener listener) {
        this.localHello = own;
        this.outbound = dialled;
        this.listener = listener;
    }

    @Override
    public Hello peer() {
        return peer;
    }

    @Override
    public boolean isOutbound() {
        return outbound;
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
                && channel.unsafe().outboundBuffer().totalPendingWriteBytes() > MAX_PENDING_WRITE_BYTES) {
            close("the far side doesn't read");
            return;
        }
        ByteBuffer bytes = PeerMessageCodec.write(signal);
        ByteBuf frame = Unpooled.wrappedBuffer(Unpooled.copyInt(bytes.remaining()), Unpooled.wrappedBuffer(bytes));
        lastSentMillis = MonotonicTime.millis();
        channel.writeAndFlush(frame, channel.voidPromise());
    }

    @Override
    public void close(String why) {
        if (!closed && channel != null && channel.isActive()) {
            listener.log("closing the connection with " + peerName() + ": " + why);
        }
        if (channel != null) {
            channel.close();
        }
    }

    private String peerName() {
        return peer == null ? String.valueOf(channel.remoteAddress()) : peer.node();
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        openedMillis = MonotonicTime.millis();
        lastReceivedMillis = openedMillis;
        send(localHello);
        channel.eventLoop().schedule(this::checkLiveness, PING_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void checkLiveness() {
        if (!channel.isActive()) {
            return;
        }
        long now = MonotonicTime.millis();
        if (now - lastReceivedMillis > PEER_TIMEOUT_MILLIS) {
            close("silent for " + (now - lastReceivedMillis) + " ms");
            return;
        }
        if (peer == null && now - openedMillis > PEER_TIMEOUT_MILLIS) {
            close("no Hello");
            return;
        }
        if (now - lastSentMillis >= PING_INTERVAL_MILLIS) {
            send(new Ping());
        }
        channel.eventLoop().schedule(this::checkLiveness, PING_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        lastReceivedMillis = MonotonicTime.millis();
        while (in.readableBytes() >= Integer.BYTES && channel.isActive()) {
            int length = in.getInt(in.readerIndex());
            if (length <= 0 || length > maxFrameBytes()) {
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
            handleFrame(ByteBuffer.wrap(bytes));
        }
    }

    /** Guards against a memory full of frames that aren't whole yet, of peers who need none as long. */
    private int maxFrameBytes() {
        if (peer == null) {
            return MAX_HELLO_FRAME_BYTES;
        }
        return peer.role() == NodeRole.EDGE ? MAX_EDGE_FRAME_BYTES : PeerMessageCodec.MAX_FRAME_BYTES;
    }

    private void handleFrame(ByteBuffer bytes) {
        try {
            PeerMessage signal = PeerMessageCodec.read(bytes);
            if (peer == null) {
                handleHello(signal);
            } else if (!(signal instanceof Ping)) {
                listener.received(this, signal);
            }
        } catch (MalformedDataException e) {
            close("can't read a frame: " + e.getMessage());
        }
    }

    private void handleHello(PeerMessage signal) throws MalformedDataException {
        if (!(signal instanceof Hello hello)) {
            throw new MalformedDataException("no Hello at the start");
        }
        peer = hello;
        listener.opened(this);
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext ctx) {
        notifyClosed();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        notifyClosed();
    }

    private void notifyClosed() {
        if (!closed) {
            closed = true;
            if (peer != null) {
                listener.closed(this);
            }
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        Fatal.reportIfFatal(cause);
        listener.log("the connection with " + peerName() + " broke: " + cause);
        ctx.close();
    }
}
