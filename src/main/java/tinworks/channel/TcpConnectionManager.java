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
    static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int ACCEPT_BACKLOG = 128;
    static final long INITIAL_BACKOFF_MILLIS = 100;
    static final long MAX_BACKOFF_MILLIS = 400;

    private final EventLoop loop;
    private final Hello localHello;
    private final PeerConnection.Listener listener;
    private final SplittableRandom random;
    private final Map<String, Link> links = new HashMap<>();
    private Channel serverChannel;
    private int accepted;
    private boolean closed;

    /** Nothing is dialled yet. */
    public TcpConnectionManager(EventLoop loop, Hello own, PeerConnection.Listener listener) {
        this.loop = loop;
        this.localHello = own;
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
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
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
                        channel.pipeline().addLast(new TcpPeerConnection(localHello, false, listener));
                    }
                })
                .bind(address);
        serverChannel = bound.channel();
        return bound;
    }

    @Override
    public void setAddresses(Collection<String> addresses) {
        Set<String> wanted = new HashSet<>(addresses);
        wanted.remove(localHello.address());
        for (String old : List.copyOf(links.keySet())) {
            if (!wanted.contains(old)) {
                links.remove(old).stop();
            }
        }
        for (String address : wanted) {
            links.computeIfAbsent(address, Link::new).start();
        }
    }

    @Override
    public List<PeerConnection> openConnections() {
        List<PeerConnection> open = new ArrayList<>();
        links.values().stream().filter(Link::isOpen).forEach(link -> open.add(link.connection));
        return open;
    }

    /** Ends all. */
    public void close() {
        closed = true;
        setAddresses(List.of());
        if (serverChannel != null) {
            serverChannel.close();
        }
    }

    private final class Link {
        private final String address;
        private TcpPeerConnection connection;
        private Channel channel;
        private long backoffMillis = INITIAL_BACKOFF_MILLIS;
        private boolean started;
        private boolean stopped;

        Link(String address) {
            this.address = address;
        }

        boolean isOpen() {
            return connection != null && connection.isOpen();
        }

        void start() {
            if (!started) {
                started = true;
                connect();
            }
        }

        private void connect() {
            if (stopped || closed) {
                return;
            }
            InetSocketAddress target;
            try {
                target = Address.parse(address);
            } catch (IllegalArgumentException e) {
                listener.log("can't dial: " + e.getMessage());
                return;
            }
            connection = new TcpPeerConnection(localHello, true, listener);
            channel = new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                    .handler(connection)
                    .connect(target)
                    .channel();
            channel.closeFuture().addListener(done -> loop.execute(this::scheduleReconnect));
        }

        private void scheduleReconnect() {
            boolean wasOpen = connection.peer() != null;
            backoffMillis = wasOpen ? INITIAL_BACKOFF_MILLIS : Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
            loop.schedule(this::connect, backoffMillis / 2 + random.nextLong(backoffMillis), TimeUnit.MILLISECONDS);
        }

        void stop() {
            stopped = true;
            if (channel != null) {
                channel.close();
            }
        }
    }
}
