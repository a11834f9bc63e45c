package tinworks.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tinworks.net.ClientServer.Reply;
import tinworks.node.NodeProcess;

/**
 * Guards against closing a connection at the connection limit while its client is still reading the last response.
 * Without an open request such a connection counted as the longest idle one, so its response was truncated, although
 * other connections had no unread bytes.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class UnreadResponseTest {
    private static final int MAX_CONNECTIONS = 8;
    private static final int RESPONSE_BYTES = 16 << 20;

    private final ClosingEventLoopGroup group = new ClosingEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final List<Reply> held = new ArrayList<>();
    private final List<Socket> sockets = new ArrayList<>();
    private final ClientServer server = NodeProcess.call(
            loop,
            () -> new ClientServer(
                    loop,
                    Transport.TCP,
                    new MonotonicClock(),
                    new ClientServer.Bounds(MAX_CONNECTIONS, TimeUnit.SECONDS.toNanos(20), 0, 8_192, 1_024, null),
                    new ClientServer.Listener() {
                        @Override
                        public boolean ready() {
                            return true;
                        }

                        @Override
                        public void onRequest(FullHttpRequest request, long arrivedAt, Reply reply) {
                            if (request.uri().equals("/held")) {
                                held.add(reply);
                                return;
                            }
                            byte[] body = new byte[request.uri().equals("/long") ? RESPONSE_BYTES : 1];
                            reply.write(
                                    HttpResponseStatus.OK, new DefaultHttpHeaders(), Unpooled.wrappedBuffer(body), 0);
                        }
                    }));

    @AfterEach
    void stop() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
        NodeProcess.run(loop, server::close);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(5_000);
    }

    private Socket send(String path) throws IOException {
        Socket socket = new Socket();
        sockets.add(socket);
        socket.setReceiveBufferSize(4_096);
        socket.connect(server.address(), 2_000);
        socket.setSoTimeout(10_000);
        socket.getOutputStream()
                .write(("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    @Test
    void aClientThatIsStillReadingIsNotDisconnected() throws Exception {
        NodeProcess.call(loop, () -> server.listen(new InetSocketAddress("127.0.0.1", 0)))
                .syncUninterruptibly();
        Socket reader = send("/long");
        InputStream in = reader.getInputStream();
        in.readNBytes(1_000);
        for (int i = 0; i < MAX_CONNECTIONS / 2 - 1; i++) {
            assertEquals('H', send("/short").getInputStream().read());
        }
        for (int i = 0; i < MAX_CONNECTIONS / 2 + 1; i++) {
            send("/held");
        }
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (NodeProcess.call(loop, server::connectionCount) != MAX_CONNECTIONS
                || held.size() != MAX_CONNECTIONS / 2 + 1) {
            assertTrue(System.nanoTime() < until, "no connection was closed");
            TimeUnit.MILLISECONDS.sleep(5);
        }
        long received = 0;
        byte[] buffer = new byte[1 << 16];
        for (int read = in.read(buffer); read >= 0 && received < RESPONSE_BYTES - 1_000; read = in.read(buffer)) {
            received += read;
        }
        assertTrue(received >= RESPONSE_BYTES - 1_000, "truncated after " + received + " bytes");
    }
}
