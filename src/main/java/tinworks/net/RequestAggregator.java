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
 * Collects a client's request whole and within bounds. Guards against the answers that Netty's own collector writes
 * past the connection (413, 417 and 100): they would overtake the answer that an earlier request is still owed, and
 * pass for it. Here a request that is too long comes out as one that can't be read, in its turn.
 */
final class RequestAggregator extends HttpObjectAggregator {
    /** Why a request was turned away whose body there was no room for. */
    static final class BudgetExceededException extends Exception {
        private static final long serialVersionUID = 1L;

        BudgetExceededException() {
            super("no room for the body");
        }
    }

    private static final long UNKNOWN = -1;

    private final BooleanSupplier free;
    private final int largestBody;
    private final BodyBudget bodies;
    private boolean amidst;
    /** What the request under way, or the one that has just come whole, has taken of the budget. */
    private Reservation taken = Reservation.NONE;
    /** How much of the body under way has come. */
    private long come;

    /**
     * Tells clients to go on with a body only while {@code free}: while no earlier request waits. Bodies come out of a
     * budget.
     */
    RequestAggregator(BooleanSupplier free, int largestBody, BodyBudget bodies) {
        super(largestBody);
        this.free = free;
        this.largestBody = largestBody;
        this.bodies = bodies;
    }

    /** What the request that has come whole has taken of the budget; the caller gives it back. */
    Reservation handOver() {
        Reservation handed = taken;
        taken = Reservation.NONE;
        return handed;
    }

    /** Gives back what a request has taken that will never be whole. */
    void giveUp() {
        handOver().release();
    }

    /** Whether the head of a request has come and the end of its body has not. */
    boolean amidst() {
        return amidst;
    }

    /**
     * Guards against a request whose end another reader would see elsewhere: it comes out as one that can't be read.
     */
    @Override
    protected void decode(ChannelHandlerContext ctx, HttpObject part, List<Object> out) throws Exception {
        if (part instanceof HttpRequest head && head.decoderResult().isSuccess() && !Framing.hasOneReading(head)) {
            head.setDecoderResult(DecoderResult.failure(new IllegalArgumentException("its end can't be told")));
        }
        if (part instanceof HttpContent content
                && amidst
                && part.decoderResult().isSuccess()
                && !isCovered(content)) {
            // What has come of it goes on as a request that can't be taken, in its turn; the rest is read past.
            part.setDecoderResult(DecoderResult.failure(new BudgetExceededException()));
        }
        super.decode(ctx, part, out);
    }

    /** Whether the budget has room for this further part of a body. */
    private boolean isCovered(HttpContent content) {
        come += content.content().readableBytes();
        return come > largestBody || bodies.cover(taken, come);
    }

    @Override
    protected Object newContinueResponse(HttpMessage start, int most, ChannelPipeline pipeline) {
        boolean usual = !isContentLengthInvalid(start, most) && free.getAsBoolean();
        return usual && start.headers().contains(HttpHeaderNames.EXPECT, HttpHeaderValues.CONTINUE, true)
                ? super.newContinueResponse(start, most, pipeline)
                : null;
    }

    /** Guards against bodies that together are more than the memory: whoever finds no room is told so at once. */
    @Override
    protected boolean isContentLengthInvalid(HttpMessage start, int most) {
        if (super.isContentLengthInvalid(start, most)) {
            return true;
        }
        giveUp();
        come = 0;
        // A head that can't be read may name any length; its request is refused without a body.
        long length = start.decoderResult().isFailure()
                ? 0
                : HttpUtil.isTransferEncodingChunked(start)
                        ? UNKNOWN
                        : Math.max(0, HttpUtil.getContentLength(start, 0L));
        Reservation wanted = bodies.take(length, largestBody);
        if (wanted == null) {
            return true;
        }
        taken = wanted;
        return false;
    }

    @Override
    protected FullHttpMessage beginAggregation(HttpMessage start, ByteBuf content) throws Exception {
        amidst = true;
        return super.beginAggregation(start, content);
    }

    @Override
    protected void finishAggregation(FullHttpMessage aggregated) throws Exception {
        amidst = false;
        super.finishAggregation(aggregated);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
        amidst = false;
        giveUp();
        HttpRequest request = (HttpRequest) oversized;
        boolean tooLong = super.isContentLengthInvalid(oversized, largestBody) || oversized instanceof FullHttpMessage;
        DefaultFullHttpRequest told = new DefaultFullHttpRequest(
                request.protocolVersion(), request.method(), request.uri(), Unpooled.EMPTY_BUFFER);
        told.setDecoderResult(DecoderResult.failure(
                tooLong ? new TooLongHttpContentException("body too long") : new BudgetExceededException()));
        ctx.fireChannelRead(told);
    }
}
