package tinworks.net;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.ToLongFunction;
import tinworks.net.ClientServer.BadRequest;
import tinworks.net.ClientServer.Reply;
import tinworks.policy.LoadBalancerApi.Event;
import tinworks.policy.LoadBalancerApi.PeerMessageReceived;
import tinworks.policy.LoadBalancerApi.RequestClass;
import tinworks.policy.LoadBalancerApi.ServerListKind;
import tinworks.policy.LoadBalancerApi.ServerListReceived;
import tinworks.policy.LoadBalancerApi.ShutdownStarted;

/**
 * A gateway of the balancer protocol. Connects clients, hosts, discovery and peer messages to one {@link Forwarding},
 * on one event loop thread. Process start and signals are handled by {@link GatewayProcess}.
 */
final class Gateway implements Forwarding.Callbacks {
    /** After SIGTERM, the platform waits at least the longest deadline and this time before it kills the process. */
    private static final long KILL_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(700);
    /** The part of that time that is reserved for late delivery of the signal and for stalls of this process. */
    private static final long SHUTDOWN_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    private static final long MAX_ACCEPTING_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long SHUTDOWN_POLL_MILLIS = 10;
    /** File descriptors for the listener, the discovery watch, the selector, jar files and standard streams. */
    private static final int RESERVED_DESCRIPTORS = 64;

    private final EventLoop loop;
    private final Consumer<String> log;
    private final MonotonicClock clock;
    private final GatewayConfig config;
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final CompletableFuture<Void> terminated = new CompletableFuture<>();
    private final Forwarding forwarding;
    private final HostPool hosts;
    private final Discovery discovery;
    private final ClientServer clients;
    /** Null if the configuration names no other gateways. */
    private final Peers peers;

    private boolean discoveryResponded;
    private boolean shuttingDown;

    private Gateway(GatewayLoop gatewayLoop, GatewayConfig config, Transport transport, Consumer<String> log) {
        loop = gatewayLoop.loop();
        clock = gatewayLoop.clock();
        this.log = log;
        this.config = config;
        config.settings().classes().forEach(c -> classes.put(c.name(), c));
        int connections = Math.max(2, config.maxDescriptors() - RESERVED_DESCRIPTORS);
        hosts = new HostPool(
                loop,
                transport,
                clock,
                new HostPool.Bounds(
                        config.connectTimeoutNanos(),
                        config.hostIdleTimeoutNanos(),
                        connections / 2,
                        ResponseReader.DEFAULT_MAX_BODY_BYTES),
                BalancerProtocol.INSTANCE);
        discovery = new Discovery(
                loop,
                transport,
                config.discovery(),
                config.knownHosts().index(),
                Discovery.READ_TIMEOUT_MILLIS,
                new DiscoveryListener());
        clients = new ClientServer(
                loop, transport, clock, ClientServer.Bounds.defaults(connections / 2), new RequestListener());
        forwarding =
                new Forwarding(loop, clock, config.settings(), config.seed(), hosts, BalancerProtocol.INSTANCE, this);
        peers = config.peers() == null
                ? null
                : new Peers(
                        loop,
                        config.peers(),
                        config.settings().gatewayIndex(),
                        (gateway, body) -> dispatch(new PeerMessageReceived(gateway, body)),
                        log);
    }

    /** Starts a gateway; the future completes when it listens, or exceptionally if it cannot. */
    static CompletableFuture<Gateway> start(
            GatewayLoop loop, GatewayConfig config, Transport transport, Consumer<String> log) {
        return open(loop, config, transport, log).thenCompose(Gateway::listen);
    }

    /**
     * Creates a gateway that watches discovery but does not listen yet. The first list may take long, so the caller can
     * do other work before the gateway listens, rather than listen without being ready.
     */
    static CompletableFuture<Gateway> open(
            GatewayLoop loop, GatewayConfig config, Transport transport, Consumer<String> log) {
        CompletableFuture<Gateway> opened = new CompletableFuture<>();
        loop.loop().execute(() -> {
            Gateway gateway = new Gateway(loop, config, transport, log);
            gateway.hosts.update(
                    config.knownHosts().hostEntries(), config.knownHosts().snapshot());
            gateway.dispatch(new ServerListReceived(
                    ServerListKind.CACHED, config.knownHosts().servers()));
            opened.complete(gateway);
        });
        return opened;
    }

    /** Starts listening; the future completes with this gateway, or exceptionally. Thread-safe. */
    CompletableFuture<Gateway> listen() {
        CompletableFuture<Gateway> started = new CompletableFuture<>();
        loop.execute(() -> clients.listen(config.listen()).addListener(bound -> {
            if (bound.isSuccess()) {
                started.complete(this);
            } else {
                started.completeExceptionally(bound.cause());
            }
        }));
        return started;
    }

    /** The address that clients connect to. */
    InetSocketAddress address() {
        return clients.address();
    }

    /**
     * Starts a graceful shutdown: keeps serving on open client connections while a request can still be answered within
     * its latency target, answers all accepted requests, and then completes the future. Otherwise clients would be sent
     * away while no other gateway may be available, for example in a rolling restart with slow starts, or if the other
     * gateways are full or crash. The time is bounded, since a successor may have to wait for this process to exit.
     * Thread-safe.
     */
    CompletableFuture<Void> shutDown() {
        loop.execute(() -> {
            if (!shuttingDown) {
                shuttingDown = true;
                long withinNanos = max(RequestClass::deadlineNanos) + KILL_GRACE_NANOS - SHUTDOWN_MARGIN_NANOS;
                dispatch(new ShutdownStarted(withinNanos));
                loop.schedule(
                        this::stopAccepting,
                        Math.min(MAX_ACCEPTING_NANOS, withinNanos - max(RequestClass::targetNanos)),
                        TimeUnit.NANOSECONDS);
            }
        });
        return terminated;
    }

    private long max(ToLongFunction<RequestClass> duration) {
        return classes.values().stream().mapToLong(duration).max().orElseThrow();
    }

    /** Moves the discovery watch to this address; the host list and open requests are kept. Thread-safe. */
    void setDiscoveryAddress(SocketAddress address) {
        loop.execute(() -> {
            // After termination nothing would close the watch.
            if (!terminated.isDone()) {
                discovery.switchTo(address);
            }
        });
    }

    private void stopAccepting() {
        clients.stopAccepting();
        closeWhenIdle();
    }

    private void closeWhenIdle() {
        if (clients.hasConnections()) {
            loop.schedule(this::closeWhenIdle, SHUTDOWN_POLL_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            discovery.close();
            if (peers != null) {
                peers.close();
            }
            terminated.complete(null);
        }
    }

    private void dispatch(Event event) {
        forwarding.dispatch(event);
    }

    @Override
    public void subscribe() {
        discovery.watch();
    }

    @Override
    public void broadcast(byte[] body) {
        if (peers != null) {
            peers.broadcast(body);
        }
    }

    @Override
    public void log(String line) {
        log.accept(line);
    }

    private final class DiscoveryListener implements Discovery.Listener {
        @Override
        public void onList(EndpointList list) {
            discoveryResponded = true;
            hosts.update(list.hostEntries(), list.snapshot());
            dispatch(new ServerListReceived(
                    list.snapshot() ? ServerListKind.FULL : ServerListKind.CHANGES, list.servers()));
        }

        @Override
        public void onFailure() {
            discoveryResponded = true;
            dispatch(new ServerListReceived(ServerListKind.FAILED, List.of()));
        }
    }

    private final class RequestListener implements ClientServer.Listener {
        /**
         * A gateway with a known host list is ready before discovery responds. Otherwise a rollout would keep gateways
         * unready for as long as discovery takes to respond to all of them in turn. One without a list waits.
         */
        @Override
        public boolean ready() {
            return (discoveryResponded || !config.knownHosts().endpoints().isEmpty()) && !shuttingDown;
        }

        @Override
        public void onRequest(FullHttpRequest request, long receivedAt, Reply reply) throws BadRequest {
            long now = clock.nanos();
            forwarding.begin(
                    now, RequestReader.read(request, classes, now - receivedAt), AttemptLimit.NONE, request, reply);
        }
    }
}
