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

/** Takes clients' requests: finds each one's route, draws its service, and hands it to that service's module. */
final class RequestRouter implements ClientServer.Listener {
    private static final long NO_ROUTES_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final MonotonicClock clock;
    private final SplittableRandom random;
    private final EdgeProtocol style;
    private final Map<String, Forwarding> services;
    /** Null before the first configuration. */
    private RouteTable routes;

    private long unconfigured;
    private long overdue;

    /** Without routes yet; the services are the caller's to fill, one for each that a route names. */
    RequestRouter(MonotonicClock clock, SplittableRandom random, EdgeProtocol style, Map<String, Forwarding> services) {
        this.clock = clock;
        this.random = random;
        this.style = style;
        this.services = services;
    }

    /** From now on requests go by these. */
    void use(RouteTable changed) {
        routes = changed;
    }

    /** Requests refused while no configuration was known. */
    long unconfigured() {
        return unconfigured;
    }

    /** Requests refused as their time may have passed before they were read. */
    long overdue() {
        return overdue;
    }

    @Override
    public boolean ready() {
        return routes != null;
    }

    @Override
    public void onRequest(FullHttpRequest request, long arrivedAt, Reply reply) throws BadRequest {
        if (routes == null) {
            unconfigured++;
            style.refuse(reply, NO_ROUTES_PAUSE_NANOS);
            return;
        }
        List<String> domains = request.headers().getAll(HttpHeaderNames.HOST);
        if (!isUnchangedOnItsWay(request.uri()) || domains.size() > 1) {
            throw new BadRequest(HttpResponseStatus.BAD_REQUEST, "can't read the path, or more than one Host");
        }
        Target target = routes.find(domains.isEmpty() ? null : domains.get(0), request.uri());
        if (target == null) {
            throw new BadRequest(HttpResponseStatus.NOT_FOUND, "no route");
        }
        Route route = target.route();
        List<String> ids = request.headers().getAll(EdgeProtocol.ID);
        if (ids.size() != 1 || ids.get(0).isEmpty()) {
            throw new BadRequest(HttpResponseStatus.BAD_REQUEST, "wanted one " + EdgeProtocol.ID);
        }
        long now = clock.nanos();
        long left = TimeUnit.MILLISECONDS.toNanos(Math.min(route.timeoutMs(), deadline(request, route)))
                - (now - arrivedAt);
        long heldUp = reply.queueingDelayNanos();
        if (left <= heldUp) {
            overdue++;
            style.refuse(reply, 0);
            return;
        }
        services.get(draw(route))
                .begin(
                        now,
                        new RequestArrived(ids.get(0), target.className(), null, null, left, 0, false, heldUp),
                        new AttemptLimit(route.type() == Configuration.Type.MUTATING, route.maxAttempts()),
                        request,
                        reply);
    }

    /**
     * Guards against a path that would reach a host as another: bytes outside of printable ASCII are read and written
     * in two ways.
     */
    private static boolean isUnchangedOnItsWay(String target) {
        for (int i = 0; i < target.length(); i++) {
            if (target.charAt(i) <= ' ' || target.charAt(i) >= 0x7f) {
                return false;
            }
        }
        return true;
    }

    private long deadline(FullHttpRequest request, Route route) throws BadRequest {
        String text = request.headers().get(EdgeProtocol.DEADLINE);
        if (text == null) {
            return route.timeoutMs();
        }
        try {
            return Math.max(0, text.indexOf('.') < 0 ? Long.parseLong(text) : (long) Double.parseDouble(text));
        } catch (NumberFormatException e) {
            throw new BadRequest(HttpResponseStatus.BAD_REQUEST, "can't read " + EdgeProtocol.DEADLINE);
        }
    }

    /** A service by chance, in proportion to the weights, of which one at least is above 0. */
    private String draw(Route route) {
        List<Split> parts = route.split();
        double sum = 0;
        for (Split part : parts) {
            sum += part.weight();
        }
        double at = parts.size() == 1 ? 0 : random.nextDouble() * sum;
        String drawn = null;
        for (Split part : parts) {
            if (part.weight() > 0 && (drawn == null || at >= 0)) {
                drawn = part.service();
            }
            at -= part.weight();
        }
        return drawn;
    }
}
