package tinworks.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;
import java.util.List;

/**
 * Aggregates a host's response within limits of size and memory, and validates its framing. Reports it only once all
 * bytes of the same read have been processed: only then is it known whether the connection can be reused. Sends no
 * requests and does not manage connections; {@link HostPool} does.
 */
final class ResponseReader extends ChannelInboundHandlerAdapter {
    /** Callbacks of the connection that the response is read from. */
    interface Listener {
        /** Whether a request is in flight on the connection. */
        boolean isAwaitingResponse();

        /** Whether the request in flight is a HEAD, whose response has no body whatever its head says. */
        boolean isHeadRequest();

        /** Which request the response with this head belongs to. Not called for informational (1xx) responses. */
        HostPool.ResponseMatch match(HttpResponse head);

        /**
         * The response is complete. {@code framed} says that its head determined the body length, {@code clean} that no
         * bytes followed and no other response was skipped. The body and its reservation are valid during the call
         * only.
         */
        void onResponse(HttpResponse head, ByteBuf body, Reservation reserved, boolean framed, boolean clean);

        /** The received bytes are not an acceptable response. The connection must not be reused. */
        void onInvalidResponse();
    }

    /** Limit of the balancer protocol for bodies. */
    static final int DEFAULT_MAX_BODY_BYTES = 64 * 1024;
    /** Increment of the reservation for a body of unknown length. */
    private static final int RESERVATION_STEP_BYTES = 256 << 10;
    /** Responses to other requests that are skipped on one connection before it is closed. */
    private static final int MAX_SKIPPED_RESPONSES = 4;

    private final Decoder decoder = new Decoder();
    private final Listener listener;
    private final ByteBudget budget;
    private final int maxBodyBytes;
    private HttpResponse head;
    private CompositeByteBuf body;
    private boolean framed;
    private boolean complete;
    private boolean hasSurplus;
    private boolean invalid;
    /** The response being read belongs to another request. */
    private boolean skipping;

    private int skippedCount;
    /** Memory reserved for the body; short bodies reserve none. */
    private Reservation reservation = Reservation.NONE;
    /** Called once memory for more of the body is reserved; null while none is awaited. */
    private Runnable whenReserved;
    /** The channel whose reading is paused while memory is awaited. */
    private Channel pausedChannel;

    ResponseReader(Listener listener, int maxBodyBytes, ByteBudget budget) {
        this.budget = budget;
        this.listener = listener;
        this.maxBodyBytes = maxBodyBytes;
    }

    /** The decoder, which precedes this handler in the pipeline. */
    HttpResponseDecoder decoder() {
        return decoder;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (complete || invalid) {
                hasSurplus = true;
            } else if (!(message instanceof HttpObject part)
                    || part.decoderResult().isFailure()) {
                invalid = true;
            } else {
                read(ctx, part);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void read(ChannelHandlerContext ctx, HttpObject part) {
        if (part instanceof HttpResponse response) {
            head = response;
            // Rejects announced bodies over the limit before any of them is read, and unrequested protocol switches.
            invalid = !Framing.isUnambiguous(response)
                    || Framing.containsStatusLine(response)
                    || HttpUtil.getContentLength(response, 0L) > maxBodyBytes
                    || response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
            framed = response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                    || HttpUtil.isTransferEncodingChunked(response)
                    || decoder.isContentAlwaysEmpty(response);
            if (!invalid && !informational()) {
                checkMatch(listener.match(response));
            }
            // A body that ends with the connection is not awaited.
            complete = !framed && !informational() && !invalid;
            body = ctx.alloc().compositeBuffer();
            reserve(ctx, Math.min(maxBodyBytes, HttpUtil.getContentLength(response, 0L)));
        }
        if (part instanceof HttpContent content) {
            invalid |= body.readableBytes() + content.content().readableBytes() > maxBodyBytes;
            if (!invalid) {
                body.addComponent(true, content.content().retain());
                reserve(ctx, body.readableBytes());
            }
        }
        if (part instanceof LastHttpContent) {
            // Informational responses precede the final one and are not taken for it.
            complete = !informational() && !skipping;
            if (!complete) {
                skipping = false;
                reset();
            }
        }
    }

    /**
     * Guards against response desynchronization: a late response to an earlier request would be taken for the one to
     * this request, and each later response for that of the request before it. A response that names another request is
     * skipped, as the right one is still to come. One that names none cannot be attributed and is invalid.
     */
    private void checkMatch(HostPool.ResponseMatch match) {
        skipping = match == HostPool.ResponseMatch.OTHER_REQUEST;
        skippedCount += skipping ? 1 : 0;
        invalid = match == HostPool.ResponseMatch.UNIDENTIFIED
                || (skipping && (!framed || skippedCount > MAX_SKIPPED_RESPONSES));
    }

    /**
     * Bounds the memory of all response bodies together. While no memory is left for a long body, reading is paused
     * (backpressure) until there is, or until its attempt ends.
     */
    private void reserve(ChannelHandlerContext ctx, long bytes) {
        if (invalid || bytes <= BodyBudget.SHORT_BODY_BYTES || bytes <= reservation.bytes() || whenReserved != null) {
            return;
        }
        long more = Math.min(
                maxBodyBytes - reservation.bytes(), Math.max(RESERVATION_STEP_BYTES, bytes - reservation.bytes()));
        if (budget.tryReserve(more)) {
            extendReservation(more);
            return;
        }
        pausedChannel = ctx.channel();
        pausedChannel.config().setAutoRead(false);
        whenReserved = () -> {
            extendReservation(more);
            resume();
        };
        budget.reserveWhenAvailable(more, whenReserved);
    }

    /** Resumes reading. Needed also if the response is already complete, as the connection may carry the next one. */
    private void resume() {
        whenReserved = null;
        pausedChannel.config().setAutoRead(true);
        pausedChannel = null;
    }

    private void extendReservation(long bytes) {
        reservation = new Reservation(budget, reservation.bytes() + bytes);
    }

    private boolean informational() {
        return head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }

    /**
     * Reports the response only at the end of the read. If the connection were reused while the same read still held
     * bytes, a duplicate response or garbage would be taken for the response to the next request.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (invalid) {
            reset();
            listener.onInvalidResponse();
        } else if (complete) {
            HttpResponse response = head;
            CompositeByteBuf bytes = body;
            boolean clean = !hasSurplus && !decoder.hasPartialMessage() && skippedCount == 0;
            boolean hasLength = framed;
            Reservation responseReservation = reservation;
            body = null;
            reservation = Reservation.NONE;
            reset();
            try {
                listener.onResponse(response, bytes, responseReservation, hasLength, clean);
            } finally {
                bytes.release();
                responseReservation.release();
            }
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
        reset();
    }

    private void reset() {
        if (body != null) {
            body.release();
        }
        // Before the release below, which could otherwise grant the memory to this reader itself.
        if (whenReserved != null) {
            budget.cancelWait(whenReserved);
            resume();
        }
        reservation.release();
        reservation = Reservation.NONE;
        head = null;
        body = null;
        complete = false;
        hasSurplus = false;
    }

    /** Netty's decoder with stricter validation. */
    private final class Decoder extends HttpResponseDecoder {
        /** Part of a head has been read, but not its end. */
        private boolean inHead;

        Decoder() {
            super(new HttpDecoderConfig());
        }

        @Override
        protected HttpMessage createMessage(String[] firstLine) {
            inHead = true;
            return super.createMessage(firstLine);
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf bytes, List<Object> out) throws Exception {
            int before = out.size();
            super.decode(ctx, bytes, out);
            inHead &= out.size() == before;
        }

        /** Rejects bytes that no request awaits: they would be taken for the start of the next response. */
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
            if (listener.isAwaitingResponse()) {
                super.channelRead(ctx, message);
            } else {
                ReferenceCountUtil.release(message);
                listener.onInvalidResponse();
            }
        }

        /** Rejects header lines without a colon, which Netty would read as headers with an empty value. */
        @Override
        protected AsciiString splitHeaderName(byte[] line, int start, int length) {
            if (line[start + length] != ':') {
                throw new IllegalArgumentException("header line without a colon");
            }
            return super.splitHeaderName(line, start, length);
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            return super.isContentAlwaysEmpty(message) || listener.isHeadRequest();
        }

        /** Whether part of a response has been received, but not its end. */
        boolean hasPartialMessage() {
            return actualReadableBytes() > 0 || inHead;
        }
    }
}
