package tinworks.net;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.GlobalEventExecutor;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import tinworks.logging.LogWriter;

/**
 * The process of a {@link Gateway}: start, reload on SIGHUP and graceful shutdown. Forwarding is left to the gateway.
 */
public final class GatewayProcess {
    /** The platform kills the process no sooner than 3.7 s after SIGTERM, where the longest deadline is 3 s. */
    private static final long SHUTDOWN_TIMEOUT_MILLIS = 3_600;

    private static final long LOOP_SHUTDOWN_TIMEOUT_MILLIS = 100;

    /** Writes on a thread of its own: standard output blocks, and with it the event loop, if its reader stops. */
    private static final LogWriter OUTPUT = new LogWriter(
            "output", () -> System.out, lines -> lines + " lines dropped: standard output was not read\n");

    private GatewayProcess() {}

    private static void log(String line) {
        OUTPUT.write(line + "\n");
    }

    /**
     * Starts the gateway that the environment describes, and returns when it listens. The gateway runs until the
     * process receives SIGTERM. An invalid environment or configuration is reported as
     * {@link IllegalArgumentException}.
     */
    public static void start(Map<String, String> environment) {
        // Otherwise Netty looks for absent logging libraries, which takes as long as fetching the host list.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        CompletableFuture<Gateway> started = new CompletableFuture<>();
        onHangUp(() -> started.thenAccept(gateway -> reload(gateway, environment)));
        GatewayConfig config = GatewayConfig.read(environment);
        GatewayLoop loop = GatewayLoop.dedicated();
        Gateway gateway =
                Gateway.open(loop, config, Transport.TCP, GatewayProcess::log).join();
        started.complete(gateway);
        // Warms up while the discovery service prepares its first response.
        WarmUp.run(config, WarmUp.MAX_DURATION_MILLIS);
        try {
            gateway.listen().join();
            Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(gateway, loop.loop())));
        } catch (CompletionException e) {
            loop.loop().shutdownGracefully();
            throw new IllegalArgumentException(
                    "cannot listen on " + config.listen() + ": " + e.getCause().getMessage(), e);
        }
    }

    /**
     * Replaces the runtime's default action on SIGHUP, which is to exit. Each signal is delivered on its own thread, so
     * the action runs on one shared thread: an older file must not be applied after a newer one.
     */
    private static void onHangUp(Runnable action) {
        sun.misc.Signal.handle(new sun.misc.Signal("HUP"), signal -> GlobalEventExecutor.INSTANCE.execute(action));
    }

    /** Reloads the configuration, off the event loop. If it cannot be read, the current one is kept. */
    static void reload(Gateway gateway, Map<String, String> environment) {
        try {
            gateway.setDiscoveryAddress(GatewayConfig.readDiscovery(environment));
        } catch (IllegalArgumentException e) {
            System.err.println("tinworks: reload failed, keeping the current configuration: " + e.getMessage());
        }
    }

    private static void shutDown(Gateway gateway, EventLoop loop) {
        try {
            gateway.shutDown().get(SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            // Otherwise the Java runtime waits 0.3 s at exit for a thread that is in a system call.
            loop.shutdownGracefully(0, LOOP_SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                    .await(LOOP_SHUTDOWN_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            System.err.println("tinworks: process ends before all requests were answered: " + e);
        }
    }
}
