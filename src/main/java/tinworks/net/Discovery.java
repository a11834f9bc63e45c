package tinworks.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import tinworks.json.Json;

/**
 * Service discovery: watches the list of hosts. Each {@link #watch} eventually ends with one
 * {@link Listener#onFailure}; this class does not reconnect, as the load balancer decides when to watch again.
 */
final class Discovery {
    /** Called on the event loop, never from within {@link #watch}. */
    interface Listener {
        void onList(EndpointList list);

        void onFailure();
    }

    /**
     * The service sends an empty line every two seconds as a heartbeat. Without this timeout nothing would end a
     * connection whose remote end vanished. It is below six seconds, after which a change counts as known to the
     * gateway.
     */
    static final long READ_TIMEOUT_MILLIS = 5_000;

    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final int MAX_LINE_BYTES = 1 << 20;

    private final EventLoop loop;
    private final Transport transport;
    private final Listener listener;
    private final long readTimeoutMillis;
    private SocketAddress address;
    private long index;
    private Channel watch;

    /** Watches for changes after the version {@code index}; closes a watch that receives nothing for the timeout. */
    Discovery(
            EventLoop loop,
            Transport transport,
            SocketAddress address,
            long index,
            long readTimeoutMillis,
            Listener listener) {
        this.loop = loop;
        this.transport = transport;
        this.address = address;
        this.index = index;
        this.readTimeoutMillis = readTimeoutMillis;
        this.listener = listener;
    }

    /**
     * Switches to another address at once, without calling the listener: the current list stays valid, and updates from
     * the new address are applied to it. The version of any update may be lower than the current one.
     */
    void switchTo(SocketAddress newAddress) {
        address = newAddress;
        close();
        watch();
    }

    /** Opens the watch, unless one is open or being opened. */
    void watch() {
        if (watch != null) {
            return;
        }
        ChannelFuture connected = new Bootstrap()
                .group(loop)
                .channel(transport.client())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new ReadTimeoutHandler(readTimeoutMillis, TimeUnit.MILLISECONDS),
                                        new HttpClientCodec(),
                                        new BodyExtractor(),
                                        new LineBasedFrameDecoder(MAX_LINE_BYTES),
                                        new LineHandler());
                    }
                })
                .connect(address);
        watch = connected.channel();
        Channel opened = watch;
        // The close future, unlike a handler's channelInactive, also completes if the connect fails.
        opened.closeFuture().addListener(closed -> loop.execute(() -> onClosed(opened)));
    }

    /** Closes the watch without calling the listener. */
    void close() {
        Channel old = watch;
        watch = null;
        if (old != null) {
            old.close();
        }
    }

    private void onClosed(Channel channel) {
        if (channel == watch) {
            watch = null;
            listener.onFailure();
        }
    }

    /** Passes on the body of a 200 response; closes the connection after it, and on any other response. */
    private static final class BodyExtractor extends SimpleChannelInboundHandler<HttpObject> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
            if (part.decoderResult().isFailure()
                    || (part instanceof HttpResponse head && !head.status().equals(HttpResponseStatus.OK))) {
                ctx.close();
                return;
            }
            if (part instanceof HttpContent content) {
                ctx.fireChannelRead(content.content().retain());
            }
            if (part instanceof LastHttpContent) {
                ctx.close();
            }
        }
    }

    /** Sends the request, and reads the response line by line. */
    private final class LineHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1, HttpMethod.GET, "/v1/endpoints?follow=1&since=" + index);
            request.headers().set(HttpHeaderNames.HOST, host());
            ctx.writeAndFlush(request);
        }

        private String host() {
            return address instanceof InetSocketAddress a ? a.getHostString() + ":" + a.getPort() : "localhost";
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            try {
                String line = ((ByteBuf) message).toString(StandardCharsets.UTF_8);
                if (!line.isBlank() && ctx.channel() == watch) {
                    EndpointList list = EndpointList.read(Json.read(line));
                    index = list.index();
                    listener.onList(list);
                }
            } catch (IOException | IllegalArgumentException e) {
                // An unreadable change would leave a gap; the next watch receives it again.
                ctx.close();
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
