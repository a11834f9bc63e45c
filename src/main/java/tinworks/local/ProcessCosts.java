package tinworks.local;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Stream;

/**
 * What a process has cost since its start, by cause, as Linux tells under {@code /proc}: processor time by what its
 * threads are for, wake-ups, and calls and bytes of reading and writing.
 */
public final class ProcessCosts {
    /** What threads are for, by the beginnings of their names, which the system cuts off after 15 letters. */
    private static final Map<String, List<String>> CAUSES = new LinkedHashMap<>();

    static {
        CAUSES.put("start", List.of("java"));
        CAUSES.put("loop", List.of("multiThreadIoEv"));
        CAUSES.put("reading", List.of("configuration"));
        CAUSES.put("disk", List.of("disk"));
        CAUSES.put("compiler", List.of("C1 ", "C2 "));
        CAUSES.put("collector", List.of("VM Thread", "GC "));
        CAUSES.put("others", List.of(""));
    }

    private final Map<String, Double> millis = new LinkedHashMap<>();
    private double wakeUps;
    private double calls;
    private double kilobytes;
    private int processes;

    /** Of no process yet. */
    public ProcessCosts() {
        CAUSES.keySet().forEach(cause -> millis.put(cause, 0.0));
    }

    /** Adds a process that runs; one that has just ended, or that the system doesn't tell of, is left out. */
    public void add(long pid) {
        Path process = Path.of("/proc", Long.toString(pid));
        try (Stream<Path> threads = Files.list(process.resolve("task"))) {
            ThreadCosts threadCosts = new ThreadCosts();
            for (Path thread : threads.toList()) {
                threadCosts.add(thread);
            }
            Path io = process.resolve("io");
            double itsCalls = field(io, "syscr") + field(io, "syscw");
            double bytes = field(io, "rchar") + field(io, "wchar");
            threadCosts.millis.forEach((cause, ran) -> millis.merge(cause, ran, Double::sum));
            wakeUps += threadCosts.wakeUps;
            calls += itsCalls;
            kilobytes += bytes / 1_000;
            processes++;
        } catch (IOException | java.io.UncheckedIOException e) {
            // It ended while it was looked at, or this system tells nothing of processes.
            return;
        }
    }

    /** What the threads of one process have cost. */
    private static final class ThreadCosts {
        private final Map<String, Double> millis = new LinkedHashMap<>();
        private double wakeUps;

        /**
         * Adds a thread by its folder. Guards against leaving a whole process out because one of its threads has just
         * ended.
         */
        void add(Path thread) {
            try {
                String name = Files.readString(thread.resolve("comm")).strip();
                String[] schedule =
                        Files.readString(thread.resolve("schedstat")).split(" ");
                double woken = field(thread.resolve("status"), "voluntary_ctxt_switches");
                millis.merge(cause(name), Double.parseDouble(schedule[0]) / 1e6, Double::sum);
                wakeUps += woken;
            } catch (IOException e) {
                // The thread has ended; what it cost is not known any more.
                return;
            }
        }
    }

    private static String cause(String thread) {
        return CAUSES.entrySet().stream()
                .filter(cause -> cause.getValue().stream().anyMatch(thread::startsWith))
                .map(Map.Entry::getKey)
                .findFirst()
                .orElseThrow();
    }

    private static double field(Path file, String name) throws IOException {
        for (String line : Files.readAllLines(file)) {
            if (line.startsWith(name + ":")) {
                return Double.parseDouble(
                        line.substring(name.length() + 1).strip().split(" ")[0]);
            }
        }
        return 0;
    }

    /** The most memory that a process has had at a time, in kilobytes; 0 where the system doesn't tell. */
    public static long peakKilobytes(long pid) {
        try {
            return (long) field(Path.of("/proc", Long.toString(pid), "status"), "VmHWM");
        } catch (IOException e) {
            // It has ended, or this system tells nothing of processes.
            return 0;
        }
    }

    /** How many processes were added. */
    public int processes() {
        return processes;
    }

    /** Milliseconds of processor time for each cause, of a process on the mean. */
    public Map<String, Double> meanMillis() {
        Map<String, Double> means = new LinkedHashMap<>();
        millis.forEach((cause, all) -> means.put(cause, all / Math.max(1, processes)));
        return means;
    }

    /** The heading of {@link #line}. */
    public static String heading() {
        StringBuilder line = new StringBuilder(String.format("%-8s", "ms each"));
        CAUSES.keySet().forEach(cause -> line.append(String.format("%10s", cause)));
        return line.append(String.format("%10s%10s%10s", "wake-ups", "calls", "kB"))
                .toString();
    }

    /** A row: the mean of the processes added. */
    public String line(String role) {
        StringBuilder line = new StringBuilder(String.format("%-8s", role));
        meanMillis().values().forEach(ran -> line.append(String.format(Locale.ROOT, "%10.0f", ran)));
        int n = Math.max(1, processes);
        return line.append(String.format(Locale.ROOT, "%10.0f%10.0f%10.0f", wakeUps / n, calls / n, kilobytes / n))
                .toString();
    }
}
