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
 * A peer connection over TCP, confined to one event loop. A frame is a length (4 bytes) followed by an encoded
 * {@link PeerMessage}; a malformed frame closes this connection only. Each side sends a heartbeat if it has sent
 * nothing else for {@link #PING_INTERVAL_MILLIS}, and closes after {@link #PEER_TIMEOUT_MILLIS} without data, since a
 * machine that loses power never closes its connections. It also closes if no {@link Hello} arrives in that time.
 */
public final class TcpPeerConnection extends ByteToMessageDecoder implements PeerConnection {
    static final long PING_INTERVAL_MILLIS = 1_000;
    static final long PEER_TIMEOUT_MILLIS = 2_600;
    /** Backpressure limit: a peer that leaves more bytes unread is disconnected. A tenth of a core node's heap. */
    static final int MAX_PENDING_WRITE_BYTES = 4 << 20;
    /** A Hello holds three strings of at most 4,096 bytes. */
    static final int MAX_HELLO_FRAME_BYTES = 16 << 10;
    /** Edges send only short messages; log entries, snapshots and operators' calls pass between core nodes alone. */
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

    TcpPeerConnection(Hello localHello, boolean outbound, Listener listener) {
        this.localHello = localHello;
        this.outbound = outbound;
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
    public void send(PeerMessage message) {
        if (channel == null || !channel.isActive()) {
            return;
        }
        if (channel.unsafe().outboundBuffer() != null
                && channel.unsafe().outboundBuffer().totalPendingWriteBytes() > MAX_PENDING_WRITE_BYTES) {
            close("too many unsent bytes: the peer does not read");
            return;
        }
        ByteBuffer bytes = PeerMessageCodec.write(message);
        ByteBuf frame = Unpooled.wrappedBuffer(Unpooled.copyInt(bytes.remaining()), Unpooled.wrappedBuffer(bytes));
        lastSentMillis = MonotonicTime.millis();
        channel.writeAndFlush(frame, channel.voidPromise());
    }

    @Override
    public void close(String reason) {
        if (!closed && channel != null && channel.isActive()) {
            listener.log("closing the connection to " + peerName() + ": " + reason);
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
            close("no data received for " + (now - lastReceivedMillis) + " ms");
            return;
        }
        if (peer == null && now - openedMillis > PEER_TIMEOUT_MILLIS) {
            close("no Hello received");
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
                close("invalid frame length: " + length + " bytes");
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

    /** The longest frame accepted from this peer, so that incomplete frames do not fill the memory. */
    private int maxFrameBytes() {
        if (peer == null) {
            return MAX_HELLO_FRAME_BYTES;
        }
        return peer.role() == NodeRole.EDGE ? MAX_EDGE_FRAME_BYTES : PeerMessageCodec.MAX_FRAME_BYTES;
    }

    private void handleFrame(ByteBuffer bytes) {
        try {
            PeerMessage message = PeerMessageCodec.read(bytes);
            if (peer == null) {
                handleHello(message);
            } else if (!(message instanceof Ping)) {
                listener.received(this, message);
            }
        } catch (MalformedDataException e) {
            close("malformed frame: " + e.getMessage());
        }
    }

    private void handleHello(PeerMessage message) throws MalformedDataException {
        if (!(message instanceof Hello hello)) {
            throw new MalformedDataException("the first message is not a Hello");
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
        listener.log("connection to " + peerName() + " failed: " + cause);
        ctx.close();
    }
}
