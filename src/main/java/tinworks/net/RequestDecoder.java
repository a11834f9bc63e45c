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
 * Decodes the requests of one connection and bounds the memory of all request heads together. Each head reserves memory
 * from a budget as it is received, by its bytes and its lines, since a header of five bytes takes thirty times that in
 * memory. A head that does not fit becomes a request that failed to decode, and all that follows it is discarded.
 */
final class RequestDecoder extends HttpRequestDecoder {
    /** Memory for a header besides its bytes: its entry, two strings, and an entry in the copy sent to a host. */
    static final int OVERHEAD_BYTES_PER_LINE = 200;

    private static final int MIN_REQUEST_LINE_LIMIT_BYTES = 4_096;

    /** Input shorter than this is decoded before memory is reserved for it. */
    private static final int SHORT_HEAD_BYTES = 1_024;

    private final int maxHeadBytes;
    private final ByteBudget budget;
    /** A head has been read, but not the end of its request's body. */
    private boolean inBody;
    /** Part of a head has been read, but not its end. */
    private boolean inHead;
    /** Memory that this part takes. */
    private long partialMemoryBytes;

    private long partialHeadBytes;
    /** Memory reserved for the head being read, or for the one just completed. */
    private Reservation reservation = Reservation.NONE;
    /** A head did not fit into the budget: all further input is discarded. */
    private boolean discarding;

    RequestDecoder(int maxHeadBytes, ByteBudget budget) {
        super(new HttpDecoderConfig()
                .setMaxHeaderSize(maxHeadBytes)
                .setMaxInitialLineLength(Math.max(MIN_REQUEST_LINE_LIMIT_BYTES, maxHeadBytes / 2)));
        this.maxHeadBytes = maxHeadBytes;
        this.budget = budget;
    }

    @Override
    protected HttpMessage createMessage(String[] firstLine) throws Exception {
        inHead = true;
        return super.createMessage(firstLine);
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf bytes, List<Object> out) throws Exception {
        if (discarding) {
            bytes.skipBytes(bytes.readableBytes());
            return;
        }
        if (!inBody && !fitsBudget(bytes)) {
            reject(bytes, out);
            return;
        }
        int start = bytes.readerIndex();
        int before = out.size();
        super.decode(ctx, bytes, out);
        if (out.size() == before) {
            headContinues(bytes, start, out);
            return;
        }
        inHead = false;
        if (out.get(before) instanceof HttpRequest head) {
            inBody = true;
            headComplete(head, bytes.readerIndex() - start);
        }
        inBody &= !(out.get(out.size() - 1) instanceof LastHttpContent);
    }

    /** Checks the budget before decoding, as parsing the lines costs far more than counting them. */
    private boolean fitsBudget(ByteBuf bytes) {
        int from = bytes.readerIndex();
        int to = from + Math.min(bytes.readableBytes(), maxHeadBytes);
        return to - from < SHORT_HEAD_BYTES || tryCover(partialMemoryBytes + memoryBytes(bytes, from, to));
    }

    /** Memory for these bytes, up to the end of the head if it is among them. */
    private static long memoryBytes(ByteBuf bytes, int from, int to) {
        long lines = 0;
        int at = from;
        while (at < to) {
            int found = bytes.forEachByte(at, to - at, ByteProcessor.FIND_LF);
            if (found < 0) {
                return to - from + lines * OVERHEAD_BYTES_PER_LINE;
            }
            boolean isEmpty = found == at || (found == at + 1 && bytes.getByte(at) == '\r');
            at = found + 1;
            if (isEmpty && lines > 0) {
                break;
            }
            lines++;
        }
        return at - from + lines * OVERHEAD_BYTES_PER_LINE;
    }

    private void headContinues(ByteBuf bytes, int start, List<Object> out) {
        if (inHead) {
            partialMemoryBytes += memoryBytes(bytes, start, bytes.readerIndex());
            partialHeadBytes += bytes.readerIndex() - start;
        }
        if (!tryCover(partialMemoryBytes + bytes.readableBytes())) {
            reject(bytes, out);
        }
    }

    private void reject(ByteBuf bytes, List<Object> out) {
        discarding = true;
        inHead = false;
        bytes.skipBytes(bytes.readableBytes());
        out.add(rejectedRequest());
    }

    private static HttpRequest rejectedRequest() {
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/", Unpooled.EMPTY_BUFFER);
        request.setDecoderResult(DecoderResult.failure(new RequestAggregator.BudgetExceededException()));
        return request;
    }

    private void headComplete(HttpRequest head, long lastBytes) {
        long headMemoryBytes =
                partialHeadBytes + lastBytes + (long) head.headers().size() * OVERHEAD_BYTES_PER_LINE;
        partialMemoryBytes = 0;
        partialHeadBytes = 0;
        if (head.decoderResult().isSuccess() && !tryCover(headMemoryBytes)) {
            discarding = true;
            head.setDecoderResult(DecoderResult.failure(new RequestAggregator.BudgetExceededException()));
        }
    }

    private boolean tryCover(long bytes) {
        long more = bytes - reservation.bytes();
        if (more <= 0) {
            return true;
        }
        if (reservation != Reservation.NONE) {
            return reservation.grow(more);
        }
        if (!budget.tryReserve(bytes)) {
            return false;
        }
        reservation = new Reservation(budget, bytes);
        return true;
    }

    /** Passes the reservation for the completed head to the caller, who releases it. */
    Reservation detachReservation() {
        Reservation detached = reservation;
        reservation = Reservation.NONE;
        return detached;
    }

    /** Whether the next line to be decoded is the first one of a request; a part of it may have been received. */
    boolean isBetweenRequests() {
        return !inHead && !inBody && !discarding;
    }

    /** Whether part of a head has been received, but not its end. */
    boolean hasPartialHead() {
        return actualReadableBytes() > 0 || inHead;
    }
}
