package tinworks.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.function.LongSupplier;
import tinworks.soak.Books.Sent;

/**
 * Asks one edge again and again whether it is ready, and on the route of the newest version, and judges which version
 * it follows. Belongs to one thread, but for what it last found.
 */
final class EdgeProbe {
    /** A version is in force at each edge in touch so long after its acknowledgement. */
    static final long APPLY_MILLIS = 3_000;
    /** What a host has seen of a version is not taken back later than this. */
    private static final long REVERT_MILLIS = 250;
    /** After its SIGTERM an edge isn't ready any more. */
    private static final long TERM_MILLIS = 4_000;

    private static final int PATIENCE_MILLIS = 1_000;
    /** Where the status stands in the first line of an answer. */
    private static final int STATUS_START = 9;

    private static final int STATUS_END = 12;
    private static final long DEADLINE_MILLIS = 900;
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;

    private final String machine;
    private final InetSocketAddress http;
    private final InetSocketAddress readyz;
    private final Books books;
    private final Timeline timeline;
    private final SoakOperators operators;
    /** Which process of the machine it is at present. */
    private final LongSupplier life;

    private volatile boolean ready;
    /** Which process got SIGTERM last, and when. */
    private volatile long terminatedLife;

    private volatile long terminatedAt;
    private long asked;
    private long seenLife;
    private long seenRev;
    private long seenAt;

    EdgeProbe(
            String machine,
            InetSocketAddress http,
            InetSocketAddress readyz,
            Books books,
            Timeline timeline,
            SoakOperators operators,
            LongSupplier life) {
        this.machine = machine;
        this.http = http;
        this.readyz = readyz;
        this.books = books;
        this.timeline = timeline;
        this.operators = operators;
        this.life = life;
    }

    /** Whether it was ready when it was last asked. */
    boolean isReady() {
        return ready;
    }

    InetSocketAddress http() {
        return http;
    }

    /** Its address as clients know it. */
    String gateway() {
        return http.getHostString() + ":" + http.getPort();
    }

    /** It gets SIGTERM now, for the first time or again. */
    void terminated() {
        if (terminatedLife == life.getAsLong()) {
            return;
        }
        terminatedAt = books.now();
        terminatedLife = life.getAsLong();
    }

    /** Asks whether it is ready. */
    void askReady() {
        long itsLife = life.getAsLong();
        long at = books.now();
        boolean now = status(readyz, "GET /-/readyz HTTP/1.1\r\nHost: edge") == OK;
        if (now && itsLife == terminatedLife && itsLife == life.getAsLong() && at - terminatedAt > TERM_MILLIS) {
            books.breach("DRAIN", machine + " is ready " + (at - terminatedAt) + " ms after its SIGTERM");
        }
        ready = now;
    }

    /** Asks on the route of the newest version. */
    void askVersion() {
        long rev = operators.newest();
        if (rev == 0) {
            return;
        }
        long since = operators.acknowledgedAt(rev);
        long itsLife = life.getAsLong();
        String id = "probe" + machine.replace("-", "") + "x" + ++asked + "-1";
        String uri = SoakConfigurations.mark(rev) + id;
        long sentAt = books.now();
        books.sent(
                id,
                new Sent(
                        http.getHostString() + ":" + http.getPort(),
                        false,
                        false,
                        "GET",
                        uri,
                        new byte[0],
                        DEADLINE_MILLIS));
        int status = status(
                http,
                "GET " + uri + " HTTP/1.1\r\nHost: " + SoakConfigurations.DOMAIN + "\r\n" + SoakHost.ATTEMPT + ": " + id
                        + "\r\n" + SoakHost.DEADLINE + ": " + DEADLINE_MILLIS);
        books.left(id);
        judge(rev, since, sentAt, status, itsLife);
    }

    private void judge(long rev, long since, long sentAt, int status, long itsLife) {
        if (itsLife != life.getAsLong() || itsLife != seenLife) {
            seenLife = life.getAsLong();
            seenRev = 0;
        }
        if (status == OK && rev > seenRev) {
            seenRev = rev;
            seenAt = books.now();
        }
        if (status != NOT_FOUND || !operators.isMarkedSince(rev)) {
            return;
        }
        if (sentAt - since > APPLY_MILLIS && timeline.inTouch(gateway(), since, books.now())) {
            books.breach(
                    "CONFIG",
                    machine + " knows no route of version " + rev + " " + (sentAt - since)
                            + " ms after its acknowledgement");
        }
        if (rev <= seenRev && sentAt - seenAt > REVERT_MILLIS) {
            books.breach("CONFIG", machine + " goes back behind version " + seenRev);
        }
    }

    /** The status of the answer to a request with this head, or 0 where there is none in time. */
    private static int status(InetSocketAddress address, String head) {
        try (Socket socket = new Socket()) {
            socket.connect(address, PATIENCE_MILLIS);
            socket.setSoTimeout(PATIENCE_MILLIS);
            socket.getOutputStream()
                    .write((head + "\r\nConnection: close\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            String line = new String(socket.getInputStream().readNBytes(STATUS_END), StandardCharsets.US_ASCII);
            return line.length() < STATUS_END ? 0 : Integer.parseInt(line.substring(STATUS_START));
        } catch (IOException | NumberFormatException e) {
            return 0;
        }
    }
}
