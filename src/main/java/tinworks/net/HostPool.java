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
 * Kept-alive connections to the hosts, and the attempts on them. A connection carries one request at a time. Nothing is
 * ever sent a second time here: an attempt whose connection breaks has ended.
 */
public final class HostPool {
    /** Told once for each attempt, on the event loop, never from within {@link #send} or a cancel. */
    public interface AttemptListener {
        /** {@code answer} is there where a whole one came, and is the listener's for the call's length. */
        void ended(Attempt attempt, Outcome outcome, long atNanos, LoadReport load, Response answer);
    }

    /** A host's whole answer, and the room that its body takes of the pool's budget. */
    public record Response(HttpResponse head, ByteBuf body, Reservation reserved) {}

    /** Whose an answer is: by the id that it repeats, where hosts repeat ids. */
    public enum ResponseMatch {
        THIS_REQUEST,
        OTHER_REQUEST,
        UNIDENTIFIED
    }

    /** How hosts say what became of a request. */
    public interface ResponseClassifier {
        /**
         * Whether an answer with these headers is the one to the request of this id; so it is where none repeats an id.
         */
        default ResponseMatch match(String request, HttpHeaders headers) {
            return ResponseMatch.THIS_REQUEST;
        }

        /** What a whole answer to the request of this id means; {@code framed} says that its head told its length. */
        Outcome outcome(String request, HttpResponse head, boolean framed);

        /** The host's account of its load, or null. */
        LoadReport load(HttpHeaders headers);
    }

    /** One host and where it is; {@code startedAt} in the clock's time, 0 where the start is long ago. */
    public record HostEntry(String id, SocketAddress address, long startedAtNanos, boolean ready, boolean removed) {}

    /**
     * What connections may cost.
     *
     * @param idleNanos when at the latest a host closes a connection that stands idle
     * @param connections the most to all hosts
     * @param answerBytes the longest body of an answer
     */
    public record Bounds(long dialTimeoutNanos, long idleNanos, int connections, int answerBytes) {}

    /** Guards against a request that crosses the host's own closing of an idle connection. */
    private static final double IDLE_PART = 2.0 / 3;

    private static final long SWEEP_MILLIS = 500;
    private static final AsciiString KEEP_ALIVE = AsciiString.cached("keep-alive");
    private static final String TIMEOUT = "timeout=";
    private static final int MOST_DIGITS = 6;

    private final EventLoop loop;
    private final MonotonicClock clock;
    private final Bounds bounds;
    private final ByteBudget answers;
    private final ResponseClassifier dialect;
    private final Bootstrap bootstrap;
    private final Map<String, Host> hosts = new HashMap<>();
    private final Future<?> sweeper;
    private int connections;

    /** A pool that knows no host yet, with room for all answers. */
    public HostPool(
            EventLoop loop, Transport transport, MonotonicClock clock, Bounds bounds, ResponseClassifier dialect) {
        this(loop, transport, clock, bounds, new ByteBudget(Long.MAX_VALUE), dialect);
    }

    /**
     * A pool that knows no host yet. The bodies of long answers come out of a budget: where there is no room for one,
     * its connection isn't read until there is.
     */
    public HostPool(
            EventLoop loop,
            Transport transport,
            MonotonicClock clock,
            Bounds bounds,
            ByteBudget answers,
            ResponseClassifier dialect) {
        this.answers = answers;
        this.loop = loop;
        this.clock = clock;
        this.bounds = bounds;
        this.dialect = dialect;
        bootstrap = new Bootstrap()
                .group(loop)
                .channel(transport.client())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                        Math.max(1, TimeUnit.NANOSECONDS.toMillis(bounds.dialTimeoutNanos())));
        sweeper = loop.scheduleWithFixedDelay(this::retireIdle, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Takes in a list before the module is told of it, so that each host it names has an address; one that is
     * {@code whole} names all that there are.
     */
    public void update(List<HostEntry> places, boolean whole) {
        Set<String> named = new HashSet<>();
        for (HostEntry place : places) {
            named.add(place.id());
            update(place);
        }
        if (whole) {
            for (String name : List.copyOf(hosts.keySet())) {
                if (!named.contains(name)) {
                    hosts.remove(name).keepConnections(false);
                }
            }
        }
    }

    private void update(HostEntry place) {
        String name = place.id();
        Host old = hosts.get(name);
        if (place.removed()) {
            hosts.remove(name);
        } else if (old == null || !old.is(place)) {
            hosts.put(name, new Host(place));
        } else {
            old.keepConnections(place.ready());
            return;
        }
        if (old != null) {
            old.keepConnections(false);
            if (!place.removed()) {
                old.breakBefore(place.startedAtNanos());
            }
        }
    }

    /**
     * Starts an attempt. The request is this method's to release.
     *
     * @param id the request's id, for the {@link ResponseClassifier}
     * @param restedNanos how long a connection may have rested to be trusted with this request
     */
    public Attempt send(
            String host,
            String id,
            FullHttpRequest request,
            long timeoutNanos,
            long restedNanos,
            AttemptListener listener) {
        Attempt attempt = new Attempt(id, request, clock.nanos(), listener);
        attempt.timer = loop.schedule(attempt::timedOut, Math.max(0, timeoutNanos), TimeUnit.NANOSECONDS);
        Host target = hosts.get(host);
        Connection idle = target == null ? null : target.takeIdle(restedNanos);
        if (idle != null) {
            idle.carry(attempt);
        } else if (target != null && (connections < bounds.connections() || closeOneIdle())) {
            target.dial(attempt);
        } else {
            loop.execute(() -> attempt.end(Outcome.CONNECT_FAILED, null, null));
        }
        return attempt;
    }

    /** Closes all connections, those with a request on them too, and is of no further use. */
    public void close() {
        sweeper.cancel(false);
        hosts.values().forEach(host -> List.copyOf(host.all).forEach(connection -> connection.channel.close()));
        hosts.clear();
    }

    /** Connections that are open or on their way. */
    public int connections() {
        return connections;
    }

    private void retireIdle() {
        hosts.values().forEach(host -> host.closeIdle(clock.nanos() - host.idleNanos));
    }

    private boolean closeOneIdle() {
        for (Host host : hosts.values()) {
            Connection longest = host.idle.pollFirst();
            if (longest != null) {
                longest.channel.close();
                return true;
            }
        }
        return false;
    }

    /** One host since its last start, at one address. */
    private final class Host {
        private final SocketAddress address;
        private final long startedAt;
        /** The latest used last. */
        private final ArrayDeque<Connection> idle = new ArrayDeque<>();

        private final Set<Connection> all = new HashSet<>();
        private boolean keeps;
        /** Shorter than the usual where the host itself has told a shorter time. */
        private long idleNanos = (long) (bounds.idleNanos() * IDLE_PART);

        Host(HostEntry place) {
            address = place.address();
            startedAt = place.startedAtNanos();
            keeps = place.ready();
        }

        boolean is(HostEntry place) {
            return address.equals(place.address()) && startedAt == place.startedAtNanos();
        }

        /** The latest used, so that the others come of age; one that the host has closed is passed over. */
        Connection takeIdle(long restedNanos) {
            Connection connection = idle.peekLast();
            while (connection != null
                    && (!connection.channel.isActive() || clock.nanos() - connection.idleSince > idleNanos)) {
                idle.pollLast().channel.close();
                connection = idle.peekLast();
            }
            return connection != null && clock.nanos() - connection.idleSince <= restedNanos ? idle.pollLast() : null;
        }

        /** Guards against a request that crosses the closing that this host has announced. */
        void told(String keepAlive) {
            int at = keepAlive == null ? -1 : keepAlive.indexOf(TIMEOUT);
            if (at >= 0) {
                int end = at + TIMEOUT.length();
                long seconds = 0;
                for (int digits = 0;
                        end < keepAlive.length()
                                && Character.digit(keepAlive.charAt(end), 10) >= 0
                                && digits < MOST_DIGITS;
                        digits++) {
                    seconds = seconds * 10 + Character.digit(keepAlive.charAt(end++), 10);
                }
                idleNanos = (long) (Math.min(bounds.idleNanos(), TimeUnit.SECONDS.toNanos(seconds)) * IDLE_PART);
            }
        }

        void dial(Attempt attempt) {
            connections++;
            Connection connection = new Connection(this, attempt);
            all.add(connection);
            attempt.connection = connection;
            ChannelFuture dial = bootstrap
                    .clone()
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            ResponseReader reader = new ResponseReader(connection, bounds.answerBytes(), answers);
                            channel.pipeline().addLast(reader.decoder(), new HttpRequestEncoder(), reader);
                        }
                    })
                    .connect(address);
            connection.channel = dial.channel();
            dial.channel().closeFuture().addListener(closed -> loop.execute(connection::closed));
            dial.addListener(connection::dialled);
        }

        void closeIdle(long before) {
            while (!idle.isEmpty() && idle.peekFirst().idleSince <= before) {
                idle.pollFirst().channel.close();
            }
        }

        /**
         * Guards against holding connections, of which a host has few, to one that drains or is gone. What is in work
         * there may still be answered.
         */
        void keepConnections(boolean keep) {
            keeps = keep;
            if (!keep) {
                closeIdle(Long.MAX_VALUE);
            }
        }

        /** Guards against waiting on a process that is no more: its machine may never say so. */
        void breakBefore(long startOfNext) {
            for (Connection connection : List.copyOf(all)) {
                if (connection.openedAt < startOfNext) {
                    connection.channel.close();
                }
            }
        }
    }

    private final class Connection implements ResponseReader.Listener {
        private final Host host;
        private final long openedAt = clock.nanos();
        private Channel channel;
        private Attempt attempt;
        private long idleSince;

        Connection(Host host, Attempt first) {
            this.host = host;
            attempt = first;
        }

        void dialled(Future<?> done) {
            if (!done.isSuccess()) {
                channel.close();
                return;
            }
            if (attempt == null) {
                release(true);
            } else {
                carry(attempt);
            }
        }

        void carry(Attempt next) {
            attempt = next;
            next.connection = this;
            FullHttpRequest request = next.request;
            next.request = null;
            next.writing = true;
            channel.writeAndFlush(request).addListener(write -> {
                next.written = write.isSuccess();
                if (!next.written) {
                    channel.close();
                }
            });
        }

        @Override
        public boolean isAwaitingResponse() {
            return attempt != null && attempt.writing;
        }

        @Override
        public boolean isHeadRequest() {
            return attempt != null && attempt.asksForHead;
        }

        @Override
        public ResponseMatch ownerOf(HttpResponse head) {
            // An attempt that was called off within this very read is over, and its connection closed.
            return attempt == null ? ResponseMatch.THIS_REQUEST : dialect.match(attempt.id, head.headers());
        }

        @Override
        public void onResponse(HttpResponse head, ByteBuf body, Reservation reserved, boolean framed, boolean clean) {
            Attempt answered = attempt;
            if (answered == null) {
                return; // called off within this very read, and closed
            }
            attempt = null;
            host.told(head.headers().get(KEEP_ALIVE));
            // A free connection first: the module may send again at once.
            release(clean && framed && HttpUtil.isKeepAlive(head) && answered.written);
            answered.end(
                    dialect.outcome(answered.id, head, framed),
                    dialect.load(head.headers()),
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

        private void release(boolean reusable) {
            if (reusable && host.keeps && channel.isActive()) {
                idleSince = clock.nanos();
                host.idle.addLast(this);
            } else {
                channel.close();
            }
        }

        /** After the write's own end, so that it is known by now whether the last byte went out. */
        private void closed() {
            connections--;
            host.all.remove(this);
            host.idle.remove(this);
            Attempt broken = attempt;
            attempt = null;
            if (broken != null) {
                broken.end(broken.written ? Outcome.RESET : Outcome.CONNECT_FAILED, null, null);
            }
        }
    }

    /** One send of a request to a host. */
    public final class Attempt {
        private final String id;
        private final AttemptListener listener;
        private final long sentAt;
        private final boolean asksForHead;
        private FullHttpRequest request;
        private Connection connection;
        private Future<?> timer;
        private boolean writing;
        private boolean written;
        private Outcome outcome;
        private long endedAt;

        private Attempt(String id, FullHttpRequest request, long sentAt, AttemptListener listener) {
            this.id = id;
            this.request = request;
            this.sentAt = sentAt;
            asksForHead = request.method().equals(HttpMethod.HEAD);
            this.listener = listener;
        }

        /** How long it had been out at a time. */
        public long elapsed(long at) {
            return Math.max(0, at - sentAt);
        }

        /** How it ended, or null while it is out. */
        public Outcome outcome() {
            return outcome;
        }

        /** How long it took, or has been out at a time. */
        long nanos(long now) {
            return elapsed(outcome == null ? now : endedAt);
        }

        /** Stops waiting. */
        public void cancel() {
            loop.execute(() -> {
                abandon();
                end(Outcome.CANCELLED, null, null);
            });
        }

        private void timedOut() {
            abandon();
            // What was never on its way to the host is proved not to have run.
            end(writing ? Outcome.TIMED_OUT : Outcome.CONNECT_FAILED, null, null);
        }

        /** A connection with a request on it is closed; one that is still coming up is kept for others. */
        private void abandon() {
            if (outcome == null && connection != null) {
                connection.attempt = null;
                if (writing) {
                    connection.channel.close();
                }
            }
        }

        private void end(Outcome itsOutcome, LoadReport load, Response answer) {
            if (outcome != null) {
                return;
            }
            outcome = itsOutcome;
            endedAt = clock.nanos();
            timer.cancel(false);
            if (request != null) {
                request.release();
                request = null;
            }
            listener.ended(this, outcome, endedAt, load, answer);
        }
    }
}
