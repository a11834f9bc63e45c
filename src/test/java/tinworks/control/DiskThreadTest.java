package tinworks.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.AbstractList;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import tinworks.raft.Entry;
import tinworks.raft.HardState;
import tinworks.raft.Output;
import tinworks.raft.Snapshot;
import tinworks.store.CoreStore;

/** Errors and retries of {@link DiskThread}: a full disk is retried, a fatal error is not. */
@Timeout(value = 30, unit = TimeUnit.SECONDS)
class DiskThreadTest {
    @TempDir
    private Path folder;

    private final BlockingQueue<Throwable> uncaught = new LinkedBlockingQueue<>();
    private final List<String> lines = Collections.synchronizedList(new ArrayList<>());
    private final BlockingQueue<String> written = new LinkedBlockingQueue<>();
    private Thread.UncaughtExceptionHandler previousHandler;
    private DiskThread disk;

    @BeforeEach
    void start() throws Exception {
        previousHandler = Thread.getDefaultUncaughtExceptionHandler();
        Thread.setDefaultUncaughtExceptionHandler((thread, thrown) -> uncaught.add(thrown));
        CoreStore store = CoreStore.open(folder);
        store.initialize(1, HardState.NONE, Snapshot.NONE);
        disk = new DiskThread(Runnable::run, store, lines::add);
    }

    @AfterEach
    void stop() throws InterruptedException {
        disk.close();
        assertTrue(disk.awaitClosed(5_000));
        Thread.setDefaultUncaughtExceptionHandler(previousHandler);
    }

    /** An output that calls the supplier, which may throw, whenever its first entry is read. */
    private static Output failing(Supplier<Entry> entry) {
        return new Output(
                1,
                null,
                null,
                1,
                new AbstractList<>() {
                    @Override
                    public Entry get(int index) {
                        return entry.get();
                    }

                    @Override
                    public int size() {
                        return 1;
                    }
                },
                1,
                List.of(),
                null,
                List.of(),
                List.of());
    }

    @Test
    void anErrorIsNotRetriedWhetherBareOrWrapped() throws Exception {
        disk.write(
                failing(() -> {
                    throw new OutOfMemoryError("bare");
                }),
                () -> written.add("never"));
        assertEquals(
                "bare",
                assertInstanceOf(OutOfMemoryError.class, uncaught.poll(10, TimeUnit.SECONDS))
                        .getMessage());
        disk.write(
                failing(() -> {
                    throw new IllegalStateException("as the store reports it", new OutOfMemoryError("wrapped"));
                }),
                () -> written.add("never"));
        assertEquals(
                "wrapped",
                assertInstanceOf(OutOfMemoryError.class, uncaught.poll(10, TimeUnit.SECONDS))
                        .getMessage());
        assertEquals(List.of(), lines, "nothing is retried");
        assertTrue(written.isEmpty());
    }

    @Test
    void aWriteThatFailsOnceIsRetried() throws Exception {
        int[] reads = {0};
        disk.write(
                failing(() -> {
                    if (++reads[0] == 1) {
                        throw new IllegalStateException("disk full");
                    }
                    return new Entry(1, 1, Entry.Kind.NO_OP, new byte[0]);
                }),
                () -> written.add("written"));
        assertEquals("written", written.poll(10, TimeUnit.SECONDS));
        assertEquals(1, lines.size());
        assertTrue(uncaught.isEmpty());
    }
}
