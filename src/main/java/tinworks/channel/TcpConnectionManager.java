package tinworks.channel;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import tinworks.channel.PeerMessage.Hello;
import tinworks.json.Address;

/**
 * Connections to the core machines whose addresses it is given: each is dialled, and dialled again after a pause that
 * grows and is drawn by chance, for as long as it is wanted. Can also take connections. All on one event loop.
 */
public final class TcpConnectionManager implements ConnectionManager {
    static final int DIAL_MILLIS = 1_000;
    private static final int BACKLOG = 128;
    static final long FIRST_PAUSE_MILLIS = 100;
    static final long LONGEST_PAUSE_MILLIS = 400;

    private final EventLoop loop;
    private final Hello own;
    private final PeerConnection.Listener listener;
    private final SplittableRandom random;
    private final Map<String, Link> links = new HashMap<>();
    private Channel acceptor;
    private int accepted;
    private boolean closed;

    /** Nothing is dialled yet. */
    public TcpConnectionManager(EventLoop loop, Hello own, PeerConnection.Listener listener) {
        this.loop = loop;
        this.own = own;
        this.listener = listener;
        random = new SplittableRandom(own.id());
    }

    /**
     * Takes connections at an address, so many at a time at most; the future fails where the address can't be had.
     * Whoever comes beyond that is closed, and dials again.
     */
    public ChannelFuture listen(InetSocketAddress address, int mostAccepted) {
        ChannelFuture bound = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        if (accepted >= mostAccepted) {
                            channel.close();
                            return;
                        }
                        accepted++;
                        channel.closeFuture().addListener(done -> accepted--);
                        channel.pipeline().addLast(new TcpPeerConnection(own, false, listener));
                    }
                })
                .bind(address);
        acceptor = bound.channel();
        return bound;
    }

    @Override
    public void setAddresses(Collection<String> addresses) {
        Set<String> wanted = new HashSet<>(addresses);
        wanted.remove(own.address());
        for (String old : List.copyOf(links.keySet())) {
            if (!wanted.contains(old)) {
                links.remove(old).end();
            }
        }
        for (String address : wanted) {
            links.computeIfAbsent(address, Link::new).start();
        }
    }

    @Override
    public List<PeerConnection> openConnections() {
        List<PeerConnection> open = new ArrayList<>();
        links.values().stream().filter(Link::isOpen).forEach(link -> open.add(link.conversation));
        return open;
    }

    /** Ends all. */
    public void close() {
        closed = true;
        setAddresses(List.of());
        if (acceptor != null) {
            acceptor.close();
        }
    }

    private final class Link {
        private final String address;
        private TcpPeerConnection conversation;
        private Channel channel;
        private long pause = FIRST_PAUSE_MILLIS;
        private boolean started;
        private boolean ended;

        Link(String address) {
            this.address = address;
        }

        boolean isOpen() {
            return conversation != null && conversation.isOpen();
        }

        void start() {
            if (!started) {
                started = true;
                dial();
            }
        }

        private void dial() {
            if (ended || closed) {
                return;
            }
            InetSocketAddress target;
            try {
                target = Address.read(address);
            } catch (IllegalArgumentException e) {
                listener.log("can't dial: " + e.getMessage());
                return;
            }
            conversation = new TcpPeerConnection(own, true, listener);
            channel = new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, DIAL_MILLIS)
                    .handler(conversation)
                    .connect(target)
                    .channel();
            channel.closeFuture().addListener(done -> loop.execute(this::again));
        }

        private void again() {
            boolean wasOpen = conversation.peer() != null;
            pause = wasOpen ? FIRST_PAUSE_MILLIS : Math.min(LONGEST_PAUSE_MILLIS, pause * 2);
            loop.schedule(this::dial, pause / 2 + random.nextLong(pause), TimeUnit.MILLISECONDS);
        }

        void end() {
            ended = true;
            if (channel != null) {
                channel.close();
            }
        }
    }
}
