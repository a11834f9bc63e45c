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
 * A connection that is closed to make room for another, while its client has not read all of its last answer. It
 * counted as the longest idle one, since no request was open on it: the client saw the end of the connection amid the
 * answer, beside connections on which nothing was left to read.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class UnreadResponseTest {
    private static final int PLACES = 8;
    private static final int LENGTH = 16 << 20;

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
                    new ClientServer.Bounds(PLACES, TimeUnit.SECONDS.toNanos(20), 0, 8_192, 1_024, null),
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
                            byte[] body = new byte[request.uri().equals("/long") ? LENGTH : 1];
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

    private Socket ask(String path) throws IOException {
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
    void whoStillReadsIsNotTheOneToMakeRoom() throws Exception {
        NodeProcess.call(loop, () -> server.listen(new InetSocketAddress("127.0.0.1", 0)))
                .syncUninterruptibly();
        Socket reader = ask("/long");
        InputStream in = reader.getInputStream();
        in.readNBytes(1_000);
        for (int i = 0; i < PLACES / 2 - 1; i++) {
            assertEquals('H', ask("/short").getInputStream().read());
        }
        for (int i = 0; i < PLACES / 2 + 1; i++) {
            ask("/held");
        }
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (NodeProcess.call(loop, server::connectionCount) != PLACES || held.size() != PLACES / 2 + 1) {
            assertTrue(System.nanoTime() < until, "no place is made");
            TimeUnit.MILLISECONDS.sleep(5);
        }
        long left = 0;
        byte[] some = new byte[1 << 16];
        for (int read = in.read(some); read >= 0 && left < LENGTH - 1_000; read = in.read(some)) {
            left += read;
        }
        assertTrue(left >= LENGTH - 1_000, "cut after " + left + " bytes");
    }
}
