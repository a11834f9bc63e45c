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

/** The disk of a simulated core machine, and what a start of the process finds on it. */
interface SimulatedStore {
    /** Who the machine is, and what it has agreed to. */
    record Found(long id, PersistentState stored) {}

    /**
     * What {@link Core} does first; {@code newId} is for a machine whose disk is empty. Null where the disk takes
     * nothing now.
     */
    Found open(String address, boolean bootstrap, List<String> seeds, long newId);

    /** Writes and syncs; false where the disk takes nothing now. */
    boolean write(Output output);

    /** The process is gone; a write that it was at, or null, is done to some part. */
    void killed(Output midway);

    /** Power is gone; of a write that was going on, or null, some part may be there. */
    void powerLost(Output midway);

    /** The machine comes back with an empty disk. */
    void wipe();

    /** From now on the disk takes nothing, or takes all again. */
    void full(boolean full);

    /**
     * A fast one: whole outputs in memory, where what is synced is kept and the write that was going on is or isn't.
     */
    final class Memory implements SimulatedStore {
        private final SplittableRandom random;
        private long id;
        private PersistentState stored = PersistentState.EMPTY;
        private boolean full;

        Memory(long seed) {
            random = new SplittableRandom(seed);
        }

        @Override
        public Found open(String address, boolean bootstrap, List<String> seeds, long newId) {
            if (id == 0 && full) {
                return null;
            }
            if (id == 0) {
                boolean first = bootstrap && seeds.contains(address);
                id = first ? Core.bootstrapId(address) : newId;
                stored = new PersistentState(
                        HardState.NONE, first ? Core.bootstrapVoters(seeds) : Snapshot.NONE, List.of());
            }
            return new Found(id, stored);
        }

        @Override
        public boolean write(Output output) {
            if (!full) {
                stored = written(stored, output);
            }
            return !full;
        }

        @Override
        public void killed(Output midway) {
            if (midway != null && !full && random.nextBoolean()) {
                stored = written(stored, midway);
            }
        }

        @Override
        public void powerLost(Output midway) {
            killed(midway);
        }

        @Override
        public void wipe() {
            id = 0;
            stored = PersistentState.EMPTY;
        }

        @Override
        public void full(boolean nowFull) {
            full = nowFull;
        }

        private static PersistentState written(PersistentState before, Output output) {
            HardState hard = output.hardState() != null ? output.hardState() : before.hardState();
            Snapshot snapshot = output.snapshot() != null ? output.snapshot() : before.snapshot();
            List<Entry> entries = new ArrayList<>(before.entries());
            entries.removeIf(e ->
                    e.index() <= snapshot.index() || (output.truncateFrom() > 0 && e.index() >= output.truncateFrom()));
            entries.addAll(output.entries());
            return new PersistentState(hard, snapshot, entries);
        }
    }

    /** The production store on a simulated disk. */
    final class Files implements SimulatedStore {
        private static final int MOST_OPERATIONS = 12;

        private final SplittableRandom random;
        private final SimulatedDisk disk;
        private final boolean folderSyncs;
        private CoreStore store;
        private boolean full;

        /** Without the folder's syncs it is broken on purpose. */
        Files(long seed, boolean folderSyncs) {
            random = new SplittableRandom(seed);
            disk = new SimulatedDisk(seed);
            this.folderSyncs = folderSyncs;
        }

        @Override
        public Found open(String address, boolean bootstrap, List<String> seeds, long newId) {
            try {
                store = Core.open(folderSyncs ? disk.directory() : unsynced(disk.directory()));
                long id = Core.identity(store, address, bootstrap, seeds, newId);
                return new Found(id, store.load());
            } catch (IOException | CoreStore.CorruptStoreException | IllegalStateException e) {
                if (!full) {
                    throw new IllegalStateException("the store at " + address + " can't be opened", e);
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
                // Tried again with the next write, as the production thread does.
            }
        }

        @Override
        public void killed(Output midway) {
            part(midway);
            disk.crash();
        }

        @Override
        public void powerLost(Output midway) {
            part(midway);
            disk.powerLoss();
        }

        private void part(Output midway) {
            if (midway != null) {
                disk.failAfter(random.nextInt(MOST_OPERATIONS));
                try {
                    store.write(midway);
                } catch (MVStoreException | IllegalStateException e) {
                    // The process or the power is gone in the middle of it.
                }
            }
        }

        @Override
        public void wipe() {
            disk.wipe();
        }

        @Override
        public void full(boolean nowFull) {
            full = nowFull;
            disk.setFull(nowFull);
        }

        /** The folder, but its syncs do nothing. */
        private static StoreDirectory unsynced(StoreDirectory folder) {
            return (StoreDirectory) Proxy.newProxyInstance(
                    StoreDirectory.class.getClassLoader(),
                    new Class<?>[] {StoreDirectory.class},
                    (proxy, method, arguments) -> {
                        try {
                            return method.getName().equals("sync") ? null : method.invoke(folder, arguments);
                        } catch (InvocationTargetException e) {
                            throw e.getCause();
                        }
                    });
        }
    }
}
