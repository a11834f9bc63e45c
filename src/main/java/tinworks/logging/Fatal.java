package tinworks.logging;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.RejectedExecutionException;
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

    private Fatal() {}

    /**
     * From now on what nobody has caught ends the process, on whichever thread it comes; but for work that an event
     * loop refuses since it has ended: then the process is about to end in order.
     */
    public static void install() {
        Thread.setDefaultUncaughtExceptionHandler((thread, thrown) -> {
            if (!(thrown instanceof RejectedExecutionException)) {
                end(thrown);
            }
        });
    }

    /** The error that something thrown is, or that caused it; null where it is none. */
    public static Error in(Throwable thrown) {
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
    public static void pass(Throwable thrown) {
        Error error = in(thrown);
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
            if (in(thrown) == null) {
                LoggerFactory.getLogger(Fatal.class).error("nobody has caught", thrown);
            }
            OUT.write(thrown instanceof OutOfMemoryError ? HEAP : thrown instanceof StackOverflowError ? STACK : OTHER);
        } catch (IOException e) {
            // Nobody reads what this process says.
            return;
        } finally {
            Runtime.getRuntime().halt(EXIT_CODE);
        }
    }
}
