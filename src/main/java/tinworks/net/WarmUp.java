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
 * JIT warm-up: sends synthetic requests through a temporary gateway, over channels that are not reachable from outside,
 * before the real gateway listens. Under load, code that is not yet compiled is so slow that clients get late responses
 * in the first seconds, and the load balancer takes all hosts for slow. Nothing of the warm-up remains afterwards, and
 * no real client or host is involved.
 */
final class WarmUp {
    /** Runs nearly all code often enough to be compiled; more would delay the start of a gateway. */
    private static final int REQUESTS = 400;
    /** Without sockets less code can be warmed up: runs it once, so that the gateway starts sooner. */
    private static final int REQUESTS_IN_MEMORY = 24;

    private static final int CLIENTS = 8;
    private static final int HOSTS = 4;
    /** A gateway has to be ready soon after its start, so the warm-up ends by then even if it is incomplete. */
    static final long MAX_DURATION_MILLIS = 4_000;

    private static final long TERMINATION_TIMEOUT_MILLIS = 500;
    private static final long QUIET_PERIOD_MILLIS = 20;

    private final EventLoop loop;
    private final EventLoop peerLoop;
    private final GatewayConfig config;
    private final Transport transport;
    private final int requests;
    private final SocketAddress gatewayAddress;
    private final SocketAddress hostAddress;
    private final CompletableFuture<Void> done = new CompletableFuture<>();
    private int sent;
    private int received;

    private WarmUp(
            EventLoop loop,
            EventLoop peerLoop,
            GatewayConfig config,
            Transport transport,
            SocketAddress gatewayAddress,
            SocketAddress hostAddress) {
        this.loop = loop;
        this.peerLoop = peerLoop;
        this.config = config;
        this.transport = transport;
        requests = transport.equals(Transport.IN_MEMORY) ? REQUESTS_IN_MEMORY : REQUESTS;
        this.gatewayAddress = gatewayAddress;
        this.hostAddress = hostAddress;
    }

    /**
     * Runs the warm-up for at most the given time, and returns whether it completed. A failure only loses its benefit.
     */
    static boolean run(GatewayConfig config, long maxMillis) {
        try {
            return supportsUnixDomainSockets() ? runOverUnixSockets(config, maxMillis) : runInMemory(config, maxMillis);
        } catch (TimeoutException e) {
            System.err.println("tinworks: warm-up stopped at its time limit");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException | ExecutionException e) {
            System.err.println("tinworks: warm-up failed: " + e.getMessage());
        }
        return false;
    }

    /** Some platforms allow a process internet sockets only. */
    private static boolean supportsUnixDomainSockets() {
        try (SocketChannel probe = SocketChannel.open(StandardProtocolFamily.UNIX)) {
            return probe.isOpen();
        } catch (IOException | UnsupportedOperationException e) {
            return false;
        }
    }

    private static boolean runOverUnixSockets(GatewayConfig config, long maxMillis)
            throws IOException, InterruptedException, ExecutionException, TimeoutException {
        // Not Files.createTempDirectory, whose names come from a slow source of randomness.
        Path directory = Files.createDirectory(Path.of(
                System.getProperty("java.io.tmpdir"),
                "rehearsal-" + ProcessHandle.current().pid() + "-" + System.nanoTime()));
        try {
            return execute(
                    config,
                    maxMillis,
                    NioIoHandler.newFactory(),
                    Transport.UNIX_DOMAIN,
                    UnixDomainSocketAddress.of(directory.resolve("stage")),
                    UnixDomainSocketAddress.of(directory.resolve("hosts")));
        } finally {
            Files.deleteIfExists(directory.resolve("stage"));
            Files.deleteIfExists(directory.resolve("hosts"));
            Files.deleteIfExists(directory);
        }
    }

    /** Warms up all code but that of the sockets. */
    static boolean runInMemory(GatewayConfig config, long maxMillis)
            throws InterruptedException, ExecutionException, TimeoutException {
        return execute(
                config,
                maxMillis,
                LocalIoHandler.newFactory(),
                Transport.IN_MEMORY,
                new LocalAddress("rehearsal-stage"),
                new LocalAddress("rehearsal-hosts"));
    }

    private static boolean execute(
            GatewayConfig config,
            long maxMillis,
            IoHandlerFactory io,
            Transport transport,
            SocketAddress gatewayAddress,
            SocketAddress hostAddress)
            throws InterruptedException, ExecutionException, TimeoutException {
        // Between local channels on one event loop, a write would be read within the call, so the peers get their own
        // loop. The loops notify each other of closed channels, so neither may terminate at once.
        boolean twoLoops = transport.equals(Transport.IN_MEMORY);
        ClosingEventLoopGroup group = new ClosingEventLoopGroup(twoLoops ? 2 : 1, io);
        try {
            new WarmUp(group.next(), group.next(), config, transport, gatewayAddress, hostAddress)
                    .execute()
                    .get(maxMillis, TimeUnit.MILLISECONDS);
            return true;
        } finally {
            group.shutdownGracefully(twoLoops ? QUIET_PERIOD_MILLIS : 0, QUIET_PERIOD_MILLIS, TimeUnit.MILLISECONDS)
                    .await(TERMINATION_TIMEOUT_MILLIS);
        }
    }

    private CompletableFuture<Void> execute() {
        // Loads the TCP channel class: code compiled for one class alone is deoptimized by the first of another.
        new NioSocketChannel().unsafe().closeForcibly();
        ServerBootstrap server = new ServerBootstrap().group(peerLoop).channel(transport.server());
        server.childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new Host());
                    }
                })
                .bind(hostAddress)
                .addListener(bound -> {
                    if (bound.isSuccess()) {
                        Gateway.start(GatewayLoop.shared(loop), warmUpConfig(), transport, line -> {})
                                .whenComplete((gateway, failure) -> {
                                    if (failure == null) {
                                        peerLoop.execute(this::connectClients);
                                    } else {
                                        done.completeExceptionally(failure);
                                    }
                                });
                    } else {
                        done.completeExceptionally(bound.cause());
                    }
                });
        return done;
    }

    /** The real settings, with the hosts of the warm-up. */
    private GatewayConfig warmUpConfig() {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            endpoints.add(new Endpoint(
                    new ServerInfo("host-" + i, config.settings().zone(), "any", 0, Readiness.READY, 1, 0),
                    hostAddress));
        }
        return new GatewayConfig(
                gatewayAddress,
                hostAddress,
                config.seed(),
                config.maxDescriptors(),
                config.connectTimeoutNanos(),
                config.hostIdleTimeoutNanos(),
                config.settings(),
                new EndpointList(0, true, endpoints),
                null);
    }

    private void connectClients() {
        Bootstrap bootstrap = new Bootstrap()
                .group(peerLoop)
                .channel(transport.client())
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new Client());
                    }
                });
        for (int i = 0; i < CLIENTS; i++) {
            bootstrap.connect(gatewayAddress);
        }
    }

    private final class Client extends WarmUpPeer {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            sendRequest(ctx);
        }

        private void sendRequest(ChannelHandlerContext ctx) {
            List<RequestClass> classes = config.settings().classes();
            RequestClass c = classes.get(sent++ % classes.size());
            boolean safe = c.idempotency() == Idempotency.SAFE;
            String head = (safe ? "GET /" : "POST /") + c.name() + "/" + sent + " HTTP/1.1\r\nHost: localhost\r\n"
                    + "X-Request-ID: rehearsal-" + sent + "\r\nX-Timeout: "
                    + TimeUnit.NANOSECONDS.toMillis(c.deadlineNanos()) + "m\r\n";
            if (!config.settings().tenants().isEmpty()) {
                head += "X-Tenant-Id: " + config.settings().tenants().get(0).name() + "\r\n";
            }
            if (c.idempotency() == Idempotency.KEYED) {
                head += "Idempotency-Key: rehearsal-" + sent + "\r\n";
            }
            write(ctx, safe ? head : head + "Content-Length: " + BODY.length + "\r\n", safe ? EMPTY_BODY : BODY);
        }

        @Override
        protected boolean isComplete(int first, int last, ByteBuf end) {
            return isCompleteResponse(last, end);
        }

        @Override
        protected void messageReceived(ChannelHandlerContext ctx) {
            if (++received < requests) {
                sendRequest(ctx);
            } else {
                done.complete(null);
            }
        }
    }

    /** Serves nearly all requests; the others exercise the code for rejections and errors. */
    private static final class Host extends WarmUpPeer {
        private static final int FULL_EVERY = 37;
        private static final int ERROR_EVERY = 53;
        private static final String RESPONSE_HEADERS = "Content-Length: " + BODY.length + "\r\nX-Server-Load: tps=";

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
            write(ctx, "HTTP/1.1 " + status + RESPONSE_HEADERS + requests + ".5,load_share=0.25,err_ps=0\r\n", BODY);
        }
    }
}
