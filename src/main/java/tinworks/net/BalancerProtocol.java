package tinworks.net;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import tinworks.net.ClientServer.Reply;
import tinworks.net.HostPool.Response;
import tinworks.policy.LoadBalancerApi.LoadReport;
import tinworks.policy.LoadBalancerApi.Outcome;

/**
 * The balancer protocol, which is older than the edge's and is used by {@link Gateway} alone: its requests, responses
 * and load reports.
 */
final class BalancerProtocol implements ForwardingProtocol, HostPool.ResponseClassifier {
    static final BalancerProtocol INSTANCE = new BalancerProtocol();

    private BalancerProtocol() {}

    @Override
    public FullHttpRequest forHost(FullHttpRequest request, String host, long timeoutNanos) {
        return RequestReader.forHost(request, timeoutNanos);
    }

    @Override
    public long maxIdleNanos(String requestClass) {
        return Long.MAX_VALUE;
    }

    @Override
    public void relay(Reply reply, Response response) {
        reply.ok(response.body());
    }

    @Override
    public void refuse(Reply reply, long pauseNanos) {
        reply.text(HttpResponseStatus.SERVICE_UNAVAILABLE, "refused: trying again is harmless", pauseNanos);
    }

    @Override
    public void fail(Reply reply, Response last) {
        reply.text(HttpResponseStatus.BAD_GATEWAY, "failed: it may have run", 0);
    }

    /** Accepts a 200 only if its body is framed, since a broken connection otherwise looks like the end of the body. */
    @Override
    public Outcome outcome(String request, HttpResponse head, boolean framed) {
        HttpResponseStatus status = head.status();
        if (status.equals(HttpResponseStatus.OK)) {
            return framed ? Outcome.SERVED : Outcome.ERROR;
        }
        boolean rejected = status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
                || status.equals(HttpResponseStatus.GATEWAY_TIMEOUT);
        return rejected && "1".equals(head.headers().get("X-Not-Processed")) ? Outcome.FULL : Outcome.ERROR;
    }

    @Override
    public LoadReport load(HttpHeaders headers) {
        return LoadReportParser.parse(headers.getAll("X-Server-Load"));
    }
}
