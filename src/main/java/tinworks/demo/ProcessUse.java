package tinworks.demo;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;

/**
 * What a process uses, as the system tells it; 0 for what it doesn't tell.
 *
 * @param processorMillis processor time since its start
 * @param residentKb memory that it holds
 */
record ProcessUse(long pid, long processorMillis, long residentKb) {
    static ProcessUse of(long pid) {
        long millis = ProcessHandle.of(pid)
                .flatMap(process -> process.info().totalCpuDuration())
                .map(Duration::toMillis)
                .orElse(0L);
        long resident = 0;
        try {
            for (String line : Files.readAllLines(Path.of("/proc", Long.toString(pid), "status"))) {
                if (line.startsWith("VmRSS:")) {
                    resident = kilobytes(line);
                }
            }
        } catch (IOException e) {
            // It has just ended, or this system tells nothing of processes.
            return new ProcessUse(pid, millis, 0);
        }
        return new ProcessUse(pid, millis, resident);
    }

    private static long kilobytes(String line) {
        return Long.parseLong(line.replaceAll("[^0-9]", ""));
    }

    /** Processor time since then, or since its start where it is another process. */
    long processorMillisSince(ProcessUse before) {
        return pid == before.pid ? processorMillis - before.processorMillis : processorMillis;
    }
}
