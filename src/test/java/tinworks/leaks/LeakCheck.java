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
 * Fails a test class behind whose tests a buffer was collected as garbage without having been released. Applies to all
 * classes by the list of extensions under {@code META-INF/services}. Where classes run at the same time, the buffer may
 * be another class's; the report tells who touched it.
 */
public final class LeakCheck implements BeforeAllCallback, AfterAllCallback {
    private static final BufferLeaks LEAKS = BufferLeaks.watch();
    private static final int COLLECTIONS = 2;
    private static final long COLLECTION_MILLIS = 1_000;

    @Override
    public void beforeAll(ExtensionContext context) {
        // The detector is in place since this class was loaded.
    }

    @Override
    public void afterAll(ExtensionContext context) throws InterruptedException {
        assertEquals(List.of(), find(), "buffers that were lost in " + context.getDisplayName() + " or beside it");
    }

    /** Has garbage collected, and reads what was found. */
    static synchronized List<String> find() throws InterruptedException {
        for (int i = 0; i < COLLECTIONS; i++) {
            collect();
            // The detector looks for lost buffers whenever one is made.
            ByteBufAllocator.DEFAULT.buffer(1).release();
        }
        return LEAKS.take();
    }

    private static void collect() throws InterruptedException {
        WeakReference<Object> sign = new WeakReference<>(new Object());
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(COLLECTION_MILLIS);
        while (sign.get() != null && System.nanoTime() < until) {
            System.gc();
        }
        TimeUnit.MILLISECONDS.sleep(1);
    }
}
