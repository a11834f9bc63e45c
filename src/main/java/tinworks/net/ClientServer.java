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

/** The side that clients see: takes in requests, and writes one answer to each. */
public final class ClientServer {
    /** What the gateway makes of requests. Each is told on the event loop. */
    public interface Listener {
        /** What {@link Bounds#readyPath} is answered with. */
        boolean ready();

        /**
         * A request whose last byte came at the given time; a plain line tells the client what is wrong with a bad one.
         */
        void onRequest(FullHttpRequest request, long arrivedAt, Reply reply) throws BadRequest;
    }

    /** A request that can't be taken in. */
    public static final class BadRequest extends Exception {
        private static final long serialVersionUID = 1L;

        private final transient HttpResponseStatus status;

        /** Answered with this status and a plain line. */
        public BadRequest(HttpResponseStatus status, String line) {
            super(line);
            this.status = status;
        }
    }

    /**
     * What clients may take.
     *
     * @param maxConnections the most at a time
     * @param receiveTimeoutNanos how long a request may take to arrive, from the connect or its first byte
     * @param idleTimeoutNanos how long a connection may stand idle, 0 for as long as there is room
     * @param maxHeadBytes the longest head of a request
     * @param maxBodyBytes the longest body
     * @param readyPath where {@link Listener#ready} is asked for, or null
     */
    public record Bounds(
            int maxConnections,
            long receiveTimeoutNanos,
            long idleTimeoutNanos,
            int maxHeadBytes,
            int maxBodyBytes,
            String readyPath) {
        /** Those of the earlier protocol, whose requests arrive in less time than any client waits. */
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
    private static final long FAULT_LINE_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int BACKLOG = 512;
    private static final int MOST_PIPELINED = 16;
    private static final long SWEEP_MILLIS = 200;
    /** Who connects to ask does so within this time. */
    private static final long YOUNG_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private static final long RECHECK_MILLIS = 20;
    private static final long LINGER_MILLIS = 200;
    private static final long NO_ROOM_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    /** Where places are scarce, who has asked nothing for so long is thought to have no more to ask. */
    private static final long LONG_IDLE_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final EventLoop loop;
    private final Transport transport;
    private final MonotonicClock clock;
    private final Listener listener;
    private final Set<Connection> connections = new LinkedHashSet<>();
    /** Those that have asked and have no request open, the longest idle first. */
    private final Set<Connection> idle = new LinkedHashSet<>();
    /** Those that have never asked, or sent a part of a request, with none open, the longest due first. */
    private final Set<Connection> due = new LinkedHashSet<>();
    /** Those whose clients haven't taken all of an answer yet. */
    private final Set<Connection> unread = new LinkedHashSet<>();
    /** Those that have been told what is wrong and are about to be closed. */
    private final Set<Connection> lingering = new LinkedHashSet<>();

    private final Future<?> sweeper;
    private final ClientCounters tally = new ClientCounters();
    private final BodyBudget bodies;
    private final ByteBudget heads;
    private Bounds bounds;
    private Channel acceptor;
    private BooleanSupplier pressed = () -> false;
    private boolean ending;
    private boolean rechecking;
    private long nextFaultLineAt = Long.MIN_VALUE;

    /** A server that doesn't listen yet, with room for all bodies. */
    public ClientServer(EventLoop loop, Transport transport, MonotonicClock clock, Bounds bounds, Listener listener) {
        this(loop, transport, clock, bounds, new ByteBudget(Long.MAX_VALUE), listener);
    }

    /** One whose bodies come out of one budget, those of unknown length with the largest. */
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
     * A server that doesn't listen yet. Heads and bodies come out of budgets, until the listener has done with their
     * request; whoever finds no room gets a 503 that says when to come back.
     */
    public ClientServer(
            EventLoop loop,
            Transport transport,
            MonotonicClock clock,
            Bounds bounds,
            BodyBudget bodies,
            ByteBudget heads,
            Listener listener) {
        this.bodies = bodies;
        this.heads = heads;
        this.loop = loop;
        this.transport = transport;
        this.clock = clock;
        this.bounds = bounds;
        this.listener = listener;
        sweeper = loop.scheduleWithFixedDelay(this::endOverdue, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Starts to listen; the future fails where the address can't be had. */
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
                                        connection.decoder,
                                        new HttpResponseEncoder(),
                                        connection.assembler,
                                        connection);
                    }
                })
                .bind(address);
        acceptor = bound.channel();
        return bound;
    }

    /** Where it listens; of use where the port was left to the system. */
    public InetSocketAddress address() {
        return (InetSocketAddress) acceptor.localAddress();
    }

    /** Whether it takes clients in. */
    public boolean isListening() {
        return acceptor != null && acceptor.isActive();
    }

    /** From now on these hold; the longest head and body for connections that come from now on. */
    public void updateBounds(Bounds changed) {
        bounds = changed;
    }

    /** From now on each answer ends its connection, but for those behind which more requests have been read. */
    public void closeAfterNextResponse() {
        ending = true;
    }

    /** Takes in no more, closes what stands idle, and from now on each answer ends its connection. */
    public void stopAccepting() {
        ending = true;
        acceptor.close();
        List.copyOf(idle).forEach(connection -> connection.closeWhenWritten(CloseReason.SHUTDOWN));
        List.copyOf(due).stream()
                .filter(connection -> !connection.begun)
                .forEach(connection -> connection.drop(CloseReason.SHUTDOWN));
    }

    /** Closes all connections without a word, and is of no further use. */
    public void close() {
        sweeper.cancel(false);
        if (isListening()) {
            acceptor.close();
        }
        List.copyOf(connections).forEach(connection -> connection.drop(CloseReason.SHUTDOWN));
    }

    /** What became of connections and requests so far; it goes on counting. */
    public ClientCounters counters() {
        return tally;
    }

    /** How many connections are open. */
    public int connectionCount() {
        return connections.size();
    }

    /** Whether a client still waits for an answer, or for the rest of one. */
    public boolean hasConnections() {
        return !connections.isEmpty();
    }

    /**
     * Guards against running out of descriptors, and against silent clients who take the places of those who ask: with
     * too many connections, one of the least use makes room, and while none can be spared, new ones wait in the
     * backlog.
     */
    private void bound() {
        while (connections.size() > bounds.maxConnections()) {
            Connection spared = leastUseful();
            if (spared == null) {
                break;
            }
            spared.drop(CloseReason.NO_PLACE);
        }
        boolean room = connections.size() <= bounds.maxConnections();
        acceptor.config().setAutoRead(room);
        if (!room && !rechecking) {
            rechecking = true;
            loop.schedule(
                    () -> {
                        rechecking = false;
                        bound();
                    },
                    RECHECK_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    /**
     * One that is to be closed anyway, or has long been due; the longest idle only where no other is. One whose client
     * is still reading an answer is spared no sooner than its client stops.
     */
    private Connection leastUseful() {
        Connection closing = firstRead(lingering);
        if (closing != null) {
            return closing;
        }
        if (!due.isEmpty()) {
            Connection longest = due.iterator().next();
            return clock.nanos() - longest.dueSince >= YOUNG_NANOS ? longest : null;
        }
        Connection rests = firstRead(idle);
        return rests != null ? rests : nonReader();
    }

    /** The first whose client has taken its answers, or null. */
    private Connection firstRead(Set<Connection> among) {
        for (Connection connection : among) {
            if (!unread.contains(connection)) {
                return connection;
            }
        }
        return null;
    }

    /** One that has no request open, and whose client has taken nothing of its answer for long. */
    private Connection nonReader() {
        long before = clock.nanos() - LONG_IDLE_NANOS;
        for (Connection connection : unread) {
            if (connection.isFree() && connection.takesNothingSince() <= before) {
                return connection;
            }
        }
        return null;
    }

    /**
     * Guards against clients who keep a connection for good and don't ask on it again: each would cost a place, until
     * those who ask find none. With half of the places taken an answer ends its connection, and who is still to ask
     * connects anew; equally against crowds that say nothing and take what is left. It could do harm where connecting
     * is slow or dear and more clients than half the places come back often.
     */
    private boolean crowded() {
        return connections.size() > bounds.maxConnections() / 2;
    }

    /** Guards against a log that grows as fast as a client can connect. */
    private void logFault(Throwable cause) {
        long now = clock.nanos();
        if (now >= nextFaultLineAt) {
            nextFaultLineAt = now + FAULT_LINE_NANOS;
            LOG.warn("a client's connection is closed by a fault", cause);
        }
    }

    /** Guards against clients that say nothing, or send so slowly that their request never comes whole. */
    private void endOverdue() {
        long unused = clock.nanos() - LONG_IDLE_NANOS;
        while (crowded() && !idle.isEmpty() && idle.iterator().next().idleSince <= unused) {
            idle.iterator().next().closeWhenWritten(CloseReason.NO_PLACE);
        }
        while (bounds.idleTimeoutNanos() > 0
                && !idle.isEmpty()
                && idle.iterator().next().idleSince <= clock.nanos() - bounds.idleTimeoutNanos()) {
            idle.iterator().next().drop(CloseReason.IDLE);
        }
        dropNonReaders();
        long before = clock.nanos() - bounds.receiveTimeoutNanos();
        for (Connection connection : List.copyOf(due)) {
            if (connection.dueSince <= before) {
                connection.overdue();
            }
        }
    }

    /**
     * Guards against clients that ask for long answers and don't read them: such an answer holds memory that others
     * wait for. It could do harm where a client stops reading for two seconds and then goes on.
     */
    private void dropNonReaders() {
        long idleNanos = bounds.idleTimeoutNanos() > 0 ? bounds.idleTimeoutNanos() : Long.MAX_VALUE;
        long patience = pressed.getAsBoolean() ? Math.min(LONG_IDLE_NANOS, idleNanos) : idleNanos;
        for (Connection connection : List.copyOf(unread)) {
            if (clock.nanos() - connection.takesNothingSince() >= patience) {
                connection.drop(CloseReason.NOT_READ);
            }
        }
    }

    /** From now on clients that don't read are dropped soon while this holds. */
    public void dropSlowReadersWhile(BooleanSupplier condition) {
        pressed = condition;
    }

    /** The way back to the client of one request. Only the first answer goes out. */
    public final class Reply {
        private final Connection connection;
        private final boolean keepAlive;
        /** It answers a HEAD: a body would stand where the next answer begins. */
        private final boolean headAlone;

        private Runnable left = () -> {};
        private Runnable written = () -> {};
        private FullHttpRequest kept;
        private Reservation head = Reservation.NONE;
        private Reservation body = Reservation.NONE;
        private long queueingDelayNanos;
        private boolean done;

        private Reply(Connection connection, boolean keepAlive, boolean headAlone) {
            this.connection = connection;
            this.keepAlive = keepAlive;
            this.headAlone = headAlone;
        }

        private void answers(ReceivedRequest arrived) {
            head = arrived.head;
            body = arrived.body;
            queueingDelayNanos = arrived.heldUp;
        }

        /** What to do when the client leaves before its answer. */
        public void onClientDisconnect(Runnable action) {
            left = action;
        }

        /** What to do when the answer has been written, or can't be any more. */
        public void onWritten(Runnable action) {
            written = action;
        }

        /** How long the request may have lain here before it was read, in nanoseconds. */
        public long queueingDelayNanos() {
            return queueingDelayNanos;
        }

        /**
         * Keeps the request and its body beyond the call of {@link Listener#onRequest}, until {@link #releaseRequest}.
         */
        public void retainRequest(FullHttpRequest request) {
            kept = request.retain();
        }

        /** Lets a body go that was kept. */
        public void releaseRequest() {
            head.release();
            head = Reservation.NONE;
            body.release();
            body = Reservation.NONE;
            if (kept != null) {
                kept.release();
                kept = null;
            }
        }

        /** Whether the client has its answer, or has gone. */
        public boolean isDone() {
            return done;
        }

        /** A host's answer, unchanged. */
        void ok(ByteBuf body) {
            write(HttpResponseStatus.OK, body.retain(), 0);
        }

        /** A plain line; {@code pauseNanos} tells when to come back, 0 for no advice. */
        public void text(HttpResponseStatus status, String line, long pauseNanos) {
            write(status, Unpooled.copiedBuffer(line + "\n", StandardCharsets.UTF_8), pauseNanos);
        }

        private void write(HttpResponseStatus status, ByteBuf body, long pauseNanos) {
            write(status, new DefaultHttpHeaders(), body, pauseNanos);
        }

        /**
         * An answer with headers of its own; they and the body are the reply's from here on. Where a HEAD is answered
         * the body stays behind, and a {@code Content-Length} among the headers is what a GET would be told.
         */
        public void write(HttpResponseStatus status, HttpHeaders headers, ByteBuf body, long pauseNanos) {
            if (done) {
                body.release();
                written.run();
                return;
            }
            done = true;
            if (!headAlone || !headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
                headers.setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
            }
            if (headAlone) {
                body.clear();
            }
            DefaultFullHttpResponse answer =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body, headers, EmptyHttpHeaders.INSTANCE);
            if (pauseNanos > 0) {
                headers.set(HttpHeaderNames.RETRY_AFTER, seconds(pauseNanos));
            }
            // What was sent ahead is still owed its answer.
            boolean last = (ending || crowded()) && connection.pipelined.isEmpty();
            connection.answer(answer, keepAlive && !last, written);
        }
    }

    /** Seconds with three decimals, rounded up: a client that comes back too soon is refused again. */
    static String seconds(long nanos) {
        long millis = (nanos + 999_999) / 1_000_000;
        String part = String.valueOf(1_000 + millis % 1_000);
        return millis / 1_000 + "." + part.substring(1);
    }

    /**
     * A request, or what came in place of one, when its last byte was read, and how long that may have lain here
     * before.
     */
    private record ReceivedRequest(FullHttpRequest request, long at, long heldUp, Reservation head, Reservation body) {
        void giveUp() {
            head.release();
            body.release();
            request.release();
        }
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Channel channel;
        private final RequestDecoder decoder = new RequestDecoder(bounds.maxHeadBytes(), heads);
        private final RequestAggregator assembler = new RequestAggregator(this::isFree, bounds.maxBodyBytes(), bodies);
        /** Requests that came before the one ahead had its answer. */
        private final ArrayDeque<ReceivedRequest> pipelined = new ArrayDeque<>();

        private Reply open;
        /** When it was accepted, and how long it may have waited for that. */
        private long acceptedAt;

        private long acceptedLateBy;
        /** Since when the next request is due: the connect, or its first byte. */
        private long dueSince;

        private long idleSince;
        /** Since when the client has taken nothing of what waits for it, and how much that was. */
        private long unreadSince;

        private long unreadBytes;
        private boolean asked;
        /** A part of the next request has come. */
        private boolean begun;
        /** Nothing more is read: what came can't be, or the answer on its way says that the connection ends. */
        private boolean deaf;

        private boolean closing;
        /** Why it ends, as far as that is known here. */
        private CloseReason end = CloseReason.CLIENT;

        Connection(Channel channel) {
            super(false);
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connections.add(this);
            tally.connectionOpened();
            acceptedAt = clock.nanos();
            acceptedLateBy = clock.queueingDelayNanos();
            dueSince = acceptedAt;
            due.add(this);
            bound();
        }

        private boolean isFree() {
            return open == null && pipelined.isEmpty();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            ReceivedRequest arrived = new ReceivedRequest(
                    request, clock.nanos(), heldUpNanos(), decoder.handOver(), assembler.handOver());
            if (deaf) {
                arrived.giveUp();
                return;
            }
            begun = false;
            // Of one that there is no room for the rest is read past: its client sends all of it before it looks for an
            // answer, or leaves, which is to be noticed.
            boolean readsPast = request.decoderResult().cause() instanceof RequestAggregator.BudgetExceededException;
            if (!request.decoderResult().isSuccess()) {
                // Guards against spending time on the rest of what can't be read.
                deaf = true;
                channel.config().setAutoRead(readsPast);
            }
            if (isFree() && channel.isWritable()) {
                take(arrived);
            } else {
                pipelined.add(arrived);
                // Guards against piling up what one client sends ahead, without breaking off what is open.
                channel.config().setAutoRead(readsPast || (!deaf && pipelined.size() < MOST_PIPELINED));
            }
        }

        /** What came right behind its connect lay here for as long as the connection waited to be accepted. */
        private long heldUpNanos() {
            long heldUp = clock.queueingDelayNanos();
            long sinceAccepted = clock.nanos() - acceptedAt;
            return !asked && sinceAccepted <= heldUp + acceptedLateBy ? sinceAccepted + acceptedLateBy : heldUp;
        }

        /** The limit counts from a request's first byte, and no later byte renews it. */
        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            boolean amidst = decoder.holdsBytes() || assembler.amidst();
            if (amidst && !begun) {
                dueSince = asked ? clock.nanos() : dueSince;
            }
            begun = amidst;
            place();
            ctx.fireChannelReadComplete();
        }

        /** Puts the connection into the set where it belongs. */
        private void place() {
            boolean rests = connections.contains(this) && isFree() && !deaf;
            boolean isDue = rests && (begun || !asked);
            keep(due, isDue);
            boolean wasIdle = idle.contains(this);
            keep(idle, rests && !isDue);
            idleSince = wasIdle ? idleSince : clock.nanos();
        }

        private void keep(Set<Connection> set, boolean in) {
            if (in) {
                set.add(this);
            } else {
                set.remove(this);
            }
        }

        private void take(ReceivedRequest arrived) {
            FullHttpRequest request = arrived.request;
            asked = true;
            boolean readable = request.decoderResult().isSuccess();
            boolean probes = request.uri().equals(bounds.readyPath());
            // Guards against probes that take clients' places: each comes on a connection of its own.
            Reply reply = new Reply(
                    this,
                    readable && !probes && HttpUtil.isKeepAlive(request),
                    request.method().equals(HttpMethod.HEAD));
            reply.answers(arrived);
            open = reply;
            place();
            try {
                if (!readable) {
                    reject(request.decoderResult().cause(), reply);
                } else if (probes) {
                    boolean ready = listener.ready();
                    reply.text(
                            ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                            ready ? "ready" : "starting",
                            0);
                } else {
                    listener.onRequest(request, arrived.at, reply);
                }
            } catch (BadRequest e) {
                tally.requestRejected(e.status);
                reply.text(e.status, e.getMessage(), 0);
            } catch (RuntimeException e) {
                // Guards against a fault of the program leaving its request without an answer.
                Invariant.NO_FAULT.violatedBy(e, "taking in a request for " + request.uri());
                reply.text(HttpResponseStatus.INTERNAL_SERVER_ERROR, "a fault of the gateway", 0);
            } finally {
                if (reply.kept == null) {
                    reply.releaseRequest();
                }
                request.release();
            }
        }

        /** Tells why a request can't be taken. */
        private void reject(Throwable cause, Reply reply) {
            if (cause instanceof RequestAggregator.BudgetExceededException) {
                tally.requestRejected(HttpResponseStatus.SERVICE_UNAVAILABLE);
                reply.text(HttpResponseStatus.SERVICE_UNAVAILABLE, "no room for the request at present", NO_ROOM_NANOS);
                return;
            }
            boolean tooLong = cause instanceof TooLongHttpContentException;
            HttpResponseStatus status =
                    tooLong ? HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE : HttpResponseStatus.BAD_REQUEST;
            tally.requestRejected(status);
            reply.text(status, tooLong ? "the body is too long" : "not a readable HTTP request", 0);
        }

        private void answer(DefaultFullHttpResponse answer, boolean keepAlive, Runnable whenWritten) {
            open = null;
            if (keepAlive) {
                ChannelFuture written = channel.writeAndFlush(answer)
                        .addListener(ChannelFutureListener.CLOSE_ON_FAILURE)
                        .addListener(done -> whenWritten.run());
                watch(written);
                if (!pipelined.isEmpty()) {
                    // Guards against recursion through a run of requests that are answered at once.
                    loop.execute(this::takeNext);
                }
            } else {
                boolean unread = deaf;
                deaf = true;
                closing = true;
                end = CloseReason.LAST_ANSWER;
                answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
                ChannelFuture written = channel.writeAndFlush(answer).addListener(done -> whenWritten.run());
                watch(written);
                if (unread) {
                    linger(written);
                } else {
                    written.addListener(ChannelFutureListener.CLOSE);
                }
            }
            place();
        }

        /** Looks after an answer that its client hasn't taken whole yet. */
        private void watch(ChannelFuture written) {
            if (written.isDone()) {
                return;
            }
            if (unread.add(this)) {
                unreadSince = clock.nanos();
                unreadBytes = Long.MAX_VALUE;
            }
            written.addListener(done -> {
                if (waitingBytes() == 0) {
                    unread.remove(this);
                }
            });
        }

        /** How much of answers has not gone out yet. */
        private long waitingBytes() {
            ChannelOutboundBuffer waiting = channel.unsafe().outboundBuffer();
            return waiting == null ? 0 : waiting.totalPendingWriteBytes() - Math.max(0, waiting.currentProgress());
        }

        /** Since when its client has taken nothing of what waits for it. */
        private long takesNothingSince() {
            long bytes = waitingBytes();
            if (bytes < unreadBytes) {
                unreadBytes = bytes;
                unreadSince = clock.nanos();
            }
            return unreadSince;
        }

        /**
         * Guards against the reset that closing with bytes unread would be: it would take the answer away from a client
         * that is still sending. The rest isn't read either, as it may have no end.
         */
        private void linger(ChannelFuture written) {
            lingering.add(this);
            written.addListener(done -> ((DuplexChannel) channel).shutdownOutput());
            loop.schedule(() -> channel.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
        }

        /** Guards against answers that pile up for a client that asks on and doesn't read them. */
        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (channel.isWritable()) {
                loop.execute(this::takeNext);
            }
            ctx.fireChannelWritabilityChanged();
        }

        private void takeNext() {
            if (open == null && !closing && channel.isActive() && channel.isWritable() && !pipelined.isEmpty()) {
                ReceivedRequest next = pipelined.poll();
                channel.config().setAutoRead(!deaf);
                take(next);
            }
        }

        /** Ends a connection whose next request has not come in time, with a word where it has begun. */
        private void overdue() {
            if (begun) {
                deaf = true;
                channel.config().setAutoRead(false);
                Reply reply = new Reply(this, false, false);
                open = reply;
                tally.requestRejected(HttpResponseStatus.REQUEST_TIMEOUT);
                reply.text(HttpResponseStatus.REQUEST_TIMEOUT, "the request did not come in time", 0);
            } else {
                drop(CloseReason.NOTHING_ASKED);
            }
        }

        /**
         * Closes it once its last answer has gone out. Guards against cutting the rest of an answer that its client
         * reads slowly. A client that never reads keeps its place only until another needs it.
         */
        private void closeWhenWritten(CloseReason why) {
            ChannelFuture written = channel.writeAndFlush(Unpooled.EMPTY_BUFFER);
            if (written.isDone()) {
                drop(why);
                return;
            }
            end = why;
            deaf = true;
            closing = true;
            channel.config().setAutoRead(false);
            lingering.add(this);
            place();
            written.addListener(ChannelFutureListener.CLOSE);
        }

        /** Closes it, and forgets it at once so that its place is free. */
        private void drop(CloseReason why) {
            end = why;
            forget();
            channel.close();
        }

        private void forget() {
            connections.remove(this);
            idle.remove(this);
            due.remove(this);
            lingering.remove(this);
            unread.remove(this);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            tally.connectionClosed(end);
            forget();
            assembler.giveUp();
            decoder.handOver().release();
            pipelined.forEach(ReceivedRequest::giveUp);
            pipelined.clear();
            bound();
            Reply unanswered = open;
            open = null;
            if (unanswered != null && !unanswered.done) {
                unanswered.done = true;
                unanswered.left.run();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            Fatal.pass(cause);
            // A client that leaves amid its request is no fault; others may come as often as clients like.
            if (!(cause instanceof IOException) && !(cause instanceof PrematureChannelClosureException)) {
                end = CloseReason.BROKEN;
                logFault(cause);
            }
            ctx.close();
        }
    }
}
