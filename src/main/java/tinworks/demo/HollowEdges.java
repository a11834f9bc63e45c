package tinworks.demo;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Supplier;
import tinworks.channel.HostList;
import tinworks.channel.HostListVersion;
import tinworks.channel.MonotonicTime;
import tinworks.channel.PeerConnection;
import tinworks.channel.PeerMessage;
import tinworks.channel.PeerMessage.Announce;
import tinworks.channel.PeerMessage.Hello;
import tinworks.channel.PeerMessage.Hosts;
import tinworks.channel.PeerMessage.HostsChanged;
import tinworks.channel.PeerMessage.NodeRole;
import tinworks.channel.PeerMessageCodec;
import tinworks.channel.TcpConnectionManager;
import tinworks.config.Configuration;
import tinworks.edge.CoreFollower;
import tinworks.net.ClosingEventLoopGroup;
import tinworks.node.NodeProcess;

/**
 * Many edges without clients and hosts in one process: each has its own links to the core machines and takes versions
 * as any edge does. What the bytes say is read once for all: the whole fleet's copies of a large version don't fit one
 * machine.
 */
final class HollowEdges implements AutoCloseable {
    /** What an edge came to. */
    enum Event {
        LINKED,
        CONFIGURED,
        LISTED
    }

    /**
     * Something that an edge came to.
     *
     * @param list what it holds now, for {@link Event#LISTED}
     * @param rev what it holds now, for {@link Event#CONFIGURED}
     * @param at {@link System#nanoTime}
     */
    record Seen(int edge, Event event, long rev, HostList list, long at) {}

    /** What all edges have heard so far; bytes with their frames, pings left out. */
    record Heard(long announcements, long answers, long bytes) {
        Heard minus(Heard before) {
            return new Heard(announcements - before.announcements, answers - before.answers, bytes - before.bytes);
        }
    }

    private static final long TICK_MILLIS = 250;
    private static final int ZONES = 10;
    private static final int FEWEST_LOOPS = 2;
    private static final int KEPT_VERSIONS = 8;

    private final ClosingEventLoopGroup group = new ClosingEventLoopGroup(
            Math.max(FEWEST_LOOPS, Runtime.getRuntime().availableProcessors() / 4), NioIoHandler.newFactory());
    private final List<String> seeds;
    private final List<HollowEdge> edges = new ArrayList<>();
    private final Queue<Seen> seen = new ConcurrentLinkedQueue<>();
    private final LongAdder announcements = new LongAdder();
    private final LongAdder answers = new LongAdder();
    private final LongAdder bytes = new LongAdder();
    private final AtomicInteger open = new AtomicInteger();
    private final Map<Long, Configuration> configurations = new ConcurrentHashMap<>();
    private final Map<HostListVersion, HostList> lists = new ConcurrentHashMap<>();
    private final Map<HostListVersion, Long> sizes = new ConcurrentHashMap<>();

    /** So many edges, none of them linked yet. */
    HollowEdges(int count, List<String> seeds) {
        this.seeds = List.copyOf(seeds);
        for (int i = 0; i < count; i++) {
            EventLoop loop = group.next();
            int number = i;
            edges.add(NodeProcess.call(loop, () -> new HollowEdge(loop, number)));
        }
    }

    /** All dial at once. */
    void start() {
        edges.forEach(edge -> edge.loop.execute(edge::tick));
    }

    /** Links that are open. */
    int open() {
        return open.get();
    }

    Heard heard() {
        return new Heard(announcements.sum(), answers.sum(), bytes.sum());
    }

    /** What has been seen since the last call, in no order. */
    List<Seen> takeSeen() {
        List<Seen> taken = new ArrayList<>();
        for (Seen one = seen.poll(); one != null; one = seen.poll()) {
            taken.add(one);
        }
        return taken;
    }

    @Override
    public void close() {
        edges.forEach(edge -> edge.loop.execute(edge::end));
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly(TimeUnit.SECONDS.toMillis(5));
    }

    private final class HollowEdge implements CoreFollower.Callbacks, PeerConnection.Listener {
        private final EventLoop loop;
        private final int number;
        private final TcpConnectionManager links;
        private final CoreFollower follower;
        private boolean ended;

        HollowEdge(EventLoop loop, int number) {
            this.loop = loop;
            this.number = number;
            links = new TcpConnectionManager(
                    loop, new Hello(NodeRole.EDGE, number + 1, "", "hollow-" + number, "zone-" + number % ZONES), this);
            follower = new CoreFollower(this);
        }

        void tick() {
            if (!ended) {
                links.setAddresses(follower.addressesToDial(seeds));
                loop.schedule(this::tick, TICK_MILLIS, TimeUnit.MILLISECONDS);
            }
        }

        void end() {
            ended = true;
            links.close();
        }

        private void saw(Event event, long rev, HostList list) {
            seen.add(new Seen(number, event, rev, list, System.nanoTime()));
        }

        // ---- Conversation.Listener

        @Override
        public void opened(PeerConnection conversation) {
            open.incrementAndGet();
            saw(Event.LINKED, 0, null);
            follower.opened(conversation);
        }

        @Override
        public void closed(PeerConnection conversation) {
            open.decrementAndGet();
            follower.closed(conversation);
        }

        @Override
        public void received(PeerConnection from, PeerMessage signal) {
            (signal instanceof Announce ? announcements : answers).increment();
            if (signal instanceof Hosts s) {
                HostList list = shared(s.list().version(), s::list);
                bytes.add(sizes.computeIfAbsent(list.version(), version -> size(s)));
                follower.received(from, new Hosts(list));
                return;
            }
            bytes.add(size(signal));
            if (signal instanceof HostsChanged s
                    && s.change().base().isSameAs(follower.hostList().version())) {
                follower.received(
                        from,
                        new Hosts(shared(s.change().version(), () -> s.change().applyTo(follower.hostList()))));
            } else {
                follower.received(from, signal);
            }
        }

        private HostList shared(HostListVersion version, Supplier<HostList> read) {
            lists.keySet()
                    .removeIf(old -> old.term() == version.term() && old.count() + KEPT_VERSIONS < version.count());
            return lists.computeIfAbsent(version, any -> read.get());
        }

        private static long size(PeerMessage signal) {
            return (long) Integer.BYTES + PeerMessageCodec.write(signal).remaining();
        }

        @Override
        public void log(String line) {
            // Closed and silent links are told by their number.
        }

        // ---- CoreFollower.Owner

        @Override
        public long millis() {
            return MonotonicTime.millis();
        }

        @Override
        public void decode(long rev, Callable<Configuration> version) {
            configurations.keySet().removeIf(old -> old + KEPT_VERSIONS < rev);
            Configuration read = configurations.computeIfAbsent(rev, any -> {
                try {
                    return version.call();
                } catch (Exception e) {
                    throw new IllegalStateException("can't read the configuration " + rev, e);
                }
            });
            if (follower.apply(read)) {
                saw(Event.CONFIGURED, read.rev(), null);
            }
        }

        @Override
        public void hostListChanged(HostList list) {
            saw(Event.LISTED, 0, list);
        }

        @Override
        public void edgeCountChanged(int edges) {
            // A number for budgets, of which there are none here.
        }
    }
}
