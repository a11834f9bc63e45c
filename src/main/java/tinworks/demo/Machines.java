package tinworks.demo;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import tinworks.node.BootSettings;

/**
 * Processes of the system, each with a settings file, a folder for its disk and a log of its own; one that ends is
 * started again after a short delay, as the platform does. Safe for use by several threads.
 */
final class Machines implements AutoCloseable {
    private static final long RESTART_MILLIS = 500;
    private static final long WATCH_MILLIS = 50;
    private static final long END_MILLIS = 8_000;
    private static final long KILL_MILLIS = 2_000;

    /** One machine. */
    private static final class Machine {
        private final Path settings;
        private final String laterSettings;
        private final String role;
        private final Path log;
        private Process process;
        private long endedAt;
        private int starts;

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
    private boolean closed;

    /** None yet; the options are each process's, where {@code {node}} stands for its machine's name. */
    Machines(Path folder, List<String> javaOptions) {
        this.folder = folder;
        this.javaOptions = List.copyOf(javaOptions);
        Thread watch = new Thread(this::watch, "machines");
        watch.setDaemon(true);
        watch.start();
    }

    /** The folder of a machine's disk. */
    Path disk(String name) {
        return folder.resolve(name + "-disk");
    }

    /** Starts a machine with these settings, and with the others whenever its process has ended. */
    synchronized void start(String name, String role, String settings, String laterSettings) throws IOException {
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
        machine.endedAt = 0;
    }

    /** Ends a machine's process at once, without a word to it. */
    synchronized void kill(String name) {
        machines.get(name).process.destroyForcibly();
    }

    /** Asks a machine's process to end in order. */
    synchronized void terminate(String name) {
        machines.get(name).process.destroy();
    }

    /** What a machine's processes have written to its log. */
    Path log(String name) {
        return folder.resolve(name + ".log");
    }

    /** What the processes of a role have cost since each one's last start. */
    synchronized ProcessCosts costs(String role) {
        ProcessCosts costs = new ProcessCosts();
        machines.values().stream()
                .filter(machine -> machine.role.equals(role))
                .forEach(machine -> costs.add(machine.process.pid()));
        return costs;
    }

    /** The id of a machine's present process. */
    synchronized long pid(String name) {
        return machines.get(name).process.pid();
    }

    /** Whether each machine's process runs: none has ended that is yet to be started again. */
    synchronized boolean areAllRunning() {
        return machines.values().stream().allMatch(machine -> machine.process.isAlive());
    }

    /** How often processes were started, the first time of each left out. */
    synchronized int restarts() {
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
            if (closed || machine.process.isAlive()) {
                continue;
            }
            if (machine.endedAt == 0) {
                machine.endedAt = now;
            } else if (now - machine.endedAt > TimeUnit.MILLISECONDS.toNanos(RESTART_MILLIS)) {
                try {
                    Files.writeString(machine.settings, machine.laterSettings);
                    launch(entry.getKey(), machine);
                } catch (IOException e) {
                    machine.endedAt = now;
                }
            }
        }
        return !closed;
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
