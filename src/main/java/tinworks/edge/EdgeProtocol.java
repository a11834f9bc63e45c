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

/**
 * The protocol between clients, edges and hosts: its headers and statuses, and what they prove about an attempt. It
 * does not decide where a request is sent.
 */
class EdgeProtocol implements ForwardingProtocol, HostPool.ResponseClassifier {
    static final AsciiString ATTEMPT_ID = AsciiString.cached("Attempt-Id");
    static final AsciiString DEADLINE_MS = AsciiString.cached("Deadline-Ms");
    private static final AsciiString WANT_HOST = AsciiString.cached("Want-Host");
    private static final AsciiString ORIGIN_SEAL = AsciiString.cached("Origin-Seal");
    private static final AsciiString NOT_RUN = AsciiString.cached("Not-Run");
    /** Statuses that promise the client that its request has not run. */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);
    /** Statuses with which a host may reject a request unrun: {@code Not-Run} with any other status proves nothing. */
    private static final Set<Integer> REJECTION_STATUSES = Set.of(400, 429, 503);
    /**
     * The longest idle time of a connection that is reused for a mutating request. A host may drop an idle connection
     * without notice; a request sent on it then fails and may have run, as far as the edge can tell. A request that
     * must not run twice therefore goes on a connection that was used just before, or on a new one.
     */
    private static final long MAX_MUTATING_IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(150);
    /** Spreads clients' retries a little even where there is nothing to wait for. */
    private static final long MIN_RETRY_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

    private final SplittableRandom random;
    private Set<String> mutatingClasses = Set.of();

    EdgeProtocol(long seed) {
        random = new SplittableRandom(seed);
    }

    /** Sets the request classes whose requests must not run twice. */
    void setMutatingClasses(Set<String> classes) {
        mutatingClasses = Set.copyOf(classes);
    }

    @Override
    public FullHttpRequest forHost(FullHttpRequest request, String host, long timeoutNanos) {
        HttpHeaders headers = EndToEndHeaders.of(request.headers(), DEADLINE_MS, WANT_HOST);
        headers.add(DEADLINE_MS, Math.max(1, TimeUnit.NANOSECONDS.toMillis(timeoutNanos)));
        headers.add(WANT_HOST, host);
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
        return mutatingClasses.contains(requestClass) ? MAX_MUTATING_IDLE_NANOS : Long.MAX_VALUE;
    }

    @Override
    public void relay(Reply reply, Response response) {
        HttpHeaders headers = EndToEndHeaders.of(response.head().headers());
        String length = response.head().headers().get(HttpHeaderNames.CONTENT_LENGTH);
        if (length != null) {
            // Needed in the response to a HEAD; otherwise it is set again from the body.
            headers.set(HttpHeaderNames.CONTENT_LENGTH, length);
        }
        reply.write(response.head().status(), headers, response.body().retain(), 0);
    }

    /** Adds jitter to the retry hint, so that clients that are refused together do not all retry together. */
    @Override
    public void refuse(Reply reply, long pauseNanos) {
        long retryAfterNanos = Math.max(pauseNanos, MIN_RETRY_AFTER_NANOS);
        reply.text(
                HttpResponseStatus.SERVICE_UNAVAILABLE,
                "not run: come back later",
                retryAfterNanos + random.nextLong(retryAfterNanos));
    }

    /** Guards against passing on a status that promises that the request has not run, although it may have. */
    @Override
    public void fail(Reply reply, Response last) {
        if (last != null
                && !NOT_RUN_STATUSES.contains(last.head().status().code())
                && last.head().status().code() >= 300) {
            relay(reply, last);
        } else {
            reply.write(HttpResponseStatus.BAD_GATEWAY, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER, 0);
        }
    }

    @Override
    public boolean provesSuccess(String request, Response response) {
        HttpHeaders headers = response.head().headers();
        int status = response.head().status().code();
        List<String> ids = headers.getAll(ATTEMPT_ID);
        return status >= 200
                && status < 300
                && headers.contains(ORIGIN_SEAL)
                && ids.size() == 1
                && ids.get(0).equals(request);
    }

    /** Guards against accepting another request's response, or its proof that nothing ran, as this request's. */
    @Override
    public ResponseMatch match(String request, HttpHeaders headers) {
        List<String> ids = headers.getAll(ATTEMPT_ID);
        return ids.size() != 1
                ? ResponseMatch.UNIDENTIFIED
                : ids.get(0).equals(request) ? ResponseMatch.THIS_REQUEST : ResponseMatch.OTHER_REQUEST;
    }

    /** Guards against a success that is not the host's own complete response; {@link #match} has checked its id. */
    @Override
    public Outcome outcome(String request, HttpResponse head, boolean framed) {
        int status = head.status().code();
        HttpHeaders headers = head.headers();
        boolean notRun = headers.contains(NOT_RUN);
        if (status == HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
            return Outcome.CONNECT_FAILED;
        } else if (notRun && REJECTION_STATUSES.contains(status)) {
            return Outcome.FULL;
        }
        boolean success = status >= 200 && status < 300 && !notRun;
        boolean complete =
                framed && headers.contains(ORIGIN_SEAL) && !headers.contains(HttpHeaderNames.CONTENT_ENCODING);
        return success && complete ? Outcome.SERVED : Outcome.ERROR;
    }

    @Override
    public LoadReport load(HttpHeaders headers) {
        return null;
    }
}
