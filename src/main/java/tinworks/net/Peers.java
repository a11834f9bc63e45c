package tinworks.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import tinworks.json.Address;
import tinworks.json.Json;

/**
 * Exchanges short messages with the other gateways as UDP datagrams, which may be lost. Ignores datagrams from other
 * senders and those that are too long. The load balancer defines their content.
 */
final class Peers {
    /** Called on the event loop. */
    interface Listener {
        void onMessage(int gateway, byte[] body);
    }

    /** The address to listen on, the address of each gateway by its index, and the one that reaches all of them. */
    record Addresses(InetSocketAddress listen, List<InetSocketAddress> gateways, InetSocketAddress all) {
        Addresses {
            gateways = List.copyOf(gateways);
        }

        /** Reads the addresses from the configuration; null if it names none. */
        static Addresses read(Json config) {
            if (!config.field("peer_listen").isText()
                    || !config.field("peers_all").isText()) {
                return null;
            }
            List<InetSocketAddress> gateways = new ArrayList<>();
            for (Json peer : config.required("peers").entries()) {
                gateways.add(Address.parse(peer.text()));
            }
            return new Addresses(
                    Address.parse(config.field("peer_listen").text()),
                    gateways,
                    Address.parse(config.field("peers_all").text()));
        }
    }

    /** The protocol does not allow longer messages. */
    static final int MAX_MESSAGE_BYTES = 256;

    private final Addresses addresses;
    private final int ownIndex;
    private final Listener listener;
    private final Channel channel;

    /** Starts listening. If the address cannot be bound, logs that and drops all messages as if they were lost. */
    Peers(EventLoop loop, Addresses addresses, int ownIndex, Listener listener, Consumer<String> log) {
        this.addresses = addresses;
        this.ownIndex = ownIndex;
        this.listener = listener;
        channel = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .handler(new DatagramReader())
                .bind(addresses.listen())
                .addListener(bound -> {
                    if (!bound.isSuccess()) {
                        log.accept("peer messages disabled, bind failed: "
                                + bound.cause().getMessage());
                    }
                })
                .channel();
    }

    /** The bound address, which shows the port if the system chose it. */
    InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    /** Sends a message to all other gateways, without confirmation of delivery. */
    void broadcast(byte[] body) {
        if (channel.isActive() && body.length <= MAX_MESSAGE_BYTES) {
            channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(body), addresses.all()));
        }
    }

    void close() {
        channel.close();
    }

    private final class DatagramReader extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            int sender = addresses.gateways().indexOf(packet.sender());
            if (sender >= 0 && sender != ownIndex && packet.content().readableBytes() <= MAX_MESSAGE_BYTES) {
                listener.onMessage(sender, ByteBufUtil.getBytes(packet.content()));
            }
        }

        /** Keeps the channel open after a send failure, such as an unreachable port, which would end all messages. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // The message is lost, which the protocol allows.
        }
    }
}
