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

/** A store written on a thread of its own, so that a disk that stalls holds up nothing else. */
final class DiskThread implements Disk {
    private static final long RETRY_MILLIS = 200;

    private final Executor callbackExecutor;
    private final CoreStore store;
    private final Consumer<String> log;
    private final ExecutorService thread = Executors.newSingleThreadExecutor(work -> new Thread(work, "disk"));
    private volatile boolean closed;

    /** What is done is told on the owner's thread, and so are lines for the operators. */
    DiskThread(Executor owner, CoreStore store, Consumer<String> log) {
        this.callbackExecutor = owner;
        this.store = store;
        this.log = log;
    }

    @Override
    public void write(Output output, Runnable done) {
        thread.execute(() -> writeSynced(output, done));
    }

    /** Guards against a disk that is full or fails for a while: nothing is said of what isn't on it. */
    private void writeSynced(Output output, Runnable done) {
        boolean complained = false;
        while (!closed) {
            try {
                store.write(output);
                callbackExecutor.execute(done);
                return;
            } catch (MVStoreException | IllegalStateException e) {
                Error fatal = Fatal.findError(e);
                if (fatal != null) {
                    // No full disk: the store tells of a full heap in the same words. Nobody catches it, and the
                    // process ends.
                    throw fatal;
                }
                if (!complained) {
                    complained = true;
                    report("the disk doesn't take the log, trying again: " + e.getMessage());
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
            report("the store can't be opened again yet: " + e.getMessage());
        }
    }

    private void report(String line) {
        callbackExecutor.execute(() -> log.accept(line));
    }

    /** Ends the thread once what it has begun is written, and closes the store. */
    void close() {
        closed = true;
        thread.execute(store::close);
        thread.shutdown();
    }

    /** Waits for the thread's end; not on the owner's. */
    boolean awaitClosed(long millis) throws InterruptedException {
        return thread.awaitTermination(millis, TimeUnit.MILLISECONDS);
    }
}
