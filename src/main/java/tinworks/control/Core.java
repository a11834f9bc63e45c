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

/** The process of a core machine: its disk, its start and its end. */
public final class Core {
    private static final Logger LOG = LoggerFactory.getLogger(Core.class);
    static final long SHUTDOWN_PREPARATION_MILLIS = 1_500;
    static final long SHUTDOWN_POLL_MILLIS = 50;
    static final long DISK_CLOSE_TIMEOUT_MILLIS = 2_000;

    private Core() {}

    /** Runs until the process is asked to end. Bad settings end as an {@link IllegalArgumentException}. */
    public static void run(NodeProcess process) {
        BootSettings settings = process.settings();
        if (settings.dataDir() == null) {
            throw new IllegalArgumentException("datadir: a core machine needs a disk");
        }
        if (settings.ctl() == null) {
            throw new IllegalArgumentException("listen.ctl: is missing");
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

    /** Opens the store; one that can't be trusted is set aside, and this machine begins anew as another member. */
    static CoreStore open(StoreDirectory folder) throws IOException, CoreStore.CorruptStoreException {
        folder.createDirectories();
        for (int files = folder.files().size(); ; files--) {
            try {
                return CoreStore.open(folder);
            } catch (CoreStore.CorruptStoreException e) {
                if (files <= 0) {
                    throw e;
                }
                String date = LocalDateTime.now(ZoneId.systemDefault())
                        .format(DateTimeFormatter.ofPattern("yyyyMMdd-HHmmss"));
                String aside = CoreStore.quarantine(folder, date);
                LOG.error(
                        "the store can't be trusted and was set aside as {}; this machine begins empty: {}",
                        aside,
                        e.getMessage());
            }
        }
    }

    /**
     * Who this machine is. On a disk that was empty it is somebody new, who has voted for nobody, and no voter; only
     * when the whole system starts for the first time the seeds take ids that each of them can work out for all. A
     * machine whose store was set aside may have voted under such an id, so it takes none again, whatever its settings
     * say.
     */
    static long identity(CoreStore store, BootSettings settings) throws IOException, CoreStore.CorruptStoreException {
        String address = settings.innerAddress();
        return identity(store, address, settings.bootstrap(), settings.seeds(), newId(address));
    }

    /** The same by its parts; {@code newId} is for one who is somebody new. */
    static long identity(CoreStore store, String address, boolean bootstrap, List<String> seeds, long newId)
            throws IOException, CoreStore.CorruptStoreException {
        long known = store.identity();
        if (known != 0) {
            return known;
        }
        boolean first = bootstrap && seeds.contains(address) && store.isPristine();
        long id = first ? bootstrapId(address) : newId;
        try {
            store.initialize(id, HardState.NONE, first ? bootstrapVoters(seeds) : Snapshot.NONE);
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
        CRC32C sum = new CRC32C();
        sum.update(address.getBytes(StandardCharsets.UTF_8));
        return sum.getValue() + 1;
    }

    static long newId(String address) {
        long seed = System.nanoTime() ^ Long.rotateLeft(System.currentTimeMillis(), 32) ^ address.hashCode();
        // Above all ids of a first start.
        return (new SplittableRandom(seed).nextLong() | 1L << 62) & Long.MAX_VALUE;
    }

    private static void shutDown(NodeProcess process, CoreNode node) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SHUTDOWN_PREPARATION_MILLIS);
        while (!NodeProcess.call(process.loop(), node::prepareShutdown) && System.nanoTime() < until) {
            TimeUnit.MILLISECONDS.sleep(SHUTDOWN_POLL_MILLIS);
        }
        NodeProcess.run(process.loop(), node::close);
        node.awaitClosed(DISK_CLOSE_TIMEOUT_MILLIS);
    }
}
