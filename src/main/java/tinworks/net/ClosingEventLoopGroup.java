package tinworks.net;

import io.netty.channel.IoEventLoop;
import io.netty.channel.IoEventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadIoEventLoop;
import java.util.concurrent.Executor;

/**
 * Event loops that close all their channels before they end. Netty's own do so only in a round that begins after the
 * end was asked for: one that is amid its tasks then, and has no quiet period to wait for, ends without such a round.
 * Its sockets stay open and the bytes that they had read are never released.
 */
public final class ClosingEventLoopGroup extends MultiThreadIoEventLoopGroup {
    /** So many event loops. */
    public ClosingEventLoopGroup(int loops, IoHandlerFactory factory) {
        super(loops, factory);
    }

    @Override
    protected IoEventLoop newChild(Executor executor, IoHandlerFactory factory, Object... options) {
        return new ClosingEventLoop(this, executor, factory);
    }

    private static final class ClosingEventLoop extends SingleThreadIoEventLoop {
        /** Guards against a handler that opens a channel for each that is closed: the loop would never end. */
        private static final int MOST_ROUNDS = 16;

        private int rounds;

        ClosingEventLoop(IoEventLoopGroup parent, Executor executor, IoHandlerFactory factory) {
            super(parent, executor, factory);
        }

        /** Not before a round in which all channels were closed. */
        @Override
        protected boolean confirmShutdown() {
            if (isShuttingDown() && !isShutdown() && getNumOfRegisteredChannels() > 0 && rounds < MOST_ROUNDS) {
                rounds++;
                // Guards against waiting for a wake-up in that round: a loop that has a task does not wait.
                execute(() -> {});
                return false;
            }
            return super.confirmShutdown();
        }
    }
}
