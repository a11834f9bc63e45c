package tinworks.local;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import tinworks.node.BootSettings;

/**
 * Processes of the system, each with a settings file, a folder for its disk and a log of its own; one that ends is
 * started again after a short delay, as the platform does. Safe for use by several threads.
 */
public final class Machines implements AutoCloseable {
    private static final long RESTART_MILLIS = 500;
    private static final long WATCH_MILLIS = 50;
    private static final long END_MILLIS = 8_000;
    private static final long KILL_MILLIS = 2_000;
    private static final long GRACE_MILLIS = 6_000;

    /**
     * A process that ended.
     *
     * @param code its exit code; above 128 the number of a signal and 128
     * @param asked whether it was killed or told to end here; if not, it ended by itself
     * @param livedMillis how long after its start
     * @param overdue whether it was told to end, had not within the grace, and was killed for that
     */
    public record End(String machine, int code, boolean asked, boolean overdue, long livedMillis, long atNanos) {}

    /** One machine. */
    private static final class Machine {
        private final Path settings;
        private String laterSettings;
        private final String role;
        private final Path log;
        private Process process;
        private long startedAt;
        private long endedAt;
        private int starts;
        private boolean asked;
        private boolean overdue;
        private long termAt;
        private boolean losesDisk;

        Machine(Path settings, String laterSettings, String role, Path log) {
            this.settings = settings;
            this.laterSettings = laterSettings;
            this.role = role;
            this.log = log;
        }
    }

    private final Path folder;
    private final List<String> javaOptions;
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final List<End> ends = new ArrayList<>();
    private final long restartMillis;
    private boolean closed;

    /** As the other, with processes that are started again soon. */
    public Machines(Path folder, List<String> javaOptions) {
        this(folder, javaOptions, RESTART_MILLIS);
    }

    /** None yet; the options are each process's, where {@code {node}} stands for its machine's name. */
    public Machines(Path folder, List<String> javaOptions, long restartMillis) {
        this.restartMillis = restartMillis;
        this.folder = folder;
        this.javaOptions = List.copyOf(javaOptions);
        Thread watch = new Thread(this::watch, "machines");
        watch.setDaemon(true);
        watch.start();
    }

    /** The folder of a machine's disk. */
    public Path disk(String name) {
        return folder.resolve(name + "-disk");
    }

    /** Starts a machine with these settings, and with the others whenever its process has ended. */
    public synchronized void start(String name, String role, String settings, String laterSettings) throws IOException {
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, settings);
        Files.createDirectories(disk(name));
        Machine machine = new Machine(file, laterSettings, role, log(name));
        machines.put(name, machine);
        launch(name, machine);
    }

    private void launch(String name, Machine machine) throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        javaOptions.forEach(option -> command.add(option.replace("{node}", name)));
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "tinworks.Main", machine.role));
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(machine.log.toFile()))
                .redirectInput(ProcessBuilder.Redirect.from(new File("/dev/null")));
        builder.environment().put(BootSettings.VARIABLE, machine.settings.toString());
        machine.process = builder.start();
        machine.starts++;
        machine.startedAt = System.nanoTime();
        machine.endedAt = 0;
        machine.asked = false;
        machine.overdue = false;
        machine.termAt = 0;
    }

    /** Ends a machine's process at once, without a word to it. */
    public synchronized void kill(String name) {
        Machine machine = machines.get(name);
        machine.asked = true;
        machine.process.destroyForcibly();
    }

    /** Ends a machine's process at once; when it is started again its disk is empty. */
    public synchronized void loseDisk(String name) {
        machines.get(name).losesDisk = true;
        kill(name);
    }

    /** Sends a signal that doesn't end the process, such as {@code STOP}, {@code CONT} or {@code HUP}. */
    public synchronized void signal(String name, String signal) throws IOException {
        Process process = machines.get(name).process;
        if (process.isAlive()) {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                    .start();
        }
    }

    /** Writes other settings for a machine, now and for its later starts. */
    public synchronized void changeSettings(String name, String settings) throws IOException {
        Machine machine = machines.get(name);
        machine.laterSettings = settings;
        Files.writeString(machine.settings, settings);
    }

    /** The settings with which a machine is started again. */
    public synchronized String settings(String name) {
        return machines.get(name).laterSettings;
    }

    /** The processes that have ended so far, in their order. */
    public synchronized List<End> ends() {
        return List.copyOf(ends);
    }

    /** Asks a machine's process to end in order. */
    public synchronized void terminate(String name) {
        Machine machine = machines.get(name);
        machine.asked = true;
        // The grace runs from the first of several signals.
        machine.termAt = machine.termAt == 0 ? System.nanoTime() : machine.termAt;
        machine.process.destroy();
    }

    /** What a machine's processes have written to its log. */
    public Path log(String name) {
        return folder.resolve(name + ".log");
    }

    /** What the processes of a role have cost since each one's last start. */
    public synchronized ProcessCosts costs(String role) {
        ProcessCosts costs = new ProcessCosts();
        machines.values().stream()
                .filter(machine -> machine.role.equals(role))
                .forEach(machine -> costs.add(machine.process.pid()));
        return costs;
    }

    /** The id of a machine's present process. */
    public synchronized long pid(String name) {
        return machines.get(name).process.pid();
    }

    /** Whether each machine's process runs: none has ended that is yet to be started again. */
    public synchronized boolean areAllRunning() {
        return machines.values().stream().allMatch(machine -> machine.process.isAlive());
    }

    /** How often processes were started, the first time of each left out. */
    public synchronized int restarts() {
        return machines.values().stream()
                .mapToInt(machine -> machine.starts - 1)
                .sum();
    }

    private void watch() {
        try {
            while (round()) {
                TimeUnit.MILLISECONDS.sleep(WATCH_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized boolean round() {
        long now = System.nanoTime();
        for (Map.Entry<String, Machine> entry : machines.entrySet()) {
            Machine machine = entry.getValue();
            if (closed) {
                continue;
            }
            if (machine.process.isAlive()) {
                endOverdue(machine, now);
            } else if (machine.endedAt == 0) {
                machine.endedAt = now;
                long lived = TimeUnit.NANOSECONDS.toMillis(now - machine.startedAt);
                ends.add(new End(
                        entry.getKey(), machine.process.exitValue(), machine.asked, machine.overdue, lived, now));
            } else if (now - machine.endedAt > TimeUnit.MILLISECONDS.toNanos(restartMillis)) {
                startAgain(entry.getKey(), machine, now);
            }
        }
        return !closed;
    }

    /** As the platform does when the grace is over. */
    private static void endOverdue(Machine machine, long now) {
        if (machine.termAt != 0 && now - machine.termAt > TimeUnit.MILLISECONDS.toNanos(GRACE_MILLIS)) {
            machine.overdue = true;
            machine.process.destroyForcibly();
        }
    }

    private void startAgain(String name, Machine machine, long now) {
        try {
            if (machine.losesDisk) {
                emptyDisk(name);
                machine.losesDisk = false;
            }
            Files.writeString(machine.settings, machine.laterSettings);
            launch(name, machine);
        } catch (IOException e) {
            machine.endedAt = now;
        }
    }

    private void emptyDisk(String name) throws IOException {
        try (Stream<Path> files = Files.list(disk(name))) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
    }

    /** Ends all in order, and at once what has not ended in time. */
    @Override
    public void close() {
        List<Process> left = new ArrayList<>();
        synchronized (this) {
            closed = true;
            machines.values().forEach(machine -> left.add(machine.process));
        }
        left.forEach(Process::destroy);
        await(left, END_MILLIS);
        left.forEach(Process::destroyForcibly);
        await(left, KILL_MILLIS);
    }

    private static void await(List<Process> processes, long millis) {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        try {
            for (Process process : processes) {
                process.waitFor(Math.max(1, until - System.nanoTime()), TimeUnit.NANOSECONDS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
