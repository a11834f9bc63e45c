package tinworks.load;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import tinworks.net.HostPool;
import tinworks.net.HostPool.HostEntry;
import tinworks.net.HostPool.Response;
import tinworks.net.MonotonicClock;
import tinworks.net.Transport;
import tinworks.policy.LoadBalancerApi.LoadReport;
import tinworks.policy.LoadBalancerApi.Outcome;

/**
 * Clients by the published protocol, in an open loop: when a request is due does not depend on how earlier ones fare,
 * so a gateway that stalls is charged for all who wait. Repeatable requests are tried again after any failure, others
 * only after a promise that they have not run; {@code Retry-After} is heeded. All on one event loop.
 */
public final class LoadClients {
    /** Told of each try, so that what hosts ran can be set against it. */
    public interface Watcher {
        /** Whom nothing is told. */
        Watcher NOBODY = new Watcher() {
            @Override
            public void sent(String attemptId, boolean once) {}

            @Override
            public void promisedNotRun(String attemptId) {}
        };

        /** A try is about to be sent; its request may run {@code once} at most, or again and again. */
        void sent(String attemptId, boolean once);

        /** An answer promises that the try has not run and never will. */
        void promisedNotRun(String attemptId);

        /** The request of a try goes to this gateway; it is the watcher's for the call's length. */
        default void sending(String attemptId, String gateway, FullHttpRequest request) {}

        /** How a try ended; the answer is null where none came whole, and the watcher's for the call's length. */
        default void ended(String attemptId, Outcome outcome, Response answer) {}
    }

    private static final int MOST_TRIES = 5;
    private static final int MOST_OPEN = 20_000;
    private static final int ANSWER_BYTES = 8 << 20;
    private static final long CONNECT_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long IDLE_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final long FIRST_PAUSE_MILLIS = 50;
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);
    private static final Set<Integer> FINAL = Set.of(400, 401, 404, 413, 431);

    private final EventLoop loop;
    private final MonotonicClock clock = new MonotonicClock();
    private final HostPool pool;
    private final SplittableRandom random;
    private final Watcher watcher;
    private final Map<RequestKind, Results> results = new LinkedHashMap<>();
    private List<String> gateways = List.of();
    private long graceNanos;
    private long requests;
    private int open;
    private long untilNanos;

    /** Clients of gateways that are named later; arrivals and picks are drawn from the seed. */
    public LoadClients(EventLoop loop, List<RequestKind> kinds, long seed, Watcher watcher) {
        this.loop = loop;
        this.watcher = watcher;
        random = new SplittableRandom(seed);
        kinds.forEach(kind -> results.put(kind, new Results()));
        pool = new HostPool(
                loop,
                Transport.TCP,
                clock,
                new HostPool.Bounds(CONNECT_NANOS, IDLE_NANOS, MOST_OPEN, ANSWER_BYTES),
                new ClientDialect());
    }

    /** From now on clients wait for so much longer than they tell the gateway, to see what comes after all. */
    public void waitLonger(long millis) {
        graceNanos = TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** From now on tries go to these, each as likely as the others. */
    public void gateways(List<InetSocketAddress> addresses) {
        List<HostEntry> places = new ArrayList<>();
        for (InetSocketAddress address : addresses) {
            places.add(new HostEntry(name(address), address, 1, true, false));
        }
        pool.update(places, true);
        gateways = places.stream().map(HostEntry::id).toList();
    }

    private static String name(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }

    /** Sends requests from now on, for so long. */
    public void start(long millis) {
        untilNanos = clock.nanos() + TimeUnit.MILLISECONDS.toNanos(millis);
        results.keySet().forEach(kind -> next(kind, clock.nanos()));
    }

    /** No more requests are sent. */
    public void stop() {
        untilNanos = clock.nanos();
    }

    /** Requests without their end. */
    public int open() {
        return open;
    }

    /** What became of each kind; not to be kept, since it goes on counting. */
    public Map<RequestKind, Results> results() {
        return results;
    }

    /** Those of all kinds together. */
    public Results all() {
        Results all = new Results();
        results.values().forEach(all::add);
        return all;
    }

    /** Exponential pauses, summed from the due time of the one before. */
    private void next(RequestKind kind, long after) {
        long due = after + (long) (-Math.log(1 - random.nextDouble()) / kind.perSecond() * TimeUnit.SECONDS.toNanos(1));
        loop.schedule(
                () -> {
                    if (due < untilNanos) {
                        begin(kind, due);
                        next(kind, due);
                    }
                },
                Math.max(0, due - clock.nanos()),
                TimeUnit.NANOSECONDS);
    }

    private void begin(RequestKind kind, long due) {
        results.get(kind).sent();
        if (open >= MOST_OPEN) {
            // Guards against a memory that grows with a gateway's stall.
            results.get(kind).ended(false);
            return;
        }
        open++;
        new Request(kind, due, Long.toHexString(random.nextLong()) + Long.toHexString(++requests)).send();
    }

    private final class Request {
        private final RequestKind kind;
        private final long due;
        private final long deadline;
        private final String name;
        private int tries;

        Request(RequestKind kind, long due, String name) {
            this.kind = kind;
            this.due = due;
            this.name = name;
            deadline = due + TimeUnit.MILLISECONDS.toNanos(kind.deadlineMillis());
        }

        void send() {
            long left = deadline - clock.nanos();
            if (left <= 0 || gateways.isEmpty()) {
                again(false, 0);
                return;
            }
            String id = name + "-" + ++tries;
            watcher.sent(id, kind.once());
            FullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1, kind.once() ? HttpMethod.POST : HttpMethod.GET, kind.prefix() + name, body());
            request.headers()
                    .set(HttpHeaderNames.HOST, kind.domain())
                    .set("Attempt-Id", id)
                    .set("Deadline-Ms", Math.max(1, TimeUnit.NANOSECONDS.toMillis(left)));
            if (request.content().isReadable() && random.nextBoolean()) {
                request.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            } else if (kind.once()) {
                request.headers()
                        .setInt(
                                HttpHeaderNames.CONTENT_LENGTH,
                                request.content().readableBytes());
            }
            String gateway = gateways.get(random.nextInt(gateways.size()));
            watcher.sending(id, gateway, request);
            // Only a client's first try uses a connection that it has kept.
            pool.send(
                    gateway,
                    id,
                    request,
                    left + graceNanos,
                    tries == 1 ? Long.MAX_VALUE : -1,
                    (attempt, outcome, at, load, answer) -> {
                        watcher.ended(id, outcome, answer);
                        ended(id, outcome, at, answer);
                    });
        }

        private ByteBuf body() {
            if (!kind.once() || kind.mostBodyBytes() == 0) {
                return Unpooled.EMPTY_BUFFER;
            }
            byte[] body = new byte[random.nextInt(kind.mostBodyBytes() + 1)];
            random.nextBytes(body);
            return Unpooled.wrappedBuffer(body);
        }

        private void ended(String id, Outcome outcome, long at, Response answer) {
            if (outcome == Outcome.SERVED) {
                results.get(kind).served(at - due, kind.aimMillis());
                open--;
                return;
            }
            int status = answer == null ? 0 : answer.head().status().code();
            boolean promised = PROMISES.contains(status);
            if (promised) {
                watcher.promisedNotRun(id);
            }
            boolean mayRepeat = !kind.once() || promised || (answer == null && outcome.provesNotExecuted());
            if (mayRepeat && !FINAL.contains(status) && tries < MOST_TRIES) {
                again(promised, answer == null ? 0 : pauseMillis(answer.head().headers()));
            } else {
                end(promised);
            }
        }

        private void again(boolean refused, long advisedMillis) {
            long pause = advisedMillis > 0
                    ? advisedMillis
                    : FIRST_PAUSE_MILLIS / 2 + random.nextLong(FIRST_PAUSE_MILLIS << tries);
            if (clock.nanos() + TimeUnit.MILLISECONDS.toNanos(pause) >= deadline) {
                end(refused);
            } else {
                loop.schedule(this::send, pause, TimeUnit.MILLISECONDS);
            }
        }

        private void end(boolean refused) {
            results.get(kind).ended(refused);
            open--;
        }
    }

    private static long pauseMillis(HttpHeaders headers) {
        try {
            return (long)
                    (Double.parseDouble(headers.get(HttpHeaderNames.RETRY_AFTER, "0")) * TimeUnit.SECONDS.toMillis(1));
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    private static final class ClientDialect implements HostPool.ResponseClassifier {
        @Override
        public Outcome outcome(String request, HttpResponse head, boolean framed) {
            boolean served = framed
                    && head.status().equals(HttpResponseStatus.OK)
                    && head.headers().contains("Origin-Seal");
            return served ? Outcome.SERVED : Outcome.ERROR;
        }

        @Override
        public LoadReport load(HttpHeaders headers) {
            return null;
        }
    }
}
