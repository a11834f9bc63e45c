package tinworks.edge;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;

/**
 * A host that ends one attempt in a given way at a given byte and serves all others. It records the requests it ran.
 */
final class FaultInjectingHost implements AutoCloseable {
    /** What the edge can know of an attempt that ended in this way. */
    enum Known {
        SERVED,
        FAILED,
        FAILED_UNUSUAL_STATUS,
        NOT_RUN,
        UNKNOWN,
        TIMED_OUT,
        SERVED_OR_UNKNOWN,
        SERVED_OR_LATE,
        FAILED_OR_LATE
    }

    /** The state of the connection after the response. */
    private enum After {
        OPEN,
        RESET,
        CLOSED,
        SILENT
    }

    /** What the position means: where a response is split, where it is cut, or where reading of the request stops. */
    private enum Mode {
        SPLIT,
        CUT,
        REQUEST
    }

    /** The ways in which an attempt can end at a host that it reached. */
    enum AttemptEnding {
        WHOLE(Mode.SPLIT, Known.SERVED, true, FaultInjectingHost::own, After.OPEN),
        WHOLE_CHUNKED(Mode.SPLIT, Known.SERVED, true, FaultInjectingHost::chunked, After.OPEN),
        WHOLE_LAST(
                Mode.SPLIT,
                Known.SERVED,
                false,
                id -> response(id, "200 OK", "Origin-Seal: s" + id + "\r\nConnection: close"),
                After.OPEN),
        HINTED(Mode.SPLIT, Known.SERVED, true, id -> HINT + own(id), After.OPEN),
        STRAY(Mode.SPLIT, Known.SERVED, false, id -> own(other(id)) + own(id), After.OPEN),
        STRAY_PROMISE(
                Mode.SPLIT,
                Known.SERVED,
                false,
                id -> response(other(id), "503 Full", "Not-Run: 1") + own(id),
                After.OPEN),
        SURPLUS(Mode.CUT, Known.SERVED, false, id -> own(other(id)), After.OPEN),
        RESET(Mode.CUT, Known.UNKNOWN, false, FaultInjectingHost::own, After.RESET),
        CLOSE(Mode.CUT, Known.UNKNOWN, false, FaultInjectingHost::own, After.CLOSED),
        CLOSE_CHUNKED(Mode.CUT, Known.UNKNOWN, false, FaultInjectingHost::chunked, After.CLOSED),
        CLOSE_HINTED(Mode.CUT, Known.UNKNOWN, false, id -> HINT + own(id), After.CLOSED),
        SILENCE(Mode.CUT, Known.TIMED_OUT, false, FaultInjectingHost::own, After.SILENT),
        STRAY_ALONE(Mode.CUT, Known.UNKNOWN, false, id -> own(other(id)), After.CLOSED),
        STRAY_PROMISE_ALONE(
                Mode.SPLIT, Known.UNKNOWN, false, id -> response(other(id), "503 Full", "Not-Run: 1"), After.CLOSED),
        STRAY_MISDIRECTED_ALONE(
                Mode.SPLIT, Known.UNKNOWN, false, id -> response(other(id), "421 Other", "Not-Run: 1"), After.CLOSED),
        GARBLED(
                Mode.CUT,
                Known.FAILED_OR_LATE,
                false,
                id -> interleavedResponse(other(id), "200 OK\r\nOrigin-Seal: s" + id),
                After.SILENT),
        GARBLED_PROMISE(
                Mode.CUT,
                Known.SERVED_OR_LATE,
                false,
                id -> interleavedResponse(other(id), "503 Full\r\nNot-Run: 1"),
                After.SILENT),
        GARBAGE(Mode.CUT, Known.UNKNOWN, false, FaultInjectingHost::randomBytes, After.CLOSED),
        NOT_RUN_503(
                Mode.SPLIT,
                Known.NOT_RUN,
                true,
                id -> failure(id, "503 Full", "Not-Run: 1\r\nRetry-After: 1"),
                After.OPEN),
        NOT_RUN_429(Mode.SPLIT, Known.NOT_RUN, true, id -> failure(id, "429 Full", "Not-Run: 1"), After.OPEN),
        NOT_RUN_400(Mode.SPLIT, Known.NOT_RUN, true, id -> failure(id, "400 Bad", "Not-Run: 1"), After.OPEN),
        MISDIRECTED(Mode.SPLIT, Known.NOT_RUN, true, id -> failure(id, "421 Other", "Not-Run: 1"), After.OPEN),
        NOT_RUN_CUT(Mode.CUT, Known.UNKNOWN, false, id -> response(id, "503 Full", "Not-Run: 1"), After.CLOSED),
        NOT_RUN_RESET(Mode.CUT, Known.UNKNOWN, false, id -> response(id, "429 Full", "Not-Run: 1"), After.RESET),
        MISDIRECTED_CUT(Mode.CUT, Known.UNKNOWN, false, id -> response(id, "421 Other", "Not-Run: 1"), After.CLOSED),
        NOT_RUN_WITHOUT_ID(Mode.SPLIT, Known.UNKNOWN, false, id -> response("", "503 Full", "Not-Run: 1"), After.OPEN),
        NOT_RUN_200(
                Mode.SPLIT,
                Known.UNKNOWN,
                true,
                id -> response(id, "200 OK", "Not-Run: 1\r\nOrigin-Seal: s" + id),
                After.OPEN),
        BUSY(Mode.SPLIT, Known.UNKNOWN, true, id -> failure(id, "503 Busy", "Retry-After: 1"), After.OPEN),
        TOO_MANY(Mode.SPLIT, Known.UNKNOWN, true, id -> failure(id, "429 Busy", "Retry-After: 1"), After.OPEN),
        TOO_LATE(Mode.SPLIT, Known.UNKNOWN, true, id -> failure(id, "408 Late", "X-A: a"), After.OPEN),
        FAILED(Mode.SPLIT, Known.FAILED, true, id -> failure(id, "500 Failed", "X-A: a"), After.OPEN),
        FAILED_CUT(Mode.CUT, Known.UNKNOWN, false, id -> failure(id, "500 Failed", "X-A: a"), After.CLOSED),
        FAILED_UNUSUAL_STATUS(
                Mode.SPLIT,
                Known.FAILED_UNUSUAL_STATUS,
                true,
                id -> failure(id, UNUSUAL_STATUS + " Odd", "X-A: a"),
                After.OPEN),
        UNSEALED(Mode.SPLIT, Known.UNKNOWN, true, id -> response(id, "200 OK", "X-A: a"), After.OPEN),
        ENCODED(
                Mode.SPLIT,
                Known.UNKNOWN,
                true,
                id -> response(id, "200 OK", "Content-Encoding: gzip\r\nOrigin-Seal: s" + id),
                After.OPEN),
        UNFRAMED(
                Mode.SPLIT,
                Known.UNKNOWN,
                false,
                id -> "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nOrigin-Seal: s" + id + "\r\n\r\n" + body(id),
                After.CLOSED),
        REQUEST_CUT(Mode.REQUEST, Known.UNKNOWN, false, id -> ".".repeat(MAX_REQUEST_BYTES), After.RESET),
        CLIENT_DISCONNECTED(Mode.CUT, Known.UNKNOWN, false, FaultInjectingHost::own, After.SILENT);

        private final Mode mode;
        private final Known known;
        private final boolean reusable;

        @SuppressWarnings("ImmutableEnumChecker") // The functions are stateless lambdas.
        private final Function<String, String> text;

        private final After after;

        AttemptEnding(Mode mode, Known known, boolean reusable, Function<String, String> text, After after) {
            this.mode = mode;
            this.known = known;
            this.reusable = reusable;
            this.text = text;
            this.after = after;
        }

        /** The number of positions, from 0. */
        int positions() {
            return text.apply(ID).length() + (mode == Mode.CUT ? 1 : 0);
        }

        /** What the edge can know if the attempt ends at this position; a response cut at its end is complete. */
        Known known(int position) {
            if (mode != Mode.CUT || position < positions() - 1) {
                return known;
            }
            return switch (this) {
                case CLOSE, CLOSE_CHUNKED, CLOSE_HINTED, SILENCE -> Known.SERVED;
                case FAILED_CUT -> Known.FAILED;
                case RESET -> Known.SERVED_OR_UNKNOWN;
                case NOT_RUN_CUT, MISDIRECTED_CUT, NOT_RUN_RESET -> Known.NOT_RUN;
                default -> known;
            };
        }

        /** Whether the connection can carry another request. */
        boolean leavesConnectionReusable(int position) {
            return reusable || (this == SURPLUS && position == 0);
        }

        /** Whether it can be run at several hosts, as the edge retries at another one. */
        boolean canRepeatAtEachHost() {
            return mode != Mode.REQUEST && this != CLIENT_DISCONNECTED && !waitsForDeadline();
        }

        boolean isCut() {
            return mode != Mode.SPLIT;
        }

        /** Whether the client has to wait until its deadline. */
        boolean waitsForDeadline() {
            return this == SILENCE || this == GARBLED || this == GARBLED_PROMISE;
        }
    }

    /** A fault to be injected into an attempt of one request, at the first host that it reaches. */
    static final class InjectedFault {
        final AttemptEnding ending;
        final int position;
        final String id;
        final CountDownLatch begun = new CountDownLatch(1);
        /** The host has injected the fault and, where it waits for that, has seen the connection closed. */
        final CountDownLatch done = new CountDownLatch(1);
        /** Injected at each host that the request reaches, not only at the first. */
        private final boolean atEachHost;

        private final AtomicBoolean claimed = new AtomicBoolean();
        volatile FaultInjectingHost host;
        volatile Connection connection;
        volatile boolean reused;

        InjectedFault(AttemptEnding ending, int position, String id, boolean atEachHost) {
            this.ending = ending;
            this.position = position;
            this.id = id;
            this.atEachHost = atEachHost;
        }

        private boolean claim(FaultInjectingHost at, Connection on) {
            if (!claimed.compareAndSet(false, true)) {
                return atEachHost;
            }
            host = at;
            connection = on;
            reused = on.requests > 1;
            return true;
        }

        boolean isClaimed() {
            return claimed.get();
        }
    }

    /** One connection from the edge. */
    static final class Connection {
        final Socket socket;
        private int requests;
        /** What made the connection unusable for another request, or null. */
        private volatile String unusableBecause;

        private volatile long lastUsedNanos = System.nanoTime();

        Connection(Socket socket) {
            this.socket = socket;
        }
    }

    static final String ID = "0000000";
    static final int UNUSUAL_STATUS = 507;
    private static final int MAX_REQUEST_BYTES = 190;
    private static final long IDLE_DROP_NANOS = TimeUnit.MILLISECONDS.toNanos(170);
    private static final String HINT = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";

    private final String id;
    private final ServerSocket listener;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    /** Violations found, shared by all hosts of a sweep. */
    private final List<String> failures;
    /** Requests by id, as clients sent them: first line and body. */
    private final Map<String, String> sentRequests;

    final Map<String, Integer> runs = new ConcurrentHashMap<>();
    final Map<String, Integer> arrivals = new ConcurrentHashMap<>();
    volatile InjectedFault injected;
    volatile Connection lastConnection;
    /** Drops idle connections without notice: a connection is reset only when the next request is sent on it. */
    volatile boolean dropsIdleConnections;

    FaultInjectingHost(String id, Map<String, String> sentRequests, List<String> failures) throws IOException {
        this.id = id;
        this.sentRequests = sentRequests;
        this.failures = failures;
        listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        startDaemon(this::accept);
    }

    static List<String> newFailureList() {
        return new CopyOnWriteArrayList<>();
    }

    SocketAddress address() {
        return new InetSocketAddress("127.0.0.1", listener.getLocalPort());
    }

    String id() {
        return id;
    }

    static String body(String id) {
        return "for " + id + "\n".repeat(2);
    }

    private static String other(String id) {
        return "x" + id.substring(1);
    }

    private static String response(String id, String status, String headers) {
        return "HTTP/1.1 " + status + "\r\nContent-Length: " + body(id).length() + "\r\n"
                + (id.isEmpty() ? "" : "Attempt-Id: " + id + "\r\n") + headers + "\r\n\r\n" + body(id);
    }

    /** A host's error response carries its seal too. */
    private static String failure(String id, String status, String headers) {
        return response(id, status, headers + "\r\nOrigin-Seal: " + seal(id, Integer.parseInt(status.split(" ")[0])));
    }

    /** The seal of a host's response with this status. */
    static String seal(String id, int status) {
        return status == 200 ? "s" + id : "f" + id + "-" + status;
    }

    private static String own(String id) {
        return response(id, "200 OK", "Origin-Seal: s" + id);
    }

    /** Another request's response, a part of which may precede this request's response as if both were one. */
    private static String interleavedResponse(String id, String first) {
        return "HTTP/1.1 " + first + "\r\nServer: a\r\nContent-Length: 3\r\nAttempt-Id: " + id + "\r\n\r\nabc";
    }

    private static String chunked(String id) {
        String body = body(id);
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nAttempt-Id: " + id + "\r\nOrigin-Seal: s" + id
                + "\r\n\r\n4\r\n" + body.substring(0, 4) + "\r\n" + Integer.toHexString(body.length() - 4) + ";x=y\r\n"
                + body.substring(4) + "\r\n0\r\nX-T: t\r\n\r\n";
    }

    private static String randomBytes(String id) {
        java.util.Random random = new java.util.Random(id.hashCode());
        StringBuilder bytes = new StringBuilder();
        for (int i = 0; i < 60; i++) {
            bytes.append((char) random.nextInt(256));
        }
        return bytes.toString();
    }

    private static void startDaemon(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                startDaemon(() -> serve(new Connection(socket)));
            } catch (IOException e) {
                return; // closed by the test
            }
        }
    }

    private void serve(Connection connection) {
        try (Socket socket = connection.socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (boolean more = true; more; ) {
                more = serveOne(connection, in);
            }
        } catch (IOException e) {
            // Closed by the edge or by the test.
        } finally {
            sockets.remove(connection.socket);
        }
    }

    /** Reads a request up to its end, or up to the byte at which the fault is injected, and responds to it. */
    private boolean serveOne(Connection connection, InputStream in) throws IOException {
        StringBuilder bytes = new StringBuilder();
        int headEnd = -1;
        int bodyLength = 0;
        InjectedFault cut = null;
        while (headEnd < 0 || bytes.length() < headEnd + bodyLength) {
            int read = in.read();
            if (read < 0) {
                return false;
            }
            if (bytes.length() == 0) {
                connection.requests++;
                if (connection.unusableBecause != null) {
                    failures.add("a request arrived on a connection made unusable by " + connection.unusableBecause);
                }
                if (dropsIdleConnections
                        && connection.requests > 1
                        && System.nanoTime() - connection.lastUsedNanos > IDLE_DROP_NANOS) {
                    reset(connection);
                    return false;
                }
                InjectedFault fault = injected;
                boolean cuts = fault != null && fault.ending.mode == Mode.REQUEST && peek(in).contains(fault.id);
                cut = cuts && fault.claim(this, connection) ? fault : null;
            }
            bytes.append((char) read);
            if (cut != null && bytes.length() > cut.position) {
                break;
            }
            if (headEnd < 0 && bytes.length() >= 4 && bytes.indexOf("\r\n\r\n", bytes.length() - 4) >= 0) {
                headEnd = bytes.length();
                String length = header(bytes.toString(), "content-length");
                bodyLength = length == null ? 0 : Integer.parseInt(length);
            }
        }
        boolean complete = headEnd >= 0 && bytes.length() >= headEnd + bodyLength;
        String request = complete ? header(bytes.toString(), "attempt-id") : cut.id;
        if (cut != null) {
            recordArrival(request, complete ? bytes.toString() : null, headEnd);
            connection.unusableBecause = cut.ending + " at " + cut.position;
            cut.begun.countDown();
            reset(connection);
            cut.done.countDown();
            return false;
        }
        lastConnection = connection;
        String wantedHost = header(bytes.toString(), "want-host");
        if (wantedHost != null && !wantedHost.equals(id)) {
            write(connection, response(request, "421 Other", "Not-Run: 1"));
            return true;
        }
        recordArrival(request, bytes.toString(), headEnd);
        InjectedFault fault = injected;
        boolean goesOn = true;
        if (fault != null
                && fault.ending.mode != Mode.REQUEST
                && request.equals(fault.id)
                && fault.claim(this, connection)) {
            goesOn = inject(connection, in, fault);
            fault.done.countDown();
        } else {
            write(connection, own(request));
        }
        connection.lastUsedNanos = System.nanoTime();
        return goesOn;
    }

    /**
     * The bytes that have arrived, to distinguish the request to be cut from one that the edge abandoned long before.
     */
    private static String peek(InputStream in) throws IOException {
        in.mark(MAX_REQUEST_BYTES * 2);
        String ahead =
                new String(in.readNBytes(Math.min(in.available(), MAX_REQUEST_BYTES * 2)), StandardCharsets.ISO_8859_1);
        in.reset();
        return ahead;
    }

    private static String header(String request, String name) {
        for (String line :
                request.substring(0, Math.max(0, request.indexOf("\r\n\r\n"))).split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith(name + ":")) {
                return line.substring(name.length() + 1).trim();
            }
        }
        return null;
    }

    private void recordArrival(String request, String bytes, int headEnd) {
        arrivals.merge(request, 1, Integer::sum);
        if (bytes == null) {
            return;
        }
        String arrived = bytes.substring(0, bytes.indexOf("\r\n")) + "|" + bytes.substring(headEnd);
        if (!arrived.equals(sentRequests.get(request))) {
            failures.add("UNASKED: " + arrived + " instead of " + sentRequests.get(request));
        }
        InjectedFault fault = injected;
        boolean turnedAway = fault != null
                && fault.id.equals(request)
                && (fault.atEachHost || !fault.isClaimed())
                && fault.ending.known(fault.position) == Known.NOT_RUN;
        if (!turnedAway) {
            runs.merge(request, 1, Integer::sum);
        }
    }

    @SuppressWarnings("ThreadPriorityCheck") // Yielding makes two reads likelier; no outcome depends on it.
    private boolean inject(Connection connection, InputStream in, InjectedFault fault) throws IOException {
        AttemptEnding ending = fault.ending;
        fault.begun.countDown();
        if (!ending.leavesConnectionReusable(fault.position)) {
            connection.unusableBecause = ending + " at " + fault.position;
        }
        String text = ending.text.apply(fault.id);
        if (ending.mode == Mode.SPLIT) {
            write(connection, text.substring(0, fault.position));
            Thread.yield();
            write(connection, text.substring(fault.position));
        } else {
            String first = ending == AttemptEnding.SURPLUS ? own(fault.id) : "";
            String trailing = ending == AttemptEnding.GARBLED
                    ? failure(fault.id, "500 Failed", "X-A: a")
                    : ending == AttemptEnding.GARBLED_PROMISE ? own(fault.id) : "";
            write(connection, first + text.substring(0, fault.position) + trailing);
        }
        switch (ending.after) {
            case RESET -> reset(connection);
            case CLOSED -> connection.socket.close();
            case SILENT -> awaitClose(connection, in, fault);
            default -> {}
        }
        return ending.after == After.OPEN;
    }

    /** The edge must close the connection. After a complete response it may send another request instead. */
    private void awaitClose(Connection connection, InputStream in, InjectedFault fault) throws IOException {
        boolean complete = fault.ending == AttemptEnding.SILENCE
                ? fault.position == fault.ending.positions() - 1
                : fault.ending.waitsForDeadline() && fault.position == 0;
        if (complete) {
            reset(connection);
            return;
        }
        connection.socket.setSoTimeout(EdgeFixture.WAIT_MILLIS);
        try {
            if (in.read() >= 0) {
                failures.add(
                        "a request arrived on a connection on which " + fault.ending + " had left another request at "
                                + fault.position + ", requests so far: " + connection.requests);
            }
        } catch (java.net.SocketTimeoutException e) {
            failures.add("the connection stays open after " + fault.ending + " at " + fault.position);
        } catch (IOException e) {
            // A reset closes it too.
        }
    }

    private static void write(Connection connection, String text) throws IOException {
        if (!text.isEmpty()) {
            connection.socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    private static void reset(Connection connection) throws IOException {
        connection.socket.setSoLinger(true, 0);
        connection.socket.close();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
