package tinworks.demo;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import tinworks.channel.HostList;
import tinworks.demo.HollowEdges.Event;
import tinworks.demo.HollowEdges.Heard;
import tinworks.demo.HollowEdges.Seen;
import tinworks.json.Json;
import tinworks.local.Deployment;
import tinworks.local.FreePorts;
import tinworks.local.Machines;
import tinworks.local.Operator;
import tinworks.net.ClosingEventLoopGroup;
import tinworks.node.NodeProcess;
import tinworks.standin.StandInHost;
import tinworks.standin.StandInPlatform;

/**
 * Real core machines on loopback under the links of many {@link HollowEdges}: what a core machine and each link cost at
 * rest, at changes and after restarts. A row for each part of the play.
 */
public final class Hollow implements AutoCloseable {
    /**
     * What is played.
     *
     * @param cores core machines, 3 or more
     * @param edges hollow edges, each linked with every core machine
     * @param realEdges processes of edges beside them, without clients
     * @param routes routes in force, 2 or more
     * @param hosts hosts on the platform's list, 1 or more
     * @param seconds how long it rests, and how long one host a second is replaced
     * @param changes how many times one host and one route are changed
     * @param restarts whether one core machine is killed in the end, and then all
     * @param javaOptions options of each process of the system
     */
    public record Plan(
            int cores,
            int edges,
            int realEdges,
            int routes,
            int hosts,
            int seconds,
            int changes,
            boolean restarts,
            List<String> javaOptions) {}

    private static final int FIRST_EDGE = 101;
    private static final int SLOTS = 4;
    private static final int ROUTES_OF_A_SERVICE = 5;
    private static final int DESCRIPTORS = 20_000;
    private static final int ZONES = 10;
    private static final long START_MILLIS = 20_000;
    private static final long LONGEST_MILLIS = 40_000;
    private static final long LOOK_MILLIS = 5;
    private static final long CALM_MILLIS = 1_500;
    private static final String MEMORY_ERROR = "OutOfMemoryError";

    private final Plan plan;
    private final PrintWriter out;
    private final Path folder;
    private final ClosingEventLoopGroup group = new ClosingEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final StandInPlatform<PaperHost> platform = new StandInPlatform<>(loop, 0, Integer.MAX_VALUE);
    private final Machines machines;
    private final Deployment deployment;
    private final Operator operator;
    private final HollowEdges edges;
    private final int http;
    private final int readyz;
    private long rev;
    private int nextHost;
    private boolean closed;
    // Where the present part of the play began.
    private long beganAt;
    private Heard heardBefore;
    private List<ProcessUse> usedBefore;
    private ProcessUse ownBefore;

    /** Nothing is started yet but the platform and the folder for disks and logs, which goes with this. */
    public Hollow(Plan plan, PrintWriter out) throws IOException {
        this.plan = plan;
        this.out = out;
        folder = Files.createTempDirectory("tinworks-hollow");
        machines = new Machines(folder, plan.javaOptions());
        List<Integer> ports = FreePorts.at(Deployment.FIRST_CORE_IP, 4);
        http = ports.get(2);
        readyz = ports.get(3);
        NodeProcess.call(loop, () -> platform.listen(new InetSocketAddress("127.0.0.1", 0)))
                .syncUninterruptibly();
        deployment = new Deployment(plan.cores(), ports.get(0), ports.get(1), DESCRIPTORS, platform.address());
        operator = new Operator(deployment.operated());
        edges = new HollowEdges(plan.edges(), deployment.innerSeeds());
    }

    /** Plays the plan; true where every edge came to hold all that it should. */
    public boolean play() throws IOException, InterruptedException {
        NodeProcess.run(
                loop,
                () -> platform.add(
                        IntStream.range(0, plan.hosts()).mapToObj(i -> host()).toList()));
        for (int i = 0; i < plan.cores(); i++) {
            deployment.startCore(machines, i);
        }
        for (int i = 0; i < plan.realEdges(); i++) {
            deployment.start(
                    machines,
                    "edge-" + i,
                    "edge",
                    edgeIp(i),
                    "\"http\":\"" + edgeIp(i) + ":" + http + "\",\"readyz\":\"" + edgeIp(i) + ":" + readyz + "\"",
                    "null",
                    i);
        }
        if (!configure()) {
            out.println("no core machine took the configuration; its logs say: " + memoryErrors());
            return false;
        }
        out.printf(
                Locale.ROOT,
                "%d core machines, %d edges, %d routes (%d bytes of JSON), %d hosts%n",
                plan.cores(),
                plan.edges(),
                plan.routes(),
                configuration(rev).length(),
                plan.hosts());
        out.println(
                "part                    seconds   links  announced/s  bytes/s  answers  kB each   p50 ms   p99 ms   max ms"
                        + "  have it  busy ms            MB              own ms");
        boolean whole = linked();
        TimeUnit.MILLISECONDS.sleep(CALM_MILLIS);
        begin();
        TimeUnit.SECONDS.sleep(plan.seconds());
        row("at rest", List.of(), 0);
        whole &= ready();
        for (int i = 0; i < plan.changes(); i++) {
            whole &= oneHost();
        }
        release();
        for (int i = 0; i < plan.changes(); i++) {
            whole &= oneRoute();
        }
        if (plan.restarts()) {
            whole &= restart("one core restarts", List.of(leader()));
            whole &= restart("all cores restart", cores());
        }
        out.println("restarts of processes: " + machines.restarts() + ", lines of their logs with an " + MEMORY_ERROR
                + ": " + memoryErrors());
        out.flush();
        return whole;
    }

    // ---- what is played

    private boolean linked() throws InterruptedException {
        begin();
        edges.start();
        int links = plan.edges() * plan.cores();
        // An edge that has all: its last link, the configuration and the list of all hosts.
        List<Seen> seen = await(all ->
                all.stream().filter(one -> one.event() == Event.CONFIGURED).count() >= plan.edges()
                        && all.stream()
                                        .filter(this::hasAllHosts)
                                        .map(Seen::edge)
                                        .distinct()
                                        .count()
                                >= plan.edges()
                        && edges.open() >= links);
        row("all dial", since(seen, one -> one.event() == Event.LINKED), links);
        row("  whole configuration", since(seen, one -> one.event() == Event.CONFIGURED), plan.edges());
        List<Double> lists = since(seen, this::hasAllHosts);
        row("  whole list", lists, plan.edges());
        return lists.size() == plan.edges() && edges.open() >= links;
    }

    private boolean hasAllHosts(Seen one) {
        return one.event() == Event.LISTED && one.list().hosts().size() == plan.hosts();
    }

    private static String edgeIp(int i) {
        return "127.0.0." + (FIRST_EDGE + i);
    }

    /** Whether all real edges call themselves ready. */
    private boolean ready() throws InterruptedException {
        int ready = 0;
        for (int i = 0; i < plan.realEdges(); i++) {
            ready += operator.isReady(edgeIp(i) + ":" + readyz) ? 1 : 0;
        }
        if (plan.realEdges() > 0) {
            out.println("real edges that are ready: " + ready + " of " + plan.realEdges());
        }
        return ready == plan.realEdges();
    }

    private boolean oneHost() throws InterruptedException {
        String id = id(nextHost);
        begin();
        replaceHost();
        IdentityHashMap<HostList, Boolean> holds = new IdentityHashMap<>();
        Predicate<Seen> held = one -> one.event() == Event.LISTED
                && holds.computeIfAbsent(
                        one.list(),
                        list -> list.hosts().stream().anyMatch(host -> host.id().equals(id)));
        List<Double> times = since(
                await(all ->
                        all.stream().filter(held).map(Seen::edge).distinct().count() >= plan.edges()),
                held);
        row("one host replaced", times, plan.edges());
        return times.size() == plan.edges();
    }

    /**
     * A release: one host a second gives way to another; times count from the first edge that holds a list to each
     * other one.
     */
    private void release() throws InterruptedException {
        begin();
        for (int i = 0; i < plan.seconds(); i++) {
            replaceHost();
            TimeUnit.SECONDS.sleep(1);
        }
        IdentityHashMap<HostList, List<Long>> held = new IdentityHashMap<>();
        edges.takeSeen().stream()
                .filter(one -> one.event() == Event.LISTED)
                .forEach(one -> held.computeIfAbsent(one.list(), list -> new ArrayList<>())
                        .add(one.at()));
        List<Double> spread = new ArrayList<>();
        held.values().forEach(times -> {
            long first = times.stream().mapToLong(Long::longValue).min().orElseThrow();
            times.forEach(at -> spread.add((at - first) / 1e6));
        });
        row("one host a second", spread, 0);
    }

    private boolean oneRoute() throws InterruptedException {
        begin();
        if (!configure()) {
            out.println("a change of one route was not acknowledged within " + START_MILLIS + " ms");
            return false;
        }
        row("one route acknowledged", List.of((System.nanoTime() - beganAt) / 1e6), 1);
        Predicate<Seen> held = one -> one.event() == Event.CONFIGURED && one.rev() >= rev;
        List<Double> times = since(await(all -> all.stream().filter(held).count() >= plan.edges()), held);
        row("  one route changed", times, plan.edges());
        return times.size() == plan.edges();
    }

    private boolean restart(String part, List<String> names) throws IOException, InterruptedException {
        int links = plan.edges() * plan.cores();
        begin();
        names.forEach(machines::kill);
        int lost = plan.edges() * names.size();
        List<Seen> seen = await(all ->
                all.stream().filter(one -> one.event() == Event.LINKED).count() >= lost && edges.open() >= links);
        row(part, since(seen, one -> one.event() == Event.LINKED), lost);
        // A later leader has another list, newer by its term.
        seen = await(
                seen,
                all -> all.stream()
                                .filter(this::hasAllHosts)
                                .map(Seen::edge)
                                .distinct()
                                .count()
                        >= plan.edges());
        row("  the new leader's list", since(seen, this::hasAllHosts), plan.edges());
        return edges.open() >= links;
    }

    // ---- what is measured

    private void begin() {
        edges.takeSeen();
        heardBefore = edges.heard();
        usedBefore = used();
        ownBefore = ProcessUse.of(ProcessHandle.current().pid());
        beganAt = System.nanoTime();
    }

    private List<ProcessUse> used() {
        return names().stream().map(name -> ProcessUse.of(machines.pid(name))).toList();
    }

    private List<String> cores() {
        return IntStream.range(0, plan.cores()).mapToObj(i -> "core-" + i).toList();
    }

    /** The core machines and, behind them, the real edges. */
    private List<String> names() {
        return Stream.concat(
                        cores().stream(), IntStream.range(0, plan.realEdges()).mapToObj(i -> "edge-" + i))
                .toList();
    }

    /** Waits until that holds of all that was seen since the part began, or for too long; returns all of it. */
    private List<Seen> await(Predicate<List<Seen>> done) throws InterruptedException {
        return await(List.of(), done);
    }

    private List<Seen> await(List<Seen> before, Predicate<List<Seen>> done) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LONGEST_MILLIS);
        List<Seen> all = new ArrayList<>(before);
        do {
            TimeUnit.MILLISECONDS.sleep(LOOK_MILLIS);
            all.addAll(edges.takeSeen());
        } while (!done.test(all) && System.nanoTime() < until);
        return all;
    }

    /** Milliseconds from the part's beginning: of each link that came up, else of each edge when it first saw this. */
    private List<Double> since(List<Seen> seen, Predicate<Seen> which) {
        Stream<Seen> those = seen.stream().filter(which);
        Stream<Long> times = those
                .collect(Collectors.groupingBy(
                        one -> one.event() == Event.LINKED ? one : (Object) one.edge(),
                        HashMap::new,
                        Collectors.minBy(Comparator.comparingLong(Seen::at))))
                .values()
                .stream()
                .map(first -> first.orElseThrow().at());
        return times.map(at -> Math.max(0, at - beganAt) / 1e6).toList();
    }

    private void row(String part, List<Double> millis, int wanted) {
        double seconds = (System.nanoTime() - beganAt) / 1e9;
        Heard heard = edges.heard().minus(heardBefore);
        List<ProcessUse> used = used();
        ProcessUse own = ProcessUse.of(ProcessHandle.current().pid());
        double perEdge = plan.edges() * seconds;
        double[] sorted =
                millis.stream().mapToDouble(Double::doubleValue).sorted().toArray();
        out.printf(
                Locale.ROOT,
                "%-22s %8.2f %7d %12.2f %8.0f %8d %8.2f %8s %8s %8s %8s  %-18s %-15s %6d%n",
                part,
                seconds,
                edges.open(),
                heard.announcements() / perEdge,
                heard.bytes() / perEdge,
                heard.answers(),
                heard.answers() == 0 ? 0 : heard.bytes() / 1e3 / heard.answers(),
                at(sorted, 0.5),
                at(sorted, 0.99),
                at(sorted, 1),
                wanted == 0 ? "" : millis.size() + "/" + wanted,
                IntStream.range(0, used.size())
                        .mapToObj(i -> Long.toString(used.get(i).processorMillisSince(usedBefore.get(i))))
                        .collect(Collectors.joining(" ")),
                used.stream()
                        .map(one -> Long.toString(one.residentKb() / 1_000))
                        .collect(Collectors.joining(" ")),
                own.processorMillisSince(ownBefore));
        out.flush();
    }

    private static String at(double[] sorted, double part) {
        return sorted.length == 0
                ? ""
                : String.format(Locale.ROOT, "%.0f", sorted[(int) Math.min(sorted.length - 1, part * sorted.length)]);
    }

    private long memoryErrors() throws IOException {
        long lines = 0;
        for (String name : names()) {
            lines += new String(Files.readAllBytes(machines.log(name)), StandardCharsets.UTF_8)
                    .lines()
                    .filter(line -> line.contains(MEMORY_ERROR))
                    .count();
        }
        return lines;
    }

    private String leader() throws IOException, InterruptedException {
        for (int i = 0; i < plan.cores(); i++) {
            if (Json.read(operator.status(i).orElse("{}")).field("role").text().equals("LEADER")) {
                return "core-" + i;
            }
        }
        return "core-0";
    }

    // ---- configurations and hosts

    /** Sends the next version, in which one route is not as it was. */
    private boolean configure() throws InterruptedException {
        boolean taken = operator.replace(rev, configuration(rev + 1), START_MILLIS);
        rev += taken ? 1 : 0;
        return taken;
    }

    private int services() {
        return Math.max(1, plan.routes() / ROUTES_OF_A_SERVICE);
    }

    private String configuration(long version) {
        StringBuilder json = new StringBuilder("{\"rev\":" + version + ",\"routes\":[");
        for (int i = 0; i < plan.routes(); i++) {
            long timeout = 3_000 + (i == version % plan.routes() ? version : 0);
            json.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"route-")
                    .append(i)
                    .append("\",\"domain\":\"tenant-")
                    .append(i / 3)
                    .append(".example\",\"prefix\":\"/booking/")
                    .append(i)
                    .append("/\",\"type\":\"")
                    .append(i % 4 == 0 ? "mutating" : "idem")
                    .append("\",\"timeoutMs\":")
                    .append(timeout)
                    .append(",\"targetMs\":600,\"prio\":")
                    .append(i % 3)
                    .append(",\"svc\":\"service-")
                    .append(i % services())
                    .append("\",\"tries\":2}");
        }
        json.append("],\"svcs\":[");
        for (int i = 0; i < services(); i++) {
            json.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"service-")
                    .append(i)
                    .append("\"}");
        }
        return json.append("]}").toString();
    }

    private PaperHost host() {
        int number = nextHost++;
        return new PaperHost(
                new StandInHost.Nature(
                        id(number), "service-" + number % services(), "zone-" + number % ZONES, SLOTS, 0, 1, 1, 0),
                new InetSocketAddress("10." + number / 65_536 + "." + number / 256 % 256 + "." + number % 256, 8_080));
    }

    private static String id(int number) {
        return String.format("i-%016x", number * 0x9E3779B97F4A7C15L);
    }

    private void replaceHost() {
        NodeProcess.run(loop, () -> {
            platform.remove(id(nextHost - plan.hosts()));
            platform.add(List.of(host()));
        });
    }

    /** Ends every process, and deletes every file. */
    @Override
    public synchronized void close() throws IOException {
        if (closed) {
            return;
        }
        closed = true;
        edges.close();
        machines.close();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly(1_000);
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
