package tinworks.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.h2.mvstore.MVStoreException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import tinworks.raft.Entry;
import tinworks.raft.HardState;
import tinworks.raft.Member;
import tinworks.raft.Output;
import tinworks.raft.PersistentState;
import tinworks.raft.Snapshot;

/** Acknowledged writes survive power losses, process kills and rejected writes at any operation of the disk. */
class CrashRecoveryTest {
    private static final long ID = 42;
    private static final int WRITES = 14;
    /** So small that the file is rewritten within a few writes. */
    private static final long REWRITE_SLACK_BYTES = 60_000;

    private static final Snapshot INITIAL_SNAPSHOT =
            new Snapshot(0, 0, List.of(new Member(ID, "10.0.0.1:7")), new byte[0]);

    /** A node that issues random writes and tracks which states its disk may hold after a restart. */
    private static final class CrashingNode {
        private final SplittableRandom random;
        private final SimulatedDisk disk;
        /** The expected state after each write. */
        private final List<PersistentState> states = new ArrayList<>();

        private CoreStore store;
        private int synced;

        CrashingNode(long seed) {
            random = new SplittableRandom(seed);
            disk = new SimulatedDisk(seed);
        }

        /** Opens the store and initializes it if it is empty; false if the disk failed. */
        boolean start() throws CoreStore.CorruptStoreException {
            states.clear();
            states.add(new PersistentState(HardState.NONE, INITIAL_SNAPSHOT, List.of()));
            try {
                store = CoreStore.open(disk.directory(), REWRITE_SLACK_BYTES);
                if (store.identity() == 0) {
                    store.initialize(ID, HardState.NONE, INITIAL_SNAPSHOT);
                }
                synced = 0;
                return true;
            } catch (MVStoreException | IllegalStateException | IOException e) {
                return false;
            }
        }

        boolean write(int count) {
            for (int i = 0; i < count; i++) {
                Output output = randomOutput(states.get(states.size() - 1));
                states.add(stateAfter(states.get(states.size() - 1), output));
                try {
                    store.write(output);
                    synced = states.size() - 1;
                } catch (MVStoreException | IllegalStateException e) {
                    return false;
                }
            }
            return true;
        }

        private Output randomOutput(PersistentState now) {
            List<Entry> entries = now.entries();
            long last = now.snapshot().index() + entries.size();
            HardState hardState =
                    random.nextInt(3) == 0 ? new HardState(now.hardState().term() + 1, random.nextInt(9)) : null;
            if (entries.size() > 3 && random.nextInt(3) == 0) {
                Entry upTo = entries.get(random.nextInt(entries.size()));
                Snapshot snapshot = new Snapshot(upTo.index(), upTo.term(), INITIAL_SNAPSHOT.members(), randomBytes());
                return new Output(1, hardState, snapshot, 0, List.of(), last, List.of(), null, List.of(), List.of());
            }
            long from = entries.isEmpty() || random.nextInt(4) > 0
                    ? last + 1
                    : entries.get(entries.size() - 1).index();
            List<Entry> more = new ArrayList<>();
            for (int i = 0; i <= random.nextInt(2); i++) {
                more.add(new Entry(from + i, 1 + states.size(), Entry.Kind.COMMAND, randomBytes()));
            }
            return new Output(
                    1, hardState, null, from, more, from + more.size() - 1, List.of(), null, List.of(), List.of());
        }

        private byte[] randomBytes() {
            byte[] bytes = new byte[random.nextInt(4) == 0 ? random.nextInt(30_000) : random.nextInt(300)];
            random.nextBytes(bytes);
            return bytes;
        }

        private static PersistentState stateAfter(PersistentState now, Output output) {
            Snapshot snapshot = output.snapshot() == null ? now.snapshot() : output.snapshot();
            List<Entry> entries = new ArrayList<>(now.entries());
            if (output.truncateFrom() > 0) {
                entries.removeIf(entry -> entry.index() >= output.truncateFrom());
                entries.addAll(output.entries());
            }
            entries.removeIf(entry -> entry.index() <= snapshot.index());
            return new PersistentState(
                    output.hardState() == null ? now.hardState() : output.hardState(), snapshot, entries);
        }

        /** Reopens the store and checks that it holds a state no older than the last acknowledged one. */
        void restartAndVerify(String when) throws IOException {
            try {
                store = CoreStore.open(disk.directory(), REWRITE_SLACK_BYTES);
                long id = store.identity();
                if (id == 0 && synced == 0 && !hasWritten()) {
                    store.initialize(ID, HardState.NONE, INITIAL_SNAPSHOT);
                    return;
                }
                assertEquals(ID, id, "identity " + when);
                PersistentState found = store.load();
                for (int i = states.size() - 1; i >= synced; i--) {
                    if (sameState(states.get(i), found)) {
                        states.subList(i + 1, states.size()).clear();
                        synced = i;
                        return;
                    }
                }
                fail("acknowledged state lost " + when + ", at " + synced + ": " + describe(states.get(synced))
                        + " but found " + describe(found));
            } catch (CoreStore.CorruptStoreException e) {
                fail("corrupt " + when, e);
            }
        }

        private boolean hasWritten() {
            return states.size() > 1;
        }
    }

    private static boolean sameState(PersistentState one, PersistentState other) {
        return one.hardState().equals(other.hardState())
                && one.entries().equals(other.entries())
                && one.snapshot().index() == other.snapshot().index()
                && one.snapshot().term() == other.snapshot().term()
                && one.snapshot().members().equals(other.snapshot().members())
                && Arrays.equals(one.snapshot().state(), other.snapshot().state());
    }

    private static String describe(PersistentState stored) {
        return stored.hardState() + " snapshot " + stored.snapshot().index() + " " + stored.entries();
    }

    /** If the directory is not synced after the rename, a power loss drops the whole initialized store. */
    @Test
    void initializedStoreSurvivesTheFirstPowerLoss() throws Exception {
        for (int seed = 0; seed < 20; seed++) {
            CrashingNode node = new CrashingNode(seed);
            assertTrue(node.start());
            assertTrue(node.write(3));
            node.disk.powerLoss();
            node.restartAndVerify("after the first power loss, seed " + seed);
        }
    }

    /** Power is lost at each operation of the disk in turn, and again after the node has restarted and gone on. */
    @Test
    void acknowledgedWritesSurvivePowerLossAtEveryOperation() throws Exception {
        for (int seed = 0; seed < 6; seed++) {
            boolean interrupted = true;
            for (int after = 0; interrupted; after++) {
                CrashingNode node = new CrashingNode(seed);
                node.disk.failAfter(after);
                interrupted = !(node.start() && node.write(WRITES));
                node.disk.powerLoss();
                String when = "after operation " + after + ", seed " + seed;
                node.restartAndVerify(when);
                node.disk.failAfter(node.random.nextInt(20));
                node.write(4);
                node.disk.powerLoss();
                node.restartAndVerify("again " + when);
            }
        }
    }

    /** A new process reads and relies on unsynced data of a killed one; a power loss must not take it away then. */
    @Test
    void stateReadAfterAKillSurvivesPowerLoss() throws Exception {
        for (int seed = 0; seed < 60; seed++) {
            CrashingNode node = new CrashingNode(seed);
            assertTrue(node.start());
            node.disk.failAfter(1 + seed % 40);
            node.write(WRITES);
            node.disk.crash();
            node.restartAndVerify("after a kill, seed " + seed);
            node.disk.powerLoss();
            node.restartAndVerify("after a kill and a power loss, seed " + seed);
        }
    }

    /** Leaving out any kind of sync loses or corrupts data, which shows that each one is necessary. */
    @ParameterizedTest
    @EnumSource(SimulatedDisk.SyncKind.class)
    void skippingAnyKindOfSyncLosesData(SimulatedDisk.SyncKind kind) {
        assertThrows(AssertionError.class, () -> {
            for (int seed = 0; seed < 4_000; seed++) {
                CrashingNode node = new CrashingNode(seed);
                node.disk.skipSyncs(Set.of(kind));
                node.disk.failAfter(20 + node.random.nextInt(40));
                if (node.start()) {
                    node.write(WRITES);
                }
                node.disk.powerLoss();
                node.restartAndVerify("without the sync of " + kind + ", seed " + seed);
            }
        });
    }

    /** The disk becomes full at each write in turn; after space is freed, the store goes on and has lost nothing. */
    @Test
    void rejectedWriteLosesNothing() throws Exception {
        for (int seed = 0; seed < 6; seed++) {
            for (int after = 0; after < 60; after++) {
                CrashingNode node = new CrashingNode(seed);
                assertTrue(node.start());
                node.disk.becomeFullAfter(after);
                boolean accepted = node.write(WRITES);
                if (!accepted) {
                    node.store.reopen();
                    node.disk.setFull(false);
                    node.store.reopen();
                    String when = "after " + after + " writes, seed " + seed;
                    node.restartAndVerify("rejected " + when);
                    assertTrue(node.write(4), when);
                }
                node.disk.powerLoss();
                node.restartAndVerify("after " + after + " writes and a power loss, seed " + seed);
            }
        }
    }

    /** MVStore wraps errors in exceptions; an exhausted heap must not pass for a full disk or a corrupt store. */
    @Test
    void errorIsRethrownUnwrappedAndLosesNothing() throws Exception {
        for (int sync = 0; sync < 4; sync++) {
            CrashingNode node = new CrashingNode(sync);
            assertTrue(node.start());
            assertTrue(node.write(3));
            int last = sync;
            int[] syncs = {0};
            node.disk.onSync(() -> {
                if (syncs[0]++ == last) {
                    throw new OutOfMemoryError("thrown by the test");
                }
            });
            assertThrows(OutOfMemoryError.class, () -> node.write(4));
            node.disk.onSync(() -> {});
            node.disk.crash();
            node.restartAndVerify("after an error at sync " + sync);
            assertTrue(node.write(1));
        }
    }
}
