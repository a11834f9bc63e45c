package tinworks.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.nio.charset.StandardCharsets;

/**
 * A client or a host of a rehearsal. Far sides know each other's words and so need no codec, whose own warming would
 * only cost time: what they send ends in a mark, and nothing follows before it has its answer.
 */
public abstract class WarmUpPeer extends SimpleChannelInboundHandler<ByteBuf> {
    /** Ends a body, and stands nowhere else in one: a read may end anywhere. */
    protected static final int TERMINATOR = 0;
    /** A body. */
    protected static final byte[] BODY = (".".repeat(600) + (char) TERMINATOR).getBytes(StandardCharsets.US_ASCII);
    /** No body. */
    protected static final byte[] EMPTY_BODY = {};

    private static final int NONE = -1;

    private int first = NONE;

    @Override
    protected final void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
        if (!bytes.isReadable()) {
            return; // where there are no sockets between, a write of nothing arrives as such
        }
        first = first == NONE ? bytes.getByte(bytes.readerIndex()) : first;
        int last = bytes.getByte(bytes.writerIndex() - 1);
        if (isComplete(first, last, bytes)) {
            first = NONE;
            messageReceived(ctx);
        }
    }

    /** Whether a message that began with one byte and ends, so far, with another is whole. */
    protected abstract boolean isComplete(int firstByte, int lastByte, ByteBuf end);

    /** A whole message has come. */
    protected abstract void messageReceived(ChannelHandlerContext ctx);

    /**
     * Whether an answer is whole: a host's body ends in the mark, a gateway's own line in a bare line feed, which no
     * head does.
     */
    protected static boolean isCompleteResponse(int last, ByteBuf end) {
        int ahead = end.readableBytes() < 2 ? TERMINATOR : end.getByte(end.writerIndex() - 2);
        return last == TERMINATOR || (last == '\n' && ahead != '\r');
    }

    /** Whether a request is whole: a POST has a body, which ends in the mark; a GET ends with its head. */
    protected static boolean isCompleteRequest(int first, int last) {
        return last == (first == 'P' ? TERMINATOR : '\n');
    }

    /** Writes a head, without the empty line at its end, and a body. */
    protected static void write(ChannelHandlerContext ctx, String head, byte[] body) {
        ctx.writeAndFlush(Unpooled.wrappedBuffer((head + "\r\n").getBytes(StandardCharsets.US_ASCII), body));
    }
}
