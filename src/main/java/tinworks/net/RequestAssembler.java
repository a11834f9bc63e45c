package tinworks.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpMessage;
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
final class RequestAssembler extends HttpObjectAggregator {
    /** Why a request was turned away whose body there was no room for. */
    static final class NoRoom extends Exception {
        private static final long serialVersionUID = 1L;

        NoRoom() {
            super("no room for the body");
        }
    }

    private final BooleanSupplier free;
    private final int largestBody;
    private final ByteBudget bodies;
    private boolean amidst;
    /** What the request under way, or the one that has just come whole, has taken of the budget. */
    private long taken;

    /**
     * Tells clients to go on with a body only while {@code free}: while no earlier request waits. Bodies come out of a
     * budget, those of unknown length with the largest.
     */
    RequestAssembler(BooleanSupplier free, int largestBody, ByteBudget bodies) {
        super(largestBody);
        this.free = free;
        this.largestBody = largestBody;
        this.bodies = bodies;
    }

    /** What the request that has come whole has taken of the budget; the caller gives it back. */
    long handOver() {
        long handed = taken;
        taken = 0;
        return handed;
    }

    /** Gives back what a request has taken that will never be whole. */
    void giveUp() {
        bodies.give(handOver());
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
        super.decode(ctx, part, out);
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
        // A head that can't be read may name any length; its request is refused without a body.
        long wanted = start.decoderResult().isFailure()
                ? 0
                : HttpUtil.isTransferEncodingChunked(start)
                        ? largestBody
                        : Math.max(0, HttpUtil.getContentLength(start, 0L));
        if (!bodies.take(wanted)) {
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
        told.setDecoderResult(
                DecoderResult.failure(tooLong ? new TooLongHttpContentException("body too long") : new NoRoom()));
        ctx.fireChannelRead(told);
    }
}
