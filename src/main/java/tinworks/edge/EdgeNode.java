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
 * A running edge gateway. It keeps a connection to every core node, replicates their state ({@link CoreFollower}) and
 * proxies client requests to hosts under that state, whether or not a core node is reachable. Everything runs on one
 * event loop; how a request is forwarded is left to {@link Forwarding}.
 */
public final class EdgeNode implements CoreFollower.Callbacks, Forwarding.Callbacks {
    private static final Logger LOG = LoggerFactory.getLogger(EdgeNode.class);
    private static final int MAX_PROBE_CONNECTIONS = 32;
    private static final int MAX_PROBE_BYTES = 4_096;
    private static final int MAX_RESPONSE_BYTES = 8 << 20;
    private static final int MAX_REQUEST_BYTES = 8 << 20;
    private static final long TICK_MILLIS = 250;
    /** About once a second. */
    private static final long TICKS_PER_CHECK = 4;

    private static final long CONNECT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    private static final long HOST_IDLE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(9);
    /** The platform probes readiness once a second and removes a gateway after two failed probes. */
    private static final long CLOSE_CONNECTIONS_AFTER_MILLIS = 1_300;

    private static final long STOP_ACCEPTING_AFTER_MILLIS = 2_700;
    private static final long SHUTDOWN_MARGIN_MILLIS = 500;
    private static final long DRAIN_CHECK_MILLIS = 20;

    private final EventLoop loop;
    private final BootSettings settings;
    private final EdgeMemory memory = EdgeMemory.ofThisProcess();
    private final MonotonicClock clock;
    private final SplittableRandom random;
    private final TcpConnectionManager links;
    private final HostPoller poller;
    private final HostPool hosts;
    private final EdgeProtocol protocol;
    private final RequestRouter requests;
    private final ClientServer clients;
    private final ClientServer probes;
    private final Map<String, Forwarding> services = new LinkedHashMap<>();
    private final Map<String, Long> startNanosById = new HashMap<>();
    private final CoreFollower core;
    private final ExecutorService configurationDecoder = Executors.newSingleThreadExecutor(work -> {
        Thread thread = new Thread(work, "configuration");
        thread.setDaemon(true);
        return thread;
    });
    private final CompletableFuture<Void> shutdownComplete = new CompletableFuture<>();
    private BootSettings currentSettings;
    /** The current hosts by id, as last listed by a core node or by the platform itself. */
    private Map<String, Host> hostsById = Map.of();

    private final RequestJournal journal = new RequestJournal(MonotonicTime::millis, LOG::info);
    private final StallWatch stalls = new StallWatch(TICK_MILLIS);
    private final DrainedHosts drained = new DrainedHosts();
    /** The request classes of each service under the current configuration. */
    private Map<String, List<RequestClass>> classesByService = Map.of();

    /** The number of hosts in the newest list whose addresses cannot be parsed. */
    private int unreadableHosts;

    private boolean hostListReceived;
    private boolean shuttingDown;
    private boolean lastLoggedReady;
    private long ticks;
    /** The time by which every request must be answered during graceful shutdown; 0 before that. */
    private long shutdownDeadlineMillis;

    /** Creates an edge that has neither a configuration nor a host list yet. */
    public EdgeNode(EventLoop loop, MonotonicClock clock, BootSettings settings, long id) {
        this.loop = loop;
        this.clock = clock;
        this.settings = settings;
        currentSettings = settings;
        random = new SplittableRandom(id);
        protocol = new EdgeProtocol(id);
        core = new CoreFollower(this);
        links = new TcpConnectionManager(
                loop, new Hello(NodeRole.EDGE, id, "", settings.node(), settings.zone()), core);
        poller = new HostPoller(loop, clock, settings.provider(), id, this::updateHosts, this::log);
        hosts = new HostPool(
                loop,
                Transport.TCP,
                clock,
                new HostPool.Bounds(
                        CONNECT_TIMEOUT_NANOS, HOST_IDLE_TIMEOUT_NANOS, connectionLimit(), MAX_RESPONSE_BYTES),
                memory.responses(),
                protocol);
        requests = new RequestRouter(clock, random, protocol, services);
        clients = new ClientServer(
                loop,
                Transport.TCP,
                clock,
                clientBounds(Limits.DEFAULTS),
                memory.requestBodies(),
                memory.heads(),
                requests);
        clients.dropSlowReadersWhile(memory.responses()::hasWaiters);
        probes = new ClientServer(
                loop,
                Transport.TCP,
                clock,
                new ClientServer.Bounds(
                        MAX_PROBE_CONNECTIONS,
                        TimeUnit.SECONDS.toNanos(2),
                        TimeUnit.SECONDS.toNanos(5),
                        MAX_PROBE_BYTES,
                        MAX_PROBE_BYTES,
                        EdgePages.READYZ),
                new EdgePages(this::ready, this::metrics, journal));
    }

    /** The connection limit of each side, clients and hosts: half of the file descriptors, less those for probes. */
    private int connectionLimit() {
        return settings.descriptors() / 2 - MAX_PROBE_CONNECTIONS;
    }

    private ClientServer.Bounds clientBounds(Limits limits) {
        long maxBodyBytes = Math.min(MAX_REQUEST_BYTES, limits.bodyMaxBytes());
        // Clients apply this timeout too; the edge waits longer, as closing at the same moment can lose a request.
        return new ClientServer.Bounds(
                connectionLimit(),
                2 * TimeUnit.MILLISECONDS.toNanos(limits.hdrMs()),
                TimeUnit.MILLISECONDS.toNanos(limits.idleMs() * 5 / 4),
                limits.hdrBytes(),
                (int) maxBodyBytes,
                null);
    }

    /** Starts to listen, and to connect to core nodes; to be called on the event loop. */
    public List<ChannelFuture> start() {
        if (shuttingDown) {
            return List.of();
        }
        links.setAddresses(currentSettings.seeds());
        tick();
        if (settings.bootstrap()) {
            // The whole system starts for the first time, so no client is connected yet: there is time to warm up.
            new EdgeWarmUp(
                            loop,
                            clock,
                            clients::hasConnections,
                            result -> LOG.info(
                                    "warm-up: {} requests in {} ms, ended because {}",
                                    result.responses(),
                                    result.millis(),
                                    result.endReason()))
                    .start();
        }
        return List.of(probes.listen(settings.readyz()), clients.listen(settings.http()));
    }

    /** Applies changed settings; to be called on the event loop. */
    public void settingsChanged(BootSettings changed) {
        currentSettings = changed;
        poller.moveTo(changed.provider());
    }

    /**
     * Graceful shutdown. The edge first reports not ready and keeps serving, until the platform no longer sends clients
     * to it. Then it closes each connection with its next response (connection draining). Then it stops accepting
     * connections and completes the requests in flight. To be called on the event loop.
     *
     * @param signalledAtMillis when the signal arrived, by {@link MonotonicTime}: the grace period runs from then, even
     *     if the event loop was busy
     */
    public CompletableFuture<Void> shutDown(long signalledAtMillis) {
        if (!shuttingDown && !clients.isListening()) {
            shuttingDown = true;
            shutdownComplete.complete(null);
        } else if (!shuttingDown) {
            shuttingDown = true;
            long availableMillis = settings.graceMillis() - SHUTDOWN_MARGIN_MILLIS;
            shutdownDeadlineMillis = signalledAtMillis + availableMillis;
            LOG.info(
                    "shutting down: {} requests in flight, {} connections",
                    services.values().stream().mapToInt(Forwarding::open).sum(),
                    clients.connectionCount());
            services.values().forEach(this::notifyOfShutdown);
            loop.schedule(
                    clients::closeAfterNextResponse,
                    Math.min(CLOSE_CONNECTIONS_AFTER_MILLIS, availableMillis / 4),
                    TimeUnit.MILLISECONDS);
            loop.schedule(
                    () -> {
                        clients.stopAccepting();
                        completeWhenDrained();
                    },
                    Math.min(STOP_ACCEPTING_AFTER_MILLIS, availableMillis / 2),
                    TimeUnit.MILLISECONDS);
        }
        return shutdownComplete;
    }

    private void notifyOfShutdown(Forwarding service) {
        service.dispatch(new ShutdownStarted(
                TimeUnit.MILLISECONDS.toNanos(Math.max(0, shutdownDeadlineMillis - MonotonicTime.millis()))));
    }

    private void completeWhenDrained() {
        if (clients.hasConnections()) {
            loop.schedule(this::completeWhenDrained, DRAIN_CHECK_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            LOG.info("all client requests have been answered");
            links.close();
            configurationDecoder.shutdown();
            shutdownComplete.complete(null);
        }
    }

    private void tick() {
        loop.schedule(this::tick, TICK_MILLIS, TimeUnit.MILLISECONDS);
        long stalledMillis = stalls.came(MonotonicTime.millis());
        if (stalledMillis > 0) {
            LOG.warn("event loop stalled for {} ms", stalledMillis);
        }
        logReadinessChange();
        if (++ticks % TICKS_PER_CHECK == 0) {
            services.values().forEach(Forwarding::failOverdue);
            closeUnusedServices();
        }
        links.setAddresses(core.addressesToDial(currentSettings.seeds()));
        // While the core is unreachable, host changes are not pushed: each edge then polls the platform itself.
        poller.turn(core.isCoreUnreachable());
    }

    /** Whether the edge is ready for clients: it has a host list and a configuration that it may serve with. */
    boolean ready() {
        return core.mayServe() && hostListReceived && !shuttingDown;
    }

    private void logReadinessChange() {
        boolean ready = ready();
        if (ready != lastLoggedReady) {
            lastLoggedReady = ready;
            LOG.info(
                    "{}: configuration version {}, {} hosts, last leader contact {} ms ago{}",
                    ready ? "ready" : "not ready",
                    core.rev(),
                    hostsById.size(),
                    core.millisSinceLeaderContact(),
                    shuttingDown ? ", shutting down" : "");
        }
    }

    private MetricsPage metrics() {
        double secondsSinceLeader = (double) core.millisSinceLeaderContact() / TimeUnit.SECONDS.toMillis(1);
        MetricsPage page = EdgeMetrics.page(
                ready(), core.rev(), core.edgeCount(), hostsById.size(), hosts.connections(), secondsSinceLeader);
        services.forEach((service, forwarding) -> EdgeMetrics.add(page, service, forwarding));
        EdgeMetrics.add(page, clients);
        EdgeMetrics.add(page, requests);
        EdgeMetrics.add(page, stalls);
        EdgeMetrics.add(page, memory);
        return page.invariantViolations().droppedLogLines();
    }

    // ---- CoreFollower.Callbacks

    @Override
    public long millis() {
        return MonotonicTime.millis();
    }

    @Override
    public void decode(long rev, Callable<Configuration> version) {
        configurationDecoder.execute(() -> {
            try {
                PreparedConfiguration prepared = PreparedConfiguration.of(version.call());
                loop.execute(() -> apply(prepared));
            } catch (Exception e) {
                LOG.error("cannot decode configuration version {}: {}", rev, e.getMessage());
                loop.execute(core::decodeFailed);
            }
        });
    }

    @Override
    public void hostListChanged(HostList list) {
        updateHosts(list.hosts());
    }

    @Override
    public void edgeCountChanged(int edges) {
        reconfigure();
    }

    private void apply(PreparedConfiguration prepared) {
        Configuration configuration = prepared.configuration();
        long previous = core.rev();
        if (!core.apply(configuration)) {
            return;
        }
        Invariant.VERSION_RISES.check(
                configuration.rev() > previous, () -> configuration.rev() + " is not above " + previous);
        classesByService = prepared.classes();
        requests.setRoutes(prepared.routes());
        clients.updateBounds(clientBounds(configuration.limits()));
        protocol.setMutatingClasses(prepared.mutatingClasses());
        reconfigure();
        LOG.info(
                "configuration version {} in use, {} routes",
                configuration.rev(),
                configuration.routes().size());
    }

    private void reconfigure() {
        Configuration configuration = core.configuration();
        if (configuration == null) {
            return;
        }
        for (String service : configuration.services().keySet()) {
            List<RequestClass> requestClasses = classesByService.get(service);
            Forwarding existing = services.get(service);
            if (existing != null) {
                existing.dispatch(new Reconfigured(requestClasses, core.edgeCount()));
            } else if (!requestClasses.isEmpty()) {
                Forwarding created = new Forwarding(
                        loop,
                        clock,
                        ServiceSettings.settings(requestClasses, core.edgeCount(), settings.zone()),
                        random.nextLong(),
                        hosts,
                        protocol,
                        this);
                services.put(service, created);
                created.dispatch(new ServerListReceived(ServerListKind.FULL, servers(service)));
                if (shuttingDown) {
                    notifyOfShutdown(created);
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
     * Closes the load balancer of each service that the configuration no longer names, once its last request has ended.
     * Otherwise memory and the metrics page would grow with every service that ever existed.
     */
    private void closeUnusedServices() {
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

    /** The replica of the core's state. */
    CoreFollower follower() {
        return core;
    }

    /** The number of services with a load balancer. */
    int serviceCount() {
        return services.size();
    }

    // ---- hosts

    /**
     * Applies a host list, received from a core node or, while the core is unreachable, polled by this edge. Only
     * differences are passed on, as a release changes a few hosts a second out of hundreds. A host whose address cannot
     * be parsed is treated as removed and does not affect the others.
     */
    private void updateHosts(List<Host> listedHosts) {
        Map<String, Host> nextById = new LinkedHashMap<>();
        Map<String, List<ServerInfo>> changedByService = new HashMap<>();
        List<HostPool.HostEntry> entries = new ArrayList<>();
        for (Host listedHost : withReadableAddress(listedHosts)) {
            Host host = drained.withDrainingKept(listedHost);
            Host old = hostsById.get(host.id());
            nextById.put(host.id(), host);
            if (old != null && !old.service().equals(host.service())) {
                changedByService
                        .computeIfAbsent(old.service(), service -> new ArrayList<>())
                        .add(server(old, Readiness.REMOVED));
            }
            if (old == null || !old.equalsIgnoringWarmup(host)) {
                startNanosById.computeIfAbsent(host.id(), id -> startNanos(host));
                entries.add(new HostPool.HostEntry(
                        host.id(),
                        Address.parse(host.address()),
                        startNanosById.get(host.id()),
                        !host.draining(),
                        false));
                changedByService
                        .computeIfAbsent(host.service(), service -> new ArrayList<>())
                        .add(server(host));
            }
        }
        for (Host old : hostsById.values()) {
            if (!nextById.containsKey(old.id())) {
                entries.add(new HostPool.HostEntry(
                        old.id(), Address.parse(old.address()), startNanosById.get(old.id()), false, true));
                changedByService
                        .computeIfAbsent(old.service(), service -> new ArrayList<>())
                        .add(server(old, Readiness.REMOVED));
            }
        }
        startNanosById.keySet().retainAll(nextById.keySet());
        hostsById = nextById;
        hosts.update(entries, false);
        changedByService.forEach((service, servers) -> {
            Forwarding forwarding = services.get(service);
            if (forwarding != null) {
                forwarding.dispatch(new ServerListReceived(ServerListKind.CHANGES, servers));
            }
        });
        if (!hostListReceived) {
            LOG.info("first host list received: {} hosts", listedHosts.size());
        }
        hostListReceived = true;
    }

    private List<Host> withReadableAddress(List<Host> listedHosts) {
        List<Host> readable = new ArrayList<>(listedHosts.size());
        for (Host host : listedHosts) {
            Host previous = hostsById.get(host.id());
            if ((previous != null && previous.address().equals(host.address())) || Address.isValid(host.address())) {
                readable.add(host);
            }
        }
        int unreadable = listedHosts.size() - readable.size();
        if (unreadable != unreadableHosts) {
            unreadableHosts = unreadable;
            LOG.warn("ignoring {} hosts whose addresses cannot be parsed", unreadable);
        }
        return readable;
    }

    /** When a host started, by this edge's clock, as far as slow start needs it; 0 if its warm-up is over. */
    private long startNanos(Host host) {
        long warmUpNanos =
                Math.min(ServiceSettings.MAX_SLOW_START_NANOS, TimeUnit.MILLISECONDS.toNanos(host.warmupMs()));
        return warmUpNanos <= 0 ? 0 : clock.nanos() + warmUpNanos - ServiceSettings.MAX_SLOW_START_NANOS;
    }

    private List<ServerInfo> servers(String service) {
        List<ServerInfo> servers = new ArrayList<>();
        for (Host host : hostsById.values()) {
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
        return new ServerInfo(host.id(), host.zone(), "", 0, readiness, host.slots(), startNanosById.get(host.id()));
    }

    // ---- Forwarding.Callbacks

    @Override
    public void subscribe() {
        // The core nodes push the host list without a subscription.
    }

    @Override
    public void broadcast(byte[] body) {
        // Not called: the settings allow no messages between gateways.
    }

    @Override
    public void log(String line) {
        LOG.info(line);
    }

    @Override
    public boolean isReady(String id) {
        Host host = hostsById.get(id);
        return host != null && !host.draining();
    }

    @Override
    public void requestEnded(UnservedRequest request) {
        journal.add(request, core.rev());
    }
}
