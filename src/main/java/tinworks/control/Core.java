package tinworks.control;

import io.netty.channel.ChannelFuture;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.time.format.DateTimeFormatter;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.zip.CRC32C;
import org.h2.mvstore.MVStoreException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tinworks.node.BootSettings;
import tinworks.node.NodeProcess;
import tinworks.raft.HardState;
import tinworks.raft.Member;
import tinworks.raft.PersistentState;
import tinworks.raft.Snapshot;
import tinworks.store.CoreStore;
import tinworks.store.DiskStoreDirectory;
import tinworks.store.StoreDirectory;

/** The core process (control plane): opens its store, determines its identity, and starts and shuts down the node. */
public final class Core {
    private static final Logger LOG = LoggerFactory.getLogger(Core.class);
    /** How long a graceful shutdown waits for the leadership transfer and for a replacement among the voters. */
    static final long SHUTDOWN_PREPARATION_MILLIS = 1_500;

    static final long SHUTDOWN_POLL_MILLIS = 50;
    static final long DISK_CLOSE_TIMEOUT_MILLIS = 2_000;

    private Core() {}

    /** Starts the node. Invalid settings cause an {@link IllegalArgumentException}. */
    public static void run(NodeProcess process) {
        BootSettings settings = process.settings();
        if (settings.dataDir() == null) {
            throw new IllegalArgumentException("datadir: required for a core node");
        }
        if (settings.ctl() == null) {
            throw new IllegalArgumentException("listen.ctl: required for a core node");
        }
        try {
            CoreStore store = open(new DiskStoreDirectory(settings.dataDir()));
            long id = identity(store, settings);
            PersistentState stored = store.load();
            CoreNode node = process.call(() -> new CoreNode(process.loop(), settings, store, id, stored));
            process.onChange(node::settingsChanged);
            process.onEnd(() -> shutDown(process, node));
            List<ChannelFuture> bound = process.call(node::start);
            process.awaitBound(bound);
        } catch (IOException | CoreStore.CorruptStoreException e) {
            throw new IllegalArgumentException("datadir " + settings.dataDir() + ": " + e.getMessage(), e);
        }
    }

    /** Opens the store. A corrupt store is quarantined, and this node then starts empty, as a new member. */
    static CoreStore open(StoreDirectory directory) throws IOException, CoreStore.CorruptStoreException {
        directory.createDirectories();
        for (int files = directory.files().size(); ; files--) {
            try {
                return CoreStore.open(directory);
            } catch (CoreStore.CorruptStoreException e) {
                if (files <= 0) {
                    throw e;
                }
                String date = LocalDateTime.now(ZoneId.systemDefault())
                        .format(DateTimeFormatter.ofPattern("yyyyMMdd-HHmmss"));
                String quarantined = CoreStore.quarantine(directory, date);
                LOG.error(
                        "store is corrupt and was quarantined as {}; this node starts empty: {}",
                        quarantined,
                        e.getMessage());
            }
        }
    }

    /**
     * The member id of this node. On an empty disk it is a new id, which has not voted and is not a voter. Only when
     * the whole system bootstraps do the seeds take ids that every seed can derive from the seeds' addresses. A node
     * whose store was quarantined may have voted under such an id, so it never takes one again, whatever its settings
     * say.
     */
    static long identity(CoreStore store, BootSettings settings) throws IOException, CoreStore.CorruptStoreException {
        String address = settings.innerAddress();
        return identity(store, address, settings.bootstrap(), settings.seeds(), newId(address));
    }

    /** As above, from single settings; {@code newId} is used if the node does not bootstrap the system. */
    static long identity(CoreStore store, String address, boolean bootstrap, List<String> seeds, long newId)
            throws IOException, CoreStore.CorruptStoreException {
        long stored = store.identity();
        if (stored != 0) {
            return stored;
        }
        boolean bootstraps = bootstrap && seeds.contains(address) && store.isPristine();
        long id = bootstraps ? bootstrapId(address) : newId;
        try {
            store.initialize(id, HardState.NONE, bootstraps ? bootstrapVoters(seeds) : Snapshot.NONE);
        } catch (IllegalStateException | MVStoreException e) {
            throw new IOException(e.getMessage(), e);
        }
        return id;
    }

    static Snapshot bootstrapVoters(List<String> seeds) {
        return new Snapshot(
                0,
                0,
                seeds.stream().map(seed -> new Member(bootstrapId(seed), seed)).toList(),
                new byte[0]);
    }

    static long bootstrapId(String address) {
        CRC32C checksum = new CRC32C();
        checksum.update(address.getBytes(StandardCharsets.UTF_8));
        return checksum.getValue() + 1;
    }

    static long newId(String address) {
        long seed = System.nanoTime() ^ Long.rotateLeft(System.currentTimeMillis(), 32) ^ address.hashCode();
        // Bit 62 keeps it above all bootstrap ids.
        return (new SplittableRandom(seed).nextLong() | 1L << 62) & Long.MAX_VALUE;
    }

    private static void shutDown(NodeProcess process, CoreNode node) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SHUTDOWN_PREPARATION_MILLIS);
        while (!NodeProcess.call(process.loop(), node::prepareShutdown) && System.nanoTime() < deadline) {
            TimeUnit.MILLISECONDS.sleep(SHUTDOWN_POLL_MILLIS);
        }
        NodeProcess.run(process.loop(), node::close);
        node.awaitClosed(DISK_CLOSE_TIMEOUT_MILLIS);
    }
}
