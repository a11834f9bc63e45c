package tinworks.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tinworks.raft.Entry;
import tinworks.raft.HardState;
import tinworks.raft.Member;
import tinworks.raft.Output;
import tinworks.raft.PersistentState;
import tinworks.raft.Snapshot;

/** A core node's stored state survives restarts, and unreadable stores are reported as such. */
class CoreStoreTest {
    @TempDir
    private Path tempDirectory;

    private static Entry entry(long index, long term) {
        return new Entry(index, term, Entry.Kind.COMMAND, new byte[] {(byte) index, 7});
    }

    private static Output output(HardState hard, Snapshot snapshot, long truncateFrom, Entry... entries) {
        return new Output(1, hard, snapshot, truncateFrom, List.of(entries), 0, List.of(), null, List.of(), List.of());
    }

    @Test
    void writtenStateSurvivesAKilledProcess() throws Exception {
        Snapshot first = new Snapshot(0, 0, List.of(new Member(3, "10.0.0.1:7")), new byte[0]);
        CoreStore store = CoreStore.open(tempDirectory);
        store.initialize(42, HardState.NONE, first);
        store.write(output(new HardState(2, 3), null, 1, entry(1, 1), entry(2, 1), entry(3, 1)));
        store.write(output(null, null, 2, entry(2, 2)));
        // Not closed, as when the process is killed.
        CoreStore reopened = CoreStore.open(Files.createDirectories(copy("killed")));
        assertEquals(42, reopened.identity());
        PersistentState stored = reopened.load();
        assertEquals(new HardState(2, 3), stored.hardState());
        assertEquals(first.members(), stored.snapshot().members());
        assertEquals(List.of(entry(1, 1), entry(2, 2)), stored.entries());
        reopened.write(output(null, new Snapshot(1, 1, first.members(), new byte[] {9}), 0));
        assertEquals(List.of(entry(2, 2)), reopened.load().entries());
        assertEquals(1, reopened.load().snapshot().index());
        reopened.close();
        store.close();
    }

    private Path copy(String name) throws IOException {
        Path copy = Files.createDirectories(tempDirectory.resolve(name));
        Files.copy(tempDirectory.resolve("state.mv"), copy.resolve("state.mv"));
        return copy;
    }

    /**
     * After a power loss, writes since the last sync may be torn, and everything synced before must be intact. A
     * chunk's footer is written after the rest of the chunk is synced, so either part of the chunk or of its footer is
     * missing.
     */
    @Test
    void tornWritesAfterTheLastSyncKeepSyncedState() throws Exception {
        CoreStore store = CoreStore.open(tempDirectory);
        store.initialize(42, HardState.NONE, Snapshot.NONE);
        store.write(output(new HardState(1, 1), null, 1, entry(1, 1)));
        byte[] synced = Files.readAllBytes(tempDirectory.resolve("state.mv"));
        store.write(output(
                new HardState(2, 2), null, 2, entry(2, 2), new Entry(3, 2, Entry.Kind.COMMAND, new byte[9_000])));
        byte[] later = Files.readAllBytes(tempDirectory.resolve("state.mv"));
        assertArrayEquals(synced, Arrays.copyOf(later, synced.length), "synced bytes were overwritten");
        SplittableRandom random = new SplittableRandom(5);
        for (int round = 0; round < 60; round++) {
            byte[] torn = Arrays.copyOf(later, later.length);
            if (round % 2 == 0) {
                int footer = later.length - 1 - random.nextInt(128);
                Arrays.fill(torn, footer, later.length, (byte) 0);
            } else {
                Arrays.fill(torn, later.length - 128, later.length, (byte) 0);
                for (int at = synced.length; at < later.length; at += 512) {
                    if (random.nextBoolean()) {
                        Arrays.fill(torn, at, at + 512, (byte) 0);
                    }
                }
            }
            Path directory = Files.createDirectories(tempDirectory.resolve("torn" + round));
            Files.write(directory.resolve("state.mv"), torn);
            CoreStore opened = CoreStore.open(directory);
            assertEquals(42, opened.identity());
            assertTrue(opened.load().entries().contains(entry(1, 1)), "the synced entry is lost in round " + round);
            opened.close();
        }
        store.close();
    }

    @Test
    void corruptStoreIsQuarantinedUnderADatedName() throws Exception {
        Files.write(tempDirectory.resolve("state.mv"), new byte[20_000]);
        assertThrows(CoreStore.CorruptStoreException.class, () -> CoreStore.open(tempDirectory));
        assertEquals(
                "damaged-20260102-030405.mv",
                CoreStore.quarantine(new DiskStoreDirectory(tempDirectory), "20260102-030405"));
        assertTrue(Files.exists(tempDirectory.resolve("damaged-20260102-030405.mv")));
        CoreStore fresh = CoreStore.open(tempDirectory);
        assertEquals(0, fresh.identity());
        fresh.close();
    }

    @Test
    void missingDirectoriesAreCreatedAndAnUnreadableOneFails() throws Exception {
        Path directory = tempDirectory.resolve("a").resolve("b");
        CoreStore store = CoreStore.open(directory);
        assertTrue(store.isPristine());
        assertEquals(PersistentState.EMPTY, store.load());
        store.initialize(7, HardState.NONE, Snapshot.NONE);
        store.close();
        CoreStore reopened = CoreStore.open(directory);
        assertEquals(7, reopened.identity());
        reopened.close();
        Path file = Files.write(tempDirectory.resolve("file"), new byte[1]);
        assertThrows(IOException.class, () -> CoreStore.open(file));
    }

    @Test
    void storeOpenInAnotherProcessIsNotCorrupt() throws Exception {
        CoreStore store = CoreStore.open(tempDirectory);
        store.initialize(7, HardState.NONE, Snapshot.NONE);
        assertThrows(IOException.class, () -> CoreStore.open(tempDirectory));
        store.close();
        CoreStore reopened = CoreStore.open(tempDirectory);
        assertEquals(7, reopened.identity());
        reopened.close();
    }
}
