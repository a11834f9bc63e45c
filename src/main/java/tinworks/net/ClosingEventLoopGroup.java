package tinworks.net;

import io.netty.channel.IoEventLoop;
import io.netty.channel.IoEventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadIoEventLoop;
import java.util.concurrent.Executor;

/**
 * Event loops that close all their channels before they terminate. Netty's own do so only in an iteration that begins
 * after shutdown was requested: a loop that is running tasks then, and has no quiet period, terminates without such an
 * iteration. Its sockets stay open and the buffers that they had read are never released.
 */
public final class ClosingEventLoopGroup extends MultiThreadIoEventLoopGroup {
    /** Creates a group of {@code loops} event loops. */
    public ClosingEventLoopGroup(int loops, IoHandlerFactory factory) {
        super(loops, factory);
    }

    @Override
    protected IoEventLoop newChild(Executor executor, IoHandlerFactory factory, Object... options) {
        return new ClosingEventLoop(this, executor, factory);
    }

    private static final class ClosingEventLoop extends SingleThreadIoEventLoop {
        /** A handler that opens a channel for each closed one would otherwise keep the loop from terminating. */
        private static final int MAX_EXTRA_ROUNDS = 16;

        private int extraRounds;

        ClosingEventLoop(IoEventLoopGroup parent, Executor executor, IoHandlerFactory factory) {
            super(parent, executor, factory);
        }

        /** Delays termination until an iteration has closed all channels. */
        @Override
        protected boolean confirmShutdown() {
            if (isShuttingDown()
                    && !isShutdown()
                    && getNumOfRegisteredChannels() > 0
                    && extraRounds < MAX_EXTRA_ROUNDS) {
                extraRounds++;
                // A loop with a pending task does not block in that iteration.
                execute(() -> {});
                return false;
            }
            return super.confirmShutdown();
        }
    }
}
