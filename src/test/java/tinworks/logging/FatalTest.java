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

/** Fatal errors terminate the process. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class FatalTest {
    /** A process that installs the handler and then fails on another thread, while its main thread sleeps. */
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
                System.exit(ORDERLY_EXIT_CODE);
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
                Fatal.reportIfFatal(new IllegalStateException("wrapped by a library", e));
            }
        }
    }

    private static final int ORDERLY_EXIT_CODE = 5;
    private static final int UNREAD_LINES = 20_000;

    private static Process startFailingProcess(String how) throws IOException {
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

    private static String outputOf(String how) throws IOException, InterruptedException {
        Process process = startFailingProcess(how);
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(how.equals("refused") ? ORDERLY_EXIT_CODE : Fatal.EXIT_CODE, process.waitFor(), output);
        return output;
    }

    @Test
    void heapOrStackExhaustionLogsALineAndExitsWithTheFatalCode() throws IOException, InterruptedException {
        assertTrue(outputOf("heap").contains("OutOfMemoryError"));
        assertTrue(outputOf("stack").contains("StackOverflowError"));
        assertEquals("", outputOf("refused"), "a task rejected by a terminated event loop");
    }

    /** The process must exit even if its log is not read: writing the last line could block forever. */
    @Test
    void exitsAlthoughTheLogReaderIsStalled() throws IOException, InterruptedException {
        Process process = startFailingProcess("unread");
        try {
            assertTrue(process.waitFor(20, TimeUnit.SECONDS), "the process is blocked by the log reader");
            assertEquals(Fatal.EXIT_CODE, process.exitValue());
        } finally {
            process.destroyForcibly();
        }
    }

    @Test
    void findsAnErrorInTheCauseChain() {
        OutOfMemoryError error = new OutOfMemoryError("test");
        assertSame(error, Fatal.findError(error));
        assertSame(error, Fatal.findError(new IllegalStateException(new IOException(error))));
        assertNull(Fatal.findError(new IllegalStateException(new IOException("disk full"))));
        Fatal.reportIfFatal(new IOException("not an error, so it is ignored"));
    }
}
