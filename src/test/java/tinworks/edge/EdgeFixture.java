package tinworks.edge;

import io.netty.channel.EventLoop;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import tinworks.config.Configuration;
import tinworks.config.Configuration.Limits;
import tinworks.config.Configuration.Route;
import tinworks.config.Configuration.Service;
import tinworks.config.Configuration.Split;
import tinworks.net.ClientServer;
import tinworks.net.ClosingEventLoopGroup;
import tinworks.net.Forwarding;
import tinworks.net.HostPool;
import tinworks.net.LoopLag;
import tinworks.net.MonotonicClock;
import tinworks.net.Transport;
import tinworks.net.UnservedRequest;
import tinworks.node.NodeProcess;
import tinworks.policy.LoadBalancerApi.Event;
import tinworks.policy.LoadBalancerApi.Readiness;
import tinworks.policy.LoadBalancerApi.ServerInfo;
import tinworks.policy.LoadBalancerApi.ServerListKind;
import tinworks.policy.LoadBalancerApi.ServerListReceived;

/** The request path of an edge, over loopback and without connections to the core: the test sets routes and hosts. */
final class EdgeFixture implements AutoCloseable, Forwarding.Callbacks {
    static final int WAIT_MILLIS = 20_000;
    static final long LONG_MILLIS = 15_000;
    static final String DOMAIN = "x.example";
    private static final int CONNECTIONS = 2_048;
    private static final int MAX_BODY_BYTES = 16 << 20;
    private static final long DIAL_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    private static final long LONG_NANOS = TimeUnit.MILLISECONDS.toNanos(LONG_MILLIS);

    private final LoopLag lag = new LoopLag();
    final ClosingEventLoopGroup group = new ClosingEventLoopGroup(1, lag);
    final EventLoop loop = group.next();
    final MonotonicClock clock;
    final HostPool pool;
    final ClientServer clients;
    private final EdgeProtocol protocol;
    private final Map<String, Forwarding> services = new HashMap<>();
    private final RequestRouter requests;
    private final List<Route> routes = new ArrayList<>();
    private final Set<String> mutating = new HashSet<>();
    /** The lines of requests that ended without success, by id. */
    private final Map<String, String> unserved = new ConcurrentHashMap<>();
    /** Hosts that must receive no new requests; to be used on the event loop. */
    final Set<String> drained = new HashSet<>();

    EdgeFixture(EdgeProtocol protocol) {
        this(protocol, true);
    }

    /** A fixture whose clock does or does not know the lag of the event loop. */
    EdgeFixture(EdgeProtocol protocol, boolean measuresLag) {
        this.protocol = protocol;
        clock = measuresLag ? new MonotonicClock(lag::nanos) : new MonotonicClock();
        pool = new HostPool(
                loop,
                Transport.TCP,
                clock,
                new HostPool.Bounds(DIAL_NANOS, LONG_NANOS, CONNECTIONS, MAX_BODY_BYTES),
                protocol);
        requests = new RequestRouter(clock, new SplittableRandom(1), protocol, services);
        clients = new ClientServer(
                loop,
                Transport.TCP,
                clock,
                new ClientServer.Bounds(CONNECTIONS, LONG_NANOS, 0, Limits.DEFAULTS.hdrBytes(), MAX_BODY_BYTES, null),
                requests);
        NodeProcess.run(loop, () -> clients.listen(new InetSocketAddress("127.0.0.1", 0)));
        NodeProcess.call(loop, () -> clients.address().getPort());
    }

    /** Lists a host; connections to one that is not kept are closed after their first response. */
    void host(String id, SocketAddress address, boolean kept) {
        NodeProcess.run(loop, () -> pool.update(List.of(new HostPool.HostEntry(id, address, 0, kept, false)), false));
    }

    /** Lists hosts, as {@link #host} does. */
    void hosts(boolean kept, FaultInjectingHost... hosts) {
        List<HostPool.HostEntry> places = new ArrayList<>();
        for (FaultInjectingHost host : hosts) {
            places.add(new HostPool.HostEntry(host.id(), host.address(), 0, kept, false));
        }
        NodeProcess.run(loop, () -> pool.update(places, false));
    }

    /** Adds a route with its own service and these hosts; a repeated call replaces the service's load balancer. */
    void route(String name, Configuration.Type type, int maxAttempts, String... hosts) {
        route(name, type, LONG_MILLIS, maxAttempts, hosts);
    }

    /** The same, with a timeout. */
    void route(String name, Configuration.Type type, long timeoutMillis, int maxAttempts, String... hosts) {
        Route route = new Route(
                name,
                DOMAIN,
                "/" + name + "/",
                type,
                timeoutMillis,
                timeoutMillis / 2,
                1,
                List.of(new Split(name, 1)),
                maxAttempts);
        Configuration config = new Configuration(
                1, List.of(route), Map.of(name, new Service(name, "/", CONNECTIONS)), Limits.DEFAULTS);
        List<ServerInfo> servers = new ArrayList<>();
        for (String host : hosts) {
            servers.add(new ServerInfo(host, "", "", 0, Readiness.READY, 4, 0));
        }
        NodeProcess.run(loop, () -> {
            Forwarding created = new Forwarding(
                    loop,
                    clock,
                    ServiceSettings.settings(ServiceSettings.classes(config).get(name), 1, ""),
                    name.hashCode(),
                    pool,
                    protocol,
                    this);
            Forwarding old = services.put(name, created);
            if (old == null) {
                routes.add(route);
                if (type == Configuration.Type.MUTATING) {
                    mutating.add(ServiceSettings.className(route));
                }
                requests.setRoutes(new RouteTable(routes));
                protocol.setMutatingClasses(mutating);
            } else {
                old.close();
            }
            created.dispatch(new ServerListReceived(ServerListKind.FULL, servers));
        });
    }

    /** The forwarding of a route's service; to be used on the event loop. */
    Forwarding module(String route) {
        return services.get(route);
    }

    /** Dispatches an event to all services. */
    void dispatch(Event event) {
        NodeProcess.run(loop, () -> services.values().forEach(service -> service.dispatch(event)));
    }

    Client client() throws IOException {
        return new Client(clients.address().getPort());
    }

    @Override
    public void subscribe() {}

    @Override
    public void broadcast(byte[] body) {}

    @Override
    public void log(String line) {}

    @Override
    public void requestEnded(UnservedRequest request) {
        unserved.put(request.id(), request.line());
    }

    /** Why a request ended without success, for the message of a failed check; empty if it did not. */
    String whyUnserved(String id) {
        return unserved.getOrDefault(id, "");
    }

    @Override
    public boolean isReady(String host) {
        return !drained.contains(host);
    }

    @Override
    public void close() {
        NodeProcess.run(loop, () -> {
            services.values().forEach(Forwarding::close);
            clients.close();
            pool.close();
        });
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(WAIT_MILLIS);
    }

    /** A request with a body, or a GET without one. */
    static String request(String id, String route, String body, long deadlineMillis, boolean chunked) {
        String head =
                (body.isEmpty() ? "GET" : "POST") + " /" + route + "/" + id + "?q=%20" + id + " HTTP/1.1\r\nHost: "
                        + DOMAIN + "\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: " + deadlineMillis + "\r\n";
        if (body.isEmpty()) {
            return head + "\r\n";
        } else if (!chunked) {
            return head + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        }
        int half = body.length() / 2;
        return head + "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(half) + "\r\n"
                + body.substring(0, half) + "\r\n" + Integer.toHexString(body.length() - half) + "\r\n"
                + body.substring(half) + "\r\n0\r\n\r\n";
    }

    /** A message as read from a socket; header names are in lower case. */
    record Message(String first, Map<String, String> headers, String body) {
        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        /** Reads a message; null at the end of the stream, even within a message. */
        static Message read(InputStream in, boolean withBody) throws IOException {
            String first = line(in);
            if (first == null) {
                return null;
            }
            Map<String, String> headers = new TreeMap<>();
            for (String line = line(in); line == null || !line.isEmpty(); line = line(in)) {
                if (line == null) {
                    return null;
                }
                int colon = line.indexOf(':');
                headers.merge(
                        line.substring(0, colon).toLowerCase(java.util.Locale.ROOT),
                        line.substring(colon + 1).trim(),
                        (a, b) -> a + "," + b);
            }
            int length = withBody ? Integer.parseInt(headers.getOrDefault("content-length", "0")) : 0;
            byte[] body = in.readNBytes(length);
            return body.length < length
                    ? null
                    : new Message(first, headers, new String(body, StandardCharsets.ISO_8859_1));
        }

        private static String line(InputStream in) throws IOException {
            StringBuilder line = new StringBuilder();
            for (int c = in.read(); c != '\n'; c = in.read()) {
                if (c < 0) {
                    return null;
                }
                line.append((char) c);
            }
            return line.toString().stripTrailing();
        }
    }

    /** One connection to the edge. */
    static final class Client implements AutoCloseable {
        final Socket socket;
        private final InputStream in;

        Client(int port) throws IOException {
            socket = new Socket("127.0.0.1", port);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(WAIT_MILLIS);
            in = new BufferedInputStream(socket.getInputStream());
        }

        void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        /** The next response, or null if the edge closed the connection. */
        Message read() throws IOException {
            return Message.read(in, true);
        }

        /** The next response, to a HEAD request. */
        Message readHead() throws IOException {
            return Message.read(in, false);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
