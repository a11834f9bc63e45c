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
 * A host that ends one attempt as it is told, at a given byte, and serves all others; it keeps a ledger of what it ran.
 */
final class FaultInjectingHost implements AutoCloseable {
    /** What can be known of an attempt that ended so. */
    enum KnownOutcome {
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

    private enum ConnectionAction {
        KEEPS_OPEN,
        RESETS,
        CLOSES,
        STOPS_RESPONDING
    }

    /** How the position is used: all is sent, in two parts; only so much is sent; or so much of the request is read. */
    private enum PositionKind {
        SPLIT,
        CUT,
        REQUEST
    }

    /** The ways in which an attempt ends at a host that is reached. */
    enum AttemptEnding {
        WHOLE(
                PositionKind.SPLIT,
                KnownOutcome.SERVED,
                true,
                FaultInjectingHost::ownResponse,
                ConnectionAction.KEEPS_OPEN),
        WHOLE_CHUNKED(
                PositionKind.SPLIT,
                KnownOutcome.SERVED,
                true,
                FaultInjectingHost::chunkedResponse,
                ConnectionAction.KEEPS_OPEN),
        WHOLE_LAST(
                PositionKind.SPLIT,
                KnownOutcome.SERVED,
                false,
                id -> response(id, "200 OK", "Origin-Seal: s" + id + "\r\nConnection: close"),
                ConnectionAction.KEEPS_OPEN),
        HINTED(
                PositionKind.SPLIT,
                KnownOutcome.SERVED,
                true,
                id -> HINT + ownResponse(id),
                ConnectionAction.KEEPS_OPEN),
        STRAY(
                PositionKind.SPLIT,
                KnownOutcome.SERVED,
                false,
                id -> ownResponse(otherId(id)) + ownResponse(id),
                ConnectionAction.KEEPS_OPEN),
        STRAY_PROMISE(
                PositionKind.SPLIT,
                KnownOutcome.SERVED,
                false,
                id -> response(otherId(id), "503 Full", "Not-Run: 1") + ownResponse(id),
                ConnectionAction.KEEPS_OPEN),
        SURPLUS(
                PositionKind.CUT,
                KnownOutcome.SERVED,
                false,
                id -> ownResponse(otherId(id)),
                ConnectionAction.KEEPS_OPEN),
        RESET(PositionKind.CUT, KnownOutcome.UNKNOWN, false, FaultInjectingHost::ownResponse, ConnectionAction.RESETS),
        CLOSE(PositionKind.CUT, KnownOutcome.UNKNOWN, false, FaultInjectingHost::ownResponse, ConnectionAction.CLOSES),
        CLOSE_CHUNKED(
                PositionKind.CUT,
                KnownOutcome.UNKNOWN,
                false,
                FaultInjectingHost::chunkedResponse,
                ConnectionAction.CLOSES),
        CLOSE_HINTED(
                PositionKind.CUT, KnownOutcome.UNKNOWN, false, id -> HINT + ownResponse(id), ConnectionAction.CLOSES),
        SILENCE(
                PositionKind.CUT,
                KnownOutcome.TIMED_OUT,
                false,
                FaultInjectingHost::ownResponse,
                ConnectionAction.STOPS_RESPONDING),
        STRAY_ALONE(
                PositionKind.CUT, KnownOutcome.UNKNOWN, false, id -> ownResponse(otherId(id)), ConnectionAction.CLOSES),
        STRAY_PROMISE_ALONE(
                PositionKind.SPLIT,
                KnownOutcome.UNKNOWN,
                false,
                id -> response(otherId(id), "503 Full", "Not-Run: 1"),
                ConnectionAction.CLOSES),
        STRAY_MISDIRECTED_ALONE(
                PositionKind.SPLIT,
                KnownOutcome.UNKNOWN,
                false,
                id -> response(otherId(id), "421 Other", "Not-Run: 1"),
                ConnectionAction.CLOSES),
        GARBLED(
                PositionKind.CUT,
                KnownOutcome.FAILED_OR_LATE,
                false,
                id -> interleavedResponse(otherId(id), "200 OK\r\nOrigin-Seal: s" + id),
                ConnectionAction.STOPS_RESPONDING),
        GARBLED_PROMISE(
                PositionKind.CUT,
                KnownOutcome.SERVED_OR_LATE,
                false,
                id -> interleavedResponse(otherId(id), "503 Full\r\nNot-Run: 1"),
                ConnectionAction.STOPS_RESPONDING),
        GARBAGE(
                PositionKind.CUT,
                KnownOutcome.UNKNOWN,
                false,
                FaultInjectingHost::randomBytes,
                ConnectionAction.CLOSES),
        NOT_RUN_503(
                PositionKind.SPLIT,
                KnownOutcome.NOT_RUN,
                true,
                id -> failureResponse(id, "503 Full", "Not-Run: 1\r\nRetry-After: 1"),
                ConnectionAction.KEEPS_OPEN),
        NOT_RUN_429(
                PositionKind.SPLIT,
                KnownOutcome.NOT_RUN,
                true,
                id -> failureResponse(id, "429 Full", "Not-Run: 1"),
                ConnectionAction.KEEPS_OPEN),
        NOT_RUN_400(
                PositionKind.SPLIT,
                KnownOutcome.NOT_RUN,
                true,
                id -> failureResponse(id, "400 Bad", "Not-Run: 1"),
                ConnectionAction.KEEPS_OPEN),
        MISDIRECTED(
                PositionKind.SPLIT,
                KnownOutcome.NOT_RUN,
                true,
                id -> failureResponse(id, "421 Other", "Not-Run: 1"),
                ConnectionAction.KEEPS_OPEN),
        NOT_RUN_CUT(
                PositionKind.CUT,
                KnownOutcome.UNKNOWN,
                false,
                id -> response(id, "503 Full", "Not-Run: 1"),
                ConnectionAction.CLOSES),
        NOT_RUN_RESET(
                PositionKind.CUT,
                KnownOutcome.UNKNOWN,
                false,
                id -> response(id, "429 Full", "Not-Run: 1"),
                ConnectionAction.RESETS),
        MISDIRECTED_CUT(
                PositionKind.CUT,
                KnownOutcome.UNKNOWN,
                false,
                id -> response(id, "421 Other", "Not-Run: 1"),
                ConnectionAction.CLOSES),
        NOT_RUN_WITHOUT_ID(
                PositionKind.SPLIT,
                KnownOutcome.UNKNOWN,
                false,
                id -> response("", "503 Full", "Not-Run: 1"),
                ConnectionAction.KEEPS_OPEN),
        NOT_RUN_200(
                PositionKind.SPLIT,
                KnownOutcome.UNKNOWN,
                true,
                id -> response(id, "200 OK", "Not-Run: 1\r\nOrigin-Seal: s" + id),
                ConnectionAction.KEEPS_OPEN),
        BUSY(
                PositionKind.SPLIT,
                KnownOutcome.UNKNOWN,
                true,
                id -> failureResponse(id, "503 Busy", "Retry-After: 1"),
                ConnectionAction.KEEPS_OPEN),
        TOO_MANY(
                PositionKind.SPLIT,
                KnownOutcome.UNKNOWN,
                true,
                id -> failureResponse(id, "429 Busy", "Retry-After: 1"),
                ConnectionAction.KEEPS_OPEN),
        TOO_LATE(
                PositionKind.SPLIT,
                KnownOutcome.UNKNOWN,
                true,
                id -> failureResponse(id, "408 Late", "X-A: a"),
                ConnectionAction.KEEPS_OPEN),
        FAILED(
                PositionKind.SPLIT,
                KnownOutcome.FAILED,
                true,
                id -> failureResponse(id, "500 Failed", "X-A: a"),
                ConnectionAction.KEEPS_OPEN),
        FAILED_CUT(
                PositionKind.CUT,
                KnownOutcome.UNKNOWN,
                false,
                id -> failureResponse(id, "500 Failed", "X-A: a"),
                ConnectionAction.CLOSES),
        FAILED_UNUSUAL_STATUS(
                PositionKind.SPLIT,
                KnownOutcome.FAILED_UNUSUAL_STATUS,
                true,
                id -> failureResponse(id, UNUSUAL_STATUS + " Odd", "X-A: a"),
                ConnectionAction.KEEPS_OPEN),
        UNSEALED(
                PositionKind.SPLIT,
                KnownOutcome.UNKNOWN,
                true,
                id -> response(id, "200 OK", "X-A: a"),
                ConnectionAction.KEEPS_OPEN),
        ENCODED(
                PositionKind.SPLIT,
                KnownOutcome.UNKNOWN,
                true,
                id -> response(id, "200 OK", "Content-Encoding: gzip\r\nOrigin-Seal: s" + id),
                ConnectionAction.KEEPS_OPEN),
        UNFRAMED(
                PositionKind.SPLIT,
                KnownOutcome.UNKNOWN,
                false,
                id -> "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nOrigin-Seal: s" + id + "\r\n\r\n" + body(id),
                ConnectionAction.CLOSES),
        REQUEST_CUT(
                PositionKind.REQUEST,
                KnownOutcome.UNKNOWN,
                false,
                id -> ".".repeat(MAX_REQUEST_BYTES),
                ConnectionAction.RESETS),
        CLIENT_DISCONNECTED(
                PositionKind.CUT,
                KnownOutcome.UNKNOWN,
                false,
                FaultInjectingHost::ownResponse,
                ConnectionAction.STOPS_RESPONDING);

        private final PositionKind positionKind;
        private final KnownOutcome knownOutcome;
        private final boolean reusable;

        @SuppressWarnings("ImmutableEnumChecker") // Each of the functions is a lambda without state.
        private final Function<String, String> responseText;

        private final ConnectionAction connectionAction;

        AttemptEnding(
                PositionKind at,
                KnownOutcome known,
                boolean lives,
                Function<String, String> text,
                ConnectionAction then) {
            this.positionKind = at;
            this.knownOutcome = known;
            this.reusable = lives;
            this.responseText = text;
            this.connectionAction = then;
        }

        /** The positions are from 0, below this. */
        int positions() {
            return responseText.apply(ID).length() + (positionKind == PositionKind.CUT ? 1 : 0);
        }

        /** What can be known where it ends at this position; what is cut at its end is whole. */
        KnownOutcome knownOutcome(int position) {
            if (positionKind != PositionKind.CUT || position < positions() - 1) {
                return knownOutcome;
            }
            return switch (this) {
                case CLOSE, CLOSE_CHUNKED, CLOSE_HINTED, SILENCE -> KnownOutcome.SERVED;
                case FAILED_CUT -> KnownOutcome.FAILED;
                case RESET -> KnownOutcome.SERVED_OR_UNKNOWN;
                case NOT_RUN_CUT, MISDIRECTED_CUT, NOT_RUN_RESET -> KnownOutcome.NOT_RUN;
                default -> knownOutcome;
            };
        }

        /** Whether the connection carries on. */
        boolean leavesConnectionReusable(int position) {
            return reusable || (this == SURPLUS && position == 0);
        }

        /** Whether it can be played at more hosts than one: the edge goes on to another. */
        boolean canRepeatAtEachHost() {
            return positionKind != PositionKind.REQUEST && this != CLIENT_DISCONNECTED && !waitsForDeadline();
        }

        boolean isCut() {
            return positionKind != PositionKind.SPLIT;
        }

        /** Whether the client must wait out its deadline. */
        boolean waitsForDeadline() {
            return this == SILENCE || this == GARBLED || this == GARBLED_PROMISE;
        }
    }

    /** One attempt that is to end so: at the first host that it reaches. */
    static final class InjectedFault {
        final AttemptEnding ending;
        final int position;
        final String id;
        final CountDownLatch begun = new CountDownLatch(1);
        /** The host has done its part, and seen its connection closed where it waited for that. */
        final CountDownLatch done = new CountDownLatch(1);
        /** Each host that it reaches ends it so, not only the first. */
        private final boolean atEachHost;

        private final AtomicBoolean claimed = new AtomicBoolean();
        volatile FaultInjectingHost host;
        volatile Connection connection;
        volatile boolean reused;

        InjectedFault(AttemptEnding ending, int position, String id, boolean everywhere) {
            this.ending = ending;
            this.position = position;
            this.id = id;
            this.atEachHost = everywhere;
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
        /** What makes it unfit for another request, or null. */
        private volatile String unusableSince;

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
    /** What went wrong, for all hosts of a walk. */
    private final List<String> failures;
    /** Requests by their ids as clients sent them: first line and body. */
    private final Map<String, String> sentRequests;

    final Map<String, Integer> runs = new ConcurrentHashMap<>();
    final Map<String, Integer> arrivals = new ConcurrentHashMap<>();
    volatile InjectedFault injected;
    volatile Connection lastConnection;
    /** It drops connections that rested, without a word until something is sent on one. */
    volatile boolean dropsIdleConnections;

    FaultInjectingHost(String id, Map<String, String> asked, List<String> faults) throws IOException {
        this.id = id;
        this.sentRequests = asked;
        this.failures = faults;
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

    private static String otherId(String id) {
        return "x" + id.substring(1);
    }

    private static String response(String id, String status, String headers) {
        return "HTTP/1.1 " + status + "\r\nContent-Length: " + body(id).length() + "\r\n"
                + (id.isEmpty() ? "" : "Attempt-Id: " + id + "\r\n") + headers + "\r\n\r\n" + body(id);
    }

    /** A host's own failure bears its seal too. */
    private static String failureResponse(String id, String status, String headers) {
        return response(id, status, headers + "\r\nOrigin-Seal: " + seal(id, Integer.parseInt(status.split(" ")[0])));
    }

    /** What a host seals an answer with that has this status. */
    static String seal(String id, int status) {
        return status == 200 ? "s" + id : "f" + id + "-" + status;
    }

    private static String ownResponse(String id) {
        return response(id, "200 OK", "Origin-Seal: s" + id);
    }

    /** Another request's answer, of which a part may stand ahead of the own one as if both were one. */
    private static String interleavedResponse(String id, String first) {
        return "HTTP/1.1 " + first + "\r\nServer: a\r\nContent-Length: 3\r\nAttempt-Id: " + id + "\r\n\r\nabc";
    }

    private static String chunkedResponse(String id) {
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
            // The far side, or the test, closed it.
        } finally {
            sockets.remove(connection.socket);
        }
    }

    /** Bytes of a request as they come, until its head and body are whole or enough has come. */
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
                if (connection.unusableSince != null) {
                    failures.add("a request came on a connection spoilt by " + connection.unusableSince);
                }
                if (dropsIdleConnections
                        && connection.requests > 1
                        && System.nanoTime() - connection.lastUsedNanos > IDLE_DROP_NANOS) {
                    reset(connection);
                    return false;
                }
                InjectedFault now = injected;
                boolean cuts =
                        now != null && now.ending.positionKind == PositionKind.REQUEST && peek(in).contains(now.id);
                cut = cuts && now.claim(this, connection) ? now : null;
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
        boolean whole = headEnd >= 0 && bytes.length() >= headEnd + bodyLength;
        String request = whole ? header(bytes.toString(), "attempt-id") : cut.id;
        if (cut != null) {
            recordArrival(request, whole ? bytes.toString() : null, headEnd);
            connection.unusableSince = cut.ending + " at " + cut.position;
            cut.begun.countDown();
            reset(connection);
            cut.done.countDown();
            return false;
        }
        lastConnection = connection;
        String wanted = header(bytes.toString(), "want-host");
        if (wanted != null && !wanted.equals(id)) {
            write(connection, response(request, "421 Other", "Not-Run: 1"));
            return true;
        }
        recordArrival(request, bytes.toString(), headEnd);
        InjectedFault now = injected;
        boolean goesOn = true;
        if (now != null
                && now.ending.positionKind != PositionKind.REQUEST
                && request.equals(now.id)
                && now.claim(this, connection)) {
            goesOn = inject(connection, in, now);
            now.done.countDown();
        } else {
            write(connection, ownResponse(request));
        }
        connection.lastUsedNanos = System.nanoTime();
        return goesOn;
    }

    /** What has come already, to tell the request that is to be cut from one that the edge gave up long ago. */
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
        String came = bytes.substring(0, bytes.indexOf("\r\n")) + "|" + bytes.substring(headEnd);
        if (!came.equals(sentRequests.get(request))) {
            failures.add("UNASKED: " + came + " for " + sentRequests.get(request));
        }
        InjectedFault now = injected;
        boolean turnedAway = now != null
                && now.id.equals(request)
                && (now.atEachHost || !now.isClaimed())
                && now.ending.knownOutcome(now.position) == KnownOutcome.NOT_RUN;
        if (!turnedAway) {
            runs.merge(request, 1, Integer::sum);
        }
    }

    @SuppressWarnings("ThreadPriorityCheck") // A yield makes two pieces likelier; no outcome depends on it.
    private boolean inject(Connection connection, InputStream in, InjectedFault now) throws IOException {
        AttemptEnding ending = now.ending;
        now.begun.countDown();
        if (!ending.leavesConnectionReusable(now.position)) {
            connection.unusableSince = ending + " at " + now.position;
        }
        String text = ending.responseText.apply(now.id);
        if (ending.positionKind == PositionKind.SPLIT) {
            write(connection, text.substring(0, now.position));
            Thread.yield();
            write(connection, text.substring(now.position));
        } else {
            String first = ending == AttemptEnding.SURPLUS ? ownResponse(now.id) : "";
            String behind = ending == AttemptEnding.GARBLED
                    ? failureResponse(now.id, "500 Failed", "X-A: a")
                    : ending == AttemptEnding.GARBLED_PROMISE ? ownResponse(now.id) : "";
            write(connection, first + text.substring(0, now.position) + behind);
        }
        switch (ending.connectionAction) {
            case RESETS -> reset(connection);
            case CLOSES -> connection.socket.close();
            case STOPS_RESPONDING -> awaitClose(connection, in, now);
            default -> {}
        }
        return ending.connectionAction == ConnectionAction.KEEPS_OPEN;
    }

    /** The edge must close it; a whole answer that stays behind may be followed by another request. */
    private void awaitClose(Connection connection, InputStream in, InjectedFault now) throws IOException {
        boolean whole = now.ending == AttemptEnding.SILENCE
                ? now.position == now.ending.positions() - 1
                : now.ending.waitsForDeadline() && now.position == 0;
        if (whole) {
            reset(connection);
            return;
        }
        connection.socket.setSoTimeout(EdgeFixture.WAIT_MILLIS);
        try {
            if (in.read() >= 0) {
                failures.add("a request came on a connection where " + now.ending + " had left another at "
                        + now.position + ", used " + connection.requests);
            }
        } catch (java.net.SocketTimeoutException e) {
            failures.add("the connection outlives " + now.ending + " at " + now.position);
        } catch (IOException e) {
            // reset is an end too
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
