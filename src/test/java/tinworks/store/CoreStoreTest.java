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

/** What a core machine keeps on its disk comes back after a restart. */
class CoreStoreTest {
    @TempDir
    private Path folder;

    private static Entry entry(long index, long term) {
        return new Entry(index, term, Entry.Kind.COMMAND, new byte[] {(byte) index, 7});
    }

    private static Output output(HardState hard, Snapshot snapshot, long cutFrom, Entry... entries) {
        return new Output(1, hard, snapshot, cutFrom, List.of(entries), 0, List.of(), null, List.of(), List.of());
    }

    @Test
    void writtenStateSurvivesAKilledProcess() throws Exception {
        Snapshot first = new Snapshot(0, 0, List.of(new Member(3, "10.0.0.1:7")), new byte[0]);
        CoreStore store = CoreStore.open(folder);
        store.initialize(42, HardState.NONE, first);
        store.write(output(new HardState(2, 3), null, 1, entry(1, 1), entry(2, 1), entry(3, 1)));
        store.write(output(null, null, 2, entry(2, 2)));
        // No close: the process is killed.
        CoreStore again = CoreStore.open(Files.createDirectories(copy("killed")));
        assertEquals(42, again.identity());
        PersistentState stored = again.load();
        assertEquals(new HardState(2, 3), stored.hardState());
        assertEquals(first.members(), stored.snapshot().members());
        assertEquals(List.of(entry(1, 1), entry(2, 2)), stored.entries());
        again.write(output(null, new Snapshot(1, 1, first.members(), new byte[] {9}), 0));
        assertEquals(List.of(entry(2, 2)), again.load().entries());
        assertEquals(1, again.load().snapshot().index());
        again.close();
        store.close();
    }

    private Path copy(String name) throws IOException {
        Path copy = Files.createDirectories(folder.resolve(name));
        Files.copy(folder.resolve("state.mv"), copy.resolve("state.mv"));
        return copy;
    }

    /**
     * After power is lost, writes since the last sync may be there in part: what was synced before must be whole. A
     * chunk's footer is written once all before it is synced, so some of the chunk is missing, or some of its footer.
     */
    @Test
    void tornWritesAfterTheLastSyncKeepSyncedState() throws Exception {
        CoreStore store = CoreStore.open(folder);
        store.initialize(42, HardState.NONE, Snapshot.NONE);
        store.write(output(new HardState(1, 1), null, 1, entry(1, 1)));
        byte[] synced = Files.readAllBytes(folder.resolve("state.mv"));
        store.write(output(
                new HardState(2, 2), null, 2, entry(2, 2), new Entry(3, 2, Entry.Kind.COMMAND, new byte[9_000])));
        byte[] later = Files.readAllBytes(folder.resolve("state.mv"));
        assertArrayEquals(synced, Arrays.copyOf(later, synced.length), "what was synced is written over");
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
            Path place = Files.createDirectories(folder.resolve("torn" + round));
            Files.write(place.resolve("state.mv"), torn);
            CoreStore opened = CoreStore.open(place);
            assertEquals(42, opened.identity());
            assertTrue(opened.load().entries().contains(entry(1, 1)), "the synced entry is gone in round " + round);
            opened.close();
        }
        store.close();
    }

    @Test
    void corruptStoreIsQuarantinedUnderADatedName() throws Exception {
        Files.write(folder.resolve("state.mv"), new byte[20_000]);
        assertThrows(CoreStore.CorruptStoreException.class, () -> CoreStore.open(folder));
        assertEquals(
                "damaged-20260102-030405.mv", CoreStore.quarantine(new DiskStoreDirectory(folder), "20260102-030405"));
        assertTrue(Files.exists(folder.resolve("damaged-20260102-030405.mv")));
        CoreStore fresh = CoreStore.open(folder);
        assertEquals(0, fresh.identity());
        fresh.close();
    }

    @Test
    void missingDirectoriesAreCreatedAndAnUnreadableOneFails() throws Exception {
        Path place = folder.resolve("a").resolve("b");
        CoreStore store = CoreStore.open(place);
        assertTrue(store.isPristine());
        assertEquals(PersistentState.EMPTY, store.load());
        store.initialize(7, HardState.NONE, Snapshot.NONE);
        store.close();
        CoreStore again = CoreStore.open(place);
        assertEquals(7, again.identity());
        again.close();
        Path file = Files.write(folder.resolve("file"), new byte[1]);
        assertThrows(IOException.class, () -> CoreStore.open(file));
    }

    @Test
    void storeOpenInAnotherProcessIsNotCorrupt() throws Exception {
        CoreStore store = CoreStore.open(folder);
        store.initialize(7, HardState.NONE, Snapshot.NONE);
        assertThrows(IOException.class, () -> CoreStore.open(folder));
        store.close();
        CoreStore again = CoreStore.open(folder);
        assertEquals(7, again.identity());
        again.close();
    }
}
