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
 * One real gateway of the earlier protocol: clients, hosts, the watch on the list and messages to other gateways round
 * one {@link Forwarding}. Everything runs on one event loop thread.
 */
final class Gateway implements Forwarding.Callbacks {
    /** The platform kills no sooner than the longest deadline and so much more after it asked for an end. */
    private static final long KILLED_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(700);
    /** Of that time, what is left for a signal that comes late and for this process's own stalls. */
    private static final long END_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    private static final long LONGEST_TAKING_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long END_CHECK_MILLIS = 10;
    /** Descriptors for the listener, the watch, the selector, the jar files and the standard streams. */
    private static final int OTHER_DESCRIPTORS = 64;

    private final EventLoop loop;
    private final Consumer<String> log;
    private final MonotonicClock clock;
    private final GatewayConfig config;
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final CompletableFuture<Void> ended = new CompletableFuture<>();
    private final Forwarding forwarding;
    private final HostPool hosts;
    private final Discovery discovery;
    private final ClientServer clients;
    /** Null where the configuration names no other gateways. */
    private final Peers peers;

    private boolean askedForList;
    private boolean ending;

    private Gateway(GatewayLoop gatewayLoop, GatewayConfig config, Transport transport, Consumer<String> log) {
        loop = gatewayLoop.loop();
        clock = gatewayLoop.clock();
        this.log = log;
        this.config = config;
        config.settings().classes().forEach(c -> classes.put(c.name(), c));
        int connections = Math.max(2, config.sockets() - OTHER_DESCRIPTORS);
        hosts = new HostPool(
                loop,
                transport,
                clock,
                new HostPool.Bounds(
                        config.dialTimeoutNanos(),
                        config.idleNanos(),
                        connections / 2,
                        ResponseReader.DEFAULT_MAX_BODY_BYTES),
                BalancerProtocol.INSTANCE);
        discovery = new Discovery(
                loop, transport, config.discovery(), config.known().index(), Discovery.SILENCE_MILLIS, new Watcher());
        clients =
                new ClientServer(loop, transport, clock, ClientServer.Bounds.defaults(connections / 2), new Requests());
        forwarding =
                new Forwarding(loop, clock, config.settings(), config.seed(), hosts, BalancerProtocol.INSTANCE, this);
        peers = config.peers() == null
                ? null
                : new Peers(
                        loop,
                        config.peers(),
                        config.settings().gatewayIndex(),
                        (gateway, body) -> tell(new PeerMessageReceived(gateway, body)),
                        log);
    }

    /** Starts a gateway; the future ends when it listens, or tells why it can't. */
    static CompletableFuture<Gateway> start(
            GatewayLoop loop, GatewayConfig config, Transport transport, Consumer<String> log) {
        return open(loop, config, transport, log).thenCompose(Gateway::listen);
    }

    /**
     * A gateway that follows discovery and takes no clients yet. Guards against a gateway that listens and isn't ready:
     * discovery's first answer may take its time, in which other work can be done.
     */
    static CompletableFuture<Gateway> open(
            GatewayLoop loop, GatewayConfig config, Transport transport, Consumer<String> log) {
        CompletableFuture<Gateway> opened = new CompletableFuture<>();
        loop.loop().execute(() -> {
            Gateway gateway = new Gateway(loop, config, transport, log);
            gateway.hosts.update(config.known().places(), config.known().snapshot());
            gateway.tell(
                    new ServerListReceived(ServerListKind.CACHED, config.known().servers()));
            opened.complete(gateway);
        });
        return opened;
    }

    /** Starts to take clients; the future ends with this gateway, or tells why it can't. From any thread. */
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

    /** Where clients connect. */
    InetSocketAddress address() {
        return clients.address();
    }

    /**
     * Ends in good order: serves on the connections that clients have for as long as a request can still be answered
     * within its aim, answers all that was taken, and then completes the future. Guards against sending clients away
     * while no other gateway may be there for them, as in a rolling restart whose starts take long; equally where the
     * others are full, or die. It could do harm where a successor has to wait for this process's end, so the time is
     * bounded. May be called from any thread.
     */
    CompletableFuture<Void> end() {
        loop.execute(() -> {
            if (!ending) {
                ending = true;
                long within = longest(RequestClass::deadlineNanos) + KILLED_AFTER_NANOS - END_MARGIN_NANOS;
                tell(new ShutdownStarted(within));
                loop.schedule(
                        this::stopAccepting,
                        Math.min(LONGEST_TAKING_NANOS, within - longest(RequestClass::targetNanos)),
                        TimeUnit.NANOSECONDS);
            }
        });
        return ended;
    }

    private long longest(ToLongFunction<RequestClass> time) {
        return classes.values().stream().mapToLong(time).max().orElseThrow();
    }

    /** Follows discovery at this address from now on; the list and the open requests stay. From any thread. */
    void moveDiscovery(SocketAddress address) {
        loop.execute(() -> {
            // Guards against a watch that nothing closes any more.
            if (!ended.isDone()) {
                discovery.moveTo(address);
            }
        });
    }

    private void stopAccepting() {
        clients.stopAccepting();
        endWhenIdle();
    }

    private void endWhenIdle() {
        if (clients.hasConnections()) {
            loop.schedule(this::endWhenIdle, END_CHECK_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            discovery.close();
            if (peers != null) {
                peers.close();
            }
            ended.complete(null);
        }
    }

    private void tell(Event event) {
        forwarding.dispatch(event);
    }

    @Override
    public void subscribe() {
        discovery.watch();
    }

    @Override
    public void broadcast(byte[] body) {
        if (peers != null) {
            peers.tellAll(body);
        }
    }

    @Override
    public void log(String line) {
        log.accept(line);
    }

    private final class Watcher implements Discovery.Listener {
        @Override
        public void listed(EndpointList list) {
            askedForList = true;
            hosts.update(list.places(), list.snapshot());
            tell(new ServerListReceived(
                    list.snapshot() ? ServerListKind.FULL : ServerListKind.CHANGES, list.servers()));
        }

        @Override
        public void failed() {
            askedForList = true;
            tell(new ServerListReceived(ServerListKind.FAILED, List.of()));
        }
    }

    private final class Requests implements ClientServer.Listener {
        /**
         * Guards against a release that keeps its gateways out for as long as discovery takes to answer all of them in
         * turn: with the list that it last had, a gateway serves meanwhile. One without a list waits.
         */
        @Override
        public boolean ready() {
            return (askedForList || !config.known().endpoints().isEmpty()) && !ending;
        }

        @Override
        public void onRequest(FullHttpRequest request, long arrivedAt, Reply reply) throws BadRequest {
            long at = clock.nanos();
            forwarding.begin(
                    at, RequestReader.read(request, classes, at - arrivedAt), AttemptLimit.NONE, request, reply);
        }
    }
}
