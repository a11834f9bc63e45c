package tinworks.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelProgressiveFuture;
import io.netty.channel.ChannelProgressiveFutureListener;
import io.netty.channel.ChannelProgressivePromise;
import io.netty.channel.ChannelPromise;

/**
 * Reports that bytes of a message have been passed to the socket. The future of a write does not tell: it fails alike
 * for a message of which no byte has left and for one that was cut off after its first part. To be placed before the
 * encoder in the pipeline, so that it handles encoded messages.
 */
final class WriteProgressHandler extends ChannelOutboundHandlerAdapter {
    private final Runnable bytesSent;

    /** Calls {@code bytesSent} at least once for each message of which at least one byte was passed to the socket. */
    WriteProgressHandler(Runnable bytesSent) {
        this.bytesSent = bytesSent;
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        ChannelProgressivePromise tracked = ctx.newProgressivePromise();
        tracked.addListener(new ChannelProgressiveFutureListener() {
            @Override
            public void operationProgressed(ChannelProgressiveFuture future, long progress, long total) {
                bytesSent.run();
            }

            @Override
            public void operationComplete(ChannelProgressiveFuture future) {
                if (future.isSuccess()) {
                    bytesSent.run();
                    promise.trySuccess();
                } else {
                    promise.tryFailure(future.cause());
                }
            }
        });
        ctx.write(message, tracked);
    }
}
