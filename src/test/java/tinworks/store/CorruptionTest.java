package tinworks.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.h2.mvstore.type.ByteArrayDataType;
import org.h2.mvstore.type.LongDataType;
import org.h2.mvstore.type.StringDataType;
import org.junit.jupiter.api.Test;
import tinworks.raft.Entry;
import tinworks.raft.HardState;
import tinworks.raft.Output;
import tinworks.raft.PersistentState;
import tinworks.raft.Snapshot;

/** A file whose bytes were changed or lost on the disk is detected as corrupt, or read correctly. */
class CorruptionTest {
    private static final String FILE = "state.mv";
    private static final int WRITES = 16;
    private static final int ROUNDS = 3_000;
    private static final int SECTOR_BYTES = 512;
    private static final int HEADER_BYTES = 8_192;
    private static final int FOOTER_BYTES = 128;
    private static final MVMap.Builder<Long, byte[]> LOG =
            new MVMap.Builder<Long, byte[]>().keyType(LongDataType.INSTANCE).valueType(ByteArrayDataType.INSTANCE);
    private static final MVMap.Builder<String, byte[]> META =
            new MVMap.Builder<String, byte[]>().keyType(StringDataType.INSTANCE).valueType(ByteArrayDataType.INSTANCE);

    private final List<String> states = new ArrayList<>();

    private byte[] writeStore() throws Exception {
        SimulatedDisk disk = new SimulatedDisk(1);
        SplittableRandom random = new SplittableRandom(2);
        CoreStore store = CoreStore.open(disk.directory());
        store.initialize(42, HardState.NONE, Snapshot.NONE);
        states.add(describe(store.load()));
        for (int i = 1; i <= WRITES; i++) {
            byte[] body = new byte[random.nextInt(3_000)];
            random.nextBytes(body);
            Snapshot snapshot = i % 7 == 0 ? new Snapshot(i - 2, 1, List.of(), body) : null;
            store.write(new Output(
                    1,
                    new HardState(i, i),
                    snapshot,
                    i,
                    List.of(new Entry(i, i, Entry.Kind.COMMAND, body)),
                    i,
                    List.of(),
                    null,
                    List.of(),
                    List.of()));
            states.add(describe(store.load()));
        }
        return disk.read(FILE);
    }

    private static String describe(PersistentState stored) {
        return stored.hardState() + " " + stored.snapshot().index() + " "
                + Arrays.hashCode(stored.snapshot().state()) + " " + stored.entries();
    }

    /** The index of the state that a file is read as, or -1 if the corruption is detected. */
    private int readState(byte[] bytes, String how) {
        SimulatedDisk disk = new SimulatedDisk(3);
        disk.put(FILE, bytes);
        try (CoreStore store = CoreStore.open(disk.directory())) {
            assertEquals(42, store.identity(), how);
            int state = states.indexOf(describe(store.load()));
            assertTrue(state >= 0, "a state that was never written, " + how);
            return state;
        } catch (CoreStore.CorruptStoreException e) {
            return -1;
        } catch (IOException e) {
            return fail(how, e);
        }
    }

    @Test
    void bitFlipsAndZeroedSectorsAreDetectedOrHarmless() throws Exception {
        byte[] whole = writeStore();
        SplittableRandom random = new SplittableRandom(4);
        int detected = 0;
        int previousStates = 0;
        for (int round = 0; round < ROUNDS; round++) {
            byte[] bytes = whole.clone();
            int at = random.nextInt(bytes.length);
            if (round % 3 == 0) {
                Arrays.fill(
                        bytes, at / SECTOR_BYTES * SECTOR_BYTES, at / SECTOR_BYTES * SECTOR_BYTES + SECTOR_BYTES, (byte)
                                0);
            } else {
                bytes[at] ^= (byte) (1 << random.nextInt(8));
            }
            int state = readState(bytes, "round " + round + " at byte " + at);
            assertTrue(state < 0 || state >= WRITES - 1, "round " + round + " at byte " + at + ": state " + state);
            detected += state < 0 ? 1 : 0;
            previousStates += state == WRITES - 1 ? 1 : 0;
            // A lost footer cannot be distinguished from a write interrupted by a power loss.
            assertTrue(state != WRITES - 1 || at >= bytes.length - SECTOR_BYTES, "an older state at byte " + at);
        }
        assertTrue(detected > ROUNDS / 50, detected + " detected");
        assertTrue(previousStates > 0, "no round hit the last footer");
    }

    @Test
    void truncatedFileIsDetectedOrReadAsAnEarlierState() throws Exception {
        byte[] whole = writeStore();
        SplittableRandom random = new SplittableRandom(5);
        for (int round = 0; round < ROUNDS / 3; round++) {
            int length = random.nextInt(whole.length);
            readState(Arrays.copyOf(whole, length), "truncated to " + length);
        }
    }

    /** A torn footer, over zeroes or over the rest of an earlier torn write, is not corruption. */
    @Test
    void tornFooterIsReadAsTheStateBeforeOrAfter() throws Exception {
        byte[] whole = writeStore();
        for (int kept = 0; kept < FOOTER_BYTES; kept++) {
            for (byte rest : new byte[] {0, ' ', 'x', '7'}) {
                byte[] bytes = whole.clone();
                Arrays.fill(bytes, bytes.length - FOOTER_BYTES + kept, bytes.length, rest);
                int state = readState(bytes, kept + " bytes and " + rest);
                assertTrue(state >= WRITES - 1, kept + " bytes and " + rest + ": " + state);
            }
        }
    }

    /** Independent of the wall clock: only the file's header is ever overwritten. */
    @Test
    void syncedBytesAreNeverOverwritten() throws Exception {
        SimulatedDisk disk = new SimulatedDisk(6);
        CoreStore store = CoreStore.open(disk.directory());
        store.initialize(42, HardState.NONE, Snapshot.NONE);
        byte[] before = disk.read(FILE);
        for (int i = 1; i <= 300; i++) {
            Snapshot snapshot = i % 5 == 0 ? new Snapshot(i - 1, 1, List.of(), new byte[6_000]) : null;
            store.write(new Output(
                    1,
                    null,
                    snapshot,
                    i,
                    List.of(new Entry(i, 1, Entry.Kind.COMMAND, new byte[6_000])),
                    i,
                    List.of(),
                    null,
                    List.of(),
                    List.of()));
            if (i % 50 == 0) {
                store.reopen();
            }
            byte[] after = disk.read(FILE);
            assertArrayEquals(
                    Arrays.copyOfRange(before, HEADER_BYTES, before.length),
                    Arrays.copyOfRange(after, HEADER_BYTES, before.length),
                    "write " + i);
            before = after;
        }
    }

    /** Records changed outside the store are detected even if the file is valid for MVStore. */
    @Test
    void changedMissingOrStaleRecordIsDetected() throws Exception {
        List<BiConsumer<MVMap<Long, byte[]>, MVMap<String, byte[]>>> changes = List.of(
                (log, meta) -> log.put((long) WRITES, withLastByteChanged(log.get((long) WRITES))),
                (log, meta) -> log.remove((long) WRITES),
                (log, meta) -> log.put(WRITES + 1L, log.get((long) WRITES)),
                (log, meta) -> meta.remove("hard"),
                (log, meta) -> meta.remove("sum"));
        byte[] whole = writeStore();
        for (int i = 0; i < changes.size(); i++) {
            SimulatedDisk disk = new SimulatedDisk(7);
            disk.put(FILE, whole);
            MVStore store = new MVStore.Builder()
                    .fileName(OrderedFile.path(disk.directory().path(FILE)))
                    .autoCommitDisabled()
                    .open();
            store.getFileStore().setReuseSpace(false);
            changes.get(i).accept(store.openMap("log", LOG), store.openMap("meta", META));
            store.commit();
            store.closeImmediately();
            assertEquals(-1, readState(disk.read(FILE), "change " + i), "change " + i);
        }
        assertEquals(WRITES, readState(whole, "unchanged"));
    }

    private static byte[] withLastByteChanged(byte[] record) {
        byte[] changed = record.clone();
        changed[changed.length - 1]++;
        return changed;
    }
}
