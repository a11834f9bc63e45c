package tinworks.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ByteProcessor;
import java.util.List;

/**
 * Reads requests off one connection. Guards against heads that together are more than the memory: each takes room of a
 * budget as it comes, by its bytes and its lines, since a header of five bytes takes thirty times that in memory. A
 * head that finds no room comes out as a request that can't be taken, and what follows it is read past.
 */
final class RequestDecoder extends HttpRequestDecoder {
    /** What a header takes beside its bytes: its entry, two strings, and an entry in the copy that goes to a host. */
    static final int BYTES_PER_LINE = 200;

    private static final int LONGEST_LINE = 4_096;

    /** A head of no more than this is read before room is sought for it. */
    private static final int SHORT_HEAD = 1_024;

    private final int longestHead;
    private final ByteBudget heads;
    /** A head has been read, and the end of its request's body has not. */
    private boolean amidstBody;
    /** A part of a head has been read, and its end has not. */
    private boolean amidstHead;
    /** What that part takes in memory. */
    private long headWeight;

    private long headBytes;
    /** What the head under way, or the one that has just come whole, has taken of the budget. */
    private Reservation taken = Reservation.NONE;
    /** There was no room: whatever comes is read past. */
    private boolean full;

    RequestDecoder(int headBytes, ByteBudget heads) {
        super(new HttpDecoderConfig()
                .setMaxHeaderSize(headBytes)
                .setMaxInitialLineLength(Math.max(LONGEST_LINE, headBytes / 2)));
        longestHead = headBytes;
        this.heads = heads;
    }

    @Override
    protected HttpMessage createMessage(String[] firstLine) throws Exception {
        amidstHead = true;
        return super.createMessage(firstLine);
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf bytes, List<Object> out) throws Exception {
        if (full) {
            bytes.skipBytes(bytes.readableBytes());
            return;
        }
        if (!amidstBody && !hasRoomFor(bytes)) {
            refuse(bytes, out);
            return;
        }
        int start = bytes.readerIndex();
        int before = out.size();
        super.decode(ctx, bytes, out);
        if (out.size() == before) {
            unfinished(bytes, start, out);
            return;
        }
        amidstHead = false;
        if (out.get(before) instanceof HttpRequest head) {
            amidstBody = true;
            finished(head, bytes.readerIndex() - start);
        }
        amidstBody &= !(out.get(out.size() - 1) instanceof LastHttpContent);
    }

    /** Guards against reading, line by line, what there will be no room for: that costs far more than to count it. */
    private boolean hasRoomFor(ByteBuf bytes) {
        int from = bytes.readerIndex();
        int to = from + Math.min(bytes.readableBytes(), longestHead);
        return to - from < SHORT_HEAD || cover(headWeight + weight(bytes, from, to));
    }

    /** What these bytes take, up to the end of the head if it is among them. */
    private static long weight(ByteBuf bytes, int from, int to) {
        long lines = 0;
        int at = from;
        while (at < to) {
            int found = bytes.forEachByte(at, to - at, ByteProcessor.FIND_LF);
            if (found < 0) {
                return to - from + lines * BYTES_PER_LINE;
            }
            boolean isEmpty = found == at || (found == at + 1 && bytes.getByte(at) == '\r');
            at = found + 1;
            if (isEmpty && lines > 0) {
                break;
            }
            lines++;
        }
        return at - from + lines * BYTES_PER_LINE;
    }

    private void unfinished(ByteBuf bytes, int start, List<Object> out) {
        if (amidstHead) {
            headWeight += weight(bytes, start, bytes.readerIndex());
            headBytes += bytes.readerIndex() - start;
        }
        if (!cover(headWeight + bytes.readableBytes())) {
            refuse(bytes, out);
        }
    }

    private void refuse(ByteBuf bytes, List<Object> out) {
        full = true;
        amidstHead = false;
        bytes.skipBytes(bytes.readableBytes());
        out.add(noRoom());
    }

    private static HttpRequest noRoom() {
        DefaultFullHttpRequest told =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/", Unpooled.EMPTY_BUFFER);
        told.setDecoderResult(DecoderResult.failure(new RequestAggregator.BudgetExceededException()));
        return told;
    }

    private void finished(HttpRequest head, long lastBytes) {
        long weight = headBytes + lastBytes + (long) head.headers().size() * BYTES_PER_LINE;
        headWeight = 0;
        headBytes = 0;
        if (head.decoderResult().isSuccess() && !cover(weight)) {
            full = true;
            head.setDecoderResult(DecoderResult.failure(new RequestAggregator.BudgetExceededException()));
        }
    }

    private boolean cover(long wanted) {
        long more = wanted - taken.bytes();
        if (more <= 0) {
            return true;
        }
        if (taken != Reservation.NONE) {
            return taken.grow(more);
        }
        if (!heads.tryReserve(wanted)) {
            return false;
        }
        taken = new Reservation(heads, wanted);
        return true;
    }

    /** What the request that has come whole has taken of the budget for its head; the caller gives it back. */
    Reservation handOver() {
        Reservation handed = taken;
        taken = Reservation.NONE;
        return handed;
    }

    /** Whether a part of a head has come, and its end has not. */
    boolean holdsBytes() {
        return actualReadableBytes() > 0 || amidstHead;
    }
}
