package tinworks.control;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.buffer.ByteBufUtil;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tinworks.channel.Conversation;
import tinworks.channel.Signal.Call;
import tinworks.channel.Signal.CallAnswer;
import tinworks.channel.SteadyClock;
import tinworks.config.Configuration;
import tinworks.config.ConfigurationHistory;
import tinworks.config.ConfigurationHistory.Verdict;
import tinworks.config.ConfigurationReader;
import tinworks.config.InvalidConfiguration;
import tinworks.metrics.MetricsPage;
import tinworks.net.ClientServer;
import tinworks.net.ClientServer.BadRequest;
import tinworks.net.ClientServer.Reply;
import tinworks.net.GatewayClock;
import tinworks.net.Transport;
import tinworks.node.BootSettings;
import tinworks.raft.Raft;

/**
 * Where the operator calls. A machine that doesn't lead passes the call on to the leader, and while there is none it
 * waits a little; a caller gets an answer within a second, and a 503 says that it is open what becomes of a change.
 */
final class OperatorServer implements ClientServer.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(OperatorServer.class);
    private static final String REPLACE = "/-/config/replace", SHOW = "/-/config/show", STATUS = "/-/status",
            READYZ = "/-/readyz", METRICS = "/-/metrics", BASE = "Base-Rev";
    private static final int CONNECTIONS = 128, LONGEST_HEAD = 16_384, LONGEST_BODY = 8 << 20;
    /** Callers move on after a second of silence. */
    private static final long ANSWER_MILLIS = 850;
    private static final int OK = 200, UNCLEAR = 503, CONFLICT = 412, INVALID = 400, NOT_FOUND = 404;
    private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final CoreNode node;
    private final ClientServer server;
    private final Map<Long, Waiting> waiting = new HashMap<>();
    private long calls;

    /** A call that has no answer yet; it has been passed on where {@code passedTo} is not null. */
    private static final class Waiting {
        final boolean read;
        final byte[] command;
        final Consumer<CallAnswer> told;
        final long until;
        Conversation passedTo;
        boolean atWork;

        Waiting(boolean read, byte[] command, Consumer<CallAnswer> told, long until) {
            this.read = read;
            this.command = command;
            this.told = told;
            this.until = until;
        }
    }

    OperatorServer(EventLoop loop, GatewayClock clock, BootSettings settings, CoreNode node) {
        this.node = node;
        server = new ClientServer(loop, Transport.TCP, clock, new ClientServer.Bounds(CONNECTIONS,
                TimeUnit.SECONDS.toNanos(10), TimeUnit.SECONDS.toNanos(30), LONGEST_HEAD, LONGEST_BODY, READYZ), this);
    }

    ChannelFuture listen(SocketAddress address) {
        return server.listen(address);
    }

    void close() {
        server.stopAccepting();
    }

    @Override
    public boolean ready() {
        return node.agreement().raft().inTouch();
    }

    @Override
    public void requested(FullHttpRequest request, long arrivedAt, Reply reply) throws BadRequest {
        String path = request.uri().split("\\?", 2)[0];
        if (path.equals(REPLACE)) {
            need(request, HttpMethod.POST);
            replace(request, reply);
        } else if (path.equals(SHOW)) {
            need(request, HttpMethod.GET);
            submit(true, new byte[0], answer -> write(reply, answer));
        } else if (path.equals(STATUS)) {
            need(request, HttpMethod.GET);
            write(reply, new CallAnswer(0, OK, status().getBytes(StandardCharsets.UTF_8)));
        } else if (path.equals(METRICS)) {
            need(request, HttpMethod.GET);
            reply.write(HttpResponseStatus.OK, new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, MetricsPage.CONTENT_TYPE),
                    Unpooled.wrappedBuffer(metrics().text()), 0);
        } else {
            throw new BadRequest(HttpResponseStatus.NOT_FOUND, "no such call");
        }
    }

    private static void need(FullHttpRequest request, HttpMethod method) throws BadRequest {
        if (!request.method().equals(method)) {
            throw new BadRequest(HttpResponseStatus.METHOD_NOT_ALLOWED, "wanted " + method);
        }
    }

    private void replace(FullHttpRequest request, Reply reply) {
        byte[] body = ByteBufUtil.getBytes(request.content());
        try {
            long base = base(request.headers().getAll(BASE));
            Configuration configuration = ConfigurationReader.read(body);
            submit(false, ConfigurationHistory.command(base, configuration.rev(), body), answer -> write(reply, answer));
        } catch (InvalidConfiguration e) {
            LOG.info("refused a configuration: {}", e.getMessage());
            write(reply, new CallAnswer(0, INVALID, error(e.where(), e.getMessage())));
        }
    }

    private static long base(List<String> values) throws InvalidConfiguration {
        try {
            long base = values.size() == 1 ? Long.parseLong(values.get(0).trim()) : -1;
            if (base >= 0) {
                return base;
            }
        } catch (NumberFormatException e) {
            LOG.debug("a {} that is no number", BASE, e);
        }
        throw new InvalidConfiguration(BASE, "wanted the header once, with the number of the version built on");
    }

    private static void write(Reply reply, CallAnswer answer) {
        HttpHeaders headers = new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        reply.write(HttpResponseStatus.valueOf(answer.status()), headers, Unpooled.wrappedBuffer(answer.body()),
                answer.status() == UNCLEAR ? PAUSE_NANOS : 0);
    }

    // ---- calls, from the operator or passed on by another machine

    /** A call that another machine has passed on. */
    void called(Call call, Consumer<CallAnswer> told) {
        if (node.agreement().raft().role() == Raft.Role.LEADER) {
            submit(call.read(), call.body(), a -> told.accept(new CallAnswer(call.number(), a.status(), a.body())));
        } else {
            told.accept(new CallAnswer(call.number(), UNCLEAR, error("", "not the leader")));
        }
    }

    /** The leader's answer to a call that was passed on. */
    void answered(CallAnswer answer) {
        Waiting call = waiting.get(answer.number());
        if (call != null && answer.status() == UNCLEAR) {
            // Perhaps another leads by now; until its time is over the call goes on.
            call.atWork = false;
            call.passedTo = null;
        } else if (call != null) {
            waiting.remove(answer.number());
            call.told.accept(answer);
        }
    }

    private void submit(boolean read, byte[] command, Consumer<CallAnswer> told) {
        Waiting call = new Waiting(read, command, told, SteadyClock.millis() + ANSWER_MILLIS);
        long number = ++calls;
        waiting.put(number, call);
        work(number, call);
    }

    /** Gives up calls whose time is over, and takes on those that found no leader. */
    void tick() {
        if (waiting.isEmpty()) {
            return;
        }
        long now = SteadyClock.millis();
        for (Map.Entry<Long, Waiting> entry : List.copyOf(waiting.entrySet())) {
            Waiting call = entry.getValue();
            if (now >= call.until) {
                waiting.remove(entry.getKey());
                call.told.accept(new CallAnswer(entry.getKey(), UNCLEAR, error("", "no answer from a leader in time")));
            } else {
                call.atWork &= call.passedTo == null || call.passedTo.isOpen();
                work(entry.getKey(), call);
            }
        }
    }

    private void work(long number, Waiting call) {
        if (call.atWork) {
            return;
        }
        Agreement agreement = node.agreement();
        if (agreement.raft().role() == Raft.Role.LEADER) {
            call.atWork = true;
            if (call.read) {
                agreement.read(may -> done(number, may ? show() : null));
            } else {
                change(number, call, agreement);
            }
        } else if (node.leader() != null) {
            call.atWork = true;
            call.passedTo = node.leader();
            call.passedTo.send(new Call(number, call.read, call.command));
        }
    }

    private void change(long number, Waiting call, Agreement agreement) {
        ConfigurationHistory history = agreement.history();
        long base = java.nio.ByteBuffer.wrap(call.command).getLong();
        long rev = java.nio.ByteBuffer.wrap(call.command, Long.BYTES, Long.BYTES).getLong();
        Verdict now = history.judge(base, rev, call.command);
        boolean settled = now == Verdict.TAKEN && rev <= history.rev() || now == Verdict.CONFLICT && base < history.rev();
        if (settled) {
            // True for good, whoever leads: a version that was taken or passed stays so.
            done(number, verdict(now));
        } else {
            agreement.propose(call.command, verdict -> done(number, verdict == null ? null : verdict(verdict)));
        }
    }

    /** Null where it is open: the call goes on until its time is over. */
    private void done(long number, CallAnswer answer) {
        Waiting call = waiting.get(number);
        if (call == null) {
            return;
        }
        if (answer == null) {
            call.atWork = false;
        } else {
            waiting.remove(number);
            call.told.accept(answer);
        }
    }

    private CallAnswer verdict(Verdict verdict) {
        long rev = node.agreement().history().rev();
        return switch (verdict) {
            case TAKEN -> new CallAnswer(0, OK, ("{\"rev\":" + rev + "}\n").getBytes(StandardCharsets.UTF_8));
            case CONFLICT -> new CallAnswer(0, CONFLICT, error(BASE, "the current version is " + rev));
            case NOT_ABOVE -> new CallAnswer(0, INVALID, error("rev", "not above the current version " + rev));
        };
    }

    private CallAnswer show() {
        ConfigurationHistory history = node.agreement().history();
        return history.rev() == 0 ? new CallAnswer(0, NOT_FOUND, error("", "no configuration yet"))
                : new CallAnswer(0, OK, history.body());
    }

    private static byte[] error(String where, String what) {
        StringBuilder json = new StringBuilder("{\"err\":\"").append(escaped(what)).append('"');
        if (!where.isEmpty()) {
            json.append(",\"field\":\"").append(escaped(where)).append('"');
        }
        return json.append("}\n").toString().getBytes(StandardCharsets.UTF_8);
    }

    private static String escaped(String text) {
        return text.replaceAll("[\\p{Cntrl}]", " ").replace("\\", "\\\\").replace("\"", "\\\"");
    }

    private MetricsPage metrics() {
        Raft raft = node.agreement().raft();
        return new MetricsPage().gauge("leads", "1 at the leader", raft.role() == Raft.Role.LEADER ? 1 : 0)
                .gauge("in_touch", "1 where a leader is heard", raft.inTouch() ? 1 : 0)
                .gauge("term", "The present term of the agreement", raft.term())
                .gauge("commit_index", "The last entry known to be committed", raft.commit())
                .gauge("log_entries", "Entries behind the snapshot", raft.length())
                .gauge("voters", "Machines that vote", raft.members().size())
                .gauge("configuration_version", "The newest version that was applied here", node.agreement().history().rev())
                .gauge("hosts", "Hosts on the list", node.hosts().hosts().size())
                .gauge("edges", "Edges that are linked here or known", node.edges())
                .gauge("calls_waiting", "Operator's calls without an answer", waiting.size());
    }

    private String status() {
        Raft raft = node.agreement().raft();
        StringBuilder json = new StringBuilder(256).append("{\"node\":\"").append(escaped(node.settings().node()))
                .append("\",\"role\":\"").append(raft.role()).append("\",\"term\":").append(raft.term())
                .append(",\"commit\":").append(raft.commit()).append(",\"rev\":").append(node.agreement().history().rev())
                .append(",\"hosts\":").append(node.hosts().hosts().size()).append(",\"edges\":").append(node.edges())
                .append(",\"voters\":[");
        Iterator<tinworks.raft.Member> members = raft.members().iterator();
        while (members.hasNext()) {
            json.append('"').append(members.next().address()).append('"').append(members.hasNext() ? "," : "");
        }
        return json.append("]}\n").toString();
    }
}
