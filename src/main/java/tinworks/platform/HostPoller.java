package tinworks.platform;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import tinworks.channel.HostList.Host;
import tinworks.json.Json;
import tinworks.net.HostPool;
import tinworks.net.HostPool.HostEntry;
import tinworks.net.HostPool.Response;
import tinworks.net.MonotonicClock;
import tinworks.net.Transport;
import tinworks.policy.LoadBalancerApi.LoadReport;
import tinworks.policy.LoadBalancerApi.Outcome;

/**
 * Fetches the platform's list, page by page, again and again while it is on: once a second, and after a failure or a
 * 429 after a pause that grows and is drawn by chance. All on one event loop.
 */
public final class HostPoller {
    private static final String PLATFORM = "platform";
    private static final long PERIOD_MILLIS = 1_000;
    private static final long LONGEST_PAUSE_MILLIS = 4_000;
    private static final long TIMEOUT_MILLIS = 1_500;
    private static final int LARGEST_PAGE = 4 << 20;
    /** Longer than a period: the one connection to the platform is kept. */
    private static final long IDLE_NANOS = TimeUnit.SECONDS.toNanos(20);

    private final EventLoop loop;
    private final Consumer<List<Host>> listener;
    private final Consumer<String> log;
    private final HostPool pool;
    private final MonotonicClock clock;
    private final SplittableRandom random;
    private InetSocketAddress address;
    private long moves = 1;
    private HostListReader reader = new HostListReader();
    private int leftOut;
    private int failures;
    private boolean on;
    private long run;

    /** A poller that is off; the listener is told of each whole list, in the order of the hosts' ids. */
    public HostPoller(
            EventLoop loop,
            MonotonicClock clock,
            InetSocketAddress address,
            long seed,
            Consumer<List<Host>> listener,
            Consumer<String> log) {
        this.loop = loop;
        this.clock = clock;
        this.listener = listener;
        this.log = log;
        random = new SplittableRandom(seed);
        pool = new HostPool(
                loop,
                Transport.TCP,
                clock,
                new HostPool.Bounds(TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS), IDLE_NANOS, 2, LARGEST_PAGE),
                new ListDialect());
        moveTo(address);
    }

    /** From now on the list is fetched from this address. */
    public void moveTo(InetSocketAddress changed) {
        if (!changed.equals(address)) {
            address = changed;
            pool.update(List.of(new HostEntry(PLATFORM, changed, moves++, true, false)), true);
        }
    }

    /** Starts fetching at once, or stops. */
    public void turn(boolean wanted) {
        if (wanted != on) {
            on = wanted;
            run++;
            if (on) {
                failures = 0;
                begin(run);
            }
        }
    }

    /** Whether it is on. */
    public boolean isOn() {
        return on;
    }

    private void begin(long itsRun) {
        if (on && itsRun == run) {
            reader = new HostListReader();
            fetch(itsRun, "");
        }
    }

    private void fetch(long itsRun, String cursor) {
        String path =
                cursor.isEmpty() ? "/hosts" : "/hosts?cursor=" + URLEncoder.encode(cursor, StandardCharsets.UTF_8);
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path, Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
        long started = clock.nanos();
        pool.send(
                PLATFORM,
                "",
                request,
                TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS),
                Long.MAX_VALUE,
                (attempt, outcome, at, load, answer) -> answered(itsRun, started, outcome, answer));
    }

    private void answered(long itsRun, long started, Outcome outcome, Response answer) {
        if (!on || itsRun != run) {
            return;
        }
        if (outcome != Outcome.SERVED) {
            failed(
                    itsRun,
                    answer == null ? outcome.toString() : answer.head().status().toString());
            return;
        }
        List<Host> hosts;
        try {
            String next = reader.page(Json.read(answer.body().toString(StandardCharsets.UTF_8)));
            if (!next.isEmpty()) {
                fetch(itsRun, next);
                return;
            }
            hosts = reader.hosts();
        } catch (IOException | IllegalArgumentException e) {
            failed(itsRun, "can't be read: " + e.getMessage());
            return;
        }
        failures = 0;
        tellLeftOut();
        listener.accept(hosts);
        long passed = TimeUnit.NANOSECONDS.toMillis(clock.nanos() - started);
        loop.schedule(() -> begin(itsRun), Math.max(1, PERIOD_MILLIS - passed), TimeUnit.MILLISECONDS);
    }

    /** Guards against many callers coming back at the same moment when the platform is late or says 429. */
    private void failed(long itsRun, String why) {
        failures++;
        if (failures == 1) {
            log.accept("the platform's list: " + why);
        }
        long pause = Math.min(LONGEST_PAUSE_MILLIS, (PERIOD_MILLIS / 4) << Math.min(failures, 5));
        loop.schedule(() -> begin(itsRun), pause / 2 + random.nextLong(pause), TimeUnit.MILLISECONDS);
    }

    /** A line where another number of entries can't be read than before: the list comes every second. */
    private void tellLeftOut() {
        if (reader.leftOut() != leftOut) {
            leftOut = reader.leftOut();
            log.accept("the platform's list: left out " + leftOut + " entries that can't be read"
                    + (leftOut == 0 ? "" : ", the last for " + reader.why()));
        }
    }

    private static final class ListDialect implements HostPool.ResponseClassifier {
        @Override
        public Outcome outcome(String request, HttpResponse head, boolean framed) {
            return framed && head.status().equals(HttpResponseStatus.OK) ? Outcome.SERVED : Outcome.ERROR;
        }

        @Override
        public LoadReport load(HttpHeaders headers) {
            return null;
        }
    }
}
