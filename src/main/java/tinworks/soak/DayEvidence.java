package tinworks.soak;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import tinworks.local.Machines;

/** What the processes of a day leave behind: how they ended, and their logs. */
final class DayEvidence {
    /** The exit code of a process that SIGHUP ended. */
    private static final int HUNG_UP = 129;
    /**
     * So long a process may take until its runtime runs the program. The rules don't count an end within a second of a
     * start either.
     */
    private static final long BOOT_MILLIS = 1_000;

    private final SoakPlan plan;
    private final List<String> names;
    private final Machines machines;
    private final Troublemaker troublemaker;
    private final Books books;

    /** That of these machines, all of whose processes have ended. */
    DayEvidence(SoakPlan plan, List<String> names, Machines machines, Troublemaker troublemaker, Books books) {
        this.plan = plan;
        this.names = List.copyOf(names);
        this.machines = machines;
        this.troublemaker = troublemaker;
        this.books = books;
    }

    /** Writes down what it shows to be broken. */
    void judge() throws IOException {
        judgeEnds();
        judgeLogs();
    }

    private void judgeEnds() {
        for (Machines.End end : machines.ends()) {
            if (!end.asked() && end.code() == HUNG_UP && end.livedMillis() < BOOT_MILLIS) {
                // The runtime wasn't up: no program of its own could have taken the signal.
                books.count("ended by SIGHUP before the program began");
            } else if (!end.asked()) {
                books.breach("Fault", end.machine() + " ended by itself with code " + end.code());
            } else if (end.overdue() && !troublemaker.processes().wasPaused(end.machine())) {
                books.breach("Fault", end.machine() + " did not end within the grace");
            }
        }
    }

    /** Each process's own checks, and faults that its event loop or another catches. */
    private void judgeLogs() throws IOException {
        for (String name : names) {
            for (String line :
                    Files.readString(machines.log(name), StandardCharsets.UTF_8).split("\n")) {
                if (isFault(line)) {
                    books.breach("Log", name + ": " + line.substring(0, Math.min(400, line.length())));
                }
            }
        }
    }

    /** A connection that breaks says so with an exception too; that is no fault. */
    private static boolean isFault(String line) {
        boolean warns = line.contains("\"level\":\"WARN\"") && line.contains("xception");
        return warns || line.contains("\"level\":\"ERROR\"") || line.contains("fault");
    }

    /** Keeps what explains a day: its script, what was broken, and all logs. */
    Path keep(List<Breach> breaches, String figures) throws IOException {
        if (plan.keep() == null) {
            return null;
        }
        Path to = plan.keep().resolve("seed-" + plan.seed());
        Files.createDirectories(to);
        List<String> lines = new ArrayList<>();
        lines.add("# seed " + plan.seed() + ", " + plan.seconds() + " s");
        plan.troubles().forEach(trouble -> lines.add(trouble.toString()));
        Files.write(to.resolve("script"), lines);
        List<String> found =
                new ArrayList<>(breaches.stream().map(Breach::toString).toList());
        found.addAll(troublemaker.lines());
        found.add(figures);
        Files.write(to.resolve("breaches"), found);
        for (String name : names) {
            Files.copy(machines.log(name), to.resolve(name + ".log"), StandardCopyOption.REPLACE_EXISTING);
        }
        return to;
    }
}
