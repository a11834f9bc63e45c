package tinworks.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.local.LocalAddress;
import io.netty.channel.local.LocalIoHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.SocketAddress;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import tinworks.net.EndpointList.Endpoint;
import tinworks.policy.LoadBalancerApi.Idempotency;
import tinworks.policy.LoadBalancerApi.Readiness;
import tinworks.policy.LoadBalancerApi.RequestClass;
import tinworks.policy.LoadBalancerApi.ServerInfo;

/**
 * Made-up requests through a gateway of its own, over sockets that nobody else can reach, before the real one listens.
 * Guards against a cold start under load: code that is not yet compiled costs so much that the first seconds' clients
 * are answered late, and the module learns from these answers that all hosts are slow. Nothing of the rehearsal
 * outlives it, and no client or host ever sees it.
 */
final class WarmUp {
    /** Enough to meet nearly all code often; more would keep a gateway that starts anew out for longer. */
    private static final int REQUESTS = 400;
    /** Without sockets less can be warmed: enough to meet the code once, and clients are served the sooner. */
    private static final int REQUESTS_IN_MEMORY = 24;

    private static final int CLIENTS = 8;
    private static final int HOSTS = 4;
    /** A gateway is wanted soon after its start: what isn't warm by then has to do. */
    static final long LONGEST_MILLIS = 4_000;

    private static final long END_MILLIS = 500;
    private static final long QUIET_MILLIS = 20;

    private final EventLoop loop;
    private final EventLoop farSides;
    private final GatewayConfig config;
    private final Transport transport;
    private final int requests;
    private final SocketAddress stage;
    private final SocketAddress hosts;
    private final CompletableFuture<Void> done = new CompletableFuture<>();
    private int asked;
    private int answered;

    private WarmUp(
            EventLoop loop,
            EventLoop farSides,
            GatewayConfig config,
            Transport transport,
            SocketAddress stage,
            SocketAddress hosts) {
        this.loop = loop;
        this.farSides = farSides;
        this.config = config;
        this.transport = transport;
        requests = transport.equals(Transport.IN_MEMORY) ? REQUESTS_IN_MEMORY : REQUESTS;
        this.stage = stage;
        this.hosts = hosts;
    }

    /**
     * Returns when all is warm, or when it has taken long enough: whether it was played to its end. One that fails
     * costs only its gain.
     */
    static boolean run(GatewayConfig config, long longestMillis) {
        try {
            return hasFileSockets() ? inFiles(config, longestMillis) : inMemory(config, longestMillis);
        } catch (TimeoutException e) {
            System.err.println("tinworks: the rehearsal was cut short");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException | ExecutionException e) {
            System.err.println("tinworks: no rehearsal: " + e.getMessage());
        }
        return false;
    }

    /** Some platforms grant a process sockets of the internet protocol and no others. */
    private static boolean hasFileSockets() {
        try (SocketChannel probe = SocketChannel.open(StandardProtocolFamily.UNIX)) {
            return probe.isOpen();
        } catch (IOException | UnsupportedOperationException e) {
            return false;
        }
    }

    private static boolean inFiles(GatewayConfig config, long longestMillis)
            throws IOException, InterruptedException, ExecutionException, TimeoutException {
        // Of its own making: the library's names for such folders come out of a slow source of chance.
        Path folder = Files.createDirectory(Path.of(
                System.getProperty("java.io.tmpdir"),
                "rehearsal-" + ProcessHandle.current().pid() + "-" + System.nanoTime()));
        try {
            return play(
                    config,
                    longestMillis,
                    NioIoHandler.newFactory(),
                    Transport.UNIX_DOMAIN,
                    UnixDomainSocketAddress.of(folder.resolve("stage")),
                    UnixDomainSocketAddress.of(folder.resolve("hosts")));
        } finally {
            Files.deleteIfExists(folder.resolve("stage"));
            Files.deleteIfExists(folder.resolve("hosts"));
            Files.deleteIfExists(folder);
        }
    }

    /** Leaves the sockets themselves cold, and warms all that stands on them. */
    static boolean inMemory(GatewayConfig config, long longestMillis)
            throws InterruptedException, ExecutionException, TimeoutException {
        return play(
                config,
                longestMillis,
                LocalIoHandler.newFactory(),
                Transport.IN_MEMORY,
                new LocalAddress("rehearsal-stage"),
                new LocalAddress("rehearsal-hosts"));
    }

    private static boolean play(
            GatewayConfig config,
            long longestMillis,
            IoHandlerFactory io,
            Transport transport,
            SocketAddress stage,
            SocketAddress hosts)
            throws InterruptedException, ExecutionException, TimeoutException {
        // In memory a write on one loop would be read within the call: the far sides have a loop of their own, and
        // as each tells the other of its end, neither may end at once.
        boolean twoLoops = transport.equals(Transport.IN_MEMORY);
        ClosingEventLoopGroup group = new ClosingEventLoopGroup(twoLoops ? 2 : 1, io);
        try {
            new WarmUp(group.next(), group.next(), config, transport, stage, hosts)
                    .play()
                    .get(longestMillis, TimeUnit.MILLISECONDS);
            return true;
        } finally {
            group.shutdownGracefully(twoLoops ? QUIET_MILLIS : 0, QUIET_MILLIS, TimeUnit.MILLISECONDS)
                    .await(END_MILLIS);
        }
    }

    private CompletableFuture<Void> play() {
        // Guards against compiling for one kind of sockets alone, which the first of the other kind would undo.
        new NioSocketChannel().unsafe().closeForcibly();
        ServerBootstrap listener = new ServerBootstrap().group(farSides).channel(transport.server());
        listener.childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new Host());
                    }
                })
                .bind(hosts)
                .addListener(bound -> {
                    if (bound.isSuccess()) {
                        Gateway.start(GatewayLoop.unwatched(loop), setting(), transport, line -> {})
                                .whenComplete((gateway, fault) -> {
                                    if (fault == null) {
                                        farSides.execute(this::clients);
                                    } else {
                                        done.completeExceptionally(fault);
                                    }
                                });
                    } else {
                        done.completeExceptionally(bound.cause());
                    }
                });
        return done;
    }

    /** The real settings, with hosts that are all this rehearsal's own. */
    private GatewayConfig setting() {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            endpoints.add(new Endpoint(
                    new ServerInfo("host-" + i, config.settings().zone(), "any", 0, Readiness.READY, 1, 0), hosts));
        }
        return new GatewayConfig(
                stage,
                hosts,
                config.seed(),
                config.sockets(),
                config.dialTimeoutNanos(),
                config.idleNanos(),
                config.settings(),
                new EndpointList(0, true, endpoints),
                null);
    }

    private void clients() {
        Bootstrap dial = new Bootstrap()
                .group(farSides)
                .channel(transport.client())
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new Client());
                    }
                });
        for (int i = 0; i < CLIENTS; i++) {
            dial.connect(stage);
        }
    }

    private final class Client extends WarmUpPeer {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ask(ctx);
        }

        private void ask(ChannelHandlerContext ctx) {
            List<RequestClass> classes = config.settings().classes();
            RequestClass c = classes.get(asked++ % classes.size());
            boolean safe = c.idempotency() == Idempotency.SAFE;
            String head = (safe ? "GET /" : "POST /") + c.name() + "/" + asked + " HTTP/1.1\r\nHost: localhost\r\n"
                    + "X-Request-ID: rehearsal-" + asked + "\r\nX-Timeout: "
                    + TimeUnit.NANOSECONDS.toMillis(c.deadlineNanos()) + "m\r\n";
            if (!config.settings().tenants().isEmpty()) {
                head += "X-Tenant-Id: " + config.settings().tenants().get(0).name() + "\r\n";
            }
            if (c.idempotency() == Idempotency.KEYED) {
                head += "Idempotency-Key: rehearsal-" + asked + "\r\n";
            }
            write(ctx, safe ? head : head + "Content-Length: " + BODY.length + "\r\n", safe ? EMPTY_BODY : BODY);
        }

        @Override
        protected boolean isComplete(int first, int last, ByteBuf end) {
            return isCompleteResponse(last, end);
        }

        @Override
        protected void messageReceived(ChannelHandlerContext ctx) {
            if (++answered < requests) {
                ask(ctx);
            } else {
                done.complete(null);
            }
        }
    }

    /** Serves nearly all, and shows the gateway the other ends that an attempt can have. */
    private static final class Host extends WarmUpPeer {
        private static final int FULL_EVERY = 37;
        private static final int ERROR_EVERY = 53;
        private static final String REST = "Content-Length: " + BODY.length + "\r\nX-Server-Load: tps=";

        private int requests;

        @Override
        protected boolean isComplete(int first, int last, ByteBuf end) {
            return isCompleteRequest(first, last);
        }

        @Override
        protected void messageReceived(ChannelHandlerContext ctx) {
            requests++;
            boolean full = requests % FULL_EVERY == 0;
            String status = full
                    ? "503 Full\r\nX-Not-Processed: 1\r\n"
                    : requests % ERROR_EVERY == 0 ? "500 Error\r\n" : "200 OK\r\n";
            write(ctx, "HTTP/1.1 " + status + REST + requests + ".5,load_share=0.25,err_ps=0\r\n", BODY);
        }
    }
}
