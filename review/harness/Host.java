import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in of a host: runs each request at once and answers 200 with its seal and a body of a fixed length. */
final class Host implements AutoCloseable {
    private final ServerSocket listener = new ServerSocket();
    private final String id;
    private final int slots;
    private final byte[] body;
    /** The length of the body of each request that was run, by its Attempt-Id. */
    private final Map<String, Integer> ran = new ConcurrentHashMap<>();

    private final AtomicInteger probes = new AtomicInteger();

    Host(String id, int slots, int bodyBytes) throws IOException {
        this.id = id;
        this.slots = slots;
        body = "x".repeat(bodyBytes).getBytes(StandardCharsets.US_ASCII);
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
        daemon(id, () -> accept(listener, this::serve));
    }

    interface Service {
        void serve(Socket socket) throws IOException;
    }

    static void daemon(String name, Runnable work) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        thread.start();
    }

    static void accept(ServerSocket listener, Service service) {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                daemon("connection", () -> {
                    try (socket) {
                        socket.setTcpNoDelay(true);
                        service.serve(socket);
                    } catch (IOException e) {
                        // The peer has gone.
                    }
                });
            } catch (IOException e) {
                if (!listener.isClosed()) {
                    throw new IllegalStateException(e);
                }
            }
        }
    }

    String id() {
        return id;
    }

    int slots() {
        return slots;
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    Map<String, Integer> ran() {
        return ran;
    }

    private void serve(Socket socket) throws IOException {
        java.io.InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        for (String head = Http.readHead(in); head != null; head = Http.readHead(in)) {
            Http.Answer request = new Http.Answer(0, head, new byte[0], "");
            String length = request.header("Content-Length");
            int received = length == null ? 0 : in.readNBytes(Integer.parseInt(length)).length;
            String attempt = request.header("Attempt-Id");
            if (attempt == null) {
                probes.incrementAndGet();
                write(out, "HTTP/1.1 200 OK\r\nServed-By: " + id + "\r\nContent-Length: 0\r\n\r\n", new byte[0]);
            } else if (request.header("Want-Host") != null && !id.equals(request.header("Want-Host"))) {
                write(
                        out,
                        "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " + attempt
                                + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
                        new byte[0]);
            } else {
                ran.put(attempt, received);
                write(
                        out,
                        "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nOrigin-Seal: seal-" + id + "-" + attempt
                                + "\r\nContent-Length: " + body.length + "\r\n\r\n",
                        body);
            }
        }
    }

    private static void write(OutputStream out, String head, byte[] body) throws IOException {
        byte[] answer = new byte[head.length() + body.length];
        System.arraycopy(head.getBytes(StandardCharsets.ISO_8859_1), 0, answer, 0, head.length());
        System.arraycopy(body, 0, answer, head.length(), body.length);
        out.write(answer);
        out.flush();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
