package tinworks.soak;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import tinworks.load.LoadClients;
import tinworks.load.RequestKind;
import tinworks.load.Results;
import tinworks.local.Deployment;
import tinworks.local.FreePorts;
import tinworks.local.Machines;
import tinworks.local.ProcessCosts;
import tinworks.net.ClosingEventLoopGroup;
import tinworks.node.NodeProcess;

/**
 * One day: a deployment of real processes on loopback, its surroundings in this process, troubles by a schedule that
 * nothing holds up, a calm at the end in which all has to come back, and what was broken meanwhile.
 */
public final class SoakDay implements AutoCloseable {
    /** What came of a day. */
    public record Outcome(List<Breach> breaches, String figures, Coverage coverage, Path kept) {}

    private static final int DESCRIPTORS = 2_300;
    private static final int FIRST_EDGE = 101;
    private static final long RESTART_MILLIS = 500;
    private static final long START_MILLIS = 30_000;
    /** What each process more than a few adds to that. */
    private static final long START_MILLIS_EACH = 500;

    private static final int PERSISTENT_CLIENTS = 3;
    private static final int FEW_EDGES = 6;
    private static final long CALM_MILLIS = 4_000;
    /** All edges are ready, and the core shows its newest version, so long after the last trouble. */
    private static final long RECOVER_MILLIS = 15_000;
    /** Of the requests sent in the calm at the end at least so many are served. */
    private static final double SERVED_IN_CALM = 0.9;

    private static final long PATIENCE_MILLIS = 1_500;
    private static final long WATCH_MILLIS = 100;
    /** A process over this would be killed on the smallest machines. */
    private static final long MOST_KILOBYTES = 330 << 10;

    private final SoakPlan plan;
    private final Path folder;
    private final ClosingEventLoopGroup group = new ClosingEventLoopGroup(3, NioIoHandler.newFactory());
    private final EventLoop hostLoop = group.next();
    private final EventLoop clientLoop = group.next();
    private final EventLoop relayLoop = group.next();
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(4);
    private final ExecutorService workers = Executors.newCachedThreadPool();
    private final Timeline timeline = new Timeline();
    private final Books books = new Books(timeline);
    private final SplittableRandom random;
    private final SoakHosts hosts;
    private final Relays relays;
    private final Machines machines;
    private final SoakOperators operators;
    private final PersistentClients persistent = new PersistentClients(books);
    private final LoadClients clients;
    private final List<RequestKind> kinds;
    private final List<EdgeProbe> probes = new ArrayList<>();
    private final Deployment deployment;
    private final Troublemaker troublemaker;
    private final int http;
    private final int readyz;
    private volatile boolean over;
    private boolean closed;

    /** Nothing is started yet but the platform and its hosts, and the folder, which goes with the day. */
    public SoakDay(SoakPlan plan) throws IOException {
        this.plan = plan;
        random = new SplittableRandom(plan.seed());
        folder = Files.createTempDirectory("tinworks-soak");
        hosts = new SoakHosts(hostLoop, books, random.split());
        InetSocketAddress platform = hosts.start(plan.hostsPerService());
        List<Integer> ports = FreePorts.at(Deployment.FIRST_CORE_IP, 4);
        http = ports.get(1);
        readyz = ports.get(2);
        deployment = new Deployment(plan.cores(), ports.get(0), ports.get(3), DESCRIPTORS, platform, true);
        machines = new Machines(folder, plan.javaOptions(), RESTART_MILLIS);
        relays = NodeProcess.call(relayLoop, () -> new Relays(relayLoop));
        relayCores();
        operators = new SoakOperators(deployment.operated(), books, timeline);
        kinds = List.of(
                kind("lookup", false, 0.4, 1_200, 0),
                kind("book", true, 0.35, 1_800, 20_000),
                kind("archive", false, 0.25, 2_000, 0));
        clients = NodeProcess.call(clientLoop, () -> new LoadClients(clientLoop, kinds, random.nextLong(), books));
        clients.waitLonger(PATIENCE_MILLIS);
        for (int i = 0; i < plan.edges(); i++) {
            probes.add(probe(i));
        }
        troublemaker = new Troublemaker(
                plan,
                machines,
                hosts,
                relays,
                relayLoop,
                operators,
                probes,
                new RudeClients(this::targets, books),
                this::burst,
                books,
                timeline,
                timers,
                workers);
    }

    private void relayCores() {
        for (int i = 0; i < plan.cores(); i++) {
            relays.relay(
                    "core-" + i,
                    new InetSocketAddress(Deployment.relayIp(i), deployment.inner()),
                    new InetSocketAddress(Deployment.coreIp(i), deployment.inner()));
        }
    }

    private EdgeProbe probe(int i) {
        String name = edge(i);
        return new EdgeProbe(
                name,
                new InetSocketAddress(edgeIp(i), http),
                new InetSocketAddress(edgeIp(i), readyz),
                books,
                timeline,
                operators,
                () -> machines.pid(name));
    }

    private RequestKind kind(String name, boolean once, double part, long deadline, int body) {
        return new RequestKind(
                name,
                SoakConfigurations.DOMAIN,
                "/" + name + "/",
                once,
                plan.perSecond() * part,
                deadline / 3,
                deadline,
                body);
    }

    static String edge(int i) {
        return "edge-" + i;
    }

    private static String edgeIp(int i) {
        return "127.0.0." + (FIRST_EDGE + i);
    }

    /** Plays the day. */
    public Outcome play() throws IOException, InterruptedException {
        // A start is no calm time.
        timeline.begins("core", books.now());
        startMachines();
        if (!operators.first(random.split()) || !await(startMillis(), this::allReady)) {
            books.breach("Start", "no version is taken, or an edge isn't ready within " + startMillis() + " ms");
            return outcome();
        }
        timeline.ends("core", books.now());
        surroundings();
        long began = books.now();
        NodeProcess.run(clientLoop, () -> clients.start(TimeUnit.HOURS.toMillis(1)));
        for (Trouble trouble : plan.troubles()) {
            timers.schedule(() -> troublemaker.begin(trouble), trouble.atMillis(), TimeUnit.MILLISECONDS);
        }
        TimeUnit.MILLISECONDS.sleep(TimeUnit.SECONDS.toMillis(plan.seconds()) - (books.now() - began));
        closing();
        return outcome();
    }

    private long startMillis() {
        return START_MILLIS + START_MILLIS_EACH * plan.edges();
    }

    private void startMachines() throws IOException {
        for (int i = 0; i < plan.cores(); i++) {
            deployment.startCore(machines, i);
        }
        for (int i = 0; i < plan.edges(); i++) {
            deployment.start(
                    machines,
                    edge(i),
                    "edge",
                    edgeIp(i),
                    "\"http\":\"" + edgeIp(i) + ":" + http + "\",\"readyz\":\"" + edgeIp(i) + ":" + readyz + "\"",
                    "null",
                    i);
        }
    }

    /** What goes on at all times beside the clients. */
    private void surroundings() {
        BusyMachineWatch busy = new BusyMachineWatch(probes, machines, books, timeline);
        busy.watchStalls(hostLoop);
        busy.watchStalls(clientLoop);
        for (EdgeProbe probe : probes) {
            SplittableRandom own = random.split();
            repeat(() -> {
                probe.askReady();
                route();
                probe.askVersion();
                TimeUnit.MILLISECONDS.sleep(watchMillis() + own.nextInt((int) watchMillis()));
            });
            for (int i = plan.edges() <= FEW_EDGES ? 0 : PERSISTENT_CLIENTS - 1; i < PERSISTENT_CLIENTS; i++) {
                SplittableRandom its = random.split();
                workers.execute(() -> quietly(() -> persistent.run(probe.http(), its)));
            }
        }
        repeat(busy::watchProcessors);
        SplittableRandom ordering = random.split();
        SplittableRandom reading = random.split();
        workers.execute(() -> quietly(() -> operators.run(ordering)));
        workers.execute(() -> quietly(() -> operators.read(reading)));
    }

    /** Each edge is asked as often as this process can bear it. */
    private long watchMillis() {
        return WATCH_MILLIS * Math.max(1, plan.edges() / FEW_EDGES);
    }

    /** What may be interrupted at the end. */
    private interface Work {
        void run() throws InterruptedException;
    }

    private static void quietly(Work work) {
        try {
            work.run();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void repeat(Work work) {
        workers.execute(() -> quietly(() -> {
            while (!over) {
                work.run();
            }
        }));
    }

    /** Clients are sent to the edges that call themselves ready, or to all where none does. */
    private void route() {
        List<InetSocketAddress> targets = targets();
        clientLoop.execute(() -> clients.gateways(targets));
    }

    private List<InetSocketAddress> targets() {
        List<InetSocketAddress> ready =
                probes.stream().filter(EdgeProbe::isReady).map(EdgeProbe::http).toList();
        return ready.isEmpty() ? probes.stream().map(EdgeProbe::http).toList() : ready;
    }

    private void burst(long millis) {
        SplittableRandom own = random.split();
        List<RequestKind> more = kinds.stream()
                .map(kind -> new RequestKind(
                        kind.name(),
                        kind.domain(),
                        kind.prefix(),
                        kind.once(),
                        2 * kind.perSecond(),
                        kind.aimMillis(),
                        kind.deadlineMillis(),
                        kind.mostBodyBytes()))
                .toList();
        NodeProcess.run(clientLoop, () -> {
            LoadClients crowd = new LoadClients(clientLoop, more, own.nextLong(), books);
            crowd.waitLonger(PATIENCE_MILLIS);
            crowd.gateways(targets());
            crowd.start(millis);
        });
    }

    private boolean allReady() {
        for (EdgeProbe probe : probes) {
            probe.askReady();
        }
        return probes.stream().allMatch(EdgeProbe::isReady);
    }

    /** Something to wait for. */
    private interface Condition {
        boolean holds() throws InterruptedException;
    }

    private static boolean await(long millis, Condition condition) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (!condition.holds()) {
            if (System.nanoTime() > until) {
                return false;
            }
            TimeUnit.MILLISECONDS.sleep(50);
        }
        return true;
    }

    // ---- the end

    private void closing() throws InterruptedException {
        troublemaker.heal();
        boolean ready = await(RECOVER_MILLIS, () -> machines.areAllRunning() && allReady());
        if (!ready) {
            List<String> missing = new ArrayList<>();
            for (int i = 0; i < probes.size(); i++) {
                if (!probes.get(i).isReady()) {
                    missing.add(edge(i));
                }
            }
            books.breach("RECOVER", "not ready " + RECOVER_MILLIS + " ms after the last trouble: " + missing);
        }
        long sentBefore = NodeProcess.call(clientLoop, () -> clients.all().sentInAll());
        long servedBefore = NodeProcess.call(clientLoop, () -> clients.all().servedInAll());
        TimeUnit.MILLISECONDS.sleep(CALM_MILLIS);
        NodeProcess.run(clientLoop, clients::stop);
        persistent.stop();
        operators.stop();
        await(PATIENCE_MILLIS + TimeUnit.SECONDS.toMillis(3), () -> NodeProcess.call(clientLoop, clients::open) == 0);
        Results all = NodeProcess.call(clientLoop, clients::all);
        long sent = all.sentInAll() - sentBefore;
        long served = all.servedInAll() - servedBefore;
        if (served < sent * SERVED_IN_CALM) {
            books.breach("RECOVER", "in the calm at the end " + served + " of " + sent + " requests are served");
        }
        for (int i = 0; i < plan.cores(); i++) {
            int core = i;
            if (!await(RECOVER_MILLIS, () -> operators.show(core, true) != null)) {
                books.breach("CONFIG", "core-" + core + " shows nothing at the end");
            }
        }
        over = true;
    }

    private Outcome outcome() throws IOException, InterruptedException {
        over = true;
        operators.stop();
        long most = 0;
        for (String name : names()) {
            most = Math.max(most, ProcessCosts.peakKilobytes(machines.pid(name)));
        }
        if (most > MOST_KILOBYTES) {
            books.breach("Memory", "a process holds " + most + " kB");
        }
        workers.shutdownNow();
        machines.close();
        DayEvidence evidence = new DayEvidence(plan, names(), machines, troublemaker, books);
        evidence.judge();
        List<Breach> breaches = books.breaches();
        String figures = books.counts() + ", newest version " + operators.newest() + ", restarts " + machines.restarts()
                + ", peak " + most / 1_024 + " MB";
        Coverage coverage = troublemaker.coverage();
        return new Outcome(breaches, figures, coverage, breaches.isEmpty() ? null : evidence.keep(breaches, figures));
    }

    private List<String> names() {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < plan.cores(); i++) {
            names.add("core-" + i);
        }
        for (int i = 0; i < plan.edges(); i++) {
            names.add(edge(i));
        }
        return names;
    }

    /** Ends every process, and deletes every file but those that were kept. */
    @Override
    public synchronized void close() throws IOException {
        if (closed) {
            return;
        }
        closed = true;
        over = true;
        timers.shutdownNow();
        workers.shutdownNow();
        machines.close();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly(2_000);
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
