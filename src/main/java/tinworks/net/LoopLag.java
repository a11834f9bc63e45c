package tinworks.net;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.SelectStrategy;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.IntSupplier;
import io.netty.util.concurrent.ThreadAwareExecutor;
import java.nio.channels.spi.SelectorProvider;

/**
 * Measures event loop lag: an upper bound of the queueing delay of network input while the event loop is busy. An
 * iteration of the loop polls its sockets, reads what is ready, and then runs its tasks; input that arrives meanwhile
 * waits for the next poll. With this, a gateway does not attribute its own stalls to its hosts.
 *
 * <p>Wraps the {@link IoHandler} of one event loop; all but {@link #newHandler} must be called on that loop.
 */
public final class LoopLag implements IoHandlerFactory {
    /** After work of at least this length, input that arrived meanwhile is polled for separately. */
    private static final long LONG_WORK_NANOS = 2_000_000L;

    private final IoHandlerFactory delegate;
    /** When this iteration began to poll; when the last poll ended; how long the previous iteration worked. */
    private long pollStartedAt = System.nanoTime();

    private long pollEndedAt = pollStartedAt;
    private long previousWorkNanos;
    /** When the first event of this poll was handled, 0 before that. */
    private long firstEventAt;

    private boolean inPoll;
    /** The input being read was ready when this iteration began to poll. */
    private boolean readyBeforePoll;

    /** Creates the factory of the one handler that is measured. */
    public LoopLag() {
        delegate = NioIoHandler.newFactory(SelectorProvider.provider(), () -> this::select);
    }

    /**
     * After long work, selects without blocking first, to distinguish input that arrived during the work from what
     * arrives during the wait. A wait that ends at once is no evidence, as with a small CPU quota the thread itself may
     * be delayed.
     */
    private int select(IntSupplier selectNow, boolean hasTasks) throws Exception {
        if (!hasTasks && previousWorkNanos < LONG_WORK_NANOS) {
            return SelectStrategy.SELECT;
        }
        int ready = selectNow.get();
        readyBeforePoll = ready > 0;
        return hasTasks || readyBeforePoll ? ready : SelectStrategy.SELECT;
    }

    /** Upper bound of the time that the event being handled has waited in this process, in nanoseconds. */
    public long nanos() {
        long now = System.nanoTime();
        if (!inPoll) {
            return now - pollEndedAt;
        }
        if (readyBeforePoll) {
            return now - pollStartedAt + previousWorkNanos;
        }
        firstEventAt = firstEventAt == 0 ? now : firstEventAt;
        return now - firstEventAt;
    }

    @Override
    public IoHandler newHandler(ThreadAwareExecutor executor) {
        return new TimedIoHandler(delegate.newHandler(executor));
    }

    @Override
    public boolean isChangingThreadSupported() {
        return delegate.isChangingThreadSupported();
    }

    /** Times the polls of the wrapped handler. */
    private final class TimedIoHandler implements IoHandler {
        private final IoHandler handler;
        private final Context context = new Context();

        TimedIoHandler(IoHandler handler) {
            this.handler = handler;
        }

        @Override
        public int run(IoHandlerContext delegateContext) {
            pollStartedAt = System.nanoTime();
            previousWorkNanos = pollStartedAt - pollEndedAt;
            firstEventAt = 0;
            readyBeforePoll = false;
            inPoll = true;
            context.delegate = delegateContext;
            context.activeIoNanos = 0;
            try {
                return handler.run(context);
            } finally {
                inPoll = false;
                pollEndedAt = System.nanoTime() - context.activeIoNanos;
            }
        }

        @Override
        public void initialize() {
            handler.initialize();
        }

        @Override
        public void prepareToDestroy() {
            handler.prepareToDestroy();
        }

        @Override
        public void destroy() {
            handler.destroy();
        }

        @Override
        public IoRegistration register(IoHandle handle) throws Exception {
            return handler.register(handle);
        }

        @Override
        public void wakeup() {
            handler.wakeup();
        }

        @Override
        public boolean isCompatible(Class<? extends IoHandle> type) {
            return handler.isCompatible(type);
        }
    }

    /** Collects the time that the handler spends on I/O, and delegates everything else. */
    private static final class Context implements IoHandlerContext {
        private IoHandlerContext delegate;
        private long activeIoNanos;

        @Override
        public boolean canBlock() {
            return delegate.canBlock();
        }

        @Override
        public long delayNanos(long now) {
            return delegate.delayNanos(now);
        }

        @Override
        public long deadlineNanos() {
            return delegate.deadlineNanos();
        }

        @Override
        public boolean shouldReportActiveIoTime() {
            return true;
        }

        @Override
        public void reportActiveIoTime(long nanos) {
            activeIoNanos += nanos;
        }
    }
}
