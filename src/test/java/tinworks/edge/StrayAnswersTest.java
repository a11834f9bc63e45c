package tinworks.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tinworks.net.ClosingEventLoopGroup;
import tinworks.net.HostPool;
import tinworks.net.MonotonicClock;
import tinworks.net.ScriptedHost;
import tinworks.net.Transport;
import tinworks.policy.LoadBalancerApi.Outcome;

/**
 * Guards against a late response taken for that of the next request on the same connection. It comes about if a host
 * sends a response after its request has timed out, or sends one twice.
 */
@Timeout(value = 30, unit = TimeUnit.SECONDS)
class StrayAnswersTest {
    private static final long LONG_NANOS = TimeUnit.SECONDS.toNanos(20);
    private static final long SHORT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    private final ClosingEventLoopGroup group = new ClosingEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final HostPool pool = new HostPool(
            loop,
            Transport.TCP,
            new MonotonicClock(),
            new HostPool.Bounds(LONG_NANOS, LONG_NANOS, 8, 1 << 16),
            new EdgeProtocol(1));

    private record Ended(Outcome outcome, String body) {}

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(5_000);
    }

    private static String response(String id, String status, String body, String... headers) {
        StringBuilder text = new StringBuilder("HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n");
        if (!id.isEmpty()) {
            text.append("Attempt-Id: ").append(id).append("\r\n");
        }
        for (String header : headers) {
            text.append(header).append("\r\n");
        }
        return text.append("\r\n").append(body).toString();
    }

    private static String servedResponse(String id) {
        return response(id, "200 OK", "for " + id, "Origin-Seal: s");
    }

    /** Sends the pieces of a text, separated by bars, one at a time. */
    @SuppressWarnings("ThreadPriorityCheck") // Yielding makes two reads likelier; no outcome depends on it.
    private static void send(Socket socket, String pieces) throws java.io.IOException {
        for (String piece : pieces.split("\\|")) {
            ScriptedHost.write(socket, piece);
            // Usually read as a separate piece; the outcome is the same if it is not.
            Thread.yield();
        }
    }

    private Ended sendRequest(ScriptedHost host, String id, long timeoutNanos) {
        CompletableFuture<Ended> ended = new CompletableFuture<>();
        loop.execute(() -> {
            pool.update(List.of(new HostPool.HostEntry("h", host.address(), 0, true, false)), true);
            FullHttpRequest request =
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/p/", Unpooled.EMPTY_BUFFER);
            request.headers().set(EdgeProtocol.ATTEMPT_ID, id);
            pool.send(
                    "h",
                    id,
                    request,
                    timeoutNanos,
                    Long.MAX_VALUE,
                    (attempt, outcome, at, load, response) -> ended.complete(new Ended(
                            outcome, response == null ? null : response.body().toString(StandardCharsets.US_ASCII))));
        });
        return ended.join();
    }

    private static String strayResponse(String kind) {
        return switch (kind) {
            case "served" -> servedResponse("r1");
            case "full" -> response("r1", "503 Service Unavailable", "", "Not-Run: 1");
            case "misdirected" -> response("r1", "421 Misdirected Request", "", "Not-Run: 1");
            case "hinted" -> "HTTP/1.1 103 Early Hints\r\n\r\n" + servedResponse("r1");
            case "pieces" ->
                "HTTP/1.1 200 OK\r\nConte|nt-Length: 6\r\nAttempt-I|d: r1\r\nOrigin-Seal: s\r\n\r\nfor| r1";
            default -> throw new IllegalArgumentException(kind);
        };
    }

    @ParameterizedTest
    @CsvSource({"served", "full", "misdirected", "hinted", "pieces"})
    void strayResponseIsSkippedAndTheOwnOneIsServed(String kind) throws Exception {
        try (ScriptedHost host = new ScriptedHost((socket, request) -> {
            String id = request.header(EdgeProtocol.ATTEMPT_ID.toString());
            send(socket, id.equals("r2") ? strayResponse(kind) + "|" + servedResponse(id) : servedResponse(id));
        })) {
            assertEquals(new Ended(Outcome.SERVED, "for r1"), sendRequest(host, "r1", LONG_NANOS));
            assertEquals(new Ended(Outcome.SERVED, "for r2"), sendRequest(host, "r2", LONG_NANOS));
            assertEquals(1, host.connections.size(), "the stray response came on the connection of the second request");
            assertEquals(new Ended(Outcome.SERVED, "for r3"), sendRequest(host, "r3", LONG_NANOS));
            assertEquals(2, host.connections.size(), "a connection with a stray response is not reused");
        }
    }

    @ParameterizedTest
    @CsvSource({"served", "full", "misdirected", "hinted", "pieces"})
    void strayResponseProvesNothingIfTheOwnOneNeverArrives(String kind) throws Exception {
        try (ScriptedHost host = new ScriptedHost((socket, request) -> send(socket, strayResponse(kind)))) {
            Ended ended = sendRequest(host, "r2", SHORT_NANOS);
            assertEquals(new Ended(Outcome.TIMED_OUT, null), ended);
            assertFalse(ended.outcome().provesNotExecuted());
        }
    }

    @ParameterizedTest
    @CsvSource({"200 OK,Origin-Seal: s", "503 Service Unavailable,Not-Run: 1", "421 Misdirected Request,Not-Run: 1"})
    void responseWithoutAnIdProvesNothingAndIsNotPassedOn(String status, String header) throws Exception {
        try (ScriptedHost host =
                new ScriptedHost((socket, request) -> send(socket, response("", status, "whose?", header)))) {
            assertEquals(new Ended(Outcome.ERROR, null), sendRequest(host, "r1", LONG_NANOS));
        }
    }

    @Test
    void hostThatSendsOnlyStrayResponsesIsAbandoned() throws Exception {
        try (ScriptedHost host = new ScriptedHost(
                (socket, request) -> send(socket, servedResponse("r1").repeat(50)))) {
            assertEquals(new Ended(Outcome.ERROR, null), sendRequest(host, "r2", LONG_NANOS));
        }
    }

    @Test
    void strayResponseOnAnIdleConnectionClosesIt() throws Exception {
        try (ScriptedHost host = new ScriptedHost((socket, request) ->
                send(socket, servedResponse(request.header(EdgeProtocol.ATTEMPT_ID.toString()))))) {
            assertEquals(new Ended(Outcome.SERVED, "for r1"), sendRequest(host, "r1", LONG_NANOS));
            send(host.connections.get(0), servedResponse("r1"));
            // Whether the stray response is read before or after the next request is sent, it belongs to no request.
            assertEquals(new Ended(Outcome.SERVED, "for r2"), sendRequest(host, "r2", LONG_NANOS));
            assertEquals(new Ended(Outcome.SERVED, "for r3"), sendRequest(host, "r3", LONG_NANOS));
        }
    }
}
