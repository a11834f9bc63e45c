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
    private static final int ENTRIES_PER_SNAPSHOT = 20;
    private static final long MAX_DISK_BYTES = 40 << 20;
    private static final long MAX_OPEN_MILLIS = 2_000;

    @TempDir
    private Path folder;

    /** What one run came to. */
    private record Measurements(
            long maxBytes, long finalBytes, long slowestWriteMillis, long openMillis, PersistentState loaded) {}

    private static Measurements run(Path folder, int writes, int bodyBytes, int kept)
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
            most = Math.max(most, directoryBytes(folder));
        }
        store.close();
        long begun = System.nanoTime();
        CoreStore again = CoreStore.open(folder);
        long opening = System.nanoTime() - begun;
        PersistentState found = again.load();
        again.close();
        assertEquals(entries, found.entries());
        return new Measurements(most, directoryBytes(folder), slowest / 1_000_000, opening / 1_000_000, found);
    }

    private static Output output(Snapshot snapshot, long from, List<Entry> entries) {
        return new Output(1, null, snapshot, from, entries, from, List.of(), null, List.of(), List.of());
    }

    private static long directoryBytes(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            long bytes = 0;
            for (Path file : files.toList()) {
                bytes += Files.size(file);
            }
            return bytes;
        }
    }

    @Test
    void diskUseAndOpenTimeStayBounded() throws Exception {
        Measurements figures = run(folder, WRITES, BODY_BYTES, ENTRIES_PER_SNAPSHOT);
        assertTrue(figures.maxBytes < MAX_DISK_BYTES, figures.maxBytes + " bytes at most");
        assertTrue(figures.openMillis < MAX_OPEN_MILLIS, figures.openMillis + " ms to open");
        assertEquals(
                WRITES / (ENTRIES_PER_SNAPSHOT + 1) * (ENTRIES_PER_SNAPSHOT + 1),
                figures.loaded.snapshot().index());
    }

    /** By hand, for figures: folder, writes, bytes of each, entries kept before a snapshot. */
    public static void main(String[] args) throws Exception {
        Measurements figures =
                run(Path.of(args[0]), Integer.parseInt(args[1]), Integer.parseInt(args[2]), Integer.parseInt(args[3]));
        System.out.printf(
                "at most %d MB, in the end %d MB, slowest write %d ms, opening %d ms%n",
                figures.maxBytes >> 20, figures.finalBytes >> 20, figures.slowestWriteMillis, figures.openMillis);
    }
}
