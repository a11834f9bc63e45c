package tinworks.logging;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.slf4j.LoggerFactory;

/**
 * Terminates the process on a fatal error: after an exhausted heap or stack or another {@link Error} its state is
 * unknown. Restarting it is left to its supervisor.
 */
public final class Fatal {
    /** The exit code after a fatal error. */
    public static final int EXIT_CODE = 70;
    /** Encoded in advance and written unbuffered, because there may be no memory left when it is needed. */
    private static final byte[] HEAP_LINE = line("OutOfMemoryError");

    private static final byte[] STACK_LINE = line("StackOverflowError");
    private static final byte[] OTHER_LINE = line("another error");

    private static final FileOutputStream STANDARD_ERROR = new FileOutputStream(FileDescriptor.err);
    private static final int MAX_CAUSE_DEPTH = 20;
    /** Limits the time to write the last log lines, because the log reader may be stalled. */
    private static final long FINAL_FLUSH_MILLIS = 500;

    private static final CountDownLatch TERMINATING = new CountDownLatch(1);

    private Fatal() {}

    /**
     * Installs a handler that ends the process on any uncaught exception in any thread. Tasks that a terminated event
     * loop rejects are exempt: the process is then in its graceful shutdown.
     */
    public static void install() {
        startHalter();
        Thread.setDefaultUncaughtExceptionHandler((thread, thrown) -> {
            if (!(thrown instanceof RejectedExecutionException)) {
                terminate(thrown);
            }
        });
    }

    /** Halts the process even if its last log lines block. Started in advance, as memory may be exhausted later. */
    private static void startHalter() {
        Thread halter = new Thread(
                () -> {
                    try {
                        TERMINATING.await();
                        TimeUnit.MILLISECONDS.sleep(FINAL_FLUSH_MILLIS);
                        Runtime.getRuntime().halt(EXIT_CODE);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                "halter");
        halter.setDaemon(true);
        halter.start();
    }

    /** The first {@link Error} in the cause chain, the throwable itself included; null if there is none. */
    public static Error findError(Throwable thrown) {
        Throwable cause = thrown;
        for (int i = 0; cause != null && i < MAX_CAUSE_DEPTH; i++) {
            if (cause instanceof Error error) {
                return error;
            }
            cause = cause.getCause();
        }
        return null;
    }

    /**
     * To be called from catch-all handlers. An {@link Error} in the cause chain is passed to the thread's uncaught
     * exception handler, which ends the process if {@link #install} was called.
     */
    public static void reportIfFatal(Throwable thrown) {
        Error error = findError(thrown);
        if (error != null) {
            Thread thread = Thread.currentThread();
            thread.getUncaughtExceptionHandler().uncaughtException(thread, error);
        }
    }

    private static byte[] line(String error) {
        return ("{\"level\":\"ERROR\",\"part\":\"Fatal\",\"said\":\"this process can't go on and ends with code "
                        + EXIT_CODE + "\",\"thrown\":\"" + error + "\"}\n")
                .getBytes(StandardCharsets.US_ASCII);
    }

    private static void terminate(Throwable thrown) {
        try {
            TERMINATING.countDown();
            if (findError(thrown) == null) {
                LoggerFactory.getLogger(Fatal.class).error("uncaught exception", thrown);
            }
            STANDARD_ERROR.write(
                    thrown instanceof OutOfMemoryError
                            ? HEAP_LINE
                            : thrown instanceof StackOverflowError ? STACK_LINE : OTHER_LINE);
            // After the line above, because this may need memory.
            JsonLog.flush(FINAL_FLUSH_MILLIS);
        } catch (IOException e) {
            // Standard error is closed; there is nowhere left to report to.
            return;
        } finally {
            Runtime.getRuntime().halt(EXIT_CODE);
        }
    }
}
