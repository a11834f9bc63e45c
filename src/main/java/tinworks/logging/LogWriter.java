package tinworks.logging;

import java.io.PrintStream;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import java.util.function.Supplier;

/**
 * Writes log lines on a separate thread, so that a stalled reader does not block the threads that log. The queue is
 * bounded; lines that do not fit are dropped and counted, and the count is written once the queue is empty.
 * Thread-safe.
 */
public final class LogWriter {
    /** Capacity of the queue; at about 200 characters a line, more than a process logs in a minute. */
    static final int MAX_QUEUED_CHARS = 256 << 10;
    /** Longer lines are truncated, so that one exception cannot fill the queue. */
    static final int MAX_LINE_CHARS = 16 << 10;

    private static final long FLUSH_AT_EXIT_MILLIS = 300;

    private final String name;
    private final Supplier<PrintStream> target;
    private final LongFunction<String> droppedLine;
    private final ArrayDeque<String> queue = new ArrayDeque<>();
    private int queuedChars;
    private boolean started;
    private boolean writing;
    private long dropped;
    private long droppedUnreported;

    /**
     * Creates a writer whose thread starts with the first line.
     *
     * @param name the name of the thread
     * @param target supplies the stream, and is called again for each line
     * @param droppedLine formats the line that reports how many lines were dropped
     */
    public LogWriter(String name, Supplier<PrintStream> target, LongFunction<String> droppedLine) {
        this.name = name;
        this.target = target;
        this.droppedLine = droppedLine;
    }

    /** Queues a line, which ends with a line feed, or drops it; never blocks on the reader. */
    public synchronized void write(String line) {
        start();
        String truncated = line.length() <= MAX_LINE_CHARS ? line : line.substring(0, MAX_LINE_CHARS) + "\n";
        if (queuedChars + truncated.length() > MAX_QUEUED_CHARS) {
            dropped++;
            droppedUnreported++;
            return;
        }
        queue.add(truncated);
        queuedChars += truncated.length();
        notifyAll();
    }

    /** Waits until all lines are written and drops are reported; returns false if the timeout passes first. */
    public synchronized boolean flush(long timeoutMillis) {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        try {
            while (writing || !queue.isEmpty() || droppedUnreported > 0) {
                long remaining = deadline - System.nanoTime();
                if (remaining <= 0) {
                    return false;
                }
                TimeUnit.NANOSECONDS.timedWait(this, remaining);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
        return true;
    }

    /** The number of lines dropped since the process started. */
    public synchronized long dropped() {
        return dropped;
    }

    private void start() {
        if (started) {
            return;
        }
        started = true;
        Thread thread = new Thread(this::run, name);
        thread.setDaemon(true);
        thread.start();
        try {
            Runtime.getRuntime().addShutdownHook(new Thread(() -> flush(FLUSH_AT_EXIT_MILLIS), name + " at exit"));
        } catch (IllegalStateException e) {
            // The process is already shutting down, and the code that ends it flushes.
            return;
        }
    }

    private void run() {
        try {
            while (true) {
                // One line at a time, so that a reader that resumes after a stall gets complete lines.
                target.get().print(nextLine());
                lineWritten();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized String nextLine() throws InterruptedException {
        while (queue.isEmpty() && droppedUnreported == 0) {
            wait();
        }
        writing = true;
        if (queue.isEmpty()) {
            String report = droppedLine.apply(droppedUnreported);
            droppedUnreported = 0;
            return report;
        }
        String line = queue.poll();
        queuedChars -= line.length();
        return line;
    }

    private synchronized void lineWritten() {
        writing = false;
        notifyAll();
    }
}
