package tinworks.edge;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tinworks.config.Configuration;
import tinworks.config.Configuration.Limits;
import tinworks.config.Configuration.Route;
import tinworks.config.Configuration.Service;
import tinworks.config.Configuration.Split;
import tinworks.net.ClientServer;
import tinworks.net.Forwarding;
import tinworks.net.HostPool;
import tinworks.net.MonotonicClock;
import tinworks.net.Transport;
import tinworks.net.WarmUpPeer;
import tinworks.policy.LoadBalancerApi.Outcome;
import tinworks.policy.LoadBalancerApi.Readiness;
import tinworks.policy.LoadBalancerApi.ServerInfo;
import tinworks.policy.LoadBalancerApi.ServerListKind;
import tinworks.policy.LoadBalancerApi.ServerListReceived;

/**
 * Warm-up before the first client: synthetic requests over loopback through a private set of the edge's own components,
 * while the whole system starts for the first time. Otherwise the first clients meet code that the JVM has not compiled
 * yet; with a small share of a processor that costs more than all requests of the first seconds. The warm-up ends when
 * its requests are done, when a client connects, or after some seconds, and leaves nothing behind. It runs on the
 * edge's event loop.
 */
final class EdgeWarmUp implements Forwarding.Callbacks {
    private static final Logger LOG = LoggerFactory.getLogger(EdgeWarmUp.class);
    private static final int REQUESTS = 150;
    private static final int CLIENTS = 2;
    private static final int HOSTS = 24;
    private static final int MAX_CONNECTIONS = 32;
    private static final int REQUESTS_PER_CONNECTION = 4;
    private static final long MAX_DURATION_MILLIS = 8_000;
    private static final long PAUSE_MILLIS = 5;
    private static final long TARGET_MILLIS = 2_000;
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final String SERVICE = "rehearsed";
    private static final String DOMAIN = "rehearsal.example";
    private static final String READS = "/reads/";
    private static final String JOBS = "/jobs/";
    private static final String LOOPBACK = "127.0.0.1";

    /**
     * The result of a warm-up.
     *
     * @param responses responses received by its clients
     * @param served responses given by its hosts
     * @param millis how long it took
     * @param endReason why it ended
     */
    record Result(int responses, long served, long millis, String endReason) {}

    private final EventLoop loop;
    private final MonotonicClock clock;
    private final BooleanSupplier clientPresent;
    private final Consumer<Result> whenDone;
    private final EdgeProtocol protocol = new EdgeProtocol(1);
    private final HostPool pool;
    private final ClientServer clients;
    private final Map<String, Forwarding> services = new HashMap<>();
    private final RequestRouter requests;
    private final List<Channel> channels = new ArrayList<>();
    private final long startedAtNanos = System.nanoTime();
    private SocketAddress serverAddress;
    private int requestsSent;
    private int responses;
    private boolean finished;

    /**
     * Prepares a warm-up.
     *
     * @param clientPresent whether a client is connected, which then has the event loop to itself
     * @param whenDone is called once, with the result
     */
    EdgeWarmUp(EventLoop loop, MonotonicClock clock, BooleanSupplier clientPresent, Consumer<Result> whenDone) {
        this.loop = loop;
        this.whenDone = whenDone;
        this.clock = clock;
        this.clientPresent = clientPresent;
        pool = new HostPool(
                loop,
                Transport.TCP,
                clock,
                new HostPool.Bounds(
                        TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS),
                        TimeUnit.MILLISECONDS.toNanos(MAX_DURATION_MILLIS),
                        MAX_CONNECTIONS,
                        1 << 16),
                protocol);
        requests = new RequestRouter(clock, new SplittableRandom(1), protocol, services);
        clients = new ClientServer(
                loop,
                Transport.TCP,
                clock,
                new ClientServer.Bounds(
                        MAX_CONNECTIONS,
                        TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS),
                        0,
                        Limits.DEFAULTS.hdrBytes(),
                        1 << 16,
                        null),
                requests);
    }

    /** Starts the warm-up; to be called on the event loop. */
    void start() {
        ChannelFuture hosts = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childHandler(handler(Host::new))
                .bind(new InetSocketAddress(LOOPBACK, 0));
        channels.add(hosts.channel());
        hosts.addListener(bound -> {
            if (bound.isSuccess()) {
                startServing(hosts.channel().localAddress());
            } else {
                finish("a server socket could not be bound: " + bound.cause());
            }
        });
    }

    private void startServing(SocketAddress hostAddress) {
        List<ServerInfo> servers = new ArrayList<>();
        List<HostPool.HostEntry> entries = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            servers.add(new ServerInfo("host-" + i, "", "", 0, Readiness.READY, 1, 0));
            entries.add(new HostPool.HostEntry("host-" + i, hostAddress, 0, true, false));
        }
        Configuration configuration = new Configuration(
                1,
                List.of(route(READS, Configuration.Type.IDEM), route(JOBS, Configuration.Type.MUTATING)),
                Map.of(SERVICE, new Service(SERVICE, "/", MAX_CONNECTIONS)),
                Limits.DEFAULTS);
        Forwarding forwarding = new Forwarding(
                loop,
                clock,
                ServiceSettings.settings(ServiceSettings.classes(configuration).get(SERVICE), 1, ""),
                1,
                pool,
                protocol,
                this);
        services.put(SERVICE, forwarding);
        pool.update(entries, true);
        forwarding.dispatch(new ServerListReceived(ServerListKind.FULL, servers));
        requests.setRoutes(new RouteTable(configuration.routes()));
        clients.listen(new InetSocketAddress(LOOPBACK, 0)).addListener(bound -> {
            if (bound.isSuccess()) {
                serverAddress = clients.address();
                for (int i = 0; i < CLIENTS; i++) {
                    connectClient();
                }
            } else {
                finish("a server socket could not be bound: " + bound.cause());
            }
        });
    }

    private static Route route(String prefix, Configuration.Type type) {
        return new Route(
                prefix, DOMAIN, prefix, type, TIMEOUT_MILLIS, TARGET_MILLIS, 1, List.of(new Split(SERVICE, 1)), 2);
    }

    private void connectClient() {
        if (!finished) {
            channels.add(new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .handler(handler(Client::new))
                    .connect(serverAddress)
                    .channel());
        }
    }

    private static ChannelInitializer<Channel> handler(java.util.function.Supplier<WarmUpPeer> maker) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(maker.get());
            }
        };
    }

    private void finish(String endReason) {
        if (!finished) {
            finished = true;
            long served = services.values().stream()
                    .mapToLong(s -> s.counters().attemptsByOutcome().getOrDefault(Outcome.SERVED, 0L))
                    .sum();
            services.values().forEach(Forwarding::close);
            clients.close();
            pool.close();
            channels.forEach(Channel::close);
            whenDone.accept(new Result(
                    responses, served, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAtNanos), endReason));
        }
    }

    /** Ends the warm-up if it is due to end; returns whether it has ended. */
    private boolean finishIfDue() {
        boolean timedOut = System.nanoTime() - startedAtNanos > TimeUnit.MILLISECONDS.toNanos(MAX_DURATION_MILLIS);
        if (responses >= REQUESTS || timedOut || clientPresent.getAsBoolean()) {
            finish(
                    responses >= REQUESTS
                            ? "all requests were answered"
                            : timedOut ? "the time limit was reached" : "a client connected");
        }
        return finished;
    }

    @Override
    public void subscribe() {
        // The host list is fixed.
    }

    @Override
    public void broadcast(byte[] body) {
        // There is no other gateway.
    }

    @Override
    public void log(String line) {
        LOG.debug(line);
    }

    private final class Client extends WarmUpPeer {
        private int requestsOnConnection;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            sendRequest(ctx);
        }

        private void sendRequest(ChannelHandlerContext ctx) {
            int sequence = requestsSent++;
            boolean isRead = sequence % 3 > 0;
            String head = (isRead ? "GET " + READS : "POST " + JOBS) + sequence + " HTTP/1.1\r\nHost: " + DOMAIN
                    + "\r\n"
                    + EdgeProtocol.ATTEMPT_ID + ": rehearsal-" + sequence + "\r\n" + EdgeProtocol.DEADLINE_MS + ": "
                    + TIMEOUT_MILLIS
                    + "\r\n";
            write(ctx, isRead ? head : head + "Content-Length: " + BODY.length + "\r\n", isRead ? EMPTY_BODY : BODY);
        }

        @Override
        protected boolean isComplete(int first, int last, ByteBuf end) {
            return isCompleteResponse(last, end);
        }

        @Override
        protected void messageReceived(ChannelHandlerContext ctx) {
            responses++;
            if (finishIfDue()) {
                return;
            }
            if (++requestsOnConnection % REQUESTS_PER_CONNECTION == 0) {
                ctx.close();
                loop.schedule(EdgeWarmUp.this::connectClient, PAUSE_MILLIS, TimeUnit.MILLISECONDS);
            } else {
                loop.schedule(
                        () -> {
                            if (!finishIfDue()) {
                                sendRequest(ctx);
                            }
                        },
                        PAUSE_MILLIS,
                        TimeUnit.MILLISECONDS);
            }
        }
    }

    /**
     * Serves nearly all requests and rejects some. Each connection carries one request at a time, so a response takes
     * its id from the request read last.
     */
    private final class Host extends WarmUpPeer {
        private static final int REJECT_EVERY = 37;
        private String id = "";

        @Override
        protected boolean isComplete(int first, int last, ByteBuf end) {
            String text = end.toString(java.nio.charset.StandardCharsets.US_ASCII);
            int idAt = text.indexOf(EdgeProtocol.ATTEMPT_ID + ": ");
            id = idAt < 0 ? id : text.substring(idAt + EdgeProtocol.ATTEMPT_ID.length() + 2, text.indexOf('\r', idAt));
            return isCompleteRequest(first, last);
        }

        @Override
        protected void messageReceived(ChannelHandlerContext ctx) {
            boolean rejects = requestsSent % REJECT_EVERY == 0;
            write(
                    ctx,
                    "HTTP/1.1 " + (rejects ? "503 Full\r\nNot-Run: 1\r\n" : "200 OK\r\nOrigin-Seal: rehearsed\r\n")
                            + EdgeProtocol.ATTEMPT_ID + ": " + id + "\r\nContent-Length: " + BODY.length + "\r\n",
                    BODY);
        }
    }
}
