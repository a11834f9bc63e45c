package tinworks.standin;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import tinworks.net.ClientServer;
import tinworks.net.ClientServer.Reply;
import tinworks.net.MonotonicClock;
import tinworks.net.Transport;

/**
 * A host by the published protocol: it works on as many requests as it has slots, queues a few, turns away the rest
 * with {@code Not-Run}, stops at the deadline, and stamps its answers. All on one event loop.
 */
public final class StandInHost implements ClientServer.Listener, Listable {
    /**
     * What it is like.
     *
     * @param id its name in this life
     * @param slots requests at work at once, 1 or more
     * @param queue requests that wait, at most
     * @param workMillis a request's work on average
     * @param speed how fast it is against the average, above 0; half that while it warms up
     * @param warmupMillis how long from its start it is slow
     */
    public record Nature(
            String id,
            String service,
            String zone,
            int slots,
            int queue,
            double workMillis,
            double speed,
            long warmupMillis) {}

    private static final HttpResponseStatus WRONG_HOST = HttpResponseStatus.valueOf(421, "Misdirected Request");
    private static final int CONNECTIONS = 200;
    private static final int HEAD_BYTES = 32_768;
    private static final int BODY_BYTES = 8 << 20;
    private static final long IDLE_SECONDS = 20;
    private static final long ARRIVAL_SECONDS = 10;
    private static final String ATTEMPT = "Attempt-Id";
    private static final String CHECK = "/healthz";
    private static final double COLD_SPEED = 0.5;
    private static final double SURE_PART = 0.5;

    private final EventLoop loop;
    private final Nature nature;
    private final SplittableRandom random;
    private final Ledger ledger;
    private final ClientServer server;
    private final long startedAt = System.nanoTime();
    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    private int running;
    private double slowdown = 1;
    private boolean draining;
    private long arrivals;

    private record Job(String id, long until, Reply reply) {}

    /** A host that doesn't listen yet; its work times are drawn from the seed. */
    public StandInHost(EventLoop loop, Nature nature, long seed, Ledger ledger) {
        this.loop = loop;
        this.nature = nature;
        this.ledger = ledger;
        random = new SplittableRandom(seed);
        server = new ClientServer(
                loop,
                Transport.TCP,
                new MonotonicClock(),
                new ClientServer.Bounds(
                        CONNECTIONS,
                        TimeUnit.SECONDS.toNanos(ARRIVAL_SECONDS),
                        TimeUnit.SECONDS.toNanos(IDLE_SECONDS),
                        HEAD_BYTES,
                        BODY_BYTES,
                        "/-/none"),
                this);
    }

    /** Starts to listen; the future fails where the address can't be had. */
    public ChannelFuture listen(InetSocketAddress address) {
        return server.listen(address);
    }

    @Override
    public InetSocketAddress address() {
        return server.address();
    }

    @Override
    public Nature nature() {
        return nature;
    }

    @Override
    public boolean isDraining() {
        return draining;
    }

    @Override
    public long warmupLeftMillis() {
        return Math.max(0, nature.warmupMillis() - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt));
    }

    /** Requests that have come, those turned away among them. */
    public long arrivals() {
        return arrivals;
    }

    /** From now on its work takes so many times as long. */
    public void slow(double times) {
        slowdown = times;
    }

    /** It serves on, tells health probes that it is leaving, and ends each connection with the next answer. */
    public void drain() {
        draining = true;
        server.closeAfterNextResponse();
    }

    /** Ends: takes in no more. */
    public void end() {
        drain();
        server.stopAccepting();
    }

    @Override
    public boolean ready() {
        return !draining;
    }

    @Override
    public void onRequest(FullHttpRequest request, long arrivedAt, Reply reply) {
        String id = request.headers().get(ATTEMPT);
        String wanted = request.headers().get("Want-Host");
        if (request.uri().equals(CHECK)) {
            answer(reply, draining ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.OK, headers(null), "");
            return;
        }
        arrivals++;
        if (id == null) {
            refuse(reply, HttpResponseStatus.BAD_REQUEST, null);
        } else if (wanted != null && !wanted.equals(nature.id())) {
            refuse(reply, WRONG_HOST, id);
        } else {
            Job job = new Job(id, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(deadline(request)), reply);
            if (running < nature.slots()) {
                run(job);
            } else if (waiting.size() < nature.queue()) {
                waiting.add(job);
            } else {
                refuse(reply, HttpResponseStatus.SERVICE_UNAVAILABLE, id);
            }
        }
    }

    private static long deadline(FullHttpRequest request) {
        try {
            return Long.parseLong(request.headers().get("Deadline-Ms", "60000"));
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    private void run(Job job) {
        long left = job.until() - System.nanoTime();
        if (left <= 0) {
            refuse(job.reply(), HttpResponseStatus.SERVICE_UNAVAILABLE, job.id());
            return;
        }
        running++;
        ledger.ran(job.id());
        long work = (long) (workMillis() * TimeUnit.MILLISECONDS.toNanos(1));
        loop.schedule(() -> finish(job, work <= left), Math.min(work, left), TimeUnit.NANOSECONDS);
    }

    /** A sure half and an exponential half. */
    private double workMillis() {
        double speed = nature.speed() * (warmupLeftMillis() > 0 ? COLD_SPEED : 1) / slowdown;
        return nature.workMillis() / speed * (SURE_PART - (1 - SURE_PART) * Math.log(1 - random.nextDouble()));
    }

    private void finish(Job job, boolean inTime) {
        running--;
        HttpHeaders headers = headers(job.id());
        if (inTime) {
            headers.set("Origin-Seal", "seal-" + nature.id() + "-" + job.id());
        }
        answer(
                job.reply(),
                inTime ? HttpResponseStatus.OK : HttpResponseStatus.GATEWAY_TIMEOUT,
                headers,
                "done by " + nature.id());
        while (running < nature.slots() && !waiting.isEmpty()) {
            run(waiting.poll());
        }
    }

    private void refuse(Reply reply, HttpResponseStatus status, String id) {
        answer(reply, status, headers(id).set("Not-Run", "1"), "not run");
    }

    private HttpHeaders headers(String id) {
        HttpHeaders headers = new DefaultHttpHeaders()
                .set("Served-By", nature.id())
                .set("Host-Load", running + "," + waiting.size() + "," + nature.slots());
        return id == null ? headers : headers.set(ATTEMPT, id);
    }

    private static void answer(Reply reply, HttpResponseStatus status, HttpHeaders headers, String body) {
        reply.write(status, headers, Unpooled.copiedBuffer(body, StandardCharsets.UTF_8), 0);
    }
}
