package tinworks.control;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tinworks.channel.ConnectionManager;
import tinworks.channel.MonotonicTime;
import tinworks.channel.PeerMessage.Hello;
import tinworks.channel.PeerMessage.NodeRole;
import tinworks.channel.TcpConnectionManager;
import tinworks.logging.Fatal;
import tinworks.net.MonotonicClock;
import tinworks.node.BootSettings;
import tinworks.node.StallWatch;
import tinworks.platform.HostPoller;
import tinworks.raft.PersistentState;
import tinworks.store.CoreStore;

/**
 * Runs a {@link CoreMachine} with real sockets, disk and clock on one event loop. It makes no decisions; {@link Core}
 * starts and stops it.
 */
public final class CoreNode implements CoreMachine.Environment {
    private static final Logger LOG = LoggerFactory.getLogger(CoreNode.class);

    /** File descriptors kept for operators, the platform and outbound connections. */
    private static final int RESERVED_DESCRIPTORS = 512;

    private final EventLoop loop;
    private final BootSettings settings;
    private final DiskThread disk;
    private final CoreMachine machine;
    private final TcpConnectionManager connectionManager;
    private final HostPoller poller;
    private final OperatorServer operator;
    private final StallWatch stallWatch = new StallWatch(CoreMachine.TICK_MILLIS);
    private BootSettings currentSettings;

    /** Creates a node from its stored state. */
    public CoreNode(EventLoop loop, BootSettings settings, CoreStore store, long id, PersistentState stored) {
        this.loop = loop;
        this.settings = settings;
        currentSettings = settings;
        MonotonicClock clock = new MonotonicClock();
        disk = new DiskThread(work -> loop.execute(() -> runOrExit(work)), store, this::log);
        machine = new CoreMachine(
                new CoreMachine.Identity(id, settings.innerAddress(), settings.losses()), stored, disk, this);
        connectionManager = new TcpConnectionManager(
                loop, new Hello(NodeRole.CORE, id, settings.innerAddress(), settings.node(), settings.zone()), machine);
        poller = new HostPoller(loop, clock, settings.provider(), id, machine::hostsFetched, this::log);
        operator = new OperatorServer(loop, clock, settings.node(), machine, stallWatch);
        LOG.info(
                "core node {} with id {} starts: term {}, last index {}, {} voters",
                settings.node(),
                Long.toHexString(id),
                machine.raftDriver().raft().term(),
                machine.raftDriver().raft().lastIndex(),
                machine.raftDriver().raft().voters().size());
    }

    /** Starts listening and connecting. Must be called on the event loop. */
    public List<ChannelFuture> start() {
        List<ChannelFuture> bound =
                List.of(connectionManager.listen(settings.inner(), maxConnections()), operator.listen(settings.ctl()));
        tick();
        return bound;
    }

    /** All file descriptors except the reserved ones, which are half of them at most. */
    private int maxConnections() {
        return settings.descriptors() - Math.min(RESERVED_DESCRIPTORS, settings.descriptors() / 2);
    }

    private void tick() {
        loop.schedule(this::tick, CoreMachine.TICK_MILLIS, TimeUnit.MILLISECONDS);
        long lateMillis = stallWatch.came(millis());
        if (lateMillis > 0) {
            LOG.warn("event loop stalled for {} ms", lateMillis);
        }
        runOrExit(machine::tick);
    }

    /** Ends the process on an {@link Error}, which the event loop would only log. */
    private static void runOrExit(Runnable work) {
        try {
            work.run();
        } catch (Error e) {
            Fatal.reportIfFatal(e);
            throw e;
        }
    }

    /** Applies changed settings. Must be called on the event loop. */
    public void settingsChanged(BootSettings changed) {
        currentSettings = changed;
        poller.moveTo(changed.provider());
    }

    /** Prepares the shutdown; see {@link CoreMachine#prepareShutdown}. Must be called on the event loop. */
    public boolean prepareShutdown() {
        return machine.prepareShutdown();
    }

    /** Closes the connections and the disk. Must be called on the event loop. */
    public void close() {
        operator.close();
        connectionManager.close();
        machine.close();
        disk.close();
    }

    /** Waits until all writes are finished. Must not be called on the event loop. */
    public boolean awaitClosed(long millis) throws InterruptedException {
        return disk.awaitClosed(millis);
    }

    // ---- CoreMachine.Environment

    @Override
    public long millis() {
        return MonotonicTime.millis();
    }

    @Override
    public ConnectionManager connectionManager() {
        return connectionManager;
    }

    @Override
    public List<String> seeds() {
        return currentSettings.seeds();
    }

    @Override
    public void setHostPolling(boolean enabled) {
        poller.turn(enabled);
    }

    @Override
    public void log(String line) {
        LOG.info(line);
    }
}
