package tinworks.edge;

import io.netty.channel.ChannelFuture;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tinworks.channel.MonotonicTime;
import tinworks.node.BootSettings;
import tinworks.node.NodeProcess;

/** Start and graceful shutdown of an edge gateway's process. */
public final class Edge {
    private static final Logger LOG = LoggerFactory.getLogger(Edge.class);
    private static final long KILL_MARGIN_MILLIS = 300;

    private Edge() {}

    /**
     * Runs until the process is asked to shut down.
     *
     * @throws IllegalArgumentException if the settings are invalid
     */
    public static void run(NodeProcess process) {
        BootSettings settings = process.settings();
        if (settings.http() == null || settings.readyz() == null) {
            throw new IllegalArgumentException("listen: an edge needs http and readyz");
        }
        // A new id per process instance: no state of an earlier process carries over.
        long id = new SplittableRandom(System.nanoTime()
                        ^ Long.rotateLeft(System.currentTimeMillis(), 32)
                        ^ settings.node().hashCode())
                .nextLong();
        EdgeNode node = process.call(() -> new EdgeNode(process.loop(), process.clock(), settings, id));
        process.onChange(node::settingsChanged);
        process.onEnd(
                () -> shutDown(process, node, MonotonicTime.millis(), settings.graceMillis() - KILL_MARGIN_MILLIS));
        List<ChannelFuture> bound = process.call(node::start);
        process.awaitBound(bound);
    }

    private static void shutDown(NodeProcess process, EdgeNode node, long signalledAtMillis, long maxMillis)
            throws InterruptedException {
        CompletableFuture<Void> shutdown = process.call(() -> node.shutDown(signalledAtMillis));
        try {
            shutdown.get(signalledAtMillis + maxMillis - MonotonicTime.millis(), TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            LOG.warn("process ends before all requests were answered: {}", e.toString());
        }
    }
}
