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

/** Disk use and opening time of a store on a real disk stay bounded after many changes of a large configuration. */
class DiskUseTest {
    private static final int WRITES = 200;
    private static final int BODY_BYTES = 204_000;
    private static final int MAX_LOG_ENTRIES = 20;
    private static final long MAX_DISK_BYTES = 40 << 20;
    private static final long MAX_OPEN_MILLIS = 2_000;

    @TempDir
    private Path directory;

    /** The measurements of one run. */
    private record Measurements(
            long maxBytes, long finalBytes, long slowestWriteMillis, long openMillis, PersistentState loaded) {}

    private static Measurements run(Path directory, int writes, int bodyBytes, int maxLogEntries)
            throws IOException, CoreStore.CorruptStoreException {
        CoreStore store = CoreStore.open(directory);
        store.initialize(1, HardState.NONE, Snapshot.NONE);
        List<Entry> entries = new ArrayList<>();
        long maxBytes = 0;
        long slowest = 0;
        for (int i = 1; i <= writes; i++) {
            byte[] body = new byte[bodyBytes];
            body[i % bodyBytes] = (byte) i;
            Entry entry = new Entry(i, 1, Entry.Kind.COMMAND, body);
            entries.add(entry);
            long startedNanos = System.nanoTime();
            store.write(output(null, i, List.of(entry)));
            if (entries.size() > maxLogEntries) {
                store.write(output(new Snapshot(i, 1, List.of(), body), 0, List.of()));
                entries.clear();
            }
            slowest = Math.max(slowest, System.nanoTime() - startedNanos);
            maxBytes = Math.max(maxBytes, directoryBytes(directory));
        }
        store.close();
        long startedNanos = System.nanoTime();
        CoreStore reopened = CoreStore.open(directory);
        long opening = System.nanoTime() - startedNanos;
        PersistentState loaded = reopened.load();
        reopened.close();
        assertEquals(entries, loaded.entries());
        return new Measurements(maxBytes, directoryBytes(directory), slowest / 1_000_000, opening / 1_000_000, loaded);
    }

    private static Output output(Snapshot snapshot, long from, List<Entry> entries) {
        return new Output(1, null, snapshot, from, entries, from, List.of(), null, List.of(), List.of());
    }

    private static long directoryBytes(Path directory) throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            long bytes = 0;
            for (Path file : files.toList()) {
                bytes += Files.size(file);
            }
            return bytes;
        }
    }

    @Test
    void diskUseAndOpenTimeStayBounded() throws Exception {
        Measurements measured = run(directory, WRITES, BODY_BYTES, MAX_LOG_ENTRIES);
        assertTrue(measured.maxBytes < MAX_DISK_BYTES, measured.maxBytes + " bytes at peak");
        assertTrue(measured.openMillis < MAX_OPEN_MILLIS, measured.openMillis + " ms to open");
        assertEquals(
                WRITES / (MAX_LOG_ENTRIES + 1) * (MAX_LOG_ENTRIES + 1),
                measured.loaded.snapshot().index());
    }

    /** Measures by hand. Arguments: directory, writes, bytes of each, log entries before a snapshot. */
    public static void main(String[] args) throws Exception {
        Measurements measured =
                run(Path.of(args[0]), Integer.parseInt(args[1]), Integer.parseInt(args[2]), Integer.parseInt(args[3]));
        System.out.printf(
                "at most %d MB, finally %d MB, slowest write %d ms, opening %d ms%n",
                measured.maxBytes >> 20, measured.finalBytes >> 20, measured.slowestWriteMillis, measured.openMillis);
    }
}
