package tinworks.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.TooLongHttpContentException;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Aggregates a client's request within limits of size and memory. Netty's own aggregator writes 413, 417 and 100
 * responses itself, past the queue of pipelined requests: they could overtake the pending response to an earlier
 * request and be taken for it. This one passes a request that is too long on as one that failed to decode, in its turn.
 */
final class RequestAggregator extends HttpObjectAggregator {
    /** The decoder failure of a request whose head or body does not fit into the memory budget. */
    static final class BudgetExceededException extends Exception {
        private static final long serialVersionUID = 1L;

        BudgetExceededException() {
            super("request exceeds the memory budget");
        }
    }

    private static final long UNKNOWN_LENGTH = -1;

    private final BooleanSupplier mayContinue;
    private final int maxBodyBytes;
    private final BodyBudget budget;
    private boolean inBody;
    /** Memory reserved for the body of the request being read, or of the one just completed. */
    private Reservation reservation = Reservation.NONE;
    /** Bytes received of the current body. */
    private long receivedBytes;

    /**
     * Bodies reserve memory from {@code budget}. A 100 (Continue) response is sent only while {@code mayContinue},
     * which holds while no earlier request is pending.
     */
    RequestAggregator(BooleanSupplier mayContinue, int maxBodyBytes, BodyBudget budget) {
        super(maxBodyBytes);
        this.mayContinue = mayContinue;
        this.maxBodyBytes = maxBodyBytes;
        this.budget = budget;
    }

    /** Passes the reservation of the completed request to the caller, who releases it. */
    Reservation detachReservation() {
        Reservation detached = reservation;
        reservation = Reservation.NONE;
        return detached;
    }

    /** Releases the reservation of a request that will not be completed. */
    void releaseReservation() {
        detachReservation().release();
    }

    /** Whether the head of a request has been received, but not the end of its body. */
    boolean isInBody() {
        return inBody;
    }

    /** Fails requests with ambiguous framing (request smuggling), and those that outgrow the memory budget. */
    @Override
    protected void decode(ChannelHandlerContext ctx, HttpObject part, List<Object> out) throws Exception {
        if (part instanceof HttpRequest head && head.decoderResult().isSuccess() && !Framing.isUnambiguous(head)) {
            head.setDecoderResult(DecoderResult.failure(new IllegalArgumentException("ambiguous message framing")));
        }
        if (part instanceof HttpContent content
                && inBody
                && part.decoderResult().isSuccess()
                && !fitsBudget(content)) {
            // The received part is passed on in its turn as a request that failed to decode; the rest is discarded.
            part.setDecoderResult(DecoderResult.failure(new BudgetExceededException()));
        }
        super.decode(ctx, part, out);
    }

    /** Whether the budget has memory for this further part of a body. */
    private boolean fitsBudget(HttpContent content) {
        receivedBytes += content.content().readableBytes();
        return receivedBytes > maxBodyBytes || budget.tryCover(reservation, receivedBytes);
    }

    @Override
    protected Object newContinueResponse(HttpMessage start, int maxBytes, ChannelPipeline pipeline) {
        boolean isAcceptable = !isContentLengthInvalid(start, maxBytes) && mayContinue.getAsBoolean();
        return isAcceptable && start.headers().contains(HttpHeaderNames.EXPECT, HttpHeaderValues.CONTINUE, true)
                ? super.newContinueResponse(start, maxBytes, pipeline)
                : null;
    }

    /** Bounds the memory of all bodies together: a request for which none is left is rejected at once. */
    @Override
    protected boolean isContentLengthInvalid(HttpMessage start, int maxBytes) {
        if (super.isContentLengthInvalid(start, maxBytes)) {
            return true;
        }
        releaseReservation();
        receivedBytes = 0;
        // The length in an invalid head means nothing; the request is rejected without a body.
        long length = start.decoderResult().isFailure()
                ? 0
                : HttpUtil.isTransferEncodingChunked(start)
                        ? UNKNOWN_LENGTH
                        : Math.max(0, HttpUtil.getContentLength(start, 0L));
        Reservation reserved = budget.tryReserve(length, maxBodyBytes);
        if (reserved == null) {
            return true;
        }
        reservation = reserved;
        return false;
    }

    @Override
    protected FullHttpMessage beginAggregation(HttpMessage start, ByteBuf content) throws Exception {
        inBody = true;
        return super.beginAggregation(start, content);
    }

    @Override
    protected void finishAggregation(FullHttpMessage aggregated) throws Exception {
        inBody = false;
        super.finishAggregation(aggregated);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
        inBody = false;
        releaseReservation();
        HttpRequest request = (HttpRequest) oversized;
        boolean tooLong = super.isContentLengthInvalid(oversized, maxBodyBytes) || oversized instanceof FullHttpMessage;
        DefaultFullHttpRequest failed = new DefaultFullHttpRequest(
                request.protocolVersion(), request.method(), request.uri(), Unpooled.EMPTY_BUFFER);
        failed.setDecoderResult(DecoderResult.failure(
                tooLong ? new TooLongHttpContentException("body too long") : new BudgetExceededException()));
        ctx.fireChannelRead(failed);
    }
}
