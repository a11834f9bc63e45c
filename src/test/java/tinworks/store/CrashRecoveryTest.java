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

/** What a store has on its disk after losses of power, kills and refused writes, at every operation of the disk. */
class CrashRecoveryTest {
    private static final long ID = 42;
    private static final int WRITES = 14;
    /** So little that a file is written anew within a few writes. */
    private static final long REWRITE_SLACK_BYTES = 60_000;

    private static final Snapshot INITIAL_SNAPSHOT =
            new Snapshot(0, 0, List.of(new Member(ID, "10.0.0.1:7")), new byte[0]);

    /** A machine's days: what it was told to write, what was acknowledged, and what must be on its disk. */
    private static final class CrashingNode {
        private final SplittableRandom random;
        private final SimulatedDisk disk;
        /** What the store holds after each write. */
        private final List<PersistentState> states = new ArrayList<>();

        private CoreStore store;
        private int synced;

        CrashingNode(long seed) {
            random = new SplittableRandom(seed);
            disk = new SimulatedDisk(seed);
        }

        /** Founds the store and writes; false where the disk refused or stopped. */
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
            HardState hard =
                    random.nextInt(3) == 0 ? new HardState(now.hardState().term() + 1, random.nextInt(9)) : null;
            if (entries.size() > 3 && random.nextInt(3) == 0) {
                Entry upTo = entries.get(random.nextInt(entries.size()));
                Snapshot snapshot = new Snapshot(upTo.index(), upTo.term(), INITIAL_SNAPSHOT.members(), randomBytes());
                return new Output(1, hard, snapshot, 0, List.of(), last, List.of(), null, List.of(), List.of());
            }
            long from = entries.isEmpty() || random.nextInt(4) > 0
                    ? last + 1
                    : entries.get(entries.size() - 1).index();
            List<Entry> more = new ArrayList<>();
            for (int i = 0; i <= random.nextInt(2); i++) {
                more.add(new Entry(from + i, 1 + states.size(), Entry.Kind.COMMAND, randomBytes()));
            }
            return new Output(1, hard, null, from, more, from + more.size() - 1, List.of(), null, List.of(), List.of());
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

        /** Comes back and checks that all that was acknowledged is there, whole and in one piece. */
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
                fail("what was acknowledged is gone " + when + ", at " + synced + ": " + describe(states.get(synced))
                        + " but found " + describe(found));
            } catch (CoreStore.CorruptStoreException e) {
                fail("damaged " + when, e);
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

    /** A name that was never synced with its folder is lost by itself, and all of a founded store with it. */
    @Test
    void initializedStoreSurvivesTheFirstPowerLoss() throws Exception {
        for (int seed = 0; seed < 20; seed++) {
            CrashingNode machine = new CrashingNode(seed);
            assertTrue(machine.start());
            assertTrue(machine.write(3));
            machine.disk.powerLoss();
            machine.restartAndVerify("after the first loss of power, seed " + seed);
        }
    }

    /** Power goes at every operation of the disk in turn; the machine comes back, goes on and loses it once more. */
    @Test
    void acknowledgedWritesSurvivePowerLossAtEveryOperation() throws Exception {
        for (int seed = 0; seed < 6; seed++) {
            boolean cut = true;
            for (int after = 0; cut; after++) {
                CrashingNode machine = new CrashingNode(seed);
                machine.disk.failAfter(after);
                cut = !(machine.start() && machine.write(WRITES));
                machine.disk.powerLoss();
                String when = "after operation " + after + ", seed " + seed;
                machine.restartAndVerify(when);
                machine.disk.failAfter(machine.random.nextInt(20));
                machine.write(4);
                machine.disk.powerLoss();
                machine.restartAndVerify("again " + when);
            }
        }
    }

    /** What a killed process left unsynced is read by the next one, which acts on it: power may go right then. */
    @Test
    void stateReadAfterAKillSurvivesPowerLoss() throws Exception {
        for (int seed = 0; seed < 60; seed++) {
            CrashingNode machine = new CrashingNode(seed);
            assertTrue(machine.start());
            machine.disk.failAfter(1 + seed % 40);
            machine.write(WRITES);
            machine.disk.crash();
            machine.restartAndVerify("after a kill, seed " + seed);
            machine.disk.powerLoss();
            machine.restartAndVerify("after a kill and a loss of power, seed " + seed);
        }
    }

    /** With any kind of sync taken out something is lost or damaged: each is there for a reason. */
    @ParameterizedTest
    @EnumSource(SimulatedDisk.SyncKind.class)
    void skippingAnyKindOfSyncLosesData(SimulatedDisk.SyncKind kind) {
        assertThrows(AssertionError.class, () -> {
            for (int seed = 0; seed < 4_000; seed++) {
                CrashingNode machine = new CrashingNode(seed);
                machine.disk.skipSyncs(Set.of(kind));
                machine.disk.failAfter(20 + machine.random.nextInt(40));
                if (machine.start()) {
                    machine.write(WRITES);
                }
                machine.disk.powerLoss();
                machine.restartAndVerify("without the sync of " + kind + ", seed " + seed);
            }
        });
    }

    /** The disk is full at every operation in turn; the same write is tried again until it takes it. */
    @Test
    void rejectedWriteLosesNothing() throws Exception {
        for (int seed = 0; seed < 6; seed++) {
            for (int after = 0; after < 60; after++) {
                CrashingNode machine = new CrashingNode(seed);
                assertTrue(machine.start());
                machine.disk.becomeFullAfter(after);
                boolean all = machine.write(WRITES);
                if (!all) {
                    machine.store.reopen();
                    machine.disk.setFull(false);
                    machine.store.reopen();
                    String when = "after " + after + " writes, seed " + seed;
                    machine.restartAndVerify("refused " + when);
                    assertTrue(machine.write(4), when);
                }
                machine.disk.powerLoss();
                machine.restartAndVerify("after " + after + " writes and a loss of power, seed " + seed);
            }
        }
    }

    /** MVStore wraps what it meets; a full heap is neither a full disk nor a damaged store. */
    @Test
    void errorIsRethrownUnwrappedAndLosesNothing() throws Exception {
        for (int sync = 0; sync < 4; sync++) {
            CrashingNode machine = new CrashingNode(sync);
            assertTrue(machine.start());
            assertTrue(machine.write(3));
            int last = sync;
            int[] syncs = {0};
            machine.disk.onSync(() -> {
                if (syncs[0]++ == last) {
                    throw new OutOfMemoryError("a test's");
                }
            });
            assertThrows(OutOfMemoryError.class, () -> machine.write(4));
            machine.disk.onSync(() -> {});
            machine.disk.crash();
            machine.restartAndVerify("after an error at sync " + sync);
            assertTrue(machine.write(1));
        }
    }
}
