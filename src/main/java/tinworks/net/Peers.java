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
 * Short messages to and from the other gateways, as datagrams that may be lost. What comes from elsewhere, or is too
 * long to be one, is passed over.
 */
final class Peers {
    /** Told on the event loop. */
    interface Listener {
        void said(int gateway, byte[] body);
    }

    /** Where messages come in, each gateway's address by its number, and the one that reaches all of them. */
    record Addresses(InetSocketAddress listen, List<InetSocketAddress> gateways, InetSocketAddress all) {
        Addresses {
            gateways = List.copyOf(gateways);
        }

        /** What the configuration tells of them, or null where it tells of none. */
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

    /** A longer one is not allowed. */
    static final int LONGEST = 256;

    private final Addresses addresses;
    private final int ownNumber;
    private final Listener listener;
    private final Channel channel;

    /** Listens at once; where the address can't be had it says so and stays silent, as if all were lost. */
    Peers(EventLoop loop, Addresses addresses, int ownNumber, Listener listener, Consumer<String> log) {
        this.addresses = addresses;
        this.ownNumber = ownNumber;
        this.listener = listener;
        channel = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .handler(new Reader())
                .bind(addresses.listen())
                .addListener(bound -> {
                    if (!bound.isSuccess()) {
                        log.accept(
                                "no messages between gateways: " + bound.cause().getMessage());
                    }
                })
                .channel();
    }

    /** Where it listens; of use where the port was left to the system. */
    InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    /** Sends a message to all others; nobody is told whether it came. */
    void tellAll(byte[] body) {
        if (channel.isActive() && body.length <= LONGEST) {
            channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(body), addresses.all()));
        }
    }

    void close() {
        channel.close();
    }

    private final class Reader extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            int sender = addresses.gateways().indexOf(packet.sender());
            if (sender >= 0 && sender != ownNumber && packet.content().readableBytes() <= LONGEST) {
                listener.said(sender, ByteBufUtil.getBytes(packet.content()));
            }
        }

        /** Guards against a sender's failure, such as a port that nobody listens at, ending all messages. */
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // The message is lost, as any may be.
        }
    }
}
