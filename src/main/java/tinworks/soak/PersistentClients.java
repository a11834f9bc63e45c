package tinworks.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import tinworks.policy.LoadBalancerApi.Outcome;
import tinworks.soak.Books.Sent;

/**
 * Clients that stay with one edge and go on using each connection until it is closed, whether or not the edge is ready,
 * ends, or has said that an answer is the connection's last. They look for nothing else: what they send around the end
 * of a process shows what it does to requests that come on open connections.
 */
final class PersistentClients {
    private static final int CONNECT_MILLIS = 500;
    private static final long DEADLINE_MILLIS = 1_500;
    private static final int PATIENCE_MILLIS = 3_000;
    private static final long RECONNECT_MILLIS = 40;
    private static final int MOST_PAUSE_MILLIS = 60;
    private static final int MOST_BODY = 4_000;

    private final Books books;
    private final AtomicLong number = new AtomicLong();
    private volatile boolean stopped;

    PersistentClients(Books books) {
        this.books = books;
    }

    /** No further request is sent. */
    void stop() {
        stopped = true;
    }

    /** One client of an edge, until it is stopped. */
    void run(InetSocketAddress edge, SplittableRandom random) throws InterruptedException {
        while (!stopped) {
            try (Socket socket = new Socket()) {
                socket.connect(edge, CONNECT_MILLIS);
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(PATIENCE_MILLIS);
                books.count("connections of persistent clients");
                use(socket, edge.getHostString() + ":" + edge.getPort(), random);
            } catch (IOException e) {
                TimeUnit.MILLISECONDS.sleep(RECONNECT_MILLIS);
            }
        }
    }

    /** Sends one request after the other until the connection is closed. */
    private void use(Socket socket, String gateway, SplittableRandom random) throws IOException, InterruptedException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        while (!stopped) {
            String id = "kept" + number.incrementAndGet() + "-1";
            send(socket, gateway, id, random);
            if (!receive(in, id)) {
                return;
            }
            TimeUnit.MILLISECONDS.sleep(random.nextInt(MOST_PAUSE_MILLIS));
        }
    }

    private void send(Socket socket, String gateway, String id, SplittableRandom random) {
        boolean once = random.nextBoolean();
        String method = once ? "POST" : "GET";
        String uri = (once ? "/book/" : "/lookup/") + id;
        byte[] body = new byte[once ? random.nextInt(MOST_BODY) : 0];
        random.nextBytes(body);
        String head = method + " " + uri + " HTTP/1.1\r\nHost: " + SoakConfigurations.DOMAIN + "\r\n" + SoakHost.ATTEMPT
                + ": " + id + "\r\n" + SoakHost.DEADLINE + ": " + DEADLINE_MILLIS + "\r\n"
                + (once ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n";
        byte[] start = head.getBytes(StandardCharsets.US_ASCII);
        byte[] whole = new byte[start.length + body.length];
        System.arraycopy(start, 0, whole, 0, start.length);
        System.arraycopy(body, 0, whole, start.length, body.length);
        books.sent(id, new Sent(gateway, once, true, method, uri, body, DEADLINE_MILLIS));
        try {
            socket.getOutputStream().write(whole);
        } catch (IOException e) {
            // It is closed: the reading says so.
            books.count("requests of persistent clients that met a closed connection");
        }
    }

    /** Reads the answer; false where the connection ended, or nothing came for long. */
    private boolean receive(InputStream in, String id) {
        try {
            String first = line(in);
            if (first == null) {
                books.ended(id, Outcome.RESET, null);
                return false;
            }
            Map<String, String> headers = headers(in);
            int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
            byte[] body = in.readNBytes(length);
            if (body.length < length) {
                books.ended(id, Outcome.RESET, null);
                return false;
            }
            books.answered(id, Integer.parseInt(first.split(" ")[1]), headers.get("origin-seal"), body);
            return true;
        } catch (SocketTimeoutException e) {
            books.ended(id, Outcome.TIMED_OUT, null);
            return false;
        } catch (IOException e) {
            books.ended(id, Outcome.RESET, null);
            return false;
        }
    }

    private static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new HashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return headers;
    }

    /** A line without its end; null at the end of the stream. */
    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return null;
            }
            line.append((char) c);
        }
        return line.toString().stripTrailing();
    }
}
