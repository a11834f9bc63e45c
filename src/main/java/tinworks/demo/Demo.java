package tinworks.demo;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import tinworks.json.Json;
import tinworks.load.LoadClients;
import tinworks.load.RequestKind;
import tinworks.load.Results;
import tinworks.local.Deployment;
import tinworks.local.FreePorts;
import tinworks.local.Machines;
import tinworks.local.Operator;
import tinworks.local.ProcessCosts;
import tinworks.net.ClosingEventLoopGroup;
import tinworks.node.NodeProcess;
import tinworks.standin.Ledger;
import tinworks.standin.StandInHost;
import tinworks.standin.StandInPlatform;

/**
 * A deployment on the loopback addresses of one machine: core and edge processes as they would run anywhere, and in
 * this process the platform, the hosts, the operator and the clients. Ends with the figures and with what hosts ran
 * twice.
 */
public final class Demo implements AutoCloseable {
    /**
     * What is played.
     *
     * @param cores core machines, 3 or more
     * @param edges edge machines, 1 or more
     * @param hostsPerService hosts of each of the three services, 2 or more
     * @param perSecond requests a second of all kinds together
     * @param seconds how long clients ask
     * @param javaOptions options of each process of the system
     */
    public record Plan(
            int cores,
            int edges,
            int hostsPerService,
            double perSecond,
            long seconds,
            long seed,
            List<Fault> faults,
            List<String> javaOptions) {}

    private static final String[] SERVICES = {"lookup", "book", "archive"};
    private static final double[] WORK_MILLIS = {40, 60, 110};
    private static final double[] PARTS = {0.5, 0.25, 0.25};
    private static final int SLOTS = 4;
    private static final int QUEUE = 8;
    private static final int PLATFORM_RATE = 50;
    private static final int DESCRIPTORS = 4_096;
    private static final long LAG_MILLIS = 400;
    private static final long START_MILLIS = 30_000;
    private static final long LAST_ANSWERS_MILLIS = 5_000;
    private static final long DRAIN_MILLIS = 2_000;
    private static final double SLOWDOWN = 6;
    private static final int FIRST_EDGE = 101;

    private final Plan plan;
    private final PrintWriter out;
    private final Path folder;
    private final ClosingEventLoopGroup group = new ClosingEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Ledger ledger = new Ledger();
    private final StandInPlatform<StandInHost> platform = new StandInPlatform<>(loop, LAG_MILLIS, PLATFORM_RATE);
    private final Machines machines;
    private final SplittableRandom random;
    private final List<RequestKind> kinds;
    private final LoadClients clients;
    private final int http;
    private final int readyz;
    private final Deployment deployment;
    private final Operator operator;
    private final List<Fault> faults;
    private int victims;
    private long rev;
    private boolean closed;

    /** Nothing is started yet but the platform and the folder for disks and logs, which goes with the demo. */
    public Demo(Plan plan, PrintWriter out) throws IOException {
        this.plan = plan;
        this.out = out;
        random = new SplittableRandom(plan.seed());
        folder = Files.createTempDirectory("tinworks-demo");
        machines = new Machines(folder, plan.javaOptions());
        List<Integer> ports = FreePorts.at(Deployment.FIRST_CORE_IP, 4);
        http = ports.get(1);
        readyz = ports.get(2);
        NodeProcess.call(loop, () -> platform.listen(new InetSocketAddress("127.0.0.1", 0)))
                .syncUninterruptibly();
        deployment = new Deployment(plan.cores(), ports.get(0), ports.get(3), DESCRIPTORS, platform.address());
        operator = new Operator(deployment.operated());
        kinds = List.of(
                new RequestKind("lookup", "demo.example", "/lookup/", false, plan.perSecond() * PARTS[0], 200, 1_500),
                new RequestKind("book", "demo.example", "/book/", true, plan.perSecond() * PARTS[1], 300, 2_000),
                new RequestKind(
                        "archive", "demo.example", "/archive/", false, plan.perSecond() * PARTS[2], 500, 3_000));
        clients = NodeProcess.call(loop, () -> new LoadClients(loop, kinds, random.nextLong(), ledger));
        faults = new ArrayList<>(plan.faults());
        faults.sort(Comparator.comparingDouble(Fault::atSeconds));
    }

    private static String edgeIp(int i) {
        return "127.0.0." + (FIRST_EDGE + i);
    }

    /** Plays the plan; true where requests were served and none ran twice or against a promise. */
    public boolean play() throws IOException, InterruptedException {
        long began = System.nanoTime();
        startHosts();
        startMachines();
        if (!operator.replace(0, configuration(1, "archive"), START_MILLIS)) {
            out.println("no core machine took the configuration; logs are under " + folder);
            return false;
        }
        rev = 1;
        if (!awaitReady()) {
            out.println("no edge became ready; logs are under " + folder);
            return false;
        }
        out.printf(
                Locale.ROOT,
                "%d core machines, %d edges and %d hosts serve after %.1f s%n",
                plan.cores(),
                plan.edges(),
                plan.hostsPerService() * SERVICES.length,
                (System.nanoTime() - began) / 1e9);
        traffic();
        return closing();
    }

    private void startHosts() throws IOException {
        for (int service = 0; service < SERVICES.length; service++) {
            for (int i = 0; i < plan.hostsPerService(); i++) {
                addHost(service, i);
            }
        }
    }

    private void addHost(int service, int number) {
        // Speeds from 0.75 to 1.25 of the average: the loop has something to learn.
        double speed = 0.75 + 0.5 * number / Math.max(1, plan.hostsPerService() - 1);
        StandInHost host = NodeProcess.call(
                loop,
                () -> new StandInHost(
                        loop,
                        new StandInHost.Nature(
                                "i-" + Long.toHexString(random.nextLong()),
                                SERVICES[service],
                                "zone-" + number % 2,
                                SLOTS,
                                QUEUE,
                                WORK_MILLIS[service],
                                speed,
                                0),
                        random.nextLong(),
                        ledger));
        NodeProcess.call(loop, () -> host.listen(new InetSocketAddress("127.0.0.1", 0)))
                .syncUninterruptibly();
        NodeProcess.run(loop, () -> platform.add(List.of(host)));
    }

    private void startMachines() throws IOException {
        for (int i = 0; i < plan.cores(); i++) {
            deployment.startCore(machines, i);
        }
        for (int i = 0; i < plan.edges(); i++) {
            deployment.start(
                    machines,
                    "edge-" + i,
                    "edge",
                    edgeIp(i),
                    "\"http\":\"" + edgeIp(i) + ":" + http + "\",\"readyz\":\"" + edgeIp(i) + ":" + readyz + "\"",
                    "null",
                    i);
        }
    }

    private static String configuration(long rev, String archive) {
        return "{\"rev\":" + rev + ",\"routes\":["
                + route("lookup", "idem", 1_500, 200, 0, "lookup") + ","
                + route("book", "mutating", 2_000, 300, 0, "book") + ","
                + route("archive", "idem", 3_000, 500, 2, archive)
                + "],\"svcs\":[{\"name\":\"lookup\"},{\"name\":\"book\"},"
                + "{\"name\":\"archive\"}],\"limits\":{\"hdrBytes\":16384,\"bodyMaxBytes\":8388608,\"hdrMs\":3000,\"idleMs\":15000}}";
    }

    private static String route(String name, String type, long timeout, long aim, int prio, String service) {
        return "{\"name\":\"" + name + "\",\"domain\":\"demo.example\",\"prefix\":\"/" + name + "/\",\"type\":\"" + type
                + "\",\"timeoutMs\":" + timeout + ",\"targetMs\":" + aim + ",\"prio\":" + prio + ",\"svc\":\"" + service
                + "\",\"tries\":2}";
    }

    private boolean awaitReady() throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_MILLIS);
        while (System.nanoTime() < until) {
            if (watch() == plan.edges()) {
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        return watch() > 0;
    }

    /** The platform's watch: clients are sent to the edges that call themselves ready, or to all where none does. */
    private int watch() throws InterruptedException {
        List<InetSocketAddress> ready = new ArrayList<>();
        List<InetSocketAddress> all = new ArrayList<>();
        for (int i = 0; i < plan.edges(); i++) {
            InetSocketAddress address = new InetSocketAddress(edgeIp(i), http);
            all.add(address);
            if (operator.isReady(edgeIp(i) + ":" + readyz)) {
                ready.add(address);
            }
        }
        NodeProcess.run(loop, () -> clients.gateways(ready.isEmpty() ? all : ready));
        return ready.size();
    }

    private void traffic() throws IOException, InterruptedException {
        NodeProcess.run(loop, () -> clients.start(TimeUnit.SECONDS.toMillis(plan.seconds())));
        out.println(
                "    s  sent/s  served   p50 ms   p99 ms  edges  leader, versions   arrivals by host, least and most");
        long began = System.nanoTime();
        long sentBefore = 0;
        for (int second = 1; second <= plan.seconds(); second++) {
            while (System.nanoTime() - began < TimeUnit.SECONDS.toNanos(second)) {
                inject((System.nanoTime() - began) / 1e9);
                TimeUnit.MILLISECONDS.sleep(20);
            }
            // Guards against leaving faults out where the line before took a second or more, as on a busy machine.
            inject((System.nanoTime() - began) / 1e9);
            int ready = watch();
            sentBefore = line(second, ready, sentBefore);
        }
    }

    private long line(int second, int ready, long sentBefore) throws IOException, InterruptedException {
        Results all = NodeProcess.call(loop, clients::all);
        List<Long> arrivals = NodeProcess.call(
                loop,
                () -> platform.hosts().stream()
                        .map(StandInHost::arrivals)
                        .sorted()
                        .toList());
        out.printf(
                Locale.ROOT,
                "%5d %7d %7d %8.1f %8.1f %6d  %-18s %d to %d%n",
                second,
                all.sentInAll() - sentBefore,
                all.servedInAll(),
                all.percentileMillis(50),
                all.percentileMillis(99),
                ready,
                leaders(),
                arrivals.get(0),
                arrivals.get(arrivals.size() - 1));
        out.flush();
        return all.sentInAll();
    }

    private String leaders() throws IOException, InterruptedException {
        String leader = "none";
        List<String> versions = new ArrayList<>();
        for (int i = 0; i < plan.cores(); i++) {
            Json status = Json.read(operator.status(i).orElse("{}"));
            if (status.field("role").text().equals("LEADER")) {
                leader = "core-" + i;
            }
            versions.add(
                    status.field("rev").value() != null ? status.field("rev").text() : "-");
        }
        return leader + ", " + String.join("/", versions);
    }

    private void inject(double atSeconds) throws IOException, InterruptedException {
        while (!faults.isEmpty() && faults.get(0).atSeconds() <= atSeconds) {
            inject(faults.remove(0).kind());
        }
    }

    private void inject(Fault.Kind kind) throws IOException, InterruptedException {
        int edge = victims++ % plan.edges();
        out.println("      fault: " + kind.word());
        switch (kind) {
            case KILL_LEADER -> {
                String leader = leaders().split(",", 2)[0];
                machines.kill(leader.equals("none") ? "core-0" : leader);
            }
            case KILL_EDGE -> machines.kill("edge-" + edge);
            case TERM_EDGE -> machines.terminate("edge-" + edge);
            case KILL_ALL -> {
                for (int i = 0; i < plan.cores(); i++) {
                    machines.kill("core-" + i);
                }
                for (int i = 0; i < plan.edges(); i++) {
                    machines.kill("edge-" + i);
                }
            }
            case CONFIG -> {
                if (operator.replace(rev, configuration(rev + 1, rev % 2 == 1 ? "lookup" : "archive"), START_MILLIS)) {
                    rev++;
                }
            }
            case SLOW_HOST, DRAIN_HOST, END_HOST -> NodeProcess.run(loop, () -> host(kind));
            default -> throw new IllegalStateException(kind.toString());
        }
    }

    private void host(Fault.Kind kind) {
        List<StandInHost> standing =
                platform.hosts().stream().filter(host -> !host.isDraining()).toList();
        StandInHost host = standing.get(random.nextInt(standing.size()));
        switch (kind) {
            case SLOW_HOST -> host.slow(SLOWDOWN);
            case DRAIN_HOST -> {
                host.drain();
                platform.changed();
                loop.schedule(() -> end(host), DRAIN_MILLIS, TimeUnit.MILLISECONDS);
            }
            default -> end(host);
        }
    }

    private void end(StandInHost host) {
        host.end();
        platform.remove(host.nature().id());
    }

    private boolean closing() throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LAST_ANSWERS_MILLIS);
        while ((NodeProcess.call(loop, clients::open) > 0 || !machines.areAllRunning()) && System.nanoTime() < until) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
        out.println("kind         sent   served  in aim  refused  failed   p50 ms   p99 ms");
        long served = 0;
        for (RequestKind kind : kinds) {
            Results results =
                    NodeProcess.call(loop, () -> clients.results().get(kind).copy());
            served += results.servedInAll();
            out.printf(
                    Locale.ROOT,
                    "%-10s %6d %8d %7d %8d %7d %8.1f %8.1f%n",
                    kind.name(),
                    results.sentInAll(),
                    results.servedInAll(),
                    results.servedInAim(),
                    results.refusedInAll(),
                    results.failedInAll(),
                    results.percentileMillis(50),
                    results.percentileMillis(99));
        }
        long twice = NodeProcess.call(loop, ledger::twice);
        long broken = NodeProcess.call(loop, ledger::brokenPromises);
        long unasked = NodeProcess.call(loop, ledger::unasked);
        out.printf(
                Locale.ROOT,
                "ran twice: %d, ran against a promise: %d, ran unasked: %d; restarts: %d; list calls: %d%n",
                twice,
                broken,
                unasked,
                machines.restarts(),
                NodeProcess.call(loop, platform::answered));
        out.println(ProcessCosts.heading());
        for (String role : List.of("edge", "core")) {
            out.println(machines.costs(role).line(role));
        }
        out.flush();
        return served > 0 && twice == 0 && broken == 0 && unasked == 0;
    }

    /** Ends every process, and deletes every file. */
    @Override
    public synchronized void close() throws IOException {
        if (closed) {
            return;
        }
        closed = true;
        machines.close();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly(1_000);
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
