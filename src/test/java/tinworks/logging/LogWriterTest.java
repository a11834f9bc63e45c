package tinworks.logging;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Lines are queued up to a limit while the reader is stalled, and dropped lines are reported. */
@Timeout(value = 30, unit = TimeUnit.SECONDS)
class LogWriterTest {
    private final CountDownLatch reading = new CountDownLatch(1);
    private final ByteArrayOutputStream read = new ByteArrayOutputStream();
    private final LogWriter writer = new LogWriter("test log", () -> stream(), lines -> "dropped " + lines + "\n");

    private PrintStream stream() {
        try {
            reading.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return new PrintStream(read, true, StandardCharsets.UTF_8);
    }

    @Test
    void linesAboveTheQueueLimitAreDroppedCountedAndReported() {
        String line = "x".repeat(99) + "\n";
        int lines = 2 * LogWriter.MAX_QUEUED_CHARS / line.length();
        for (int i = 0; i < lines; i++) {
            writer.write(line);
        }
        long dropped = writer.dropped();
        assertTrue(dropped >= lines / 2 - 1, "dropped " + dropped + " of " + lines);
        assertFalse(writer.flush(50), "the reader is stalled");
        reading.countDown();
        assertTrue(writer.flush(10_000));
        assertEquals(
                line.repeat((int) (lines - dropped)) + "dropped " + dropped + "\n",
                read.toString(StandardCharsets.UTF_8));
    }

    @Test
    void anOverlongLineIsTruncated() {
        reading.countDown();
        writer.write("y".repeat(LogWriter.MAX_QUEUED_CHARS) + "\n");
        writer.write("next\n");
        assertTrue(writer.flush(10_000));
        assertEquals("y".repeat(LogWriter.MAX_LINE_CHARS) + "\nnext\n", read.toString(StandardCharsets.UTF_8));
    }
}
