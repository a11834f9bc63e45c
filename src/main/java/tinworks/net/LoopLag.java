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
 * How long what comes from the network may lie unread because the event loop is at other work. A pass of the loop looks
 * at its sockets, reads what is there, and then runs what is due; whatever arrives meanwhile waits for the next look.
 * Guards against a gateway that takes its own stall for its hosts'.
 *
 * <p>Stands round the {@link IoHandler} of one event loop; all but {@link #newHandler} belongs to that loop.
 */
public final class LoopLag implements IoHandlerFactory {
    /** Work for so long is worth a look of its own at what came meanwhile. */
    private static final long LONG_WORK_NANOS = 2_000_000L;

    private final IoHandlerFactory wrapped;
    /** When this pass began to look; when the last look ended; how long the pass before this one was at work. */
    private long enteredAt = System.nanoTime();

    private long lookedAt = enteredAt;
    private long workBefore;
    /** When the first thing of this look was told, 0 before that. */
    private long firstAt;

    private boolean reading;
    /** What is read now was there when this pass began to look. */
    private boolean wasThere;

    /** Watches the one handler that this factory makes. */
    public LoopLag() {
        wrapped = NioIoHandler.newFactory(SelectorProvider.provider(), () -> this::select);
    }

    /**
     * Guards against taking what came while the loop was at work for what came while it waited: after long work it
     * looks before it waits. How soon a wait ends doesn't tell, as on a small part of a core the thread itself is held
     * up.
     */
    private int select(IntSupplier selectNow, boolean hasTasks) throws Exception {
        if (!hasTasks && workBefore < LONG_WORK_NANOS) {
            return SelectStrategy.SELECT;
        }
        int ready = selectNow.get();
        wasThere = ready > 0;
        return hasTasks || wasThere ? ready : SelectStrategy.SELECT;
    }

    /** The most that something which is told now can have waited here, in nanoseconds. */
    public long nanos() {
        long now = System.nanoTime();
        if (!reading) {
            return now - lookedAt;
        }
        if (wasThere) {
            return now - enteredAt + workBefore;
        }
        firstAt = firstAt == 0 ? now : firstAt;
        return now - firstAt;
    }

    @Override
    public IoHandler newHandler(ThreadAwareExecutor executor) {
        return new TimedIoHandler(wrapped.newHandler(executor));
    }

    @Override
    public boolean isChangingThreadSupported() {
        return wrapped.isChangingThreadSupported();
    }

    /** A handler whose passes are timed. */
    private final class TimedIoHandler implements IoHandler {
        private final IoHandler handler;
        private final Context context = new Context();

        TimedIoHandler(IoHandler handler) {
            this.handler = handler;
        }

        @Override
        public int run(IoHandlerContext asked) {
            enteredAt = System.nanoTime();
            workBefore = enteredAt - lookedAt;
            firstAt = 0;
            wasThere = false;
            reading = true;
            context.asked = asked;
            context.active = 0;
            try {
                return handler.run(context);
            } finally {
                reading = false;
                lookedAt = System.nanoTime() - context.active;
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

    /** Asks the handler how long it read, and passes all else on. */
    private static final class Context implements IoHandlerContext {
        private IoHandlerContext asked;
        private long active;

        @Override
        public boolean canBlock() {
            return asked.canBlock();
        }

        @Override
        public long delayNanos(long now) {
            return asked.delayNanos(now);
        }

        @Override
        public long deadlineNanos() {
            return asked.deadlineNanos();
        }

        @Override
        public boolean shouldReportActiveIoTime() {
            return true;
        }

        @Override
        public void reportActiveIoTime(long nanos) {
            active += nanos;
        }
    }
}
