package tinworks.demo;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import tinworks.json.Json;
import tinworks.local.Deployment;
import tinworks.local.FreePorts;
import tinworks.local.Machines;
import tinworks.local.Operator;
import tinworks.local.ProcessCosts;
import tinworks.net.ClosingEventLoopGroup;
import tinworks.node.NodeProcess;
import tinworks.standin.StandInHost;
import tinworks.standin.StandInPlatform;

/**
 * Core machines alone, on loopback, and an operator who sends whole configurations of many routes, one on the other as
 * fast as each is acknowledged. In the middle a member is killed; it is started again as any process that ends. Ends
 * with what the machines took of their disks and memory.
 */
public final class Changes implements AutoCloseable {
    /**
     * What is played.
     *
     * @param cores core machines, 3 or more
     * @param routes routes of each configuration, 1 or more
     * @param changes configurations after the first, 2 or more
     * @param javaOptions options of each process
     */
    public record Plan(int cores, int routes, int changes, List<String> javaOptions) {}

    /** How long a member may take from its start until it has what is acknowledged. */
    private static final long CATCH_UP_MILLIS = 5_000;

    private static final long START_MILLIS = 15_000;
    private static final long CHANGE_MILLIS = 20_000;
    private static final long LOOK_MILLIS = 50;
    private static final int DESCRIPTORS = 4_096;
    private static final int SERVICES = 40;
    private static final int LINES = 10;
    private static final int TIMEOUT = 2_500;
    private static final int MOST_LONGER = 7_000;
    /** The first version's number; all have as many digits. */
    private static final long FIRST = 100_000;

    private static final String REV = "{\"rev\":";

    private final Plan plan;
    private final PrintWriter out;
    private final Path folder;
    private final ClosingEventLoopGroup group = new ClosingEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final StandInPlatform<StandInHost> platform = new StandInPlatform<>(loop, 0, 50);
    private final Machines machines;
    private final Operator operator;
    private final Deployment deployment;
    private final int[] timeouts;
    private volatile long acknowledged;
    private volatile long largestDisk;
    private volatile long largestMemory;
    private volatile long caughtUpMillis = -1;
    private volatile boolean ended;
    private boolean closed;

    /** Nothing is started yet but the platform and the folder for disks and logs, which goes with the demo. */
    public Changes(Plan plan, PrintWriter out) throws IOException {
        this.plan = plan;
        this.out = out;
        folder = Files.createTempDirectory("tinworks-changes");
        machines = new Machines(folder, plan.javaOptions());
        List<Integer> ports = FreePorts.at(Deployment.FIRST_CORE_IP, 2);
        NodeProcess.call(loop, () -> platform.listen(new InetSocketAddress("127.0.0.1", 0)))
                .syncUninterruptibly();
        deployment = new Deployment(plan.cores(), ports.get(0), ports.get(1), DESCRIPTORS, platform.address());
        operator = new Operator(deployment.operated());
        timeouts = new int[plan.routes()];
    }

    /** The first version, and the offset in it of each route's time-out. */
    private byte[] first() {
        StringBuilder text =
                new StringBuilder(200 * plan.routes()).append(REV).append(FIRST).append(",\"routes\":[");
        for (int i = 0; i < plan.routes(); i++) {
            text.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"r-")
                    .append(Integer.toString(i * 7_919, 36))
                    .append("\",\"domain\":\"jepu")
                    .append(i % 97)
                    .append(".example\",\"prefix\":\"/lepu")
                    .append(Integer.toString(i * 104_729, 36))
                    .append("/\",\"type\":\"idem\",\"timeoutMs\":");
            timeouts[i] = text.length();
            text.append(TIMEOUT)
                    .append(",\"targetMs\":600,\"prio\":2,\"svc\":\"huvo")
                    .append(i % SERVICES)
                    .append("\",\"tries\":2}");
        }
        text.append("],\"svcs\":[");
        for (int i = 0; i < SERVICES; i++) {
            text.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"huvo")
                    .append(i)
                    .append("\",\"check\":\"/healthz\",\"maxconn\":110}");
        }
        return text.append("],\"limits\":{\"idleMs\":15000}}").toString().getBytes(StandardCharsets.US_ASCII);
    }

    /** The next version, which changes one route; all numbers in it have as many digits as before. */
    private byte[] next(byte[] last, long rev) {
        byte[] next = last.clone();
        put(next, REV.length(), rev);
        put(next, timeouts[(int) (rev % timeouts.length)], TIMEOUT + 1 + rev % MOST_LONGER);
        return next;
    }

    private static void put(byte[] text, int at, long number) {
        byte[] digits = Long.toString(number).getBytes(StandardCharsets.US_ASCII);
        System.arraycopy(digits, 0, text, at, digits.length);
    }

    /** Plays the plan; true where all was acknowledged and shown as it was sent, and the member was back in time. */
    public boolean play() throws IOException, InterruptedException {
        for (int i = 0; i < plan.cores(); i++) {
            deployment.startCore(machines, i);
        }
        byte[] last = first();
        if (operator.replace(0, last, 0, START_MILLIS) == 0) {
            out.println("no core machine took the first configuration; logs are under " + folder);
            return false;
        }
        acknowledged = FIRST;
        out.printf(
                Locale.ROOT,
                "%d core machines, %d routes, %d bytes of a configuration%n",
                plan.cores(),
                plan.routes(),
                last.length);
        Thread watch = new Thread(this::watch, "watch");
        watch.setDaemon(true);
        watch.start();
        last = send(last);
        ended = true;
        watch.join();
        return closing(last);
    }

    private static String name(int core) {
        return "core-" + core;
    }

    /** Sends all changes, and kills a member in the middle; returns the last configuration that was acknowledged. */
    private byte[] send(byte[] first) throws IOException, InterruptedException {
        byte[] last = first;
        long began = System.nanoTime();
        long slowest = 0;
        int calls = 0;
        for (int change = 1; change <= plan.changes(); change++) {
            if (change == plan.changes() / 2) {
                killFollower();
            }
            long version = acknowledged + 1;
            byte[] next = next(last, version);
            long sentAt = System.nanoTime();
            int took = operator.replace(acknowledged, next, change % plan.cores(), CHANGE_MILLIS);
            if (took == 0) {
                out.printf(
                        Locale.ROOT,
                        "change %d was not acknowledged in %d s; logs are under %s%n",
                        change,
                        CHANGE_MILLIS / 1_000,
                        folder);
                return last;
            }
            calls += took;
            slowest = Math.max(slowest, System.nanoTime() - sentAt);
            last = next;
            acknowledged = version;
            if (change % Math.max(1, plan.changes() / LINES) == 0) {
                out.printf(
                        Locale.ROOT,
                        "%6.1f s  %5d acknowledged in %d calls, the slowest in %.2f s, largest disk %.1f MB, most memory %.1f MB%n",
                        (System.nanoTime() - began) / 1e9,
                        change,
                        calls,
                        slowest / 1e9,
                        largestDisk / 1e6,
                        largestMemory / 1e3);
                out.flush();
            }
        }
        return last;
    }

    private void killFollower() throws IOException, InterruptedException {
        int victim = 0;
        for (int i = 0; i < plan.cores(); i++) {
            victim = Json.read(operator.status(i).orElse("{}"))
                            .field("role")
                            .text()
                            .equals("LEADER")
                    ? victim
                    : i;
        }
        String name = name(victim);
        long old = machines.pid(name);
        machines.kill(name);
        out.println("killed " + name + " after " + (acknowledged - FIRST) + " changes");
        int number = victim;
        Thread look = new Thread(() -> awaitCaughtUp(number, old), "caught up");
        look.setDaemon(true);
        look.start();
    }

    /** From the start of its new process until it has what had been acknowledged at the look before. */
    private void awaitCaughtUp(int core, long oldPid) {
        try {
            while (machines.pid(name(core)) == oldPid) {
                TimeUnit.MILLISECONDS.sleep(1);
            }
            long started = System.nanoTime();
            long wanted = Long.MAX_VALUE;
            while (!ended || wanted == Long.MAX_VALUE) {
                long now = acknowledged;
                String rev = Json.read(operator.status(core).orElse("{}"))
                        .field("rev")
                        .text();
                if (!rev.isEmpty() && Long.parseLong(rev) >= wanted) {
                    caughtUpMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - started);
                    out.printf(Locale.ROOT, "%s had caught up %d ms after its start%n", name(core), caughtUpMillis);
                    return;
                }
                wanted = now;
                TimeUnit.MILLISECONDS.sleep(LOOK_MILLIS);
            }
        } catch (IOException | InterruptedException e) {
            out.println("lost sight of " + name(core) + ": " + e);
        }
    }

    private void watch() {
        try {
            while (!ended) {
                measure();
                TimeUnit.MILLISECONDS.sleep(LOOK_MILLIS);
            }
            measure();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void measure() {
        for (int i = 0; i < plan.cores(); i++) {
            largestDisk = Math.max(largestDisk, bytes(machines.disk(name(i))));
            largestMemory = Math.max(largestMemory, ProcessCosts.peakKilobytes(machines.pid(name(i))));
        }
    }

    private static long bytes(Path disk) {
        try (Stream<Path> files = Files.list(disk)) {
            return files.mapToLong(file -> file.toFile().length()).sum();
        } catch (IOException e) {
            // It is about to be made, or a file has just gone.
            return 0;
        }
    }

    private boolean closing(byte[] last) throws InterruptedException {
        boolean shown = true;
        for (int i = 0; i < plan.cores(); i++) {
            shown &= operator.show(i)
                    .filter(body -> body.equals(new String(last, StandardCharsets.UTF_8)))
                    .isPresent();
        }
        int restarts = machines.restarts();
        out.printf(
                Locale.ROOT,
                "acknowledged: %d of %d; shown as sent at every machine: %s%n",
                acknowledged - FIRST,
                plan.changes(),
                shown ? "yes" : "no");
        out.printf(
                Locale.ROOT,
                "largest disk: %.1f MB; most memory of a process: %.1f MB; restarts: %d%n",
                largestDisk / 1e6,
                largestMemory / 1e3,
                restarts);
        if (caughtUpMillis < 0) {
            out.println("the member that was killed never caught up");
        }
        out.println(ProcessCosts.heading());
        out.println(machines.costs("core").line("core"));
        out.flush();
        return shown
                && restarts == 1
                && acknowledged == FIRST + plan.changes()
                && caughtUpMillis >= 0
                && caughtUpMillis <= CATCH_UP_MILLIS;
    }

    @Override
    public void close() throws IOException {
        synchronized (this) {
            if (closed) {
                return;
            }
            closed = true;
        }
        ended = true;
        machines.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
