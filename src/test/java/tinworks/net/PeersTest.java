package tinworks.net;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.nio.NioIoHandler;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import tinworks.json.Json;

/** Messages between gateways of the balancer protocol. */
class PeersTest {
    private final ClosingEventLoopGroup group = new ClosingEventLoopGroup(1, NioIoHandler.newFactory());
    private final BlockingQueue<String> received = new LinkedBlockingQueue<>();

    @AfterEach
    void shutDownLoop() {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(GatewayFixture.AWAIT_TIMEOUT_MILLIS);
    }

    private static InetSocketAddress local(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    private static DatagramSocket socket() throws Exception {
        DatagramSocket socket = new DatagramSocket(local(0));
        socket.setSoTimeout(GatewayFixture.AWAIT_TIMEOUT_MILLIS);
        return socket;
    }

    private Peers peers(DatagramSocket other) throws Exception {
        InetSocketAddress peerAddress = local(other.getLocalPort());
        Peers peers = new Peers(
                group.next(),
                new Peers.Addresses(local(0), List.of(local(1), peerAddress), peerAddress),
                0,
                (gateway, body) ->
                        received.add(gateway + " " + new String(body, java.nio.charset.StandardCharsets.US_ASCII)),
                line -> received.add(line));
        GatewayFixture.await("the bound address", () -> peers.address() != null);
        return peers;
    }

    private static void send(DatagramSocket from, Peers to, int length) throws Exception {
        byte[] body = ".".repeat(length).getBytes(java.nio.charset.StandardCharsets.US_ASCII);
        from.send(new DatagramPacket(body, body.length, local(to.address().getPort())));
    }

    @Test
    void broadcastsOnlyMessagesWithinMaximumLength() throws Exception {
        try (DatagramSocket other = socket()) {
            Peers peers = peers(other);
            peers.broadcast(new byte[Peers.MAX_MESSAGE_BYTES + 1]);
            peers.broadcast(new byte[] {1, 2, 3});
            DatagramPacket packet = new DatagramPacket(new byte[1024], 1024);
            other.receive(packet);
            assertArrayEquals(new byte[] {1, 2, 3}, java.util.Arrays.copyOf(packet.getData(), packet.getLength()));
            assertEquals(peers.address().getPort(), packet.getPort());
        }
    }

    @Test
    void receivesMessagesOfKnownGatewaysOnly() throws Exception {
        try (DatagramSocket other = socket();
                DatagramSocket unknown = socket()) {
            Peers peers = peers(other);
            send(unknown, peers, 3);
            send(other, peers, Peers.MAX_MESSAGE_BYTES + 1);
            send(other, peers, 0);
            send(other, peers, 2);
            assertEquals("1 ", received.poll(GatewayFixture.AWAIT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
            assertEquals("1 ..", received.poll(GatewayFixture.AWAIT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        }
    }

    @Test
    void logsAndDropsMessagesWhenAddressIsInUse() throws Exception {
        try (DatagramSocket other = socket()) {
            InetSocketAddress taken = local(other.getLocalPort());
            Peers peers = new Peers(
                    group.next(),
                    new Peers.Addresses(taken, List.of(), taken),
                    0,
                    (gateway, body) -> {},
                    received::add);
            String line = received.poll(GatewayFixture.AWAIT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            assertEquals("peer messages disabled, bind failed", line.substring(0, line.indexOf(':')));
            peers.broadcast(new byte[] {1});
        }
    }

    @Test
    void readsPeerAddressesFromConfiguration() throws Exception {
        assertNull(Peers.Addresses.read(Json.read("{}")));
        Peers.Addresses read = Peers.Addresses.read(Json.read("{\"peer_listen\":\"127.0.0.1:7946\","
                + "\"peers\":[\"127.0.0.2:7946\",\"127.0.0.3:7946\"],\"peers_all\":\"127.0.0.9:7946\"}"));
        assertEquals(2, read.gateways().size());
        assertEquals(new InetSocketAddress("127.0.0.9", 7946), read.all());
        assertThrows(
                IllegalArgumentException.class,
                () -> Peers.Addresses.read(
                        Json.read("{\"peer_listen\":\"nowhere\",\"peers\":[],\"peers_all\":\"127.0.0.9:7946\"}")));
    }
}
