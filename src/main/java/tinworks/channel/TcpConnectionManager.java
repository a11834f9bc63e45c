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
 * Connects to the core nodes at the given addresses and reconnects with exponential backoff and jitter. Can also accept
 * inbound connections. Confined to one event loop.
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

    /** Connects to nothing before {@link #setAddresses}. */
    public TcpConnectionManager(EventLoop loop, Hello localHello, PeerConnection.Listener listener) {
        this.loop = loop;
        this.localHello = localHello;
        this.listener = listener;
        random = new SplittableRandom(localHello.id());
    }

    /**
     * Accepts connections at an address, at most {@code maxAccepted} at a time; the future fails if the address cannot
     * be bound. Connections above the limit are closed, and their peers reconnect.
     */
    public ChannelFuture listen(InetSocketAddress address, int maxAccepted) {
        ChannelFuture bound = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        if (accepted >= maxAccepted) {
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
        Set<String> targets = new HashSet<>(addresses);
        targets.remove(localHello.address());
        for (String old : List.copyOf(links.keySet())) {
            if (!targets.contains(old)) {
                links.remove(old).stop();
            }
        }
        for (String address : targets) {
            links.computeIfAbsent(address, Link::new).start();
        }
    }

    @Override
    public List<PeerConnection> openConnections() {
        List<PeerConnection> open = new ArrayList<>();
        links.values().stream().filter(Link::isOpen).forEach(link -> open.add(link.connection));
        return open;
    }

    /** Closes all connections and stops listening. */
    public void close() {
        closed = true;
        setAddresses(List.of());
        if (serverChannel != null) {
            serverChannel.close();
        }
    }

    /** The connection to one address, with the state of its reconnects. */
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
                listener.log("cannot connect: " + e.getMessage());
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
