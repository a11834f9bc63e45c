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
        FAILED_ODDLY,
        NOT_RUN,
        UNKNOWN,
        TIMED_OUT,
        SERVED_OR_UNKNOWN,
        SERVED_OR_LATE,
        FAILED_OR_LATE
    }

    private enum ConnectionAction {
        STAYS,
        RESETS,
        CLOSES,
        IS_SILENT
    }

    /** How the position is used: all is sent, in two parts; only so much is sent; or so much of the request is read. */
    private enum PositionKind {
        SPLIT,
        CUT,
        REQUEST
    }

    /** The ways in which an attempt ends at a host that is reached. */
    enum AttemptEnding {
        WHOLE(PositionKind.SPLIT, KnownOutcome.SERVED, true, FaultInjectingHost::own, ConnectionAction.STAYS),
        WHOLE_CHUNKED(
                PositionKind.SPLIT, KnownOutcome.SERVED, true, FaultInjectingHost::chunked, ConnectionAction.STAYS),
        WHOLE_LAST(
                PositionKind.SPLIT,
                KnownOutcome.SERVED,
                false,
                id -> answer(id, "200 OK", "Origin-Seal: s" + id + "\r\nConnection: close"),
                ConnectionAction.STAYS),
        HINTED(PositionKind.SPLIT, KnownOutcome.SERVED, true, id -> HINT + own(id), ConnectionAction.STAYS),
        STRAY(PositionKind.SPLIT, KnownOutcome.SERVED, false, id -> own(other(id)) + own(id), ConnectionAction.STAYS),
        STRAY_PROMISE(
                PositionKind.SPLIT,
                KnownOutcome.SERVED,
                false,
                id -> answer(other(id), "503 Full", "Not-Run: 1") + own(id),
                ConnectionAction.STAYS),
        SURPLUS(PositionKind.CUT, KnownOutcome.SERVED, false, id -> own(other(id)), ConnectionAction.STAYS),
        RESET(PositionKind.CUT, KnownOutcome.UNKNOWN, false, FaultInjectingHost::own, ConnectionAction.RESETS),
        CLOSE(PositionKind.CUT, KnownOutcome.UNKNOWN, false, FaultInjectingHost::own, ConnectionAction.CLOSES),
        CLOSE_CHUNKED(
                PositionKind.CUT, KnownOutcome.UNKNOWN, false, FaultInjectingHost::chunked, ConnectionAction.CLOSES),
        CLOSE_HINTED(PositionKind.CUT, KnownOutcome.UNKNOWN, false, id -> HINT + own(id), ConnectionAction.CLOSES),
        SILENCE(PositionKind.CUT, KnownOutcome.TIMED_OUT, false, FaultInjectingHost::own, ConnectionAction.IS_SILENT),
        STRAY_ALONE(PositionKind.CUT, KnownOutcome.UNKNOWN, false, id -> own(other(id)), ConnectionAction.CLOSES),
        STRAY_PROMISE_ALONE(
                PositionKind.SPLIT,
                KnownOutcome.UNKNOWN,
                false,
                id -> answer(other(id), "503 Full", "Not-Run: 1"),
                ConnectionAction.CLOSES),
        STRAY_MISDIRECTED_ALONE(
                PositionKind.SPLIT,
                KnownOutcome.UNKNOWN,
                false,
                id -> answer(other(id), "421 Other", "Not-Run: 1"),
                ConnectionAction.CLOSES),
        GARBLED(
                PositionKind.CUT,
                KnownOutcome.FAILED_OR_LATE,
                false,
                id -> begun(other(id), "200 OK\r\nOrigin-Seal: s" + id),
                ConnectionAction.IS_SILENT),
        GARBLED_PROMISE(
                PositionKind.CUT,
                KnownOutcome.SERVED_OR_LATE,
                false,
                id -> begun(other(id), "503 Full\r\nNot-Run: 1"),
                ConnectionAction.IS_SILENT),
        GARBAGE(PositionKind.CUT, KnownOutcome.UNKNOWN, false, FaultInjectingHost::garbage, ConnectionAction.CLOSES),
        NOT_RUN_503(
                PositionKind.SPLIT,
                KnownOutcome.NOT_RUN,
                true,
                id -> failure(id, "503 Full", "Not-Run: 1\r\nRetry-After: 1"),
                ConnectionAction.STAYS),
        NOT_RUN_429(
                PositionKind.SPLIT,
                KnownOutcome.NOT_RUN,
                true,
                id -> failure(id, "429 Full", "Not-Run: 1"),
                ConnectionAction.STAYS),
        NOT_RUN_400(
                PositionKind.SPLIT,
                KnownOutcome.NOT_RUN,
                true,
                id -> failure(id, "400 Bad", "Not-Run: 1"),
                ConnectionAction.STAYS),
        MISDIRECTED(
                PositionKind.SPLIT,
                KnownOutcome.NOT_RUN,
                true,
                id -> failure(id, "421 Other", "Not-Run: 1"),
                ConnectionAction.STAYS),
        NOT_RUN_CUT(
                PositionKind.CUT,
                KnownOutcome.UNKNOWN,
                false,
                id -> answer(id, "503 Full", "Not-Run: 1"),
                ConnectionAction.CLOSES),
        NOT_RUN_RESET(
                PositionKind.CUT,
                KnownOutcome.UNKNOWN,
                false,
                id -> answer(id, "429 Full", "Not-Run: 1"),
                ConnectionAction.RESETS),
        MISDIRECTED_CUT(
                PositionKind.CUT,
                KnownOutcome.UNKNOWN,
                false,
                id -> answer(id, "421 Other", "Not-Run: 1"),
                ConnectionAction.CLOSES),
        NOT_RUN_NOBODYS(
                PositionKind.SPLIT,
                KnownOutcome.UNKNOWN,
                false,
                id -> answer("", "503 Full", "Not-Run: 1"),
                ConnectionAction.STAYS),
        NOT_RUN_200(
                PositionKind.SPLIT,
                KnownOutcome.UNKNOWN,
                true,
                id -> answer(id, "200 OK", "Not-Run: 1\r\nOrigin-Seal: s" + id),
                ConnectionAction.STAYS),
        BUSY(
                PositionKind.SPLIT,
                KnownOutcome.UNKNOWN,
                true,
                id -> failure(id, "503 Busy", "Retry-After: 1"),
                ConnectionAction.STAYS),
        TOO_MANY(
                PositionKind.SPLIT,
                KnownOutcome.UNKNOWN,
                true,
                id -> failure(id, "429 Busy", "Retry-After: 1"),
                ConnectionAction.STAYS),
        TOO_LATE(
                PositionKind.SPLIT,
                KnownOutcome.UNKNOWN,
                true,
                id -> failure(id, "408 Late", "X-A: a"),
                ConnectionAction.STAYS),
        FAILED(
                PositionKind.SPLIT,
                KnownOutcome.FAILED,
                true,
                id -> failure(id, "500 Failed", "X-A: a"),
                ConnectionAction.STAYS),
        FAILED_CUT(
                PositionKind.CUT,
                KnownOutcome.UNKNOWN,
                false,
                id -> failure(id, "500 Failed", "X-A: a"),
                ConnectionAction.CLOSES),
        FAILED_ODDLY(
                PositionKind.SPLIT,
                KnownOutcome.FAILED_ODDLY,
                true,
                id -> failure(id, ODD_STATUS + " Odd", "X-A: a"),
                ConnectionAction.STAYS),
        UNSEALED(
                PositionKind.SPLIT,
                KnownOutcome.UNKNOWN,
                true,
                id -> answer(id, "200 OK", "X-A: a"),
                ConnectionAction.STAYS),
        ENCODED(
                PositionKind.SPLIT,
                KnownOutcome.UNKNOWN,
                true,
                id -> answer(id, "200 OK", "Content-Encoding: gzip\r\nOrigin-Seal: s" + id),
                ConnectionAction.STAYS),
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
                id -> ".".repeat(LONGEST_REQUEST),
                ConnectionAction.RESETS),
        LEFT(PositionKind.CUT, KnownOutcome.UNKNOWN, false, FaultInjectingHost::own, ConnectionAction.IS_SILENT);

        private final PositionKind at;
        private final KnownOutcome known;
        private final boolean lives;

        @SuppressWarnings("ImmutableEnumChecker") // Each of the functions is a lambda without state.
        private final Function<String, String> text;

        private final ConnectionAction then;

        AttemptEnding(
                PositionKind at,
                KnownOutcome known,
                boolean lives,
                Function<String, String> text,
                ConnectionAction then) {
            this.at = at;
            this.known = known;
            this.lives = lives;
            this.text = text;
            this.then = then;
        }

        /** The positions are from 0, below this. */
        int positions() {
            return text.apply(ID).length() + (at == PositionKind.CUT ? 1 : 0);
        }

        /** What can be known where it ends at this position; what is cut at its end is whole. */
        KnownOutcome known(int position) {
            if (at != PositionKind.CUT || position < positions() - 1) {
                return known;
            }
            return switch (this) {
                case CLOSE, CLOSE_CHUNKED, CLOSE_HINTED, SILENCE -> KnownOutcome.SERVED;
                case FAILED_CUT -> KnownOutcome.FAILED;
                case RESET -> KnownOutcome.SERVED_OR_UNKNOWN;
                case NOT_RUN_CUT, MISDIRECTED_CUT, NOT_RUN_RESET -> KnownOutcome.NOT_RUN;
                default -> known;
            };
        }

        /** Whether the connection carries on. */
        boolean lives(int position) {
            return lives || (this == SURPLUS && position == 0);
        }

        /** Whether it can be played at more hosts than one: the edge goes on to another. */
        boolean mayBeEverywhere() {
            return at != PositionKind.REQUEST && this != LEFT && !waitsLong();
        }

        boolean isCut() {
            return at != PositionKind.SPLIT;
        }

        /** Whether the client must wait out its deadline. */
        boolean waitsLong() {
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
        private final boolean everywhere;

        private final AtomicBoolean taken = new AtomicBoolean();
        volatile FaultInjectingHost host;
        volatile Connection connection;
        volatile boolean reused;

        InjectedFault(AttemptEnding ending, int position, String id, boolean everywhere) {
            this.ending = ending;
            this.position = position;
            this.id = id;
            this.everywhere = everywhere;
        }

        private boolean take(FaultInjectingHost at, Connection on) {
            if (!taken.compareAndSet(false, true)) {
                return everywhere;
            }
            host = at;
            connection = on;
            reused = on.requests > 1;
            return true;
        }

        boolean isTaken() {
            return taken.get();
        }
    }

    /** One connection from the edge. */
    static final class Connection {
        final Socket socket;
        private int requests;
        /** What makes it unfit for another request, or null. */
        private volatile String spoiltBy;

        private volatile long lastUsed = System.nanoTime();

        Connection(Socket socket) {
            this.socket = socket;
        }
    }

    static final String ID = "0000000";
    static final int ODD_STATUS = 507;
    private static final int LONGEST_REQUEST = 190;
    private static final long FORGETS_NANOS = TimeUnit.MILLISECONDS.toNanos(170);
    private static final String HINT = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";

    private final String id;
    private final ServerSocket listener;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    /** What went wrong, for all hosts of a walk. */
    private final List<String> faults;
    /** Requests by their ids as clients sent them: first line and body. */
    private final Map<String, String> asked;

    final Map<String, Integer> runs = new ConcurrentHashMap<>();
    final Map<String, Integer> arrivals = new ConcurrentHashMap<>();
    volatile InjectedFault play;
    volatile Connection last;
    /** It drops connections that rested, without a word until something is sent on one. */
    volatile boolean forgets;

    FaultInjectingHost(String id, Map<String, String> asked, List<String> faults) throws IOException {
        this.id = id;
        this.asked = asked;
        this.faults = faults;
        listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        daemon(this::accept);
    }

    static List<String> faults() {
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

    private static String answer(String id, String status, String headers) {
        return "HTTP/1.1 " + status + "\r\nContent-Length: " + body(id).length() + "\r\n"
                + (id.isEmpty() ? "" : "Attempt-Id: " + id + "\r\n") + headers + "\r\n\r\n" + body(id);
    }

    /** A host's own failure bears its seal too. */
    private static String failure(String id, String status, String headers) {
        return answer(id, status, headers + "\r\nOrigin-Seal: " + seal(id, Integer.parseInt(status.split(" ")[0])));
    }

    /** What a host seals an answer with that has this status. */
    static String seal(String id, int status) {
        return status == 200 ? "s" + id : "f" + id + "-" + status;
    }

    private static String own(String id) {
        return answer(id, "200 OK", "Origin-Seal: s" + id);
    }

    /** Another request's answer, of which a part may stand ahead of the own one as if both were one. */
    private static String begun(String id, String first) {
        return "HTTP/1.1 " + first + "\r\nServer: a\r\nContent-Length: 3\r\nAttempt-Id: " + id + "\r\n\r\nabc";
    }

    private static String chunked(String id) {
        String body = body(id);
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nAttempt-Id: " + id + "\r\nOrigin-Seal: s" + id
                + "\r\n\r\n4\r\n" + body.substring(0, 4) + "\r\n" + Integer.toHexString(body.length() - 4) + ";x=y\r\n"
                + body.substring(4) + "\r\n0\r\nX-T: t\r\n\r\n";
    }

    private static String garbage(String id) {
        java.util.Random random = new java.util.Random(id.hashCode());
        StringBuilder bytes = new StringBuilder();
        for (int i = 0; i < 60; i++) {
            bytes.append((char) random.nextInt(256));
        }
        return bytes.toString();
    }

    private static void daemon(Runnable work) {
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
                daemon(() -> serve(new Connection(socket)));
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
                if (connection.spoiltBy != null) {
                    faults.add("a request came on a connection spoilt by " + connection.spoiltBy);
                }
                if (forgets && connection.requests > 1 && System.nanoTime() - connection.lastUsed > FORGETS_NANOS) {
                    reset(connection);
                    return false;
                }
                InjectedFault now = play;
                boolean cuts = now != null
                        && now.ending.at == PositionKind.REQUEST
                        && ahead(in).contains(now.id);
                cut = cuts && now.take(this, connection) ? now : null;
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
            arrived(request, whole ? bytes.toString() : null, headEnd);
            connection.spoiltBy = cut.ending + " at " + cut.position;
            cut.begun.countDown();
            reset(connection);
            cut.done.countDown();
            return false;
        }
        last = connection;
        String wanted = header(bytes.toString(), "want-host");
        if (wanted != null && !wanted.equals(id)) {
            write(connection, answer(request, "421 Other", "Not-Run: 1"));
            return true;
        }
        arrived(request, bytes.toString(), headEnd);
        InjectedFault now = play;
        boolean goesOn = true;
        if (now != null
                && now.ending.at != PositionKind.REQUEST
                && request.equals(now.id)
                && now.take(this, connection)) {
            goesOn = end(connection, in, now);
            now.done.countDown();
        } else {
            write(connection, own(request));
        }
        connection.lastUsed = System.nanoTime();
        return goesOn;
    }

    /** What has come already, to tell the request that is to be cut from one that the edge gave up long ago. */
    private static String ahead(InputStream in) throws IOException {
        in.mark(LONGEST_REQUEST * 2);
        String ahead =
                new String(in.readNBytes(Math.min(in.available(), LONGEST_REQUEST * 2)), StandardCharsets.ISO_8859_1);
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

    private void arrived(String request, String bytes, int headEnd) {
        arrivals.merge(request, 1, Integer::sum);
        if (bytes == null) {
            return;
        }
        String came = bytes.substring(0, bytes.indexOf("\r\n")) + "|" + bytes.substring(headEnd);
        if (!came.equals(asked.get(request))) {
            faults.add("UNASKED: " + came + " for " + asked.get(request));
        }
        InjectedFault now = play;
        boolean turnedAway = now != null
                && now.id.equals(request)
                && (now.everywhere || !now.isTaken())
                && now.ending.known(now.position) == KnownOutcome.NOT_RUN;
        if (!turnedAway) {
            runs.merge(request, 1, Integer::sum);
        }
    }

    @SuppressWarnings("ThreadPriorityCheck") // A yield makes two pieces likelier; no outcome depends on it.
    private boolean end(Connection connection, InputStream in, InjectedFault now) throws IOException {
        AttemptEnding ending = now.ending;
        now.begun.countDown();
        if (!ending.lives(now.position)) {
            connection.spoiltBy = ending + " at " + now.position;
        }
        String text = ending.text.apply(now.id);
        if (ending.at == PositionKind.SPLIT) {
            write(connection, text.substring(0, now.position));
            Thread.yield();
            write(connection, text.substring(now.position));
        } else {
            String first = ending == AttemptEnding.SURPLUS ? own(now.id) : "";
            String behind = ending == AttemptEnding.GARBLED
                    ? failure(now.id, "500 Failed", "X-A: a")
                    : ending == AttemptEnding.GARBLED_PROMISE ? own(now.id) : "";
            write(connection, first + text.substring(0, now.position) + behind);
        }
        switch (ending.then) {
            case RESETS -> reset(connection);
            case CLOSES -> connection.socket.close();
            case IS_SILENT -> awaitEnd(connection, in, now);
            default -> {}
        }
        return ending.then == ConnectionAction.STAYS;
    }

    /** The edge must close it; a whole answer that stays behind may be followed by another request. */
    private void awaitEnd(Connection connection, InputStream in, InjectedFault now) throws IOException {
        boolean whole = now.ending == AttemptEnding.SILENCE
                ? now.position == now.ending.positions() - 1
                : now.ending.waitsLong() && now.position == 0;
        if (whole) {
            reset(connection);
            return;
        }
        connection.socket.setSoTimeout(EdgeFixture.PATIENCE_MILLIS);
        try {
            if (in.read() >= 0) {
                faults.add("a request came on a connection where " + now.ending + " had left another at " + now.position
                        + ", used " + connection.requests);
            }
        } catch (java.net.SocketTimeoutException e) {
            faults.add("the connection outlives " + now.ending + " at " + now.position);
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
