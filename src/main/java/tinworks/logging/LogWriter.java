package tinworks.logging;

import java.io.PrintStream;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import java.util.function.Supplier;

/**
 * Writes log lines on a thread of its own, so that a reader that has stopped holds up nobody who logs. What waits is
 * bounded; lines that find no room are dropped and counted, and the count is written once there is room again. Safe for
 * use by several threads.
 */
public final class LogWriter {
    /** Characters that may wait; at some 200 a line more than a process says in a minute. */
    static final int MOST_WAITING_CHARS = 256 << 10;
    /** A longer line is cut: one exception must not take the room of all others. */
    static final int LONGEST_LINE_CHARS = 16 << 10;

    private static final long FLUSH_AT_EXIT_MILLIS = 300;

    private final String name;
    private final Supplier<PrintStream> target;
    private final LongFunction<String> droppedLine;
    private final ArrayDeque<String> waiting = new ArrayDeque<>();
    private int waitingChars;
    private boolean started;
    private boolean writing;
    private long dropped;
    private long droppedUntold;

    /**
     * A writer whose thread starts with the first line.
     *
     * @param name of its thread
     * @param target asked for anew with each line
     * @param droppedLine the line that tells how many were dropped
     */
    public LogWriter(String name, Supplier<PrintStream> target, LongFunction<String> droppedLine) {
        this.name = name;
        this.target = target;
        this.droppedLine = droppedLine;
    }

    /** Takes a line, which ends with a line feed, or drops it; never waits for the reader. */
    public synchronized void write(String line) {
        start();
        String kept = line.length() <= LONGEST_LINE_CHARS ? line : line.substring(0, LONGEST_LINE_CHARS) + "\n";
        if (waitingChars + kept.length() > MOST_WAITING_CHARS) {
            dropped++;
            droppedUntold++;
            return;
        }
        waiting.add(kept);
        waitingChars += kept.length();
        notifyAll();
    }

    /** Waits until all that was taken has been written, and what was dropped told, or for so long; whether it has. */
    public synchronized boolean flush(long millis) {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        try {
            while (writing || !waiting.isEmpty() || droppedUntold > 0) {
                long left = until - System.nanoTime();
                if (left <= 0) {
                    return false;
                }
                TimeUnit.NANOSECONDS.timedWait(this, left);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
        return true;
    }

    /** How many lines found no room since the process started. */
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
            // The process is ending already: whoever ends it flushes.
            return;
        }
    }

    private void run() {
        try {
            while (true) {
                // Each line by itself: a reader that comes back after a pause finds whole lines.
                target.get().print(next());
                written();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized String next() throws InterruptedException {
        while (waiting.isEmpty() && droppedUntold == 0) {
            wait();
        }
        writing = true;
        if (waiting.isEmpty()) {
            String told = droppedLine.apply(droppedUntold);
            droppedUntold = 0;
            return told;
        }
        String line = waiting.poll();
        waitingChars -= line.length();
        return line;
    }

    private synchronized void written() {
        writing = false;
        notifyAll();
    }
}
