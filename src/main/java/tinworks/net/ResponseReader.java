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
 * Collects a host's answer whole and within bounds, and tells of it once all that came with it has been looked at: only
 * then is it known whether the connection can carry another request.
 */
final class ResponseReader extends ChannelInboundHandlerAdapter {
    /** What waits for the answer. */
    interface Listener {
        /** Whether a request is out on the connection. */
        boolean isAwaitingResponse();

        /** Whether the request that is out is a HEAD, whose answer has no body whatever its head says. */
        boolean isHeadRequest();

        /** Whose answer begins with this head, which is not an informational one. */
        HostPool.ResponseMatch ownerOf(HttpResponse head);

        /**
         * The answer has come whole; {@code framed} says that its head told its length, {@code clean} that nothing came
         * behind it, and no other answer before it. The body and its room are the listener's for the call's length.
         */
        void onResponse(HttpResponse head, ByteBuf body, Reservation reserved, boolean framed, boolean clean);

        /** What came is no answer, or none that this gateway takes. The connection is of no further use. */
        void onInvalidResponse();
    }

    /** The longest body that the earlier protocol knows. */
    static final int DEFAULT_MAX_BODY_BYTES = 64 * 1024;
    /** How much more room a body of unknown length takes at a time. */
    private static final int STEP = 256 << 10;
    /** Answers to other requests that are passed over on one connection before it is given up. */
    private static final int MOST_PASSED_OVER = 4;

    private final Decoder decoder = new Decoder();
    private final Listener listener;
    private final ByteBudget budget;
    private final int largestBody;
    private HttpResponse head;
    private CompositeByteBuf body;
    private boolean framed;
    private boolean whole;
    private boolean surplus;
    private boolean spoilt;
    /** The answer that is being read is another request's. */
    private boolean passingOver;

    private int passedOver;
    /** The room that the body takes of the budget; short bodies take none. */
    private Reservation reserved = Reservation.NONE;
    /** What is done once there is room for more of the body; null while nobody waits for it. */
    private Runnable whenRoom;
    /** The connection that isn't read meanwhile. */
    private Channel paused;

    ResponseReader(Listener listener, int largestBody, ByteBudget budget) {
        this.budget = budget;
        this.listener = listener;
        this.largestBody = largestBody;
    }

    /** What stands before this reader on the connection. */
    HttpResponseDecoder decoder() {
        return decoder;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (whole || spoilt) {
                surplus = true;
            } else if (!(message instanceof HttpObject part)
                    || part.decoderResult().isFailure()) {
                spoilt = true;
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
            // Guards against gathering what is said to have gigabytes, and against a switch that nobody asked for.
            spoilt = !Framing.hasOneReading(response)
                    || Framing.holdsAnother(response)
                    || HttpUtil.getContentLength(response, 0L) > largestBody
                    || response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
            framed = response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                    || HttpUtil.isTransferEncodingChunked(response)
                    || decoder.isContentAlwaysEmpty(response);
            if (!spoilt && !informational()) {
                judge(listener.ownerOf(response));
            }
            // Guards against waiting for the end of a body that only the end of its connection would tell.
            whole = !framed && !informational() && !spoilt;
            body = ctx.alloc().compositeBuffer();
            reserve(ctx, Math.min(largestBody, HttpUtil.getContentLength(response, 0L)));
        }
        if (part instanceof HttpContent content) {
            spoilt |= body.readableBytes() + content.content().readableBytes() > largestBody;
            if (!spoilt) {
                body.addComponent(true, content.content().retain());
                reserve(ctx, body.readableBytes());
            }
        }
        if (part instanceof LastHttpContent) {
            // Guards against taking what a host says ahead of its answer for the answer itself.
            whole = !informational() && !passingOver;
            if (!whole) {
                passingOver = false;
                forget();
            }
        }
    }

    /**
     * Guards against an answer that comes late, where the next one is due: it would pass for this request's, and every
     * later answer on the connection for that of the request before it. One that names another request is passed over,
     * as the own one is still to come; one that names none proves nothing.
     */
    private void judge(HostPool.ResponseMatch whose) {
        passingOver = whose == HostPool.ResponseMatch.OTHER_REQUEST;
        passedOver += passingOver ? 1 : 0;
        spoilt = whose == HostPool.ResponseMatch.UNIDENTIFIED
                || (passingOver && (!framed || passedOver > MOST_PASSED_OVER));
    }

    /**
     * Guards against answers that together are more than the memory: while there is no room for a long one, no more of
     * it is read, until there is or its attempt ends.
     */
    private void reserve(ChannelHandlerContext ctx, long bytes) {
        if (spoilt || bytes <= BodyBudget.SHORT_BODY_BYTES || bytes <= reserved.bytes() || whenRoom != null) {
            return;
        }
        long more = Math.min(largestBody - reserved.bytes(), Math.max(STEP, bytes - reserved.bytes()));
        if (budget.tryReserve(more)) {
            hold(more);
            return;
        }
        paused = ctx.channel();
        paused.config().setAutoRead(false);
        whenRoom = () -> {
            hold(more);
            resume();
        };
        budget.await(more, whenRoom);
    }

    /** Reads on, also where the end of the answer was in what had been read, and the next one may come here. */
    private void resume() {
        whenRoom = null;
        paused.config().setAutoRead(true);
        paused = null;
    }

    private void hold(long taken) {
        reserved = new Reservation(budget, reserved.bytes() + taken);
    }

    private boolean informational() {
        return head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }

    /**
     * Guards against using the connection again while more of the same read is to come: a second copy, or noise, would
     * pass for the answer to the next request.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (spoilt) {
            forget();
            listener.onInvalidResponse();
        } else if (whole) {
            HttpResponse answer = head;
            CompositeByteBuf bytes = body;
            boolean clean = !surplus && !decoder.holdsBytes() && passedOver == 0;
            boolean hasLength = framed;
            Reservation room = reserved;
            body = null;
            reserved = Reservation.NONE;
            forget();
            try {
                listener.onResponse(answer, bytes, room, hasLength, clean);
            } finally {
                bytes.release();
                room.release();
            }
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
        forget();
    }

    private void forget() {
        if (body != null) {
            body.release();
        }
        // Before room is given back, which this one would get itself.
        if (whenRoom != null) {
            budget.giveUp(whenRoom);
            resume();
        }
        reserved.release();
        reserved = Reservation.NONE;
        head = null;
        body = null;
        whole = false;
        surplus = false;
    }

    /** Netty's decoder, made strict where it is lenient with hosts. */
    private final class Decoder extends HttpResponseDecoder {
        /** A part of a head has been read, and its end has not. */
        private boolean amidstHead;

        Decoder() {
            super(new HttpDecoderConfig());
        }

        @Override
        protected HttpMessage createMessage(String[] firstLine) {
            amidstHead = true;
            return super.createMessage(firstLine);
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf bytes, List<Object> out) throws Exception {
            int before = out.size();
            super.decode(ctx, bytes, out);
            amidstHead &= out.size() == before;
        }

        /** Guards against bytes that nobody asked for: they would be taken for the start of the next answer. */
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
            if (listener.isAwaitingResponse()) {
                super.channelRead(ctx, message);
            } else {
                ReferenceCountUtil.release(message);
                listener.onInvalidResponse();
            }
        }

        /** Guards against a line without a colon in a head, which would pass for a header of no value. */
        @Override
        protected AsciiString splitHeaderName(byte[] line, int start, int length) {
            if (line[start + length] != ':') {
                throw new IllegalArgumentException("no colon behind the name of a header");
            }
            return super.splitHeaderName(line, start, length);
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            return super.isContentAlwaysEmpty(message) || listener.isHeadRequest();
        }

        /** Whether a part of an answer has come, and its end has not. */
        boolean holdsBytes() {
            return actualReadableBytes() > 0 || amidstHead;
        }
    }
}
