package tinworks.edge;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AsciiString;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import tinworks.net.ClientServer.Reply;
import tinworks.net.ForwardingProtocol;
import tinworks.net.HostPool;
import tinworks.net.HostPool.Response;
import tinworks.net.HostPool.ResponseMatch;
import tinworks.policy.LoadBalancerApi.LoadReport;
import tinworks.policy.LoadBalancerApi.Outcome;

/** How requests and answers look in the system's protocol. */
class EdgeProtocol implements ForwardingProtocol, HostPool.ResponseClassifier {
    static final AsciiString ID = AsciiString.cached("Attempt-Id");
    static final AsciiString DEADLINE = AsciiString.cached("Deadline-Ms");
    private static final AsciiString WANT = AsciiString.cached("Want-Host");
    private static final AsciiString SEAL = AsciiString.cached("Origin-Seal");
    private static final AsciiString NOT_RUN = AsciiString.cached("Not-Run");
    /** Statuses that promise that the request has not run. */
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);
    /** Those with which a host may say so: {@code Not-Run} beside any other proves nothing. */
    private static final Set<Integer> TURNED_AWAY = Set.of(400, 429, 503);
    /**
     * Hosts forget connections that rest, without a word, and what is sent on one then may have run as far as anyone
     * here can tell. A request that must not run twice goes on one that has hardly rested, or on a new one.
     */
    private static final long HARDLY_RESTED_NANOS = TimeUnit.MILLISECONDS.toNanos(150);
    /** Where there is nothing to wait for, tries are spread a little. */
    private static final long LEAST_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

    private final SplittableRandom random;
    private Set<String> mutating = Set.of();

    EdgeProtocol(long seed) {
        random = new SplittableRandom(seed);
    }

    /** The classes whose requests must not run twice. */
    void mutating(Set<String> classes) {
        mutating = Set.copyOf(classes);
    }

    @Override
    public FullHttpRequest forHost(FullHttpRequest request, String host, long timeoutNanos) {
        HttpHeaders headers = EndToEndHeaders.of(request.headers(), DEADLINE, WANT);
        headers.add(DEADLINE, Math.max(1, TimeUnit.NANOSECONDS.toMillis(timeoutNanos)));
        headers.add(WANT, host);
        if (request.content().isReadable() || !request.method().equals(HttpMethod.GET)) {
            headers.setInt(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
        }
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                request.method(),
                request.uri(),
                request.content().retainedDuplicate(),
                headers,
                EmptyHttpHeaders.INSTANCE);
    }

    @Override
    public long maxIdleNanos(String requestClass) {
        return mutating.contains(requestClass) ? HARDLY_RESTED_NANOS : Long.MAX_VALUE;
    }

    @Override
    public void relay(Reply reply, Response answer) {
        HttpHeaders headers = EndToEndHeaders.of(answer.head().headers());
        String length = answer.head().headers().get(HttpHeaderNames.CONTENT_LENGTH);
        if (length != null) {
            headers.set(
                    HttpHeaderNames.CONTENT_LENGTH, length); // counts where a HEAD is answered, is made anew elsewhere
        }
        reply.write(answer.head().status(), headers, answer.body().retain(), 0);
    }

    /** Guards against all who were refused in one moment coming back in another. */
    @Override
    public void refuse(Reply reply, long pauseNanos) {
        long pause = Math.max(pauseNanos, LEAST_PAUSE_NANOS);
        reply.text(HttpResponseStatus.SERVICE_UNAVAILABLE, "not run: come back later", pause + random.nextLong(pause));
    }

    /** Guards against a status that promises that the request has not run, where it may have. */
    @Override
    public void fail(Reply reply, Response last) {
        if (last != null
                && !PROMISES.contains(last.head().status().code())
                && last.head().status().code() >= 300) {
            relay(reply, last);
        } else {
            reply.write(HttpResponseStatus.BAD_GATEWAY, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER, 0);
        }
    }

    @Override
    public boolean provesSuccess(String request, Response answer) {
        HttpHeaders headers = answer.head().headers();
        int status = answer.head().status().code();
        List<String> ids = headers.getAll(ID);
        return status >= 200
                && status < 300
                && headers.contains(SEAL)
                && ids.size() == 1
                && ids.get(0).equals(request);
    }

    /** Guards against believing an answer, or the proof in it that nothing ran, that is some other request's. */
    @Override
    public ResponseMatch match(String request, HttpHeaders headers) {
        List<String> ids = headers.getAll(ID);
        return ids.size() != 1
                ? ResponseMatch.UNIDENTIFIED
                : ids.get(0).equals(request) ? ResponseMatch.THIS_REQUEST : ResponseMatch.OTHER_REQUEST;
    }

    /** Guards against a success that isn't the host's own whole answer; {@link #match} has judged its id. */
    @Override
    public Outcome outcome(String request, HttpResponse head, boolean framed) {
        int status = head.status().code();
        HttpHeaders headers = head.headers();
        boolean notRun = headers.contains(NOT_RUN);
        if (status == HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
            return Outcome.CONNECT_FAILED;
        } else if (notRun && TURNED_AWAY.contains(status)) {
            return Outcome.FULL;
        }
        boolean success = status >= 200 && status < 300 && !notRun;
        boolean whole = framed && headers.contains(SEAL) && !headers.contains(HttpHeaderNames.CONTENT_ENCODING);
        return success && whole ? Outcome.SERVED : Outcome.ERROR;
    }

    @Override
    public LoadReport load(HttpHeaders headers) {
        return null;
    }
}
