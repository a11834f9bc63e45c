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
 * Made-up requests through parts of an edge's own, over loopback, while the whole system starts for the first time and
 * nobody can ask yet. Guards against meeting the first clients with code that is not compiled, which on a small part of
 * a core costs more than all requests of the first seconds. It ends as soon as a client is there, after some seconds at
 * the latest, or when its requests are through; nothing of it outlives it. All on the edge's event loop.
 */
final class EdgeWarmUp implements Forwarding.Callbacks {
    private static final Logger LOG = LoggerFactory.getLogger(EdgeWarmUp.class);
    private static final int REQUESTS = 150;
    private static final int CLIENTS = 2;
    private static final int HOSTS = 24;
    private static final int CONNECTIONS = 32;
    private static final int FRESH_EVERY = 4;
    private static final long LONGEST_MILLIS = 8_000;
    private static final long PAUSE_MILLIS = 5;
    private static final long TARGET_MILLIS = 2_000;
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final String SERVICE = "rehearsed";
    private static final String DOMAIN = "rehearsal.example";
    private static final String READS = "/reads/";
    private static final String JOBS = "/jobs/";
    private static final String LOOPBACK = "127.0.0.1";

    /** What was played: answers that came, those by a host among them, how long it took, and why it ended. */
    record Result(int answered, long served, long millis, String why) {}

    private final EventLoop loop;
    private final MonotonicClock clock;
    private final BooleanSupplier wanted;
    private final Consumer<Result> told;
    private final EdgeProtocol style = new EdgeProtocol(1);
    private final HostPool pool;
    private final ClientServer clients;
    private final Map<String, Forwarding> services = new HashMap<>();
    private final RequestRouter requests;
    private final List<Channel> channels = new ArrayList<>();
    private final long startedAt = System.nanoTime();
    private SocketAddress stage;
    private int asked;
    private int answered;
    private boolean over;

    /**
     * {@code wanted} tells whether a client is there, and the loop is theirs; {@code told} is told of the end, once.
     */
    EdgeWarmUp(EventLoop loop, MonotonicClock clock, BooleanSupplier wanted, Consumer<Result> told) {
        this.loop = loop;
        this.told = told;
        this.clock = clock;
        this.wanted = wanted;
        pool = new HostPool(
                loop,
                Transport.TCP,
                clock,
                new HostPool.Bounds(
                        TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS),
                        TimeUnit.MILLISECONDS.toNanos(LONGEST_MILLIS),
                        CONNECTIONS,
                        1 << 16),
                style);
        requests = new RequestRouter(clock, new SplittableRandom(1), style, services);
        clients = new ClientServer(
                loop,
                Transport.TCP,
                clock,
                new ClientServer.Bounds(
                        CONNECTIONS,
                        TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS),
                        0,
                        Limits.DEFAULTS.hdrBytes(),
                        1 << 16,
                        null),
                requests);
    }

    /** Begins; on the event loop. */
    void start() {
        ChannelFuture hosts = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childHandler(handler(Host::new))
                .bind(new InetSocketAddress(LOOPBACK, 0));
        channels.add(hosts.channel());
        hosts.addListener(bound -> {
            if (bound.isSuccess()) {
                open(hosts.channel().localAddress());
            } else {
                end("no address: " + bound.cause());
            }
        });
    }

    private void open(SocketAddress hosts) {
        List<ServerInfo> servers = new ArrayList<>();
        List<HostPool.HostEntry> places = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            servers.add(new ServerInfo("host-" + i, "", "", 0, Readiness.READY, 1, 0));
            places.add(new HostPool.HostEntry("host-" + i, hosts, 0, true, false));
        }
        Configuration made = new Configuration(
                1,
                List.of(route(READS, Configuration.Type.IDEM), route(JOBS, Configuration.Type.MUTATING)),
                Map.of(SERVICE, new Service(SERVICE, "/", CONNECTIONS)),
                Limits.DEFAULTS);
        Forwarding forwarding = new Forwarding(
                loop,
                clock,
                ServiceSettings.settings(ServiceSettings.classes(made).get(SERVICE), 1, ""),
                1,
                pool,
                style,
                this);
        services.put(SERVICE, forwarding);
        pool.update(places, true);
        forwarding.dispatch(new ServerListReceived(ServerListKind.FULL, servers));
        requests.use(new RouteTable(made.routes()));
        clients.listen(new InetSocketAddress(LOOPBACK, 0)).addListener(bound -> {
            if (bound.isSuccess()) {
                stage = clients.address();
                for (int i = 0; i < CLIENTS; i++) {
                    dial();
                }
            } else {
                end("no address: " + bound.cause());
            }
        });
    }

    private static Route route(String prefix, Configuration.Type type) {
        return new Route(
                prefix, DOMAIN, prefix, type, TIMEOUT_MILLIS, TARGET_MILLIS, 1, List.of(new Split(SERVICE, 1)), 2);
    }

    private void dial() {
        if (!over) {
            channels.add(new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .handler(handler(Client::new))
                    .connect(stage)
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

    private void end(String why) {
        if (!over) {
            over = true;
            long served = services.values().stream()
                    .mapToLong(s -> s.counters().attemptsByOutcome().getOrDefault(Outcome.SERVED, 0L))
                    .sum();
            services.values().forEach(Forwarding::close);
            clients.close();
            pool.close();
            channels.forEach(Channel::close);
            told.accept(
                    new Result(answered, served, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt), why));
        }
    }

    /** Whether it has ended, of itself or now. */
    private boolean isOver() {
        boolean late = System.nanoTime() - startedAt > TimeUnit.MILLISECONDS.toNanos(LONGEST_MILLIS);
        if (answered >= REQUESTS || late || wanted.getAsBoolean()) {
            end(answered >= REQUESTS ? "all were through" : late ? "the time was over" : "a client came");
        }
        return over;
    }

    @Override
    public void subscribe() {
        // The hosts are known.
    }

    @Override
    public void broadcast(byte[] body) {
        // There is nobody else.
    }

    @Override
    public void log(String line) {
        LOG.debug(line);
    }

    private final class Client extends WarmUpPeer {
        private int here;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ask(ctx);
        }

        private void ask(ChannelHandlerContext ctx) {
            int number = asked++;
            boolean reads = number % 3 > 0;
            String head = (reads ? "GET " + READS : "POST " + JOBS) + number + " HTTP/1.1\r\nHost: " + DOMAIN + "\r\n"
                    + EdgeProtocol.ID + ": rehearsal-" + number + "\r\n" + EdgeProtocol.DEADLINE + ": " + TIMEOUT_MILLIS
                    + "\r\n";
            write(ctx, reads ? head : head + "Content-Length: " + BODY.length + "\r\n", reads ? EMPTY_BODY : BODY);
        }

        @Override
        protected boolean isComplete(int first, int last, ByteBuf end) {
            return isCompleteResponse(last, end);
        }

        @Override
        protected void messageReceived(ChannelHandlerContext ctx) {
            answered++;
            if (isOver()) {
                return;
            }
            if (++here % FRESH_EVERY == 0) {
                ctx.close();
                loop.schedule(EdgeWarmUp.this::dial, PAUSE_MILLIS, TimeUnit.MILLISECONDS);
            } else {
                loop.schedule(
                        () -> {
                            if (!isOver()) {
                                ask(ctx);
                            }
                        },
                        PAUSE_MILLIS,
                        TimeUnit.MILLISECONDS);
            }
        }
    }

    /** Serves nearly all, and turns some away. Its clients ask in turn, so it knows whom it answers by the request. */
    private final class Host extends WarmUpPeer {
        private static final int FULL_EVERY = 37;
        private String id = "";

        @Override
        protected boolean isComplete(int first, int last, ByteBuf end) {
            String text = end.toString(java.nio.charset.StandardCharsets.US_ASCII);
            int at = text.indexOf(EdgeProtocol.ID + ": ");
            id = at < 0 ? id : text.substring(at + EdgeProtocol.ID.length() + 2, text.indexOf('\r', at));
            return isCompleteRequest(first, last);
        }

        @Override
        protected void messageReceived(ChannelHandlerContext ctx) {
            boolean full = asked % FULL_EVERY == 0;
            write(
                    ctx,
                    "HTTP/1.1 " + (full ? "503 Full\r\nNot-Run: 1\r\n" : "200 OK\r\nOrigin-Seal: rehearsed\r\n")
                            + EdgeProtocol.ID + ": " + id + "\r\nContent-Length: " + BODY.length + "\r\n",
                    BODY);
        }
    }
}
