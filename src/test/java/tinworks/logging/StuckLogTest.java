package tinworks.logging;

import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.slf4j.LoggerFactory;

/** A stalled log reader must not block the threads that log. */
class StuckLogTest {
    @Test
    @Timeout(value = 30, unit = TimeUnit.SECONDS)
    void aStalledLogReaderDoesNotBlockLoggingThreads() throws InterruptedException {
        CountDownLatch reading = new CountDownLatch(1);
        PrintStream original = System.err;
        PrintStream stalled = new PrintStream(
                new OutputStream() {
                    @Override
                    public void write(int b) {
                        try {
                            reading.await();
                        } catch (InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                    }
                },
                true,
                StandardCharsets.UTF_8);
        Thread loop =
                new Thread(() -> LoggerFactory.getLogger(StuckLogTest.class).info("a line"), "event loop");
        loop.setDaemon(true);
        try {
            System.setErr(stalled);
            loop.start();
            loop.join(2_000);
            assertFalse(loop.isAlive(), "the thread is blocked by the log reader");
        } finally {
            System.setErr(original);
            reading.countDown();
            loop.join();
        }
    }
}
