package tinworks.control;

import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.h2.mvstore.MVStoreException;
import tinworks.logging.Fatal;
import tinworks.raft.Output;
import tinworks.store.CoreStore;

/** Writes the store on a dedicated thread, so that a stalled disk does not block the event loop. */
final class DiskThread implements Disk {
    private static final long RETRY_MILLIS = 200;

    private final Executor callbackExecutor;
    private final CoreStore store;
    private final Consumer<String> log;
    private final ExecutorService thread = Executors.newSingleThreadExecutor(work -> new Thread(work, "disk"));
    private volatile boolean closed;

    /** Completions and log lines are passed to {@code callbackExecutor}. */
    DiskThread(Executor callbackExecutor, CoreStore store, Consumer<String> log) {
        this.callbackExecutor = callbackExecutor;
        this.store = store;
        this.log = log;
    }

    @Override
    public void write(Output output, Runnable done) {
        thread.execute(() -> writeSynced(output, done));
    }

    /** Retries until the output is synced: a full or failing disk must never lead to acknowledging unsynced data. */
    private void writeSynced(Output output, Runnable done) {
        boolean reported = false;
        while (!closed) {
            try {
                store.write(output);
                callbackExecutor.execute(done);
                return;
            } catch (MVStoreException | IllegalStateException e) {
                Error fatal = Fatal.findError(e);
                if (fatal != null) {
                    // The disk is not full: the store wraps an OutOfMemoryError in the same exception. It stays
                    // uncaught and ends the process.
                    throw fatal;
                }
                if (!reported) {
                    reported = true;
                    report("writing the log to disk failed, retrying: " + e.getMessage());
                }
                recover();
            }
        }
    }

    private void recover() {
        try {
            TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
            store.reopen();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            closed = true;
        } catch (CoreStore.CorruptStoreException e) {
            report("reopening the store failed, retrying: " + e.getMessage());
        }
    }

    private void report(String line) {
        callbackExecutor.execute(() -> log.accept(line));
    }

    /** Closes the store after the write in progress, if any, and ends the thread. Writes still queued are dropped. */
    void close() {
        closed = true;
        thread.execute(store::close);
        thread.shutdown();
    }

    /** Waits for the thread to end. Must not be called on the callback thread. */
    boolean awaitClosed(long millis) throws InterruptedException {
        return thread.awaitTermination(millis, TimeUnit.MILLISECONDS);
    }
}
