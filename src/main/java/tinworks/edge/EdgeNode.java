package tinworks.edge;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tinworks.channel.HostList;
import tinworks.channel.HostList.Host;
import tinworks.channel.MonotonicTime;
import tinworks.channel.PeerMessage.Hello;
import tinworks.channel.PeerMessage.NodeRole;
import tinworks.channel.TcpConnectionManager;
import tinworks.config.Configuration;
import tinworks.config.Configuration.Limits;
import tinworks.invariant.Invariant;
import tinworks.json.Address;
import tinworks.metrics.MetricsPage;
import tinworks.net.ClientServer;
import tinworks.net.Forwarding;
import tinworks.net.HostPool;
import tinworks.net.MonotonicClock;
import tinworks.net.Transport;
import tinworks.net.UnservedRequest;
import tinworks.node.BootSettings;
import tinworks.node.StallWatch;
import tinworks.platform.HostPoller;
import tinworks.policy.LoadBalancerApi.Readiness;
import tinworks.policy.LoadBalancerApi.Reconfigured;
import tinworks.policy.LoadBalancerApi.RequestClass;
import tinworks.policy.LoadBalancerApi.ServerInfo;
import tinworks.policy.LoadBalancerApi.ServerListKind;
import tinworks.policy.LoadBalancerApi.ServerListReceived;
import tinworks.policy.LoadBalancerApi.ShutdownStarted;

/**
 * An edge gateway at work. It keeps a link to every core machine and follows them ({@link CoreFollower}); what it knows
 * it goes on serving on, whether or not a core machine can be reached. All on one event loop.
 */
public final class EdgeNode implements CoreFollower.Callbacks, Forwarding.Callbacks {
    private static final Logger LOG = LoggerFactory.getLogger(EdgeNode.class);
    private static final int PROBES = 32;
    private static final int PROBE_HEAD = 4_096;
    private static final int LARGEST_ANSWER = 8 << 20;
    private static final int LARGEST_REQUEST = 8 << 20;
    private static final long TICK_MILLIS = 250;
    /** About once a second. */
    private static final long TICKS_PER_CHECK = 4;

    private static final long DIAL_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    private static final long HOST_IDLE_NANOS = TimeUnit.SECONDS.toNanos(9);
    /** The platform asks once a second and takes a gateway out when it has missed twice. */
    private static final long LAST_ANSWERS_MILLIS = 1_300;

    private static final long STOP_MILLIS = 2_700;
    private static final long END_MARGIN_MILLIS = 500;
    private static final long END_CHECK_MILLIS = 20;

    private final EventLoop loop;
    private final BootSettings settings;
    private final EdgeMemory memory = EdgeMemory.ofThisProcess();
    private final MonotonicClock clock;
    private final SplittableRandom random;
    private final TcpConnectionManager links;
    private final HostPoller poller;
    private final HostPool hosts;
    private final EdgeProtocol style;
    private final RequestRouter requests;
    private final ClientServer clients;
    private final ClientServer probes;
    private final Map<String, Forwarding> services = new LinkedHashMap<>();
    private final Map<String, Long> startedAt = new HashMap<>();
    private final CoreFollower core;
    private final ExecutorService reader = Executors.newSingleThreadExecutor(work -> {
        Thread thread = new Thread(work, "configuration");
        thread.setDaemon(true);
        return thread;
    });
    private final CompletableFuture<Void> ended = new CompletableFuture<>();
    private BootSettings current;
    /** The hosts by their ids as last told, by a core machine or by the platform itself. */
    private Map<String, Host> known = Map.of();

    private final RequestJournal journal = new RequestJournal(MonotonicTime::millis, LOG::info);
    private final StallWatch stalls = new StallWatch(TICK_MILLIS);
    private final DrainedHosts drained = new DrainedHosts();
    /** The classes of each service under the present configuration. */
    private Map<String, List<RequestClass>> classes = Map.of();

    /** Hosts of the newest list whose addresses can't be read. */
    private int leftOut;

    private boolean listed;
    private boolean ending;
    private boolean saidReady;
    private long ticks;
    /** When what came since the word to end needs its answer at the latest; 0 before. */
    private long endsAtMillis;

    /** An edge that knows its settings alone. */
    public EdgeNode(EventLoop loop, MonotonicClock clock, BootSettings settings, long id) {
        this.loop = loop;
        this.clock = clock;
        this.settings = settings;
        current = settings;
        random = new SplittableRandom(id);
        style = new EdgeProtocol(id);
        core = new CoreFollower(this);
        links = new TcpConnectionManager(
                loop, new Hello(NodeRole.EDGE, id, "", settings.node(), settings.zone()), core);
        poller = new HostPoller(loop, clock, settings.provider(), id, this::listed, this::log);
        hosts = new HostPool(
                loop,
                Transport.TCP,
                clock,
                new HostPool.Bounds(DIAL_NANOS, HOST_IDLE_NANOS, connections(), LARGEST_ANSWER),
                memory.answers(),
                style);
        requests = new RequestRouter(clock, random, style, services);
        clients = new ClientServer(
                loop, Transport.TCP, clock, clientBounds(Limits.DEFAULTS), memory.requests(), memory.heads(), requests);
        clients.dropSlowReadersWhile(memory.answers()::hasWaiters);
        probes = new ClientServer(
                loop,
                Transport.TCP,
                clock,
                new ClientServer.Bounds(
                        PROBES,
                        TimeUnit.SECONDS.toNanos(2),
                        TimeUnit.SECONDS.toNanos(5),
                        PROBE_HEAD,
                        PROBE_HEAD,
                        EdgePages.READYZ),
                new EdgePages(this::ready, this::metrics, journal));
    }

    /** Half of the descriptors for each side, less those for probes. */
    private int connections() {
        return settings.descriptors() / 2 - PROBES;
    }

    private ClientServer.Bounds clientBounds(Limits limits) {
        long body = Math.min(LARGEST_REQUEST, limits.bodyMaxBytes());
        // Clients keep to the idle time too; whoever closes first at the same moment may lose a request.
        return new ClientServer.Bounds(
                connections(),
                2 * TimeUnit.MILLISECONDS.toNanos(limits.hdrMs()),
                TimeUnit.MILLISECONDS.toNanos(limits.idleMs() * 5 / 4),
                limits.hdrBytes(),
                (int) body,
                null);
    }

    /** Starts to listen and to dial; on the event loop. */
    public List<ChannelFuture> start() {
        if (ending) {
            return List.of();
        }
        links.setAddresses(current.seeds());
        tick();
        if (settings.bootstrap()) {
            // No client can be there yet: time to meet the code before they do.
            new EdgeWarmUp(
                            loop,
                            clock,
                            clients::hasConnections,
                            played -> LOG.info(
                                    "rehearsed {} requests in {} ms: {}",
                                    played.answered(),
                                    played.millis(),
                                    played.why()))
                    .start();
        }
        return List.of(probes.listen(settings.readyz()), clients.listen(settings.http()));
    }

    /** Follows changed settings; on the event loop. */
    public void settingsChanged(BootSettings changed) {
        current = changed;
        poller.moveTo(changed.provider());
    }

    /**
     * Ends in good order: first it isn't ready any more and serves on, until the platform sends nobody; then its
     * answers end their connections; then it takes nobody in and finishes what it has. On the event loop.
     *
     * @param signalledAtMillis when the signal came, in {@link MonotonicTime}'s time: the grace runs from then, also
     *     where the event loop was at other work
     */
    public CompletableFuture<Void> shutDown(long signalledAtMillis) {
        if (!ending && !clients.isListening()) {
            ending = true;
            ended.complete(null);
        } else if (!ending) {
            ending = true;
            long within = settings.graceMillis() - END_MARGIN_MILLIS;
            endsAtMillis = signalledAtMillis + within;
            LOG.info(
                    "ends: {} requests open, {} connections",
                    services.values().stream().mapToInt(Forwarding::open).sum(),
                    clients.connectionCount());
            services.values().forEach(this::tellOfEnd);
            loop.schedule(
                    clients::closeAfterNextResponse, Math.min(LAST_ANSWERS_MILLIS, within / 4), TimeUnit.MILLISECONDS);
            loop.schedule(
                    () -> {
                        clients.stopAccepting();
                        endWhenIdle();
                    },
                    Math.min(STOP_MILLIS, within / 2),
                    TimeUnit.MILLISECONDS);
        }
        return ended;
    }

    private void tellOfEnd(Forwarding service) {
        service.dispatch(
                new ShutdownStarted(TimeUnit.MILLISECONDS.toNanos(Math.max(0, endsAtMillis - MonotonicTime.millis()))));
    }

    private void endWhenIdle() {
        if (clients.hasConnections()) {
            loop.schedule(this::endWhenIdle, END_CHECK_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            LOG.info("all clients have their answers");
            links.close();
            reader.shutdown();
            ended.complete(null);
        }
    }

    private void tick() {
        loop.schedule(this::tick, TICK_MILLIS, TimeUnit.MILLISECONDS);
        long late = stalls.came(MonotonicTime.millis());
        if (late > 0) {
            LOG.warn("the event loop stood still for {} ms", late);
        }
        sayWhetherReady();
        if (++ticks % TICKS_PER_CHECK == 0) {
            services.values().forEach(Forwarding::failOverdue);
            dropUnused();
        }
        links.setAddresses(core.addressesToDial(current.seeds()));
        // Guards against hosts that come and go while nobody tells of them: then every edge looks for itself.
        poller.turn(core.isCoreUnreachable());
    }

    /** Whether clients may be sent here: with a list and a configuration that may be served with. */
    boolean ready() {
        return core.mayServe() && listed && !ending;
    }

    private void sayWhetherReady() {
        boolean ready = ready();
        if (ready != saidReady) {
            saidReady = ready;
            LOG.info(
                    "{}: version {}, {} hosts, the core silent for {} ms{}",
                    ready ? "ready" : "not ready",
                    core.rev(),
                    known.size(),
                    core.millisSinceLeaderContact(),
                    ending ? ", ending" : "");
        }
    }

    private MetricsPage metrics() {
        double silent = (double) core.millisSinceLeaderContact() / TimeUnit.SECONDS.toMillis(1);
        MetricsPage page =
                EdgeMetrics.page(ready(), core.rev(), core.edgeCount(), known.size(), hosts.connections(), silent);
        services.forEach((service, forwarding) -> EdgeMetrics.add(page, service, forwarding));
        EdgeMetrics.add(page, clients);
        EdgeMetrics.add(page, requests);
        EdgeMetrics.add(page, stalls);
        EdgeMetrics.add(page, memory);
        return page.invariantViolations().droppedLogLines();
    }

    // ---- CoreFollower.Owner

    @Override
    public long millis() {
        return MonotonicTime.millis();
    }

    @Override
    public void decode(long rev, Callable<Configuration> version) {
        reader.execute(() -> {
            try {
                PreparedConfiguration prepared = PreparedConfiguration.of(version.call());
                loop.execute(() -> use(prepared));
            } catch (Exception e) {
                LOG.error("can't read the configuration {}: {}", rev, e.getMessage());
                loop.execute(core::decodeFailed);
            }
        });
    }

    @Override
    public void hostListChanged(HostList list) {
        listed(list.hosts());
    }

    @Override
    public void edgeCountChanged(int edges) {
        reconfigure();
    }

    private void use(PreparedConfiguration prepared) {
        Configuration configuration = prepared.configuration();
        long before = core.rev();
        if (!core.apply(configuration)) {
            return;
        }
        Invariant.VERSION_RISES.check(configuration.rev() > before, () -> configuration.rev() + " behind " + before);
        classes = prepared.classes();
        requests.use(prepared.routes());
        clients.updateBounds(clientBounds(configuration.limits()));
        style.mutating(prepared.mutating());
        reconfigure();
        LOG.info(
                "configuration {} with {} routes",
                configuration.rev(),
                configuration.routes().size());
    }

    private void reconfigure() {
        Configuration configuration = core.configuration();
        if (configuration == null) {
            return;
        }
        for (String service : configuration.services().keySet()) {
            List<RequestClass> itsClasses = classes.get(service);
            Forwarding there = services.get(service);
            if (there != null) {
                there.dispatch(new Reconfigured(itsClasses, core.edgeCount()));
            } else if (!itsClasses.isEmpty()) {
                Forwarding made = new Forwarding(
                        loop,
                        clock,
                        ServiceSettings.settings(itsClasses, core.edgeCount(), settings.zone()),
                        random.nextLong(),
                        hosts,
                        style,
                        this);
                services.put(service, made);
                made.dispatch(new ServerListReceived(ServerListKind.FULL, servers(service)));
                if (ending) {
                    tellOfEnd(made);
                }
            }
        }
        for (Map.Entry<String, Forwarding> entry : List.copyOf(services.entrySet())) {
            if (!configuration.services().containsKey(entry.getKey())) {
                entry.getValue().dispatch(new Reconfigured(List.of(), core.edgeCount()));
            }
        }
    }

    /**
     * Guards against a memory and a page of metrics that grow with every service that there ever was: the module of one
     * that no version names any more goes with its last request.
     */
    private void dropUnused() {
        Configuration configuration = core.configuration();
        if (configuration == null) {
            return;
        }
        services.entrySet().removeIf(entry -> {
            boolean unused = !configuration.services().containsKey(entry.getKey())
                    && entry.getValue().open() == 0;
            if (unused) {
                entry.getValue().close();
            }
            return unused;
        });
    }

    /** What is known of the core. */
    CoreFollower follower() {
        return core;
    }

    /** How many services have a module here. */
    int modules() {
        return services.size();
    }

    // ---- the hosts

    /**
     * A list that a core machine told or, while none does, one that this edge fetched itself. Only what is not as it
     * was is passed on: a release changes some hosts a second, of hundreds. A host whose address can't be read is as
     * good as gone, and keeps none of the others out.
     */
    private void listed(List<Host> found) {
        Map<String, Host> next = new LinkedHashMap<>();
        Map<String, List<ServerInfo>> changed = new HashMap<>();
        List<HostPool.HostEntry> places = new ArrayList<>();
        for (Host told : readable(found)) {
            Host host = drained.kept(told);
            Host old = known.get(host.id());
            next.put(host.id(), host);
            if (old != null && !old.service().equals(host.service())) {
                changed.computeIfAbsent(old.service(), service -> new ArrayList<>())
                        .add(server(old, Readiness.REMOVED));
            }
            if (old == null || !old.equalsIgnoringWarmup(host)) {
                startedAt.computeIfAbsent(host.id(), id -> startOf(host));
                places.add(new HostPool.HostEntry(
                        host.id(), Address.parse(host.address()), startedAt.get(host.id()), !host.draining(), false));
                changed.computeIfAbsent(host.service(), service -> new ArrayList<>())
                        .add(server(host));
            }
        }
        for (Host old : known.values()) {
            if (!next.containsKey(old.id())) {
                places.add(new HostPool.HostEntry(
                        old.id(), Address.parse(old.address()), startedAt.get(old.id()), false, true));
                changed.computeIfAbsent(old.service(), service -> new ArrayList<>())
                        .add(server(old, Readiness.REMOVED));
            }
        }
        startedAt.keySet().retainAll(next.keySet());
        known = next;
        hosts.update(places, false);
        changed.forEach((service, servers) -> {
            Forwarding forwarding = services.get(service);
            if (forwarding != null) {
                forwarding.dispatch(new ServerListReceived(ServerListKind.CHANGES, servers));
            }
        });
        if (!listed) {
            LOG.info("{} hosts", found.size());
        }
        listed = true;
    }

    private List<Host> readable(List<Host> found) {
        List<Host> readable = new ArrayList<>(found.size());
        for (Host host : found) {
            Host before = known.get(host.id());
            if ((before != null && before.address().equals(host.address())) || Address.isValid(host.address())) {
                readable.add(host);
            }
        }
        int left = found.size() - readable.size();
        if (left != leftOut) {
            leftOut = left;
            LOG.warn("left out {} hosts whose addresses can't be read", left);
        }
        return readable;
    }

    /** In this edge's clock; 0 where the start is long ago. */
    private long startOf(Host host) {
        long warm = Math.min(ServiceSettings.WARM_UP_NANOS, TimeUnit.MILLISECONDS.toNanos(host.warmupMs()));
        return warm <= 0 ? 0 : clock.nanos() + warm - ServiceSettings.WARM_UP_NANOS;
    }

    private List<ServerInfo> servers(String service) {
        List<ServerInfo> servers = new ArrayList<>();
        for (Host host : known.values()) {
            if (host.service().equals(service)) {
                servers.add(server(host));
            }
        }
        return servers;
    }

    private ServerInfo server(Host host) {
        return server(host, host.draining() ? Readiness.DRAINING : Readiness.READY);
    }

    private ServerInfo server(Host host, Readiness readiness) {
        return new ServerInfo(host.id(), host.zone(), "", 0, readiness, host.slots(), startedAt.get(host.id()));
    }

    // ---- Forwarding.Owner

    @Override
    public void subscribe() {
        // The list comes by itself.
    }

    @Override
    public void broadcast(byte[] body) {
        // Settings without messages between gateways never ask for one.
    }

    @Override
    public void log(String line) {
        LOG.info(line);
    }

    @Override
    public boolean isReady(String id) {
        Host host = known.get(id);
        return host != null && !host.draining();
    }

    @Override
    public void requestEnded(UnservedRequest request) {
        journal.ended(request, core.rev());
    }
}
