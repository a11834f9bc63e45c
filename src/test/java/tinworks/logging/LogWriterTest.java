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

/** Lines wait for a reader within a bound, and what was lost is told. */
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
    void whatFindsNoRoomIsDroppedCountedAndTold() {
        String line = "x".repeat(99) + "\n";
        int lines = 2 * LogWriter.MOST_WAITING_CHARS / line.length();
        for (int i = 0; i < lines; i++) {
            writer.write(line);
        }
        long dropped = writer.dropped();
        assertTrue(dropped >= lines / 2 - 1, "dropped " + dropped + " of " + lines);
        assertFalse(writer.flush(50), "nobody reads yet");
        reading.countDown();
        assertTrue(writer.flush(10_000));
        assertEquals(
                line.repeat((int) (lines - dropped)) + "dropped " + dropped + "\n",
                read.toString(StandardCharsets.UTF_8));
    }

    @Test
    void aLineWithoutEndIsCut() {
        reading.countDown();
        writer.write("y".repeat(LogWriter.MOST_WAITING_CHARS) + "\n");
        writer.write("next\n");
        assertTrue(writer.flush(10_000));
        assertEquals("y".repeat(LogWriter.LONGEST_LINE_CHARS) + "\nnext\n", read.toString(StandardCharsets.UTF_8));
    }
}
