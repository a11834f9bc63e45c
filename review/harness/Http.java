import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A minimal HTTP/1.1 client over plain sockets. */
final class Http {
    private Http() {}

    /** An answer; status 0 means that the connection ended or stayed silent before a whole answer. */
    record Answer(int status, String head, byte[] body, String problem) {
        String header(String name) {
            for (String line : head.split("\r\n")) {
                if (line.toLowerCase(Locale.ROOT).startsWith(name.toLowerCase(Locale.ROOT) + ":")) {
                    return line.substring(name.length() + 1).trim();
                }
            }
            return null;
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        @Override
        public String toString() {
            return status == 0 ? "no answer (" + problem + ")" : "status " + status;
        }
    }

    static boolean connects(String address, int port) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(address, port), 500);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** One call on a new connection. */
    static Answer call(
            String address, int port, String method, String path, String headers, byte[] body, int timeoutMillis) {
        return call(address, port, method, path, address + ":" + port, headers, body, timeoutMillis);
    }

    /** The same with a {@code Host} header of its own. */
    static Answer call(
            String address,
            int port,
            String method,
            String path,
            String host,
            String headers,
            byte[] body,
            int timeoutMillis) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(address, port), 1_000);
            socket.setSoTimeout(timeoutMillis);
            return exchange(socket, host, method, path, headers, body);
        } catch (IOException e) {
            return new Answer(0, "", new byte[0], e.toString());
        }
    }

    /** One call on an open connection. {@code headers} are complete lines, each with its CRLF. */
    static Answer exchange(
            Socket socket, String host, String method, String path, String headers, byte[] body) throws IOException {
        OutputStream out = socket.getOutputStream();
        ByteArrayOutputStream request = new ByteArrayOutputStream();
        request.write((method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n" + headers
                        + (body.length > 0 || method.equals("POST") ? "Content-Length: " + body.length + "\r\n" : "")
                        + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        request.write(body);
        try {
            out.write(request.toByteArray());
            out.flush();
        } catch (IOException e) {
            // The server may have answered and closed before it read all; its answer may still be readable.
            return read(socket.getInputStream());
        }
        return read(socket.getInputStream());
    }

    /** Reads a head up to and with its empty line; null at the end of the stream before its first byte. */
    static String readHead(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int matched = 0;
        while (matched < 4) {
            int next = in.read();
            if (next < 0) {
                if (head.size() == 0) {
                    return null;
                }
                throw new IOException("the connection ended within a head");
            }
            head.write(next);
            matched = next == (matched % 2 == 0 ? '\r' : '\n') ? matched + 1 : next == '\r' ? 1 : 0;
        }
        return head.toString(StandardCharsets.ISO_8859_1);
    }

    static Answer read(InputStream in) throws IOException {
        String head = readHead(in);
        if (head == null) {
            return new Answer(0, "", new byte[0], "the connection was closed");
        }
        Answer answer = new Answer(Integer.parseInt(head.substring(9, 12)), head, new byte[0], "");
        String length = answer.header("Content-Length");
        byte[] body = length == null ? new byte[0] : in.readNBytes(Integer.parseInt(length));
        if (length != null && body.length < Integer.parseInt(length)) {
            return new Answer(0, head, body, "the connection ended within a body");
        }
        return new Answer(answer.status(), head, body, "");
    }
}
