package tinworks.node;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.Slf4JLoggerFactory;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;
import tinworks.logging.Fatal;
import tinworks.logging.JsonLog;
import tinworks.net.LoopLag;
import tinworks.net.MonotonicClock;

/** A process of the system: its settings and their changes, its event loop, its signals. */
public final class NodeProcess {
    /** What is to be done at the end, before the process goes. */
    public interface Ending {
        /** Returns when all is in order. */
        void end() throws InterruptedException;
    }

    private static final Logger LOG = LoggerFactory.getLogger(NodeProcess.class);
    private static final long WATCH_MILLIS = 2_500;
    private static final long LOOP_END_MILLIS = 50;
    /** So long an end waits for the last lines of the log to be written. */
    private static final long LAST_LINES_MILLIS = 150;

    private static final String LEVEL = "TINWORKS_LOG";

    private final Map<String, String> environment;
    private final MultiThreadIoEventLoopGroup group;
    private final EventLoop loop;
    private final LoopLag lag = new LoopLag();
    private final BootSettings settings;
    /** The settings file as it was last read. */
    private String text;

    private NodeProcess(Map<String, String> environment, String text, BootSettings settings) {
        this.environment = environment;
        this.text = text;
        this.settings = settings;
        group = new MultiThreadIoEventLoopGroup(1, lag);
        loop = group.next();
    }

    /** A process with the settings that the environment names; bad ones are an {@link IllegalArgumentException}. */
    public static NodeProcess start(Map<String, String> environment) {
        HangUp.install();
        Fatal.install();
        // Guards against a search for logging libraries that aren't there, which costs a start as much as a list.
        InternalLoggerFactory.setDefaultFactory(Slf4JLoggerFactory.INSTANCE);
        String text = BootSettings.text(environment);
        BootSettings settings = BootSettings.read(environment, text);
        JsonLog.install(settings.node(), level(environment.getOrDefault(LEVEL, "INFO")));
        LOG.info("starts");
        return new NodeProcess(environment, text, settings);
    }

    private static Level level(String name) {
        try {
            return Level.valueOf(name);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(
                    LEVEL + ": wanted one of " + List.of(Level.values()) + ", not " + name, e);
        }
    }

    /** The settings that it started with. */
    public BootSettings settings() {
        return settings;
    }

    /** The one event loop. */
    public EventLoop loop() {
        return loop;
    }

    /** A clock that knows how far the event loop is behind. */
    public MonotonicClock clock() {
        return new MonotonicClock(lag::nanos);
    }

    /** Does something on the event loop and waits for what comes of it. */
    public <T> T call(Callable<T> work) {
        return call(loop, work);
    }

    /** Does something on an event loop and waits until it is done. */
    public static void run(EventLoop loop, Runnable work) {
        call(loop, Executors.callable(work));
    }

    /** Does something on an event loop and waits for what comes of it. */
    public static <T> T call(EventLoop loop, Callable<T> work) {
        CompletableFuture<T> done = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                done.complete(work.call());
            } catch (Exception e) {
                done.completeExceptionally(e);
            } catch (Error e) {
                // Whoever waits for it is told too, so that nobody waits for good.
                done.completeExceptionally(e);
                Fatal.reportIfFatal(e);
            }
        });
        return done.join();
    }

    /** Waits until all addresses are taken; one that can't be had is an {@link IllegalArgumentException}. */
    public void awaitBound(List<ChannelFuture> bound) {
        for (ChannelFuture one : bound) {
            one.awaitUninterruptibly();
            if (!one.isSuccess()) {
                throw new IllegalArgumentException(
                        "can't listen: " + one.cause().getMessage(), one.cause());
            }
        }
    }

    /** Tells of changed settings, on the event loop: after SIGHUP, and when the file has changed without a signal. */
    public void onChange(Consumer<BootSettings> changed) {
        HangUp.then(() -> loop.execute(() -> reload(changed)));
        loop.scheduleWithFixedDelay(() -> reload(changed), WATCH_MILLIS, WATCH_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void reload(Consumer<BootSettings> changed) {
        try {
            // By its text: a look every few seconds at a file that hardly ever changes should cost a comparison.
            String read = BootSettings.text(environment);
            if (!read.equals(text)) {
                changed.accept(BootSettings.read(environment, read));
                text = read;
                LOG.info("the settings have changed");
            }
        } catch (IllegalArgumentException e) {
            LOG.warn("kept the old settings: {}", e.getMessage());
        }
    }

    /**
     * What SIGTERM does. To be called before the process takes anybody in, so that none is cut off by a signal that
     * comes as it starts.
     */
    public void onEnd(Ending ending) {
        try {
            Runtime.getRuntime().addShutdownHook(new Thread(() -> end(ending), "end"));
        } catch (IllegalStateException e) {
            // It is ending already, and holds nothing yet.
            LOG.info("asked to end as it started");
        }
    }

    private void end(Ending ending) {
        LOG.info("asked to end");
        try {
            ending.end();
            group.shutdownGracefully(0, LOOP_END_MILLIS, TimeUnit.MILLISECONDS).await(LOOP_END_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (CompletionException e) {
            LOG.error("did not end in order", e);
        }
        JsonLog.flush(LAST_LINES_MILLIS);
    }
}
