package tinworks.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import tinworks.soak.Books.Sent;

/** Clients that misbehave, each on plain sockets; what they ask for is written down like anybody's. */
final class RudeClients {
    private static final int CONNECT_MILLIS = 1_000;
    private static final int READ_MILLIS = 4_000;
    private static final long DEADLINE_MILLIS = 1_500;
    private static final int LONG_BODY = 7 << 20;
    private static final int UPLOADS = 8;
    private static final int CHUNK = 1 << 16;
    private static final int READERS = 12;
    private static final int LONG_ANSWER = 3_000_000;
    private static final int PIPELINED = 40;
    private static final int CROWD = 400;
    private static final int SENDERS = 20;
    private static final int HEAD_SENDERS = 6;
    private static final int HEADS_EACH = 60;
    private static final int SHORT_HEADERS = 3_000;
    private static final long HEADS_MILLIS = 1_500;

    private final Supplier<List<InetSocketAddress>> edges;
    private final Books books;
    private final AtomicLong number = new AtomicLong();

    RudeClients(Supplier<List<InetSocketAddress>> edges, Books books) {
        this.edges = edges;
        this.books = books;
    }

    /** Does something rude once. */
    private interface Act {
        void play(Socket socket, String gateway) throws IOException, InterruptedException;
    }

    /** Plays one kind of rudeness again and again until its time is over. */
    void play(Trouble trouble, SplittableRandom random) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(trouble.forMillis());
        switch (trouble.kind()) {
            case LEAVERS -> many(4, until, random, this::leave);
            case SLOW_SENDERS -> many(SENDERS, until, random, r -> (socket, edge) -> sendSlowly(socket, edge, until));
            case SLOW_READERS -> many(READERS, until, random, r -> (socket, edge) -> dontRead(socket, edge, until));
            case LONG_BODIES -> many(UPLOADS, until, random, r -> (socket, edge) -> upload(socket, edge, r));
            case BAD_REQUESTS -> many(3, until, random, r -> (socket, edge) -> sendBad(socket, edge, r));
            case PIPELINERS -> many(3, until, random, r -> (socket, edge) -> pipeline(socket, edge, r));
            case LONG_HEADS -> many(HEAD_SENDERS, until, random, r -> this::sendHeads);
            case CROWD -> crowd(until, random);
            default -> throw new IllegalArgumentException(trouble.toString());
        }
    }

    /** Makes what one client does, with luck of its own. */
    private interface Client {
        Act of(SplittableRandom random);
    }

    private void many(int clients, long until, SplittableRandom random, Client client) throws InterruptedException {
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < clients; i++) {
            SplittableRandom own = random.split();
            Thread thread = new Thread(() -> again(until, own, client.of(own)), "rude client");
            thread.setDaemon(true);
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) {
            thread.join();
        }
    }

    private void again(long until, SplittableRandom random, Act act) {
        while (System.nanoTime() < until) {
            List<InetSocketAddress> all = edges.get();
            InetSocketAddress edge = all.get(random.nextInt(all.size()));
            try (Socket socket = new Socket()) {
                socket.connect(edge, CONNECT_MILLIS);
                socket.setSoTimeout(READ_MILLIS);
                act.play(socket, edge.getHostString() + ":" + edge.getPort());
            } catch (IOException e) {
                books.count("rude client: " + e.getClass().getSimpleName());
                pause(20);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private static void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private String id() {
        return "rude" + number.incrementAndGet() + "-1";
    }

    /** Writes down a request and returns its head. */
    private String head(String id, String gateway, String method, String uri, byte[] body) {
        books.sent(id, new Sent(gateway, method.equals("POST"), false, method, uri, body, DEADLINE_MILLIS));
        return method + " " + uri + " HTTP/1.1\r\nHost: " + SoakConfigurations.DOMAIN + "\r\nAttempt-Id: " + id
                + "\r\nDeadline-Ms: " + DEADLINE_MILLIS + "\r\n"
                + (method.equals("POST") ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n";
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private Act leave(SplittableRandom random) {
        return (socket, edge) -> {
            String id = id();
            boolean once = random.nextBoolean();
            write(socket, head(id, edge, once ? "POST" : "GET", (once ? "/book/" : "/lookup/") + id, new byte[0]));
            pause(random.nextInt(120));
            if (random.nextInt(3) == 0) {
                socket.setSoLinger(true, 0);
            }
            socket.close();
            books.left(id);
        };
    }

    private void sendSlowly(Socket socket, String edge, long until) throws IOException {
        String id = id();
        String head = head(id, edge, "POST", "/book/" + id, new byte[200]);
        byte[] all = (head + "\0".repeat(200)).getBytes(StandardCharsets.ISO_8859_1);
        for (int i = 0; i < all.length && System.nanoTime() < until; i++) {
            socket.getOutputStream().write(all[i]);
            pause(5);
        }
        books.left(id);
    }

    private void dontRead(Socket socket, String edge, long until) throws IOException {
        socket.setReceiveBufferSize(4_096);
        String id = id();
        write(socket, head(id, edge, "GET", "/lookup/" + id + "?" + SoakHost.SIZE + "=" + LONG_ANSWER, new byte[0]));
        while (System.nanoTime() < until) {
            pause(50);
        }
        books.left(id);
    }

    private void upload(Socket socket, String edge, SplittableRandom random) throws IOException {
        String id = id();
        byte[] body = new byte[LONG_BODY / 2 + random.nextInt(LONG_BODY / 2)];
        random.nextBytes(body);
        write(socket, head(id, edge, "POST", "/book/" + id, body));
        OutputStream out = socket.getOutputStream();
        for (int at = 0; at < body.length; at += CHUNK) {
            out.write(body, at, Math.min(CHUNK, body.length - at));
            pause(2);
        }
        books.count("upload told " + status(socket.getInputStream()));
    }

    private static String status(InputStream in) throws IOException {
        byte[] line = in.readNBytes(12);
        return line.length < 12 ? "nothing" : new String(line, StandardCharsets.ISO_8859_1).substring(9);
    }

    private void sendBad(Socket socket, String edge, SplittableRandom random) throws IOException {
        String id = id();
        String smuggled = "GET /lookup/smuggled HTTP/1.1\r\nHost: " + SoakConfigurations.DOMAIN
                + "\r\nAttempt-Id: smuggled-1\r\n\r\n";
        String head = head(id, edge, "POST", "/book/" + id, new byte[0]);
        String chunked = head.replace("Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n");
        String bad = switch (random.nextInt(8)) {
            case 0 -> "\0\1\2\3" + "x".repeat(random.nextInt(400));
            case 1 ->
                head.replace("Content-Length: 0", "Content-Length: 0\r\nTransfer-Encoding: chunked") + "0\r\n\r\n"
                        + smuggled;
            case 2 ->
                head.replace("Content-Length: 0", "Content-Length: 0\r\nContent-Length: " + smuggled.length())
                        + smuggled;
            case 3 -> chunked + "zz\r\n" + smuggled;
            case 4 -> head.replace("Attempt-Id: " + id, "Attempt-Id: " + id + "\r\nAttempt-Id: smuggled-1");
            case 5 -> "GET /lookup/" + "a".repeat(40_000) + " HTTP/1.1\r\n\r\n";
            case 6 -> head.replace("Deadline-Ms: ", "Deadline-Ms: x");
            default -> chunked + "5\r\nab";
        };
        write(socket, bad);
        socket.shutdownOutput();
        socket.getInputStream().readAllBytes();
        books.left(id);
    }

    private void pipeline(Socket socket, String edge, SplittableRandom random) throws IOException {
        List<String> ids = new ArrayList<>();
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < PIPELINED; i++) {
            String id = id();
            ids.add(id);
            all.append(head(id, edge, "GET", "/lookup/" + id, new byte[0]));
        }
        write(socket, all.toString());
        pause(random.nextInt(400));
        socket.close();
        ids.forEach(books::left);
    }

    /** Heads of thousands of the shortest headers, on many connections, which then rest without their end. */
    private void sendHeads(Socket first, String edge) throws IOException {
        String head = head(id(), edge, "GET", "/lookup/heads", new byte[0]);
        byte[] unfinished = (head.substring(0, head.length() - 2) + "a:b\r\n".repeat(SHORT_HEADERS))
                .getBytes(StandardCharsets.ISO_8859_1);
        List<Socket> more = new ArrayList<>();
        try {
            first.getOutputStream().write(unfinished);
            while (more.size() < HEADS_EACH) {
                Socket socket = new Socket();
                more.add(socket);
                socket.connect(first.getRemoteSocketAddress(), CONNECT_MILLIS);
                socket.getOutputStream().write(unfinished);
            }
            pause(HEADS_MILLIS);
        } finally {
            for (Socket socket : more) {
                socket.close();
            }
        }
    }

    private void crowd(long until, SplittableRandom random) {
        List<Socket> sockets = new ArrayList<>();
        List<InetSocketAddress> all = edges.get();
        while (System.nanoTime() < until) {
            if (sockets.size() < CROWD * all.size()) {
                try {
                    Socket socket = new Socket();
                    sockets.add(socket);
                    socket.connect(all.get(random.nextInt(all.size())), CONNECT_MILLIS);
                } catch (IOException e) {
                    pause(10);
                }
            } else {
                pause(20);
            }
        }
        for (Socket socket : sockets) {
            try {
                socket.close();
            } catch (IOException e) {
                books.count("rude client: can't close");
            }
        }
    }
}
