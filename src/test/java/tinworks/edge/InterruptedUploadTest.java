package tinworks.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tinworks.config.Configuration;
import tinworks.edge.EdgeFixture.Client;
import tinworks.net.HostPool;
import tinworks.net.ScriptedHost;
import tinworks.node.NodeProcess;

/**
 * Guards against a second run, or a promise that nothing ran, after a host began work on a request before it had the
 * whole body and the connection then ended. A host has run a request once it has begun work on it.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class InterruptedUploadTest {
    /** Far more than the buffers of the sockets hold, so that the edge still has a part of it to write. */
    private static final String LONG_BODY = "0123456789abcdef".repeat(6 << 16);

    private static final int RECEIVE_BUFFER_BYTES = 4_096;
    private static final long DEADLINE_MILLIS = 9_000;

    /** How the connection ends after the host has begun work. */
    private enum Interruption {
        RESET,
        CLOSED,
        /**
         * The host list says that the host has started again, so the edge closes the connections to its earlier run.
         */
        RESTARTED
    }

    /** A host that begins work once it has a given number of bytes of a request, and never finishes. */
    private static final class EarlyHost implements AutoCloseable {
        private final ServerSocket listener = new ServerSocket();
        private final int bytesBeforeWork;
        private final Interruption interruption;
        private final CountDownLatch begun = new CountDownLatch(1);
        private final CountDownLatch finished = new CountDownLatch(1);

        EarlyHost(int bytesBeforeWork, Interruption interruption) throws IOException {
            this.bytesBeforeWork = bytesBeforeWork;
            this.interruption = interruption;
            listener.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            listener.bind(new InetSocketAddress("127.0.0.1", 0), 10);
            Thread acceptor = new Thread(this::accept);
            acceptor.setDaemon(true);
            acceptor.start();
        }

        InetSocketAddress address() {
            return (InetSocketAddress) listener.getLocalSocketAddress();
        }

        private void accept() {
            while (!listener.isClosed()) {
                try (Socket socket = listener.accept()) {
                    InputStream in = socket.getInputStream();
                    in.readNBytes(bytesBeforeWork);
                    begun.countDown();
                    if (interruption == Interruption.RESTARTED) {
                        finished.await();
                    } else if (interruption == Interruption.RESET) {
                        socket.setSoLinger(true, 0);
                    }
                } catch (IOException e) {
                    // Closed by the test, or reset.
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }

        @Override
        public void close() throws IOException {
            finished.countDown();
            listener.close();
        }
    }

    /** One byte is not a request yet, but the edge cannot know how many of the bytes that it sent have arrived. */
    @ParameterizedTest
    @CsvSource({
        "1,RESET,false",
        "1000,RESET,false",
        "65536,RESET,false",
        "65536,RESET,true",
        "65536,CLOSED,false",
        "65536,CLOSED,true",
        "65536,RESTARTED,false",
        "65536,RESTARTED,true"
    })
    void mutatingRequestIsNeitherRunAgainNorPromisedNotToHaveRun(
            int bytesBeforeWork, Interruption interruption, boolean chunked) throws Exception {
        assertEquals(
                "502, then 502; elsewhere 0",
                upload(Configuration.Type.MUTATING, bytesBeforeWork, interruption, chunked));
    }

    @ParameterizedTest
    @CsvSource({"1,RESET,false", "65536,RESET,true", "65536,CLOSED,false", "65536,RESTARTED,false"})
    void repeatableRequestGoesToAnotherHost(int bytesBeforeWork, Interruption interruption, boolean chunked)
            throws Exception {
        assertEquals(
                "503, then 200; elsewhere 1", upload(Configuration.Type.IDEM, bytesBeforeWork, interruption, chunked));
    }

    /**
     * Uploads to a route with this host alone, and to one with another host beside it until this host is chosen first.
     * Returns both statuses, and how often the other host ran the second upload.
     */
    private static String upload(
            Configuration.Type type, int bytesBeforeWork, Interruption interruption, boolean chunked) throws Exception {
        try (EarlyHost alone = new EarlyHost(bytesBeforeWork, interruption);
                EarlyHost first = new EarlyHost(bytesBeforeWork, interruption);
                ScriptedHost other = new ScriptedHost(InterruptedUploadTest::serve);
                EdgeFixture edge = new EdgeFixture(new EdgeProtocol(1));
                Client client = edge.client()) {
            edge.host("alone", alone.address(), true);
            edge.host("first", first.address(), true);
            edge.host("other", other.address(), true);
            reportRestart(edge, "alone", alone);
            reportRestart(edge, "first", first);
            edge.route("alone", type, 1, "alone");
            int statusAlone = exchange(client, "alone", "alone", chunked);
            String lastUpload = "";
            int status = 0;
            for (int i = 0; first.begun.getCount() > 0; i++) {
                lastUpload = "both-" + i;
                edge.route(lastUpload, type, 2, "first", "other"); // each route's load balancer has its own seed
                status = exchange(client, lastUpload, lastUpload, chunked);
            }
            return statusAlone + ", then " + status + "; elsewhere " + runs(other, lastUpload);
        }
    }

    private static void serve(Socket socket, ScriptedHost.Message request) throws IOException {
        String id = request.header("Attempt-Id");
        ScriptedHost.write(
                socket,
                "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nOrigin-Seal: s" + id + "\r\nContent-Length: 0\r\n\r\n");
    }

    private static long runs(ScriptedHost host, String id) {
        return host.requests.stream()
                .filter(request -> id.equals(request.header("Attempt-Id")))
                .count();
    }

    private static int exchange(Client client, String route, String id, boolean chunked) throws IOException {
        client.write(EdgeFixture.request(id, route, LONG_BODY, DEADLINE_MILLIS, chunked));
        return client.read().status();
    }

    /** Reports, once the host has begun work, that it has started again. */
    private static void reportRestart(EdgeFixture edge, String name, EarlyHost host) {
        if (host.interruption != Interruption.RESTARTED) {
            return;
        }
        Thread restart = new Thread(() -> {
            try {
                host.begun.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            NodeProcess.run(
                    edge.loop,
                    () -> edge.pool.update(
                            List.of(new HostPool.HostEntry(name, host.address(), edge.clock.nanos(), true, false)),
                            false));
        });
        restart.setDaemon(true);
        restart.start();
    }
}
