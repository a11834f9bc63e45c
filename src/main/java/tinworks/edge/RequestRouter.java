package tinworks.edge;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import tinworks.config.Configuration;
import tinworks.config.Configuration.Route;
import tinworks.config.Configuration.Split;
import tinworks.edge.RouteTable.Target;
import tinworks.net.AttemptLimit;
import tinworks.net.ClientServer;
import tinworks.net.ClientServer.BadRequest;
import tinworks.net.ClientServer.Reply;
import tinworks.net.Forwarding;
import tinworks.net.MonotonicClock;
import tinworks.policy.LoadBalancerApi.RequestArrived;

/**
 * Receives client requests, finds the route of each, picks one of its services by weight, and hands it to that
 * service's {@link Forwarding}. It does not choose hosts.
 */
final class RequestRouter implements ClientServer.Listener {
    private static final long UNCONFIGURED_RETRY_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final MonotonicClock clock;
    private final SplittableRandom random;
    private final EdgeProtocol protocol;
    private final Map<String, Forwarding> services;
    /** Null before the first configuration. */
    private RouteTable routes;

    private long unconfigured;
    private long overdue;

    /**
     * Creates a router without routes; the caller keeps {@code services} filled with every service that a route names.
     */
    RequestRouter(
            MonotonicClock clock, SplittableRandom random, EdgeProtocol protocol, Map<String, Forwarding> services) {
        this.clock = clock;
        this.random = random;
        this.protocol = protocol;
        this.services = services;
    }

    /** Routes all further requests by this table. */
    void setRoutes(RouteTable table) {
        routes = table;
    }

    /** Requests refused before the first configuration was received. */
    long unconfigured() {
        return unconfigured;
    }

    /** Requests refused because their deadline may have passed before they were read. */
    long overdue() {
        return overdue;
    }

    @Override
    public boolean ready() {
        return routes != null;
    }

    @Override
    public void onRequest(FullHttpRequest request, long receivedAt, Reply reply) throws BadRequest {
        if (routes == null) {
            unconfigured++;
            protocol.refuse(reply, UNCONFIGURED_RETRY_AFTER_NANOS);
            return;
        }
        List<String> domains = request.headers().getAll(HttpHeaderNames.HOST);
        if (!isPrintableAscii(request.uri()) || domains.size() > 1) {
            throw new BadRequest(HttpResponseStatus.BAD_REQUEST, "can't read the path, or more than one Host");
        }
        Target target = routes.find(domains.isEmpty() ? null : domains.get(0), request.uri());
        if (target == null) {
            throw new BadRequest(HttpResponseStatus.NOT_FOUND, "no route");
        }
        Route route = target.route();
        List<String> ids = request.headers().getAll(EdgeProtocol.ATTEMPT_ID);
        if (ids.size() != 1 || ids.get(0).isEmpty()) {
            throw new BadRequest(HttpResponseStatus.BAD_REQUEST, "wanted one " + EdgeProtocol.ATTEMPT_ID);
        }
        long now = clock.nanos();
        long remaining = TimeUnit.MILLISECONDS.toNanos(Math.min(route.timeoutMs(), deadlineMillis(request, route)))
                - (now - receivedAt);
        long queued = reply.queueingDelayNanos();
        if (remaining <= queued) {
            overdue++;
            protocol.refuse(reply, 0);
            return;
        }
        services.get(chooseService(route))
                .begin(
                        now,
                        new RequestArrived(ids.get(0), target.className(), null, null, remaining, 0, false, queued),
                        new AttemptLimit(route.type() == Configuration.Type.MUTATING, route.maxAttempts()),
                        request,
                        reply);
    }

    /**
     * Guards against a path that would reach a host altered: bytes outside of printable ASCII are decoded and encoded
     * differently.
     */
    private static boolean isPrintableAscii(String target) {
        for (int i = 0; i < target.length(); i++) {
            if (target.charAt(i) <= ' ' || target.charAt(i) >= 0x7f) {
                return false;
            }
        }
        return true;
    }

    private long deadlineMillis(FullHttpRequest request, Route route) throws BadRequest {
        String text = request.headers().get(EdgeProtocol.DEADLINE_MS);
        if (text == null) {
            return route.timeoutMs();
        }
        try {
            return Math.max(0, text.indexOf('.') < 0 ? Long.parseLong(text) : (long) Double.parseDouble(text));
        } catch (NumberFormatException e) {
            throw new BadRequest(HttpResponseStatus.BAD_REQUEST, "can't read " + EdgeProtocol.DEADLINE_MS);
        }
    }

    /** A service at random, in proportion to the weights, at least one of which is above 0. */
    private String chooseService(Route route) {
        List<Split> splits = route.split();
        double sum = 0;
        for (Split split : splits) {
            sum += split.weight();
        }
        double point = splits.size() == 1 ? 0 : random.nextDouble() * sum;
        String chosen = null;
        for (Split split : splits) {
            if (split.weight() > 0 && (chosen == null || point >= 0)) {
                chosen = split.service();
            }
            point -= split.weight();
        }
        return chosen;
    }
}
