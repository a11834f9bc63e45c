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

/** A {@link CoreMachine} with its sockets, its disk and its clock. All on one event loop. */
public final class CoreNode implements CoreMachine.Environment {
    private static final Logger LOG = LoggerFactory.getLogger(CoreNode.class);

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

    /** A machine with what its disk holds. */
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
                "core {} of id {} starts: term {}, {} entries, voters {}",
                settings.node(),
                Long.toHexString(id),
                machine.raftDriver().raft().term(),
                machine.raftDriver().raft().lastIndex(),
                machine.raftDriver().raft().voters().size());
    }

    /** Starts to listen and to dial; on the event loop. */
    public List<ChannelFuture> start() {
        List<ChannelFuture> bound =
                List.of(connectionManager.listen(settings.inner(), maxConnections()), operator.listen(settings.ctl()));
        tick();
        return bound;
    }

    /** All descriptors but some for operators, the platform and the dialled links. */
    private int maxConnections() {
        return settings.descriptors() - Math.min(RESERVED_DESCRIPTORS, settings.descriptors() / 2);
    }

    private void tick() {
        loop.schedule(this::tick, CoreMachine.TICK_MILLIS, TimeUnit.MILLISECONDS);
        long late = stallWatch.came(millis());
        if (late > 0) {
            LOG.warn("the event loop stood still for {} ms", late);
        }
        runOrExit(machine::tick);
    }

    /** Guards against going on after an error that the event loop would only log. */
    private static void runOrExit(Runnable work) {
        try {
            work.run();
        } catch (Error e) {
            Fatal.reportIfFatal(e);
            throw e;
        }
    }

    /** Follows changed settings; on the event loop. */
    public void settingsChanged(BootSettings changed) {
        currentSettings = changed;
        poller.moveTo(changed.provider());
    }

    /** Gets ready to end, and tells whether nothing is left to do; on the event loop. */
    public boolean prepareShutdown() {
        return machine.prepareShutdown();
    }

    /** Ends; on the event loop. */
    public void close() {
        operator.close();
        connectionManager.close();
        machine.close();
        disk.close();
    }

    /** Waits until the disk is at rest; not on the event loop. */
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
    public void setHostPolling(boolean wanted) {
        poller.turn(wanted);
    }

    @Override
    public void log(String line) {
        LOG.info(line);
    }
}
