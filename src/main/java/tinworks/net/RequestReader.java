package tinworks.net;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import tinworks.net.ClientServer.BadRequest;
import tinworks.policy.LoadBalancerApi.Idempotency;
import tinworks.policy.LoadBalancerApi.RequestArrived;
import tinworks.policy.LoadBalancerApi.RequestClass;

/** Converts a client's request to an event for the load balancer, and to the request forwarded to a host. */
final class RequestReader {
    private static final String REQUEST_ID = "X-Request-ID";
    private static final String TIMEOUT_HEADER = "X-Timeout";
    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    private static final Pattern VISIBLE_ASCII = Pattern.compile("[!-~]{1,4000}");
    /** Numbers with more digits are rejected: no client waits for such a timeout. */
    private static final int MAX_DIGITS = 12;
    /** Hop-by-hop headers, and headers that are set again for the host. */
    private static final Set<String> NOT_FORWARDED = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "content-length",
            "x-timeout");

    private RequestReader() {}

    /** Parses a request. {@code waitedNanos}, the time since its last byte was received, counts towards its timeout. */
    static RequestArrived read(FullHttpRequest request, Map<String, RequestClass> classes, long waitedNanos)
            throws BadRequest {
        HttpHeaders headers = request.headers();
        RequestClass requestClass = classes.get(firstSegment(request.uri()));
        if (requestClass == null) {
            throw new BadRequest(HttpResponseStatus.NOT_FOUND, "no such class of requests");
        }
        checkMethod(request, requestClass.idempotency());
        if (!VISIBLE_ASCII.matcher(request.uri()).matches()) {
            throw new BadRequest(HttpResponseStatus.BAD_REQUEST, "can't read the path");
        }
        String id = singleValue(headers, REQUEST_ID);
        String timeout = headers.contains(TIMEOUT_HEADER) ? singleValue(headers, TIMEOUT_HEADER) : null;
        long remainingNanos = (timeout == null ? requestClass.deadlineNanos() : timeoutNanos(timeout)) - waitedNanos;
        if (remainingNanos <= 0) {
            throw new BadRequest(HttpResponseStatus.SERVICE_UNAVAILABLE, "its time ran out before its turn");
        }
        return new RequestArrived(
                id,
                requestClass.name(),
                headers.get("X-Tenant-Id"),
                headers.get("X-Route-Key"),
                remainingNanos,
                workNanos(headers.get("X-Cost")),
                "1".equals(headers.get("X-Retried")));
    }

    /** Rejects requests that a host would reject, and unsafe requests that would pass for safe ones. */
    private static void checkMethod(FullHttpRequest request, Idempotency effect) throws BadRequest {
        boolean keyed = request.headers().contains(IDEMPOTENCY_KEY);
        if (!request.method().equals(effect == Idempotency.SAFE ? HttpMethod.GET : HttpMethod.POST)) {
            throw new BadRequest(HttpResponseStatus.METHOD_NOT_ALLOWED, "not the method of its class");
        }
        if (keyed != (effect == Idempotency.KEYED)
                || (effect == Idempotency.SAFE && request.content().isReadable())) {
            throw new BadRequest(HttpResponseStatus.BAD_REQUEST, "a key or a body that its class has not, or no key");
        }
        if (keyed) {
            singleValue(request.headers(), IDEMPOTENCY_KEY);
        }
    }

    /**
     * The single value of the header. Rejects repeated headers, which can be interpreted in two ways, and values that
     * would not reach a host unchanged.
     */
    private static String singleValue(HttpHeaders headers, String name) throws BadRequest {
        List<String> values = headers.getAll(name);
        if (values.size() != 1 || !VISIBLE_ASCII.matcher(values.get(0)).matches()) {
            throw new BadRequest(HttpResponseStatus.BAD_REQUEST, "no readable " + name + ", or more than one");
        }
        return values.get(0);
    }

    private static String firstSegment(String uri) {
        int end = 1;
        while (end < uri.length() && uri.charAt(end) != '/' && uri.charAt(end) != '?') {
            end++;
        }
        return uri.startsWith("/") ? uri.substring(1, end) : "";
    }

    /** Parses a number with a unit: {@code 480m} milliseconds or {@code 480000u} microseconds. */
    private static long timeoutNanos(String text) throws BadRequest {
        int digits = text.length() - 1;
        TimeUnit unit = text.endsWith("m") ? TimeUnit.MILLISECONDS : text.endsWith("u") ? TimeUnit.MICROSECONDS : null;
        long number = unit == null ? 0 : parsePositive(text.substring(0, digits));
        if (number <= 0) {
            throw new BadRequest(HttpResponseStatus.BAD_REQUEST, "can't read " + TIMEOUT_HEADER);
        }
        return unit.toNanos(number);
    }

    /** Parses the estimated cost of the request; an invalid estimate counts as none. */
    private static long workNanos(String micros) {
        return micros == null ? 0 : TimeUnit.MICROSECONDS.toNanos(parsePositive(micros));
    }

    /** Parses a decimal number, or returns 0 if the text is not one of at most {@link #MAX_DIGITS} digits. */
    private static long parsePositive(String text) {
        boolean isNumber =
                !text.isEmpty() && text.length() <= MAX_DIGITS && text.chars().allMatch(c -> c >= '0' && c <= '9');
        return isNumber ? Long.parseLong(text) : 0;
    }

    /** Copies the request for a host, with its remaining timeout. */
    static FullHttpRequest forHost(FullHttpRequest request, long timeoutNanos) {
        FullHttpRequest copy = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                request.method(),
                request.uri(),
                request.content().retainedDuplicate());
        request.headers().forEach(header -> {
            if (!NOT_FORWARDED.contains(header.getKey().toLowerCase(Locale.ROOT))) {
                copy.headers().add(header.getKey(), header.getValue());
            }
        });
        copy.headers().set(TIMEOUT_HEADER, Math.max(1, TimeUnit.NANOSECONDS.toMicros(timeoutNanos)) + "u");
        copy.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
        return copy;
    }
}
