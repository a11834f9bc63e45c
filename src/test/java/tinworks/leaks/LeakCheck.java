package tinworks.leaks;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.ByteBufAllocator;
import java.lang.ref.WeakReference;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.extension.AfterAllCallback;
import org.junit.jupiter.api.extension.BeforeAllCallback;
import org.junit.jupiter.api.extension.ExtensionContext;

/**
 * Fails a test class after whose tests a Netty buffer was garbage-collected without being released. It is registered
 * for all test classes under {@code META-INF/services}. Where classes run concurrently, the buffer may belong to
 * another class; the report lists its accesses.
 */
public final class LeakCheck implements BeforeAllCallback, AfterAllCallback {
    private static final BufferLeaks LEAKS = BufferLeaks.watch();
    private static final int COLLECTIONS = 2;
    private static final long COLLECTION_MILLIS = 1_000;

    @Override
    public void beforeAll(ExtensionContext context) {
        // The detector is installed when this class is loaded.
    }

    @Override
    public void afterAll(ExtensionContext context) throws InterruptedException {
        assertEquals(
                List.of(),
                collectReports(),
                "buffers leaked in " + context.getDisplayName() + " or in a class that ran at the same time");
    }

    /** Runs garbage collections and returns the leak reports since the last call. */
    static synchronized List<String> collectReports() throws InterruptedException {
        for (int i = 0; i < COLLECTIONS; i++) {
            collect();
            // The detector checks for leaked buffers whenever a buffer is allocated.
            ByteBufAllocator.DEFAULT.buffer(1).release();
        }
        return LEAKS.take();
    }

    private static void collect() throws InterruptedException {
        WeakReference<Object> probe = new WeakReference<>(new Object());
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(COLLECTION_MILLIS);
        while (probe.get() != null && System.nanoTime() < until) {
            System.gc();
        }
        TimeUnit.MILLISECONDS.sleep(1);
    }
}
