package tinworks.control;

import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tinworks.channel.MonotonicTime;
import tinworks.channel.PeerMessage.CallResponse;
import tinworks.config.CompressedBytes;
import tinworks.config.ConfigurationHistory;
import tinworks.metrics.MetricsPage;
import tinworks.net.ByteBudget;
import tinworks.net.ClientServer;
import tinworks.net.ClientServer.BadRequest;
import tinworks.net.ClientServer.Reply;
import tinworks.net.MonotonicClock;
import tinworks.net.Transport;
import tinworks.node.StallWatch;
import tinworks.raft.Raft;

/**
 * The HTTP endpoint for operators: the calls of {@link OperatorCalls}, the status, metrics and readiness pages. It
 * handles HTTP, threads and the memory of bodies; what a call does is decided by {@link OperatorCalls}.
 */
final class OperatorServer implements ClientServer.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(OperatorServer.class);
    private static final String REPLACE = "/-/config/replace";
    private static final String SHOW = "/-/config/show";
    private static final String STATUS = "/-/status";
    private static final String READYZ = "/-/readyz";
    private static final String METRICS = "/-/metrics";
    private static final int MAX_CONNECTIONS = 128;
    private static final int MAX_HEAD_BYTES = 16_384;
    /** Limit on the bodies being received and sent: two of maximum size, or seven with 14,000 routes. */
    static final int MAX_BODIES_BYTES = 2 * ConfigurationHistory.MAX_BODY_BYTES;

    private static final byte[] OVERLOADED_BODY = errorBody("too many calls at once");
    private static final byte[] SHUTTING_DOWN_BODY = errorBody("this machine ends");
    private static final byte[] VALIDATION_FAILED_BODY = errorBody("the configuration could not be checked");
    private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final EventLoop loop;
    private final String name;
    private final CoreMachine machine;
    private final StallWatch stallWatch;
    private final ByteBudget bodyBudget = new ByteBudget(MAX_BODIES_BYTES);
    private final ClientServer server;
    private final ExecutorService validator =
            Executors.newSingleThreadExecutor(work -> new Thread(work, "configuration"));

    OperatorServer(EventLoop loop, MonotonicClock clock, String name, CoreMachine machine, StallWatch stalls) {
        this.stallWatch = stalls;
        this.loop = loop;
        this.name = name;
        this.machine = machine;
        server = new ClientServer(
                loop,
                Transport.TCP,
                clock,
                new ClientServer.Bounds(
                        MAX_CONNECTIONS,
                        TimeUnit.SECONDS.toNanos(10),
                        TimeUnit.SECONDS.toNanos(30),
                        MAX_HEAD_BYTES,
                        ConfigurationHistory.MAX_BODY_BYTES,
                        READYZ),
                bodyBudget,
                this);
    }

    private static byte[] errorBody(String message) {
        return ("{\"err\":\"" + message + "\"}\n").getBytes(StandardCharsets.UTF_8);
    }

    ChannelFuture listen(SocketAddress address) {
        return server.listen(address);
    }

    void close() {
        server.stopAccepting();
        validator.shutdown();
    }

    @Override
    public boolean ready() {
        return machine.isFresh();
    }

    @Override
    public void onRequest(FullHttpRequest request, long arrivedAt, Reply reply) throws BadRequest {
        String path = request.uri().split("\\?", 2)[0];
        if (path.equals(REPLACE)) {
            requireMethod(request, HttpMethod.POST);
            replace(request, reply);
        } else if (path.equals(SHOW)) {
            requireMethod(request, HttpMethod.GET);
            machine.calls().show(response -> show(reply, response));
        } else if (path.equals(STATUS)) {
            requireMethod(request, HttpMethod.GET);
            write(reply, new CallResponse(0, OperatorCalls.OK, status().getBytes(StandardCharsets.UTF_8)));
        } else if (path.equals(METRICS)) {
            requireMethod(request, HttpMethod.GET);
            reply.write(
                    HttpResponseStatus.OK,
                    new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, MetricsPage.CONTENT_TYPE),
                    Unpooled.wrappedBuffer(metrics().text()),
                    0);
        } else {
            throw new BadRequest(HttpResponseStatus.NOT_FOUND, "no such call");
        }
    }

    private static void requireMethod(FullHttpRequest request, HttpMethod method) throws BadRequest {
        if (!request.method().equals(method)) {
            throw new BadRequest(HttpResponseStatus.METHOD_NOT_ALLOWED, "wanted " + method);
        }
    }

    /**
     * Validates configurations one at a time on a dedicated thread, so that heartbeats are not delayed and only one
     * parsed configuration takes memory at a time.
     */
    private void replace(FullHttpRequest request, Reply reply) {
        if (validator.isShutdown()) {
            write(reply, new CallResponse(0, OperatorCalls.OUTCOME_UNKNOWN, SHUTTING_DOWN_BODY));
            return;
        }
        reply.retainRequest(request);
        long arrivedAt = MonotonicTime.millis();
        validator.execute(() -> {
            OperatorCalls.ValidatedChange change = validate(request);
            loop.execute(() -> {
                reply.releaseRequest();
                machine.calls().replace(change, response -> {
                    LOG.info(
                            "replace {}: status {} after {} ms, {} leads",
                            change,
                            response.status(),
                            MonotonicTime.millis() - arrivedAt,
                            machine.holdsLeaderLease()
                                    ? "this node"
                                    : machine.leaderConnection() == null ? "nobody" : "another");
                    write(reply, response);
                });
            });
        });
    }

    private static OperatorCalls.ValidatedChange validate(FullHttpRequest request) {
        try {
            return OperatorCalls.validate(
                    request.headers().getAll(OperatorCalls.BASE_REV_HEADER),
                    new ByteBufInputStream(request.content().duplicate()),
                    request.content().nioBuffers());
        } catch (IllegalArgumentException | IllegalStateException e) {
            LOG.error("validating a configuration failed", e);
            return new OperatorCalls.ValidatedChange(
                    null, new CallResponse(0, OperatorCalls.OUTCOME_UNKNOWN, VALIDATION_FAILED_BODY));
        }
    }

    /**
     * Sends the configuration as it was submitted, or sheds the call if the body budget is used up: a slow client holds
     * its share until it has read the body.
     */
    private void show(Reply reply, CallResponse response) {
        int length = response.status() == OperatorCalls.OK ? CompressedBytes.uncompressedLength(response.body()) : 0;
        if (length == 0) {
            write(reply, response);
        } else if (!bodyBudget.tryReserve(length)) {
            write(reply, new CallResponse(0, OperatorCalls.OUTCOME_UNKNOWN, OVERLOADED_BODY));
        } else {
            reply.onWritten(() -> bodyBudget.release(length));
            write(
                    reply,
                    new CallResponse(
                            0,
                            OperatorCalls.OK,
                            CompressedBytes.decompress(response.body(), ConfigurationHistory.MAX_BODY_BYTES)));
        }
    }

    private static void write(Reply reply, CallResponse response) {
        HttpHeaders headers = new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        reply.write(
                HttpResponseStatus.valueOf(response.status()),
                headers,
                Unpooled.wrappedBuffer(response.body()),
                response.status() == OperatorCalls.OUTCOME_UNKNOWN ? RETRY_DELAY_NANOS : 0);
    }

    private MetricsPage metrics() {
        Raft raft = machine.raftDriver().raft();
        return new MetricsPage()
                .invariantViolations()
                .droppedLogLines()
                .gauge("leads", "1 at the leader", raft.role() == Raft.Role.LEADER ? 1 : 0)
                .gauge("in_touch", "1 where the leader's lease vouches for the state", machine.isFresh() ? 1 : 0)
                .gauge("term", "The present term of the agreement", (double) raft.term())
                .gauge("commit_index", "The last entry known to be committed", (double) raft.commitIndex())
                .gauge("log_entries", "Entries behind the snapshot", (double) raft.logLength())
                .gauge("voters", "Machines that vote", raft.voters().size())
                .gauge("configuration_version", "The newest version that was applied here", (double)
                        machine.raftDriver().history().rev())
                .gauge("hosts", "Hosts on the list", machine.hostList().hosts().size())
                .gauge("edges", "Edges that are linked here or known", machine.edgeCount())
                .counter("stalls", "How often the event loop stood still for half a second", (double)
                        stallWatch.stalls())
                .gauge(
                        "longest_stall_seconds",
                        "The longest that the event loop stood still",
                        (double) stallWatch.longestMillis() / TimeUnit.SECONDS.toMillis(1))
                .gauge(
                        "calls_waiting",
                        "Operator's calls without an answer",
                        machine.calls().pendingCount());
    }

    private String status() {
        Raft raft = machine.raftDriver().raft();
        StringBuilder json = new StringBuilder(256)
                .append("{\"node\":\"")
                .append(OperatorCalls.escapeJson(name))
                .append("\",\"role\":\"")
                .append(raft.role())
                .append("\",\"fresh\":")
                .append(machine.isFresh())
                .append(",\"term\":")
                .append(raft.term())
                .append(",\"commit\":")
                .append(raft.commitIndex())
                .append(",\"rev\":")
                .append(machine.raftDriver().history().rev())
                .append(",\"hosts\":")
                .append(machine.hostList().hosts().size())
                .append(",\"edges\":")
                .append(machine.edgeCount())
                .append(",\"voters\":[");
        Iterator<tinworks.raft.Member> members = raft.voters().iterator();
        while (members.hasNext()) {
            json.append('"').append(members.next().address()).append('"').append(members.hasNext() ? "," : "");
        }
        return json.append("]}\n").toString();
    }
}
