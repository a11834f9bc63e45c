package tinworks.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.AsciiString;
import io.netty.util.concurrent.Future;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import tinworks.policy.LoadBalancerApi.LoadReport;
import tinworks.policy.LoadBalancerApi.Outcome;

/**
 * A pool of keep-alive connections to the hosts, and the attempts sent on them. Requests are not pipelined: a
 * connection carries one at a time. The pool does not retry; an attempt whose connection breaks has ended.
 */
public final class HostPool {
    /** Called once for each attempt, on the event loop, never from within {@link #send} or {@link Attempt#cancel}. */
    public interface AttemptListener {
        /** An attempt ended; {@code response} is null unless it arrived complete, and is valid during the call only. */
        void ended(Attempt attempt, Outcome outcome, long atNanos, LoadReport load, Response response);
    }

    /** A host's complete response, and the memory that its body reserves from the pool's budget. */
    public record Response(HttpResponse head, ByteBuf body, Reservation reserved) {}

    /** Which request a response belongs to, by the request id that it echoes. */
    public enum ResponseMatch {
        THIS_REQUEST,
        OTHER_REQUEST,
        /** The response does not identify its request. */
        UNIDENTIFIED
    }

    /** Interprets responses according to the protocol that the hosts use. */
    public interface ResponseClassifier {
        /** Which request a response with these headers belongs to; always this one if the hosts do not echo ids. */
        default ResponseMatch match(String request, HttpHeaders headers) {
            return ResponseMatch.THIS_REQUEST;
        }

        /** The outcome that a complete response means; {@code framed}: its head delimits the body. */
        Outcome outcome(String request, HttpResponse head, boolean framed);

        /** The load that the host reports in these headers, or null. */
        LoadReport load(HttpHeaders headers);
    }

    /** A host and its address; {@code startedAtNanos} is in the clock's time, or 0 if it started long ago. */
    public record HostEntry(String id, SocketAddress address, long startedAtNanos, boolean ready, boolean removed) {}

    /**
     * Limits of the pool's connections.
     *
     * @param idleTimeoutNanos the longest time that a host keeps an idle connection open
     * @param maxConnections the maximum number of connections to all hosts together
     * @param maxBodyBytes the maximum length of a response body
     */
    public record Bounds(long connectTimeoutNanos, long idleTimeoutNanos, int maxConnections, int maxBodyBytes) {}

    /** Connections are closed well before the host does it, so that no request is sent while the host closes. */
    private static final double IDLE_FRACTION = 2.0 / 3;

    private static final long SWEEP_MILLIS = 500;
    private static final AsciiString KEEP_ALIVE = AsciiString.cached("keep-alive");
    private static final String TIMEOUT_PARAMETER = "timeout=";
    private static final int MAX_TIMEOUT_DIGITS = 6;

    private final EventLoop loop;
    private final MonotonicClock clock;
    private final Bounds bounds;
    private final ByteBudget budget;
    private final ResponseClassifier classifier;
    private final Bootstrap bootstrap;
    private final Map<String, Host> hosts = new HashMap<>();
    private final Future<?> idleSweep;
    private int connections;

    /** Creates a pool without hosts and without a memory limit for response bodies. */
    public HostPool(
            EventLoop loop, Transport transport, MonotonicClock clock, Bounds bounds, ResponseClassifier classifier) {
        this(loop, transport, clock, bounds, new ByteBudget(Long.MAX_VALUE), classifier);
    }

    /**
     * Creates a pool without hosts. Long response bodies reserve memory from the budget. While it is exhausted, the
     * connection is not read (backpressure).
     */
    public HostPool(
            EventLoop loop,
            Transport transport,
            MonotonicClock clock,
            Bounds bounds,
            ByteBudget budget,
            ResponseClassifier classifier) {
        this.budget = budget;
        this.loop = loop;
        this.clock = clock;
        this.bounds = bounds;
        this.classifier = classifier;
        bootstrap = new Bootstrap()
                .group(loop)
                .channel(transport.client())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                        Math.max(1, TimeUnit.NANOSECONDS.toMillis(bounds.connectTimeoutNanos())));
        idleSweep = loop.scheduleWithFixedDelay(this::closeExpired, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Applies a host list. To be called before the load balancer receives the list, so that every host it may choose
     * has an address. A {@code full} list also removes the hosts that it does not name.
     */
    public void update(List<HostEntry> entries, boolean full) {
        Set<String> listedIds = new HashSet<>();
        for (HostEntry entry : entries) {
            listedIds.add(entry.id());
            update(entry);
        }
        if (full) {
            for (String id : List.copyOf(hosts.keySet())) {
                if (!listedIds.contains(id)) {
                    hosts.remove(id).setReuseConnections(false);
                }
            }
        }
    }

    private void update(HostEntry entry) {
        String id = entry.id();
        Host old = hosts.get(id);
        if (entry.removed()) {
            hosts.remove(id);
        } else if (old == null || !old.isSameInstance(entry)) {
            hosts.put(id, new Host(entry));
        } else {
            old.setReuseConnections(entry.ready());
            return;
        }
        if (old != null) {
            old.setReuseConnections(false);
            if (!entry.removed()) {
                old.closeOpenedBefore(entry.startedAtNanos());
            }
        }
    }

    /**
     * Starts an attempt and takes over the reference to the request.
     *
     * @param id the request's id, for the {@link ResponseClassifier}
     * @param maxIdleNanos the longest time that a connection may have been idle to carry this request
     */
    public Attempt send(
            String host,
            String id,
            FullHttpRequest request,
            long timeoutNanos,
            long maxIdleNanos,
            AttemptListener listener) {
        Attempt attempt = new Attempt(id, request, clock.nanos(), listener);
        attempt.timer = loop.schedule(attempt::timedOut, Math.max(0, timeoutNanos), TimeUnit.NANOSECONDS);
        Host target = hosts.get(host);
        Connection idle = target == null ? null : target.takeIdle(maxIdleNanos);
        if (idle != null) {
            idle.send(attempt);
        } else if (target != null && (connections < bounds.maxConnections() || closeOneIdle())) {
            target.connect(attempt);
        } else {
            loop.execute(() -> attempt.end(Outcome.CONNECT_FAILED, null, null));
        }
        return attempt;
    }

    /** Closes all connections, including those with a request in flight. The pool cannot be used afterwards. */
    public void close() {
        idleSweep.cancel(false);
        hosts.values().forEach(host -> List.copyOf(host.open).forEach(connection -> connection.channel.close()));
        hosts.clear();
    }

    /** The number of connections that are open or being opened. */
    public int connections() {
        return connections;
    }

    private void closeExpired() {
        hosts.values().forEach(host -> host.closeIdle(clock.nanos() - host.idleTimeoutNanos));
    }

    private boolean closeOneIdle() {
        for (Host host : hosts.values()) {
            Connection longestIdle = host.idle.pollFirst();
            if (longestIdle != null) {
                longestIdle.channel.close();
                return true;
            }
        }
        return false;
    }

    /** One instance of a host: a start of its process at one address. */
    private final class Host {
        private final SocketAddress address;
        private final long startedAtNanos;
        /** Ordered by last use, the most recent last. */
        private final ArrayDeque<Connection> idle = new ArrayDeque<>();

        private final Set<Connection> open = new HashSet<>();
        private boolean reuseConnections;
        /** Shorter than the default if the host announces a shorter keep-alive timeout. */
        private long idleTimeoutNanos = (long) (bounds.idleTimeoutNanos() * IDLE_FRACTION);

        Host(HostEntry entry) {
            address = entry.address();
            startedAtNanos = entry.startedAtNanos();
            reuseConnections = entry.ready();
        }

        boolean isSameInstance(HostEntry entry) {
            return address.equals(entry.address()) && startedAtNanos == entry.startedAtNanos();
        }

        /**
         * Takes the most recently used idle connection, so that surplus ones expire; discards closed and stale ones.
         */
        Connection takeIdle(long maxIdleNanos) {
            Connection connection = idle.peekLast();
            while (connection != null
                    && (!connection.channel.isActive()
                            || clock.nanos() - connection.idleSinceNanos > idleTimeoutNanos)) {
                idle.pollLast().channel.close();
                connection = idle.peekLast();
            }
            return connection != null && clock.nanos() - connection.idleSinceNanos <= maxIdleNanos
                    ? idle.pollLast()
                    : null;
        }

        /** Adopts the timeout that the host announces, so that no request is sent while the host closes. */
        void onKeepAliveHeader(String keepAlive) {
            int at = keepAlive == null ? -1 : keepAlive.indexOf(TIMEOUT_PARAMETER);
            if (at >= 0) {
                int end = at + TIMEOUT_PARAMETER.length();
                long seconds = 0;
                for (int digits = 0;
                        end < keepAlive.length()
                                && Character.digit(keepAlive.charAt(end), 10) >= 0
                                && digits < MAX_TIMEOUT_DIGITS;
                        digits++) {
                    seconds = seconds * 10 + Character.digit(keepAlive.charAt(end++), 10);
                }
                idleTimeoutNanos =
                        (long) (Math.min(bounds.idleTimeoutNanos(), TimeUnit.SECONDS.toNanos(seconds)) * IDLE_FRACTION);
            }
        }

        void connect(Attempt attempt) {
            connections++;
            Connection connection = new Connection(this, attempt);
            open.add(connection);
            attempt.connection = connection;
            ChannelFuture connected = bootstrap
                    .clone()
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            ResponseReader reader = new ResponseReader(connection, bounds.maxBodyBytes(), budget);
                            channel.pipeline()
                                    .addLast(
                                            new WriteProgressHandler(connection::onBytesSent),
                                            reader.decoder(),
                                            new HttpRequestEncoder(),
                                            reader);
                        }
                    })
                    .connect(address);
            connection.channel = connected.channel();
            connected.channel().closeFuture().addListener(closed -> loop.execute(connection::onClosed));
            connected.addListener(connection::onConnectComplete);
        }

        void closeIdle(long before) {
            while (!idle.isEmpty() && idle.peekFirst().idleSinceNanos <= before) {
                idle.pollFirst().channel.close();
            }
        }

        /**
         * Closes idle connections to a host that drains or was removed, because a host accepts few connections.
         * Requests in flight may still be answered.
         */
        void setReuseConnections(boolean reuse) {
            reuseConnections = reuse;
            if (!reuse) {
                closeIdle(Long.MAX_VALUE);
            }
        }

        /** Ends attempts at a previous instance: if its machine vanished, nothing else closes the connection. */
        void closeOpenedBefore(long nextStartNanos) {
            for (Connection connection : List.copyOf(open)) {
                if (connection.openedAtNanos < nextStartNanos) {
                    connection.channel.close();
                }
            }
        }
    }

    private final class Connection implements ResponseReader.Listener {
        private final Host host;
        private final long openedAtNanos = clock.nanos();
        private Channel channel;
        private Attempt attempt;
        private long idleSinceNanos;

        Connection(Host host, Attempt first) {
            this.host = host;
            attempt = first;
        }

        void onConnectComplete(Future<?> done) {
            if (!done.isSuccess()) {
                channel.close();
                return;
            }
            if (attempt == null) {
                reuseOrClose(true);
            } else {
                send(attempt);
            }
        }

        void send(Attempt next) {
            attempt = next;
            next.connection = this;
            FullHttpRequest request = next.request;
            next.request = null;
            next.writeStarted = true;
            channel.writeAndFlush(request).addListener(write -> {
                next.writeCompleted = write.isSuccess();
                if (!next.writeCompleted) {
                    channel.close();
                }
            });
        }

        private void onBytesSent() {
            if (attempt != null) {
                attempt.bytesSent = true;
            }
        }

        @Override
        public boolean isAwaitingResponse() {
            return attempt != null && attempt.writeStarted;
        }

        @Override
        public boolean isHeadRequest() {
            return attempt != null && attempt.headRequest;
        }

        @Override
        public ResponseMatch match(HttpResponse head) {
            // The attempt may have been cancelled during this read; its connection is closed then.
            return attempt == null ? ResponseMatch.THIS_REQUEST : classifier.match(attempt.id, head.headers());
        }

        @Override
        public void onResponse(HttpResponse head, ByteBuf body, Reservation reserved, boolean framed, boolean clean) {
            Attempt answered = attempt;
            if (answered == null) {
                return; // cancelled during this read, and the connection closed
            }
            attempt = null;
            host.onKeepAliveHeader(head.headers().get(KEEP_ALIVE));
            // Before the listener is called: it may send the next request at once.
            reuseOrClose(clean && framed && HttpUtil.isKeepAlive(head) && answered.writeCompleted);
            answered.end(
                    classifier.outcome(answered.id, head, framed),
                    classifier.load(head.headers()),
                    framed ? new Response(head, body, reserved) : null);
        }

        @Override
        public void onInvalidResponse() {
            Attempt answered = attempt;
            attempt = null;
            channel.close();
            if (answered != null) {
                answered.end(Outcome.ERROR, null, null);
            }
        }

        private void reuseOrClose(boolean reusable) {
            if (reusable && host.reuseConnections && channel.isActive()) {
                idleSinceNanos = clock.nanos();
                host.idle.addLast(this);
            } else {
                channel.close();
            }
        }

        /**
         * Runs after the write future completes, so that it is known whether any byte of the request was sent. A host
         * may begin work on a request before it has all of it, so only one of which nothing was sent has not run.
         */
        private void onClosed() {
            connections--;
            host.open.remove(this);
            host.idle.remove(this);
            Attempt broken = attempt;
            attempt = null;
            if (broken != null) {
                broken.end(broken.bytesSent ? Outcome.RESET : Outcome.CONNECT_FAILED, null, null);
            }
        }
    }

    /** One transmission of a request to a host. */
    public final class Attempt {
        private final String id;
        private final AttemptListener listener;
        private final long sentAtNanos;
        private final boolean headRequest;
        private FullHttpRequest request;
        private Connection connection;
        private Future<?> timer;
        private boolean writeStarted;
        /** At least one byte of the request was passed to the socket. */
        private boolean bytesSent;

        private boolean writeCompleted;
        private Outcome outcome;
        private long endedAtNanos;

        private Attempt(String id, FullHttpRequest request, long sentAtNanos, AttemptListener listener) {
            this.id = id;
            this.request = request;
            this.sentAtNanos = sentAtNanos;
            headRequest = request.method().equals(HttpMethod.HEAD);
            this.listener = listener;
        }

        /** The time from the start of the attempt to the given time. */
        public long elapsedNanos(long atNanos) {
            return Math.max(0, atNanos - sentAtNanos);
        }

        /** How the attempt ended, or null while it is in flight. */
        public Outcome outcome() {
            return outcome;
        }

        /** The duration of the attempt, or its duration so far if it is in flight. */
        long durationNanos(long nowNanos) {
            return elapsedNanos(outcome == null ? nowNanos : endedAtNanos);
        }

        /** Ends the attempt as cancelled, unless it has ended before. */
        public void cancel() {
            loop.execute(() -> {
                abandon();
                end(Outcome.CANCELLED, null, null);
            });
        }

        private void timedOut() {
            abandon();
            // A request that was never written cannot have been executed.
            end(writeStarted ? Outcome.TIMED_OUT : Outcome.CONNECT_FAILED, null, null);
        }

        /** Closes a connection that carries the request; one that is still connecting stays for later requests. */
        private void abandon() {
            if (outcome == null && connection != null) {
                connection.attempt = null;
                if (writeStarted) {
                    connection.channel.close();
                }
            }
        }

        private void end(Outcome finalOutcome, LoadReport load, Response response) {
            if (outcome != null) {
                return;
            }
            outcome = finalOutcome;
            endedAtNanos = clock.nanos();
            timer.cancel(false);
            if (request != null) {
                request.release();
                request = null;
            }
            listener.ended(this, outcome, endedAtNanos, load, response);
        }
    }
}
