package tinworks.logging;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.slf4j.LoggerFactory;

/** A process that can't go on ends. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class FatalTest {
    /** A process that has installed the handler and then fails on another thread, while its first waits for good. */
    static final class Failing {
        private Failing() {}

        public static void main(String[] args) throws InterruptedException {
            Fatal.install();
            if (args[0].equals("refused")) {
                Thread late = new Thread(() -> {
                    throw new RejectedExecutionException("the event loop has ended");
                });
                late.start();
                late.join();
                System.exit(IN_ORDER);
            }
            if (args[0].equals("unread")) {
                for (int i = 0; i < UNREAD_LINES; i++) {
                    LoggerFactory.getLogger(Failing.class).warn("line {} of more than a pipe holds", i);
                }
            }
            Thread thread = new Thread(args[0].equals("heap") ? Failing::fillHeap : () -> overflowStack(0));
            thread.start();
            TimeUnit.SECONDS.sleep(50);
        }

        private static final List<byte[]> RETAINED = new ArrayList<>();

        private static void fillHeap() {
            while (true) {
                RETAINED.add(new byte[1 << 20]);
            }
        }

        private static void overflowStack(int depth) {
            try {
                if (depth < Integer.MAX_VALUE) {
                    overflowStack(depth + 1);
                }
            } catch (StackOverflowError e) {
                Fatal.reportIfFatal(new IllegalStateException("as a library tells it", e));
            }
        }
    }

    private static final int IN_ORDER = 5;
    private static final int UNREAD_LINES = 20_000;

    private static Process failing(String how) throws IOException {
        return new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx16m",
                        "-Xss256k",
                        "-cp",
                        System.getProperty("java.class.path"),
                        Failing.class.getName(),
                        how)
                .redirectErrorStream(true)
                .start();
    }

    private static String said(String how) throws IOException, InterruptedException {
        Process process = failing(how);
        String said = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(how.equals("refused") ? IN_ORDER : Fatal.EXIT_CODE, process.waitFor(), said);
        return said;
    }

    @Test
    void aFullHeapOrStackEndsTheProcessWithALineAndACodeOfItsOwn() throws IOException, InterruptedException {
        assertTrue(said("heap").contains("OutOfMemoryError"));
        assertTrue(said("stack").contains("StackOverflowError"));
        assertEquals("", said("refused"), "work that came after the event loop's end");
    }

    /** Whose log nobody reads ends all the same: it could wait in the writing of its last line for good. */
    @Test
    void aReaderOfTheLogWhoHasStoppedKeepsNoProcessFromItsEnd() throws IOException, InterruptedException {
        Process process = failing("unread");
        try {
            assertTrue(process.waitFor(20, TimeUnit.SECONDS), "it waits for the reader");
            assertEquals(Fatal.EXIT_CODE, process.exitValue());
        } finally {
            process.destroyForcibly();
        }
    }

    @Test
    void anErrorIsFoundBelowWhatALibraryMadeOfIt() {
        OutOfMemoryError error = new OutOfMemoryError("test");
        assertSame(error, Fatal.findError(error));
        assertSame(error, Fatal.findError(new IllegalStateException(new IOException(error))));
        assertNull(Fatal.findError(new IllegalStateException(new IOException("disk full"))));
        Fatal.reportIfFatal(new IOException("nothing happens"));
    }
}
