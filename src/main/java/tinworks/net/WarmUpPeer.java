package tinworks.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.nio.charset.StandardCharsets;

/**
 * A client or a host in a warm-up. Peers send fixed messages and so need no HTTP codec, which would only cost time to
 * warm up. A body ends with a terminator, and a peer sends nothing before it has received the response.
 */
public abstract class WarmUpPeer extends SimpleChannelInboundHandler<ByteBuf> {
    /** Ends a body and does not occur elsewhere in it, since a read may end anywhere. */
    protected static final int TERMINATOR = 0;
    /** The body of requests and responses that have one. */
    protected static final byte[] BODY = (".".repeat(600) + (char) TERMINATOR).getBytes(StandardCharsets.US_ASCII);

    protected static final byte[] EMPTY_BODY = {};

    private static final int NO_BYTE = -1;

    private int first = NO_BYTE;

    @Override
    protected final void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
        if (!bytes.isReadable()) {
            return; // in-memory channels deliver an empty write as an empty read
        }
        first = first == NO_BYTE ? bytes.getByte(bytes.readerIndex()) : first;
        int last = bytes.getByte(bytes.writerIndex() - 1);
        if (isComplete(first, last, bytes)) {
            first = NO_BYTE;
            messageReceived(ctx);
        }
    }

    /** Whether a message is complete, given its first byte and the last one received. */
    protected abstract boolean isComplete(int firstByte, int lastByte, ByteBuf end);

    /** Called for each complete message. */
    protected abstract void messageReceived(ChannelHandlerContext ctx);

    /**
     * Whether a response is complete: a host's body ends with the terminator, a line of the gateway itself with a bare
     * line feed, which no head does.
     */
    protected static boolean isCompleteResponse(int last, ByteBuf end) {
        int previous = end.readableBytes() < 2 ? TERMINATOR : end.getByte(end.writerIndex() - 2);
        return last == TERMINATOR || (last == '\n' && previous != '\r');
    }

    /** Whether a request is complete: a POST ends with the terminator of its body, a GET with its head. */
    protected static boolean isCompleteRequest(int first, int last) {
        return last == (first == 'P' ? TERMINATOR : '\n');
    }

    /** Writes a head, to which the final empty line is added, and a body. */
    protected static void write(ChannelHandlerContext ctx, String head, byte[] body) {
        ctx.writeAndFlush(Unpooled.wrappedBuffer((head + "\r\n").getBytes(StandardCharsets.US_ASCII), body));
    }
}
