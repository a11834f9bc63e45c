package tinworks.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tinworks.raft.Entry;
import tinworks.raft.HardState;
import tinworks.raft.Output;
import tinworks.raft.PersistentState;
import tinworks.raft.Snapshot;

/**
 * How much of a real disk a store takes, and how long it takes to open, after many changes of a large configuration.
 */
class DiskUseTest {
    private static final int WRITES = 200;
    private static final int BODY_BYTES = 204_000;
    private static final int KEPT = 20;
    private static final long MOST_BYTES = 40 << 20;
    private static final long SLOWEST_OPENING_MILLIS = 2_000;

    @TempDir
    private Path folder;

    /** What one run came to. */
    private record Figures(
            long mostBytes, long lastBytes, long slowestWriteMillis, long openingMillis, PersistentState found) {}

    private static Figures run(Path folder, int writes, int bodyBytes, int kept)
            throws IOException, CoreStore.CorruptStoreException {
        CoreStore store = CoreStore.open(folder);
        store.initialize(1, HardState.NONE, Snapshot.NONE);
        List<Entry> entries = new ArrayList<>();
        long most = 0;
        long slowest = 0;
        for (int i = 1; i <= writes; i++) {
            byte[] body = new byte[bodyBytes];
            body[i % bodyBytes] = (byte) i;
            Entry entry = new Entry(i, 1, Entry.Kind.COMMAND, body);
            entries.add(entry);
            long begun = System.nanoTime();
            store.write(output(null, i, List.of(entry)));
            if (entries.size() > kept) {
                store.write(output(new Snapshot(i, 1, List.of(), body), 0, List.of()));
                entries.clear();
            }
            slowest = Math.max(slowest, System.nanoTime() - begun);
            most = Math.max(most, bytes(folder));
        }
        store.close();
        long begun = System.nanoTime();
        CoreStore again = CoreStore.open(folder);
        long opening = System.nanoTime() - begun;
        PersistentState found = again.load();
        again.close();
        assertEquals(entries, found.entries());
        return new Figures(most, bytes(folder), slowest / 1_000_000, opening / 1_000_000, found);
    }

    private static Output output(Snapshot snapshot, long from, List<Entry> entries) {
        return new Output(1, null, snapshot, from, entries, from, List.of(), null, List.of(), List.of());
    }

    private static long bytes(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            long bytes = 0;
            for (Path file : files.toList()) {
                bytes += Files.size(file);
            }
            return bytes;
        }
    }

    @Test
    void diskAndOpeningStayBoundedHoweverMuchIsWritten() throws Exception {
        Figures figures = run(folder, WRITES, BODY_BYTES, KEPT);
        assertTrue(figures.mostBytes < MOST_BYTES, figures.mostBytes + " bytes at most");
        assertTrue(figures.openingMillis < SLOWEST_OPENING_MILLIS, figures.openingMillis + " ms to open");
        assertEquals(WRITES / (KEPT + 1) * (KEPT + 1), figures.found.snapshot().index());
    }

    /** By hand, for figures: folder, writes, bytes of each, entries kept before a snapshot. */
    public static void main(String[] args) throws Exception {
        Figures figures =
                run(Path.of(args[0]), Integer.parseInt(args[1]), Integer.parseInt(args[2]), Integer.parseInt(args[3]));
        System.out.printf(
                "at most %d MB, in the end %d MB, slowest write %d ms, opening %d ms%n",
                figures.mostBytes >> 20, figures.lastBytes >> 20, figures.slowestWriteMillis, figures.openingMillis);
    }
}
