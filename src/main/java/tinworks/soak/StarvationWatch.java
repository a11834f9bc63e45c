package tinworks.soak;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Finds out whether the machine that all of a day's processes share left one of them without a processor: how long its
 * event loop stood ready to run and wasn't run, as the kernel counts it. What is late for that alone says nothing about
 * the program. Belongs to one thread.
 */
final class StarvationWatch {
    /** What this part of the time and more without a processor is starvation. */
    private static final double STARVED_PART = 0.25;

    private static final String EVENT_LOOP = "multiThreadIoEv";
    /** Where a thread's time of waiting stands in its line, in nanoseconds. */
    private static final int WAITED = 1;

    private long pid;
    private Path eventLoop;
    private long waited;
    private long lookedAt;

    /** Whether the process was starved since the last look; not at the first look at a process. */
    boolean isStarved(long itsPid, long nanos) {
        long before = waited;
        long since = lookedAt;
        boolean known = itsPid == pid && eventLoop != null;
        if (!known) {
            pid = itsPid;
            eventLoop = find(itsPid);
        }
        waited = waited(eventLoop);
        lookedAt = nanos;
        return known && waited - before >= STARVED_PART * (nanos - since);
    }

    private static Path find(long pid) {
        try (DirectoryStream<Path> threads = Files.newDirectoryStream(Path.of("/proc", Long.toString(pid), "task"))) {
            for (Path thread : threads) {
                if (Files.readString(thread.resolve("comm"), StandardCharsets.UTF_8)
                        .startsWith(EVENT_LOOP)) {
                    return thread.resolve("schedstat");
                }
            }
        } catch (IOException e) {
            // The process has ended; the next look finds another one.
            return null;
        }
        return null;
    }

    private static long waited(Path eventLoop) {
        if (eventLoop == null) {
            return 0;
        }
        try {
            return Long.parseLong(
                    Files.readString(eventLoop, StandardCharsets.UTF_8).trim().split(" ")[WAITED]);
        } catch (IOException e) {
            return 0;
        }
    }
}
