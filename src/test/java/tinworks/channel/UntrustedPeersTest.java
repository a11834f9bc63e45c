package tinworks.channel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioIoHandler;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tinworks.channel.PeerMessage.Hello;
import tinworks.channel.PeerMessage.NodeRole;
import tinworks.net.ClosingEventLoopGroup;
import tinworks.node.NodeProcess;

/**
 * Guards the peer port against foreign or misbehaving peers. Without limits on the number of connections, on frames and
 * on the time to a Hello, each connection can hold up to 16 MiB of an incomplete frame for as long as a byte arrives
 * every two seconds, and four of them exhaust a core node's direct memory.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class UntrustedPeersTest {
    private static final int MAX_ACCEPTED = 4;
    private static final int PROMPT_MILLIS = 2_000;
    /** Allows for the peer timeout, the heartbeat interval by which it is checked, and some slack. */
    private static final int TIMEOUT_DETECTED_MILLIS = 5_000;

    private final ClosingEventLoopGroup group = new ClosingEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final CountDownLatch opened = new CountDownLatch(1);
    private final PeerConnection.Listener listener = new PeerConnection.Listener() {
        @Override
        public void opened(PeerConnection connection) {
            opened.countDown();
        }

        @Override
        public void received(PeerConnection from, PeerMessage message) {
            // Not needed here.
        }

        @Override
        public void closed(PeerConnection connection) {
            // Not needed here.
        }

        @Override
        public void log(String line) {
            // Not needed here.
        }
    };
    private final TcpConnectionManager connections = NodeProcess.call(
            loop, () -> new TcpConnectionManager(loop, new Hello(NodeRole.CORE, 1, "127.0.0.1:1", "c", "z"), listener));
    private final List<Socket> sockets = new ArrayList<>();
    private InetSocketAddress address;

    @BeforeEach
    void listen() {
        address = (InetSocketAddress) NodeProcess.call(
                        loop, () -> connections.listen(new InetSocketAddress("127.0.0.1", 0), MAX_ACCEPTED))
                .syncUninterruptibly()
                .channel()
                .localAddress();
    }

    @AfterEach
    void stop() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
        NodeProcess.run(loop, connections::close);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(5_000);
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        sockets.add(socket);
        socket.connect(address, PROMPT_MILLIS);
        return socket;
    }

    private static void writeFrameLength(Socket socket, int frameBytes) throws IOException {
        new DataOutputStream(socket.getOutputStream()).writeInt(frameBytes);
    }

    private static void writeHello(Socket socket, NodeRole part) throws IOException {
        ByteBuffer hello = PeerMessageCodec.write(new Hello(part, 2, "", "peer", "z"));
        byte[] bytes = new byte[hello.remaining()];
        hello.get(bytes);
        writeFrameLength(socket, bytes.length);
        socket.getOutputStream().write(bytes);
    }

    /** Whether the server closes the connection within this time. */
    private static boolean isClosed(Socket socket, int millis) throws IOException {
        socket.setSoTimeout(millis);
        try {
            while (socket.getInputStream().read() >= 0) {
                // Skips the server's Hello and heartbeats.
            }
            return true;
        } catch (java.net.SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    @Test
    void longFrameBeforeHelloClosesTheConnection() throws IOException {
        Socket stray = connect();
        writeFrameLength(stray, 15 << 20);
        assertTrue(isClosed(stray, PROMPT_MILLIS));
    }

    @Test
    void longFrameIsRejectedFromAnEdgeAndAcceptedFromACoreNode() throws Exception {
        Socket edge = connect();
        writeHello(edge, NodeRole.EDGE);
        writeFrameLength(edge, 15 << 20);
        assertTrue(isClosed(edge, PROMPT_MILLIS));
        Socket core = connect();
        writeHello(core, NodeRole.CORE);
        assertTrue(opened.await(PROMPT_MILLIS, TimeUnit.MILLISECONDS));
        writeFrameLength(core, 15 << 20);
        assertEquals(false, isClosed(core, 500));
    }

    @Test
    void slowSenderWithoutHelloIsClosed() throws Exception {
        Socket slow = connect();
        Thread sender = new Thread(() -> {
            try {
                writeFrameLength(slow, 10_000);
                while (true) {
                    slow.getOutputStream().write(1);
                    TimeUnit.MILLISECONDS.sleep(300);
                }
            } catch (IOException | InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        sender.setDaemon(true);
        sender.start();
        assertTrue(isClosed(slow, TIMEOUT_DETECTED_MILLIS));
    }

    @Test
    void connectionsAboveTheLimitAreClosed() throws IOException {
        for (int i = 0; i < MAX_ACCEPTED; i++) {
            connect();
        }
        assertTrue(isClosed(connect(), PROMPT_MILLIS));
    }
}
