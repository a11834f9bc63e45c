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
 * Peers at the inner port that aren't ours, or speak at greater length than ours do. Each connection could hold up to
 * 16 MiB of a frame that was not whole yet, for as long as a byte came every two seconds, and there was no bound on
 * their number: four of them fill a core machine's memory outside the heap.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class UntrustedPeersTest {
    private static final int MAX_ACCEPTED = 4;
    private static final int PROMPT_MILLIS = 2_000;
    /** A second more than the silence after which a link is given up. */
    private static final int TIMEOUT_DETECTED_MILLIS = 5_000;

    private final ClosingEventLoopGroup group = new ClosingEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final CountDownLatch opened = new CountDownLatch(1);
    private final PeerConnection.Listener listener = new PeerConnection.Listener() {
        @Override
        public void opened(PeerConnection conversation) {
            opened.countDown();
        }

        @Override
        public void received(PeerConnection from, PeerMessage signal) {
            // Nothing is asked.
        }

        @Override
        public void closed(PeerConnection conversation) {
            // Nothing is kept.
        }

        @Override
        public void log(String line) {
            // It is told to nobody.
        }
    };
    private final TcpConnectionManager links = NodeProcess.call(
            loop, () -> new TcpConnectionManager(loop, new Hello(NodeRole.CORE, 1, "127.0.0.1:1", "c", "z"), listener));
    private final List<Socket> sockets = new ArrayList<>();
    private InetSocketAddress address;

    @BeforeEach
    void listen() {
        address = (InetSocketAddress) NodeProcess.call(
                        loop, () -> links.listen(new InetSocketAddress("127.0.0.1", 0), MAX_ACCEPTED))
                .syncUninterruptibly()
                .channel()
                .localAddress();
    }

    @AfterEach
    void stop() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
        NodeProcess.run(loop, links::close);
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

    /** Whether the far side closes the connection within this time. */
    private static boolean isClosed(Socket socket, int millis) throws IOException {
        socket.setSoTimeout(millis);
        try {
            while (socket.getInputStream().read() >= 0) {
                // What it says first.
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
        Socket drip = connect();
        Thread dripping = new Thread(() -> {
            try {
                writeFrameLength(drip, 10_000);
                while (true) {
                    drip.getOutputStream().write(1);
                    TimeUnit.MILLISECONDS.sleep(300);
                }
            } catch (IOException | InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        dripping.setDaemon(true);
        dripping.start();
        assertTrue(isClosed(drip, TIMEOUT_DETECTED_MILLIS));
    }

    @Test
    void connectionsAboveTheLimitAreClosed() throws IOException {
        for (int i = 0; i < MAX_ACCEPTED; i++) {
            connect();
        }
        assertTrue(isClosed(connect(), PROMPT_MILLIS));
    }
}
