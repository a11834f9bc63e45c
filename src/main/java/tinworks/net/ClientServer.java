package tinworks.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpContentException;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tinworks.invariant.Invariant;
import tinworks.logging.Fatal;
import tinworks.net.ClientCounters.CloseReason;

/**
 * HTTP/1.1 server for client connections: reads requests, passes them to a {@link Listener}, and writes exactly one
 * response to each, in the order of the requests. Enforces the limits on connections, time and memory. It does not
 * route or forward requests.
 */
public final class ClientServer {
    /** Callbacks for received requests, called on the event loop. */
    public interface Listener {
        /** Whether the readiness probe at {@link Bounds#readyPath} succeeds. */
        boolean ready();

        /**
         * Handles a complete request whose last byte was received at {@code receivedAt}. A {@link BadRequest} is
         * answered with its status and message.
         */
        void onRequest(FullHttpRequest request, long receivedAt, Reply reply) throws BadRequest;
    }

    /** Thrown for a request that is rejected before it is processed. */
    public static final class BadRequest extends Exception {
        private static final long serialVersionUID = 1L;

        private final transient HttpResponseStatus status;

        /** The status and the line of plain text to respond with. */
        public BadRequest(HttpResponseStatus status, String line) {
            super(line);
            this.status = status;
        }
    }

    /**
     * Limits for client connections and requests.
     *
     * @param maxConnections connections that may be open at a time
     * @param receiveTimeoutNanos time limit for receiving a request, counted from the connect or from its first byte
     * @param idleTimeoutNanos idle timeout of keep-alive connections; 0 keeps them while the connection limit allows
     * @param maxHeadBytes limit for the head (request line and headers) of a request
     * @param maxBodyBytes limit for the body of a request
     * @param readyPath path of the readiness probe, or null for none
     */
    public record Bounds(
            int maxConnections,
            long receiveTimeoutNanos,
            long idleTimeoutNanos,
            int maxHeadBytes,
            int maxBodyBytes,
            String readyPath) {
        /** Limits for the balancer protocol, whose requests arrive in less time than any client waits. */
        static Bounds defaults(int connections) {
            return new Bounds(
                    connections,
                    TimeUnit.SECONDS.toNanos(2),
                    0,
                    8_192,
                    ResponseReader.DEFAULT_MAX_BODY_BYTES,
                    "/ready");
        }
    }

    private static final Logger LOG = LoggerFactory.getLogger(ClientServer.class);
    private static final long FAULT_LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int BACKLOG = 512;
    private static final int MAX_PIPELINED_REQUESTS = 16;
    private static final long SWEEP_INTERVAL_MILLIS = 200;
    /** A client that connects to send a request sends it within this time. */
    private static final long FIRST_REQUEST_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private static final long LIMIT_RECHECK_MILLIS = 20;
    private static final long LINGER_MILLIS = 200;
    private static final long NO_MEMORY_RETRY_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    /** Under pressure on connections or memory, a client without activity for this long is taken for inactive. */
    private static final long INACTIVITY_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final EventLoop loop;
    private final Transport transport;
    private final MonotonicClock clock;
    private final Listener listener;
    private final Set<Connection> connections = new LinkedHashSet<>();
    /** Connections that have sent a request and have none open, the longest idle first. */
    private final Set<Connection> idle = new LinkedHashSet<>();
    /** Connections without an open request that have sent none yet, or part of one; the longest waiting first. */
    private final Set<Connection> awaitingRequest = new LinkedHashSet<>();
    /** Connections whose clients have not received all bytes of a response yet. */
    private final Set<Connection> pendingWrites = new LinkedHashSet<>();
    /** Connections that close once their last response has been written (lingering close). */
    private final Set<Connection> lingering = new LinkedHashSet<>();

    private final Future<?> sweeper;
    private final ClientCounters counters = new ClientCounters();
    private final BodyBudget bodyBudget;
    private final ByteBudget headBudget;
    private Bounds bounds;
    private Channel acceptor;
    private BooleanSupplier underMemoryPressure = () -> false;
    private boolean closingAfterResponse;
    private boolean recheckScheduled;
    private long nextFaultLogAt = Long.MIN_VALUE;

    /** Creates a server that does not listen yet, without memory limits. */
    public ClientServer(EventLoop loop, Transport transport, MonotonicClock clock, Bounds bounds, Listener listener) {
        this(loop, transport, clock, bounds, new ByteBudget(Long.MAX_VALUE), listener);
    }

    /** Creates a server with one budget for bodies; a body of unknown length reserves the maximum. */
    public ClientServer(
            EventLoop loop,
            Transport transport,
            MonotonicClock clock,
            Bounds bounds,
            ByteBudget bodies,
            Listener listener) {
        this(loop, transport, clock, bounds, BodyBudget.shared(bodies), new ByteBudget(Long.MAX_VALUE), listener);
    }

    /**
     * Creates a server that does not listen yet. Heads and bodies reserve memory from budgets until the listener has
     * released the request. A request for which no memory is left gets a 503 response with {@code Retry-After} (load
     * shedding).
     */
    public ClientServer(
            EventLoop loop,
            Transport transport,
            MonotonicClock clock,
            Bounds bounds,
            BodyBudget bodies,
            ByteBudget heads,
            Listener listener) {
        this.bodyBudget = bodies;
        this.headBudget = heads;
        this.loop = loop;
        this.transport = transport;
        this.clock = clock;
        this.bounds = bounds;
        this.listener = listener;
        sweeper = loop.scheduleWithFixedDelay(
                this::closeOverdue, SWEEP_INTERVAL_MILLIS, SWEEP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Starts to listen; the future fails if the address cannot be bound. */
    public ChannelFuture listen(SocketAddress address) {
        ServerBootstrap listening = new ServerBootstrap().group(loop).channel(transport.server());
        if (!transport.equals(Transport.IN_MEMORY)) {
            listening.option(ChannelOption.SO_BACKLOG, BACKLOG);
        }
        ChannelFuture bound = listening
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        Connection connection = new Connection(channel);
                        channel.pipeline()
                                .addLast(
                                        connection.input.decoder(),
                                        new HttpResponseEncoder(),
                                        connection.input.aggregator(),
                                        connection);
                    }
                })
                .bind(address);
        acceptor = bound.channel();
        return bound;
    }

    /** The address that the server listens on, with the actual port if an ephemeral one was requested. */
    public InetSocketAddress address() {
        return (InetSocketAddress) acceptor.localAddress();
    }

    /** Whether the listening socket is open. */
    public boolean isListening() {
        return acceptor != null && acceptor.isActive();
    }

    /**
     * Replaces the limits, on all connections. Those for heads and bodies do not apply to requests that are being read,
     * but to the next one of each connection.
     */
    public void updateBounds(Bounds changed) {
        bounds = changed;
        List.copyOf(connections).forEach(Connection::applyRequestLimits);
    }

    /** Closes each connection after its next response, unless pipelined requests follow that have been read. */
    public void closeAfterNextResponse() {
        closingAfterResponse = true;
    }

    /** Begins connection draining: accepts no more, closes idle connections, and the others after their response. */
    public void stopAccepting() {
        closingAfterResponse = true;
        acceptor.close();
        List.copyOf(idle).forEach(connection -> connection.closeWhenWritten(CloseReason.SHUTDOWN));
        List.copyOf(awaitingRequest).stream()
                .filter(connection -> !connection.requestStarted)
                .forEach(connection -> connection.drop(CloseReason.SHUTDOWN));
    }

    /** Closes all connections without a response. The server cannot be used afterwards. */
    public void close() {
        sweeper.cancel(false);
        if (isListening()) {
            acceptor.close();
        }
        List.copyOf(connections).forEach(connection -> connection.drop(CloseReason.SHUTDOWN));
    }

    /** Live counters of connections and rejected requests. */
    public ClientCounters counters() {
        return counters;
    }

    /** Number of open connections. */
    public int connectionCount() {
        return connections.size();
    }

    /** Whether any connection is still open. */
    public boolean hasConnections() {
        return !connections.isEmpty();
    }

    /**
     * Enforces the connection limit, so that the process does not run out of file descriptors and inactive clients do
     * not keep out active ones. Above the limit the least useful connection is closed; while there is none to close,
     * accepting pauses and new connections wait in the backlog.
     */
    private void enforceConnectionLimit() {
        while (connections.size() > bounds.maxConnections()) {
            Connection evicted = selectForEviction();
            if (evicted == null) {
                break;
            }
            evicted.drop(CloseReason.NO_PLACE);
        }
        boolean withinLimit = connections.size() <= bounds.maxConnections();
        acceptor.config().setAutoRead(withinLimit);
        if (!withinLimit && !recheckScheduled) {
            recheckScheduled = true;
            loop.schedule(
                    () -> {
                        recheckScheduled = false;
                        enforceConnectionLimit();
                    },
                    LIMIT_RECHECK_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    /**
     * The connection to close first: one that is closing anyway, else the one that has waited longest for its request,
     * once its grace time is over. The longest idle one follows only if none waits for a request. A connection whose
     * client is still reading a response is not chosen before the client stops reading.
     */
    private Connection selectForEviction() {
        Connection closing = firstFullyWritten(lingering);
        if (closing != null) {
            return closing;
        }
        if (!awaitingRequest.isEmpty()) {
            Connection longestWaiting = awaitingRequest.iterator().next();
            return clock.nanos() - longestWaiting.awaitingSince >= FIRST_REQUEST_GRACE_NANOS ? longestWaiting : null;
        }
        Connection longestIdle = firstFullyWritten(idle);
        return longestIdle != null ? longestIdle : stalledReader();
    }

    /** The first connection of the set without unwritten response bytes, or null. */
    private Connection firstFullyWritten(Set<Connection> candidates) {
        for (Connection connection : candidates) {
            if (!pendingWrites.contains(connection)) {
                return connection;
            }
        }
        return null;
    }

    /** A connection without an open request whose client has stopped reading its response, or null. */
    private Connection stalledReader() {
        long before = clock.nanos() - INACTIVITY_NANOS;
        for (Connection connection : pendingWrites) {
            if (connection.hasNoRequest() && connection.noProgressSince() <= before) {
                return connection;
            }
        }
        return null;
    }

    /**
     * Whether more than half of the connection limit is in use. Responses then close their connections, and clients
     * with further requests reconnect. Otherwise clients that keep a connection open and send nothing more, or connect
     * and send nothing at all, could use up the limit. The cost is reconnects: this does harm where connecting is slow
     * or expensive and more clients than half the limit come back often.
     */
    private boolean isOverHalfFull() {
        return connections.size() > bounds.maxConnections() / 2;
    }

    /** Logs at most one fault per interval: otherwise the log would grow as fast as clients can connect. */
    private void logFault(Throwable cause) {
        long now = clock.nanos();
        if (now >= nextFaultLogAt) {
            nextFaultLogAt = now + FAULT_LOG_INTERVAL_NANOS;
            LOG.warn("client connection closed by a fault", cause);
        }
    }

    /** Closes connections of clients that send nothing, or too slowly to ever complete their request. */
    private void closeOverdue() {
        long inactiveBefore = clock.nanos() - INACTIVITY_NANOS;
        while (isOverHalfFull() && !idle.isEmpty() && idle.iterator().next().idleSince <= inactiveBefore) {
            idle.iterator().next().closeWhenWritten(CloseReason.NO_PLACE);
        }
        while (bounds.idleTimeoutNanos() > 0
                && !idle.isEmpty()
                && idle.iterator().next().idleSince <= clock.nanos() - bounds.idleTimeoutNanos()) {
            idle.iterator().next().drop(CloseReason.IDLE);
        }
        dropSlowReaders();
        long before = clock.nanos() - bounds.receiveTimeoutNanos();
        for (Connection connection : List.copyOf(awaitingRequest)) {
            if (connection.awaitingSince <= before) {
                connection.handleOverdue();
            }
        }
    }

    /**
     * Closes connections whose clients do not read their responses: such a response holds memory that other requests
     * wait for. Under memory pressure this also hits a client that stops reading for two seconds and then goes on.
     */
    private void dropSlowReaders() {
        long idleNanos = bounds.idleTimeoutNanos() > 0 ? bounds.idleTimeoutNanos() : Long.MAX_VALUE;
        long stallTimeoutNanos = underMemoryPressure.getAsBoolean() ? Math.min(INACTIVITY_NANOS, idleNanos) : idleNanos;
        for (Connection connection : List.copyOf(pendingWrites)) {
            if (clock.nanos() - connection.noProgressSince() >= stallTimeoutNanos) {
                connection.drop(CloseReason.NOT_READ);
            }
        }
    }

    /** Sets the condition of memory pressure under which clients that do not read are disconnected early. */
    public void dropSlowReadersWhile(BooleanSupplier condition) {
        underMemoryPressure = condition;
    }

    /** The response side of one request. Only the first response is sent, further ones are discarded. */
    public final class Reply {
        private final Connection connection;
        private final boolean keepAlive;
        /** Responds to HEAD: a body would be read as the start of the next response. */
        private final boolean headOnly;

        private Runnable disconnectAction = () -> {};
        private Runnable writtenAction = () -> {};
        private FullHttpRequest retainedRequest;
        private Reservation headReservation = Reservation.NONE;
        private Reservation bodyReservation = Reservation.NONE;
        private long queueingDelayNanos;
        private boolean done;

        private Reply(Connection connection, boolean keepAlive, boolean headOnly) {
            this.connection = connection;
            this.keepAlive = keepAlive;
            this.headOnly = headOnly;
        }

        private void attach(ReceivedRequest received) {
            headReservation = received.headReservation;
            bodyReservation = received.bodyReservation;
            queueingDelayNanos = received.queueingDelayNanos;
        }

        /** Sets the action for a client that disconnects before its response. */
        public void onClientDisconnect(Runnable action) {
            disconnectAction = action;
        }

        /** Sets the action for when the response has been written, or can no longer be. */
        public void onWritten(Runnable action) {
            writtenAction = action;
        }

        /** Upper bound of the time that the request waited here before it was read, in nanoseconds. */
        public long queueingDelayNanos() {
            return queueingDelayNanos;
        }

        /** Retains the request beyond the call of {@link Listener#onRequest}, until {@link #releaseRequest}. */
        public void retainRequest(FullHttpRequest request) {
            retainedRequest = request.retain();
        }

        /** Releases the request and the memory that its head and body have reserved. */
        public void releaseRequest() {
            headReservation.release();
            headReservation = Reservation.NONE;
            bodyReservation.release();
            bodyReservation = Reservation.NONE;
            if (retainedRequest != null) {
                retainedRequest.release();
                retainedRequest = null;
            }
        }

        /** Whether a response has been sent, or the client has disconnected. */
        public boolean isDone() {
            return done;
        }

        /** Sends the body of a host's response unchanged, with status 200. */
        void ok(ByteBuf body) {
            write(HttpResponseStatus.OK, body.retain(), 0);
        }

        /** Sends a line of plain text; {@code retryAfterNanos} becomes {@code Retry-After}, 0 for none. */
        public void text(HttpResponseStatus status, String line, long retryAfterNanos) {
            write(status, Unpooled.copiedBuffer(line + "\n", StandardCharsets.UTF_8), retryAfterNanos);
        }

        private void write(HttpResponseStatus status, ByteBuf body, long retryAfterNanos) {
            write(status, new DefaultHttpHeaders(), body, retryAfterNanos);
        }

        /**
         * Sends a response with the given headers, and takes ownership of them and of the body. To a HEAD request the
         * body is not sent, and a {@code Content-Length} among the headers is the one that GET would get.
         */
        public void write(HttpResponseStatus status, HttpHeaders headers, ByteBuf body, long retryAfterNanos) {
            if (done) {
                body.release();
                writtenAction.run();
                return;
            }
            done = true;
            if (!headOnly || !headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
                headers.setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
            }
            if (headOnly) {
                body.clear();
            }
            DefaultFullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body, headers, EmptyHttpHeaders.INSTANCE);
            if (retryAfterNanos > 0) {
                headers.set(HttpHeaderNames.RETRY_AFTER, formatSeconds(retryAfterNanos));
            }
            // Pipelined requests still get their responses on this connection.
            boolean last = (closingAfterResponse || isOverHalfFull()) && connection.pipelined.isEmpty();
            connection.send(response, keepAlive && !last, writtenAction);
        }
    }

    /** Seconds with three decimals, rounded up: a client that retries too early is rejected again. */
    static String formatSeconds(long nanos) {
        long millis = (nanos + 999_999) / 1_000_000;
        String part = String.valueOf(1_000 + millis % 1_000);
        return millis / 1_000 + "." + part.substring(1);
    }

    /**
     * A received request, which may be one that failed to decode, with the time that its last byte was read, an upper
     * bound of its queueing delay before that, and the memory reserved for it.
     */
    private record ReceivedRequest(
            FullHttpRequest request,
            long receivedAt,
            long queueingDelayNanos,
            Reservation headReservation,
            Reservation bodyReservation) {
        void release() {
            headReservation.release();
            bodyReservation.release();
            request.release();
        }
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Channel channel;
        private final RequestInput input = new RequestInput(
                bounds.maxHeadBytes(), bounds.maxBodyBytes(), headBudget, bodyBudget, this::hasNoRequest);
        /** Pipelined requests, which wait for the response to an earlier one. */
        private final ArrayDeque<ReceivedRequest> pipelined = new ArrayDeque<>();

        private Reply openReply;
        /** When the connection was accepted, and how long it may have waited for that. */
        private long acceptedAt;

        private long acceptDelayNanos;
        /** Start of the receive timeout of the next request: the connect, or its first byte. */
        private long awaitingSince;

        private long idleSince;
        /** When the number of unwritten response bytes last fell, and that number. */
        private long lastProgressAt;

        private long lastUnwrittenBytes;
        private boolean hasSentRequest;
        /** Part of the next request has been received. */
        private boolean requestStarted;
        /** Requests are no longer read: the input is invalid, or the response being sent closes the connection. */
        private boolean readingStopped;

        private boolean closing;
        /** Why the connection closes; the client unless set otherwise. */
        private CloseReason closeReason = CloseReason.CLIENT;

        Connection(Channel channel) {
            super(false);
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connections.add(this);
            counters.connectionOpened();
            acceptedAt = clock.nanos();
            acceptDelayNanos = clock.queueingDelayNanos();
            awaitingSince = acceptedAt;
            awaitingRequest.add(this);
            enforceConnectionLimit();
        }

        private boolean hasNoRequest() {
            return openReply == null && pipelined.isEmpty();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            ReceivedRequest received = new ReceivedRequest(
                    request,
                    clock.nanos(),
                    queueingDelayNanos(),
                    input.detachHeadReservation(),
                    input.detachBodyReservation());
            if (readingStopped) {
                received.release();
                return;
            }
            requestStarted = false;
            // The rest of a request without memory is read and discarded: its client may send all of it before it reads
            // the response, and a disconnect has to be noticed.
            boolean discardsRest = request.decoderResult().cause() instanceof RequestAggregator.BudgetExceededException;
            if (!request.decoderResult().isSuccess()) {
                // Does not spend time on the rest of invalid input.
                readingStopped = true;
                channel.config().setAutoRead(discardsRest);
            }
            if (hasNoRequest() && channel.isWritable()) {
                process(received);
            } else {
                pipelined.add(received);
                // Limits the pipelined requests of one client without aborting the open one.
                channel.config()
                        .setAutoRead(discardsRest || (!readingStopped && pipelined.size() < MAX_PIPELINED_REQUESTS));
            }
            // Last, since it may pass on the next request.
            applyRequestLimits();
        }

        private void applyRequestLimits() {
            if (!readingStopped && channel.isActive()) {
                input.applyLimits(channel.pipeline(), bounds.maxHeadBytes(), bounds.maxBodyBytes());
            }
        }

        /** Upper bound; for the first request it includes the time that its connection waited to be accepted. */
        private long queueingDelayNanos() {
            long loopDelayNanos = clock.queueingDelayNanos();
            long sinceAccepted = clock.nanos() - acceptedAt;
            return !hasSentRequest && sinceAccepted <= loopDelayNanos + acceptDelayNanos
                    ? sinceAccepted + acceptDelayNanos
                    : loopDelayNanos;
        }

        /** The receive timeout counts from a request's first byte, and later bytes do not extend it. */
        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            boolean incomplete = input.isInRequest();
            if (incomplete && !requestStarted) {
                awaitingSince = hasSentRequest ? clock.nanos() : awaitingSince;
            }
            requestStarted = incomplete;
            updateSets();
            ctx.fireChannelReadComplete();
        }

        /** Updates the membership in the sets of idle and of waiting connections. */
        private void updateSets() {
            boolean awaitsClient = connections.contains(this) && hasNoRequest() && !readingStopped;
            boolean isAwaitingRequest = awaitsClient && (requestStarted || !hasSentRequest);
            setMembership(awaitingRequest, isAwaitingRequest);
            boolean wasIdle = idle.contains(this);
            setMembership(idle, awaitsClient && !isAwaitingRequest);
            idleSince = wasIdle ? idleSince : clock.nanos();
        }

        private void setMembership(Set<Connection> set, boolean in) {
            if (in) {
                set.add(this);
            } else {
                set.remove(this);
            }
        }

        private void process(ReceivedRequest received) {
            FullHttpRequest request = received.request;
            hasSentRequest = true;
            boolean readable = request.decoderResult().isSuccess();
            boolean isProbe = request.uri().equals(bounds.readyPath());
            // Readiness probes come on a new connection each time: kept open, these would use up the connection limit.
            Reply reply = new Reply(
                    this,
                    readable && !isProbe && HttpUtil.isKeepAlive(request),
                    request.method().equals(HttpMethod.HEAD));
            reply.attach(received);
            openReply = reply;
            updateSets();
            try {
                if (!readable) {
                    reject(request.decoderResult().cause(), reply);
                } else if (isProbe) {
                    boolean ready = listener.ready();
                    reply.text(
                            ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                            ready ? "ready" : "starting",
                            0);
                } else {
                    listener.onRequest(request, received.receivedAt, reply);
                }
            } catch (BadRequest e) {
                counters.requestRejected(e.status);
                reply.text(e.status, e.getMessage(), 0);
            } catch (RuntimeException e) {
                // A fault of the program must not leave the request without a response.
                Invariant.NO_FAULT.recordException(e, "processing a request for " + request.uri());
                reply.text(HttpResponseStatus.INTERNAL_SERVER_ERROR, "a fault of the gateway", 0);
            } finally {
                if (reply.retainedRequest == null) {
                    reply.releaseRequest();
                }
                request.release();
            }
        }

        /** Responds to a request that failed to decode, or for which no memory was left. */
        private void reject(Throwable cause, Reply reply) {
            if (cause instanceof RequestAggregator.BudgetExceededException) {
                counters.requestRejected(HttpResponseStatus.SERVICE_UNAVAILABLE);
                reply.text(
                        HttpResponseStatus.SERVICE_UNAVAILABLE,
                        "no room for the request at present",
                        NO_MEMORY_RETRY_AFTER_NANOS);
                return;
            }
            boolean tooLong = cause instanceof TooLongHttpContentException;
            HttpResponseStatus status =
                    tooLong ? HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE : HttpResponseStatus.BAD_REQUEST;
            counters.requestRejected(status);
            reply.text(status, tooLong ? "the body is too long" : "not a readable HTTP request", 0);
        }

        private void send(DefaultFullHttpResponse response, boolean keepAlive, Runnable whenWritten) {
            openReply = null;
            if (keepAlive) {
                ChannelFuture written = channel.writeAndFlush(response)
                        .addListener(ChannelFutureListener.CLOSE_ON_FAILURE)
                        .addListener(done -> whenWritten.run());
                trackWrite(written);
                if (!pipelined.isEmpty()) {
                    // Avoids recursion through a run of requests that are answered at once.
                    loop.execute(this::processNext);
                }
            } else {
                boolean inputUnread = readingStopped;
                readingStopped = true;
                closing = true;
                closeReason = CloseReason.LAST_ANSWER;
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
                ChannelFuture written = channel.writeAndFlush(response).addListener(done -> whenWritten.run());
                trackWrite(written);
                if (inputUnread) {
                    linger(written);
                } else {
                    written.addListener(ChannelFutureListener.CLOSE);
                }
            }
            updateSets();
        }

        /** Tracks a response until all its bytes have been written. */
        private void trackWrite(ChannelFuture written) {
            if (written.isDone()) {
                return;
            }
            if (pendingWrites.add(this)) {
                lastProgressAt = clock.nanos();
                lastUnwrittenBytes = Long.MAX_VALUE;
            }
            written.addListener(done -> {
                if (unwrittenBytes() == 0) {
                    pendingWrites.remove(this);
                }
            });
        }

        /** Response bytes that have not been written to the socket yet. */
        private long unwrittenBytes() {
            ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
            return buffer == null ? 0 : buffer.totalPendingWriteBytes() - Math.max(0, buffer.currentProgress());
        }

        /** Since when the client has read none of the unwritten response bytes. */
        private long noProgressSince() {
            long bytes = unwrittenBytes();
            if (bytes < lastUnwrittenBytes) {
                lastUnwrittenBytes = bytes;
                lastProgressAt = clock.nanos();
            }
            return lastProgressAt;
        }

        /**
         * Lingering close: shuts down the output and closes later. Closing with unread input would reset the connection
         * and lose the response for a client that is still sending. The rest is not read, as it may have no end.
         */
        private void linger(ChannelFuture written) {
            lingering.add(this);
            written.addListener(done -> ((DuplexChannel) channel).shutdownOutput());
            loop.schedule(() -> channel.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
        }

        /** Backpressure: does not process further requests of a client that does not read its responses. */
        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (channel.isWritable()) {
                loop.execute(this::processNext);
            }
            ctx.fireChannelWritabilityChanged();
        }

        private void processNext() {
            if (openReply == null && !closing && channel.isActive() && channel.isWritable() && !pipelined.isEmpty()) {
                ReceivedRequest next = pipelined.poll();
                channel.config().setAutoRead(!readingStopped);
                process(next);
            }
        }

        /** Closes a connection whose request was not received in time, with a 408 response if part of it was. */
        private void handleOverdue() {
            if (requestStarted) {
                readingStopped = true;
                channel.config().setAutoRead(false);
                Reply reply = new Reply(this, false, false);
                openReply = reply;
                counters.requestRejected(HttpResponseStatus.REQUEST_TIMEOUT);
                reply.text(HttpResponseStatus.REQUEST_TIMEOUT, "the request did not come in time", 0);
            } else {
                drop(CloseReason.NOTHING_ASKED);
            }
        }

        /**
         * Closes the connection once its last response has been written, so that a client that reads slowly gets all of
         * it. A client that never reads keeps its connection only until the limit needs it.
         */
        private void closeWhenWritten(CloseReason why) {
            ChannelFuture written = channel.writeAndFlush(Unpooled.EMPTY_BUFFER);
            if (written.isDone()) {
                drop(why);
                return;
            }
            closeReason = why;
            readingStopped = true;
            closing = true;
            channel.config().setAutoRead(false);
            lingering.add(this);
            updateSets();
            written.addListener(ChannelFutureListener.CLOSE);
        }

        /** Closes the connection and deregisters it at once, so that it no longer counts towards the limit. */
        private void drop(CloseReason why) {
            closeReason = why;
            deregister();
            channel.close();
        }

        private void deregister() {
            connections.remove(this);
            idle.remove(this);
            awaitingRequest.remove(this);
            lingering.remove(this);
            pendingWrites.remove(this);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            counters.connectionClosed(closeReason);
            deregister();
            input.releaseReservations();
            pipelined.forEach(ReceivedRequest::release);
            pipelined.clear();
            enforceConnectionLimit();
            Reply unanswered = openReply;
            openReply = null;
            if (unanswered != null && !unanswered.done) {
                unanswered.done = true;
                unanswered.disconnectAction.run();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            Fatal.reportIfFatal(cause);
            // A client that disconnects within its request is no fault; other faults can come as often as clients like.
            if (!(cause instanceof IOException) && !(cause instanceof PrematureChannelClosureException)) {
                closeReason = CloseReason.BROKEN;
                logFault(cause);
            }
            ctx.close();
        }
    }
}
