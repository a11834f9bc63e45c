import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Collectors;

/** Stand-in of the platform: its list of hosts, on one page, all of them ready. */
final class Platform implements AutoCloseable {
    private final ServerSocket listener = new ServerSocket();
    private final List<String> entries = new CopyOnWriteArrayList<>();

    Platform() throws IOException {
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
        Host.daemon("platform", () -> Host.accept(listener, this::serve));
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    void add(Host host, String service) {
        add(host.id(), host.address(), service, host.slots());
    }

    void add(String id, String address, String service, int slots) {
        entries.add("{\"id\":\"" + id + "\",\"svc\":\"" + service + "\",\"addr\":\"" + address
                + "\",\"az\":\"fortitude\",\"rev\":\"v1\",\"slots\":" + slots
                + ",\"status\":\"ready\",\"warmupMs\":0}");
    }

    private void serve(Socket socket) throws IOException {
        OutputStream out = socket.getOutputStream();
        while (Http.readHead(socket.getInputStream()) != null) {
            byte[] body = ("{\"hosts\":[" + entries.stream().collect(Collectors.joining(",")) + "],\"nextCursor\":null}")
                    .getBytes(StandardCharsets.UTF_8);
            out.write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length
                            + "\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            out.flush();
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
