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
 * The end of a process that can't go on: a full heap, a full stack or another {@link Error} leaves it in no state that
 * is known, and whoever started it starts it anew.
 */
public final class Fatal {
    /** The exit code of such an end. */
    public static final int EXIT_CODE = 70;
    /** Made beforehand, and written past all buffers: there may be no memory for it later. */
    private static final byte[] HEAP = line("OutOfMemoryError");

    private static final byte[] STACK = line("StackOverflowError");
    private static final byte[] OTHER = line("another error");

    private static final FileOutputStream OUT = new FileOutputStream(FileDescriptor.err);
    private static final int DEEPEST = 20;
    /** So long the last lines may take: nobody may be there to read them. */
    private static final long LAST_LINES_MILLIS = 500;

    private static final CountDownLatch ENDING = new CountDownLatch(1);

    private Fatal() {}

    /**
     * From now on what nobody has caught ends the process, on whichever thread it comes; but for work that an event
     * loop refuses since it has ended: then the process is about to end in order.
     */
    public static void install() {
        startHalter();
        Thread.setDefaultUncaughtExceptionHandler((thread, thrown) -> {
            if (!(thrown instanceof RejectedExecutionException)) {
                end(thrown);
            }
        });
    }

    /** Guards against an end that waits for a reader of the log. Started beforehand: there may be no memory later. */
    private static void startHalter() {
        Thread halter = new Thread(
                () -> {
                    try {
                        ENDING.await();
                        TimeUnit.MILLISECONDS.sleep(LAST_LINES_MILLIS);
                        Runtime.getRuntime().halt(EXIT_CODE);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                "halter");
        halter.setDaemon(true);
        halter.start();
    }

    /** The error that something thrown is, or that caused it; null where it is none. */
    public static Error findError(Throwable thrown) {
        Throwable cause = thrown;
        for (int i = 0; cause != null && i < DEEPEST; i++) {
            if (cause instanceof Error error) {
                return error;
            }
            cause = cause.getCause();
        }
        return null;
    }

    /**
     * To be called with all that is caught for want of a better place. Where it is an error, or was caused by one, it
     * goes to the thread's handler of uncaught ones, which ends the process once {@link #install} was called.
     */
    public static void reportIfFatal(Throwable thrown) {
        Error error = findError(thrown);
        if (error != null) {
            Thread thread = Thread.currentThread();
            thread.getUncaughtExceptionHandler().uncaughtException(thread, error);
        }
    }

    private static byte[] line(String what) {
        return ("{\"level\":\"ERROR\",\"part\":\"Fatal\",\"said\":\"this process can't go on and ends with code "
                        + EXIT_CODE + "\",\"thrown\":\"" + what + "\"}\n")
                .getBytes(StandardCharsets.US_ASCII);
    }

    private static void end(Throwable thrown) {
        try {
            ENDING.countDown();
            if (findError(thrown) == null) {
                LoggerFactory.getLogger(Fatal.class).error("nobody has caught", thrown);
            }
            OUT.write(thrown instanceof OutOfMemoryError ? HEAP : thrown instanceof StackOverflowError ? STACK : OTHER);
            // Behind the line above: it may want memory.
            JsonLog.flush(LAST_LINES_MILLIS);
        } catch (IOException e) {
            // Nobody reads what this process says.
            return;
        } finally {
            Runtime.getRuntime().halt(EXIT_CODE);
        }
    }
}
