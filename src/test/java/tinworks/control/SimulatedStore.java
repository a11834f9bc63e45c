package tinworks.control;

import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.h2.mvstore.MVStoreException;
import tinworks.raft.Entry;
import tinworks.raft.HardState;
import tinworks.raft.Output;
import tinworks.raft.PersistentState;
import tinworks.raft.Snapshot;
import tinworks.store.CoreStore;
import tinworks.store.SimulatedDisk;
import tinworks.store.StoreDirectory;

/** The persistent storage of a simulated core node. */
interface SimulatedStore {
    /** The member id and the persistent Raft state found at a start. */
    record OpenedStore(long id, PersistentState stored) {}

    /**
     * Opens the store as {@link Core} does at its start; an empty disk gets {@code newId}. Returns null where the disk
     * rejects writes.
     */
    OpenedStore open(String address, boolean bootstrap, List<String> seeds, long newId);

    /** Writes and syncs; returns false where the disk rejects writes. */
    boolean write(Output output);

    /** Handles the end of the process: the write in progress, null for none, may be applied in part. */
    void processKilled(Output writeInProgress);

    /** Handles a power loss: the write in progress, null for none, may be applied in part. */
    void powerLost(Output writeInProgress);

    /** Erases the disk. */
    void wipe();

    /** Sets whether the disk rejects all writes. */
    void setFull(boolean full);

    /** A fast store in memory: synced outputs are kept, and a write in progress is applied as a whole or not at all. */
    final class InMemory implements SimulatedStore {
        private final SplittableRandom random;
        private long id;
        private PersistentState stored = PersistentState.EMPTY;
        private boolean full;

        InMemory(long seed) {
            random = new SplittableRandom(seed);
        }

        @Override
        public OpenedStore open(String address, boolean bootstrap, List<String> seeds, long newId) {
            if (id == 0 && full) {
                return null;
            }
            if (id == 0) {
                boolean bootstraps = bootstrap && seeds.contains(address);
                id = bootstraps ? Core.bootstrapId(address) : newId;
                stored = new PersistentState(
                        HardState.NONE, bootstraps ? Core.bootstrapVoters(seeds) : Snapshot.NONE, List.of());
            }
            return new OpenedStore(id, stored);
        }

        @Override
        public boolean write(Output output) {
            if (!full) {
                stored = written(stored, output);
            }
            return !full;
        }

        @Override
        public void processKilled(Output writeInProgress) {
            if (writeInProgress != null && !full && random.nextBoolean()) {
                stored = written(stored, writeInProgress);
            }
        }

        @Override
        public void powerLost(Output writeInProgress) {
            processKilled(writeInProgress);
        }

        @Override
        public void wipe() {
            id = 0;
            stored = PersistentState.EMPTY;
        }

        @Override
        public void setFull(boolean full) {
            this.full = full;
        }

        private static PersistentState written(PersistentState before, Output output) {
            HardState hardState = output.hardState() != null ? output.hardState() : before.hardState();
            Snapshot snapshot = output.snapshot() != null ? output.snapshot() : before.snapshot();
            List<Entry> entries = new ArrayList<>(before.entries());
            entries.removeIf(e ->
                    e.index() <= snapshot.index() || (output.truncateFrom() > 0 && e.index() >= output.truncateFrom()));
            entries.addAll(output.entries());
            return new PersistentState(hardState, snapshot, entries);
        }
    }

    /** The production store on a simulated disk. */
    final class OnDisk implements SimulatedStore {
        private static final int MAX_OPERATIONS = 12;

        private final SplittableRandom random;
        private final SimulatedDisk disk;
        private final boolean directorySyncs;
        private CoreStore store;
        private boolean full;

        /** Creates a store; without syncs of the directory it is defective on purpose. */
        OnDisk(long seed, boolean directorySyncs) {
            random = new SplittableRandom(seed);
            disk = new SimulatedDisk(seed);
            this.directorySyncs = directorySyncs;
        }

        @Override
        public OpenedStore open(String address, boolean bootstrap, List<String> seeds, long newId) {
            try {
                store = Core.open(directorySyncs ? disk.directory() : unsynced(disk.directory()));
                long id = Core.identity(store, address, bootstrap, seeds, newId);
                return new OpenedStore(id, store.load());
            } catch (IOException | CoreStore.CorruptStoreException | IllegalStateException e) {
                if (!full) {
                    throw new IllegalStateException("cannot open the store of " + address, e);
                }
                return null;
            }
        }

        @Override
        public boolean write(Output output) {
            try {
                store.write(output);
                return true;
            } catch (MVStoreException | IllegalStateException e) {
                reopen();
                return false;
            }
        }

        private void reopen() {
            try {
                store.reopen();
            } catch (CoreStore.CorruptStoreException e) {
                // The next write tries again, as the production disk thread does.
            }
        }

        @Override
        public void processKilled(Output writeInProgress) {
            writePartially(writeInProgress);
            disk.crash();
        }

        @Override
        public void powerLost(Output writeInProgress) {
            writePartially(writeInProgress);
            disk.powerLoss();
        }

        private void writePartially(Output writeInProgress) {
            if (writeInProgress != null) {
                disk.failAfter(random.nextInt(MAX_OPERATIONS));
                try {
                    store.write(writeInProgress);
                } catch (MVStoreException | IllegalStateException e) {
                    // The crash interrupts the write.
                }
            }
        }

        @Override
        public void wipe() {
            disk.wipe();
        }

        @Override
        public void setFull(boolean full) {
            this.full = full;
            disk.setFull(full);
        }

        /** Wraps a directory so that its syncs do nothing. */
        private static StoreDirectory unsynced(StoreDirectory directory) {
            return (StoreDirectory) Proxy.newProxyInstance(
                    StoreDirectory.class.getClassLoader(),
                    new Class<?>[] {StoreDirectory.class},
                    (proxy, method, arguments) -> {
                        try {
                            return method.getName().equals("sync") ? null : method.invoke(directory, arguments);
                        } catch (InvocationTargetException e) {
                            throw e.getCause();
                        }
                    });
        }
    }
}
