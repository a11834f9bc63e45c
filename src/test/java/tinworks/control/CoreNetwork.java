package tinworks.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.function.BiConsumer;
import tinworks.channel.ConnectionManager;
import tinworks.channel.HostList;
import tinworks.channel.PeerConnection;
import tinworks.channel.PeerMessage;
import tinworks.channel.PeerMessage.Announce;
import tinworks.channel.PeerMessage.Hello;
import tinworks.channel.PeerMessage.NodeRole;
import tinworks.config.Configuration;
import tinworks.edge.CoreFollower;
import tinworks.raft.HardState;
import tinworks.raft.Member;
import tinworks.raft.Output;
import tinworks.raft.PersistentState;
import tinworks.raft.Snapshot;

/**
 * Core machines on a simulated network, with simulated disks and one steady clock, all chance from one seed. Machines
 * are cut off, frozen, killed and started again; the machines, their agreement and the operator's calls are the
 * production classes.
 */
final class CoreNetwork {
    /** A machine as the test wants it, sound or flawed. */
    interface CoreMachineFactory {
        CoreMachine create(
                CoreMachine.Identity self, PersistentState stored, Disk disk, CoreMachine.Environment around);
    }

    private static final int SILENCE_MILLIS = 2_600;

    final SplittableRandom random;
    final List<Node> nodes = new ArrayList<>();
    private final CoreMachineFactory maker;
    private final List<Member> voters = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparing(Event::order));
    private final Map<Set<SimulatedProcess>, Long> cuts = new HashMap<>();
    long nowMillis = 1_000;
    /** Whether leaders fetch a list of hosts. */
    boolean fetchesHostList;
    /** Told of each announcement as it is sent. */
    BiConsumer<Node, Announce> announceObserver = (node, announcement) -> {};

    private long order;

    private record Event(long at, long order, Runnable work) {}

    CoreNetwork(long seed, int machines, CoreMachineFactory maker) {
        random = new SplittableRandom(seed);
        this.maker = maker;
        for (int i = 0; i < machines; i++) {
            voters.add(new Member(i + 1, "core-" + i));
        }
        voters.forEach(voter -> nodes.add(new Node(voter)));
        nodes.forEach(Node::start);
    }

    void schedule(long millis, Runnable work) {
        events.add(new Event(nowMillis + millis, order++, work));
    }

    void runUntil(long until) {
        while (!events.isEmpty() && events.peek().at() <= until) {
            Event event = events.poll();
            nowMillis = event.at();
            event.work().run();
        }
        nowMillis = until;
    }

    /** The machine that leads the highest term, null where none does. */
    Node leader() {
        return nodes.stream()
                .filter(n -> n.isRunning() && n.raft().hasCommittedInCurrentTerm())
                .max(Comparator.comparingLong(n -> n.raft().term()))
                .orElse(null);
    }

    Node awaitLeader(long within) {
        for (long until = nowMillis + within; nowMillis < until; ) {
            runUntil(nowMillis + 10);
            if (leader() != null) {
                return leader();
            }
        }
        throw new AssertionError("no leader within " + within + " ms");
    }

    void partition(SimulatedProcess one, SimulatedProcess other) {
        Set<SimulatedProcess> pair = Set.of(one, other);
        long at = nowMillis;
        if (cuts.putIfAbsent(pair, at) == null) {
            schedule(SILENCE_MILLIS, () -> {
                if (Long.valueOf(at).equals(cuts.get(pair))) {
                    one.dropped(other);
                    other.dropped(one);
                }
            });
        }
    }

    void isolate(Node node) {
        nodes.stream().filter(n -> n != node).forEach(n -> partition(node, n));
    }

    void heal() {
        cuts.clear();
    }

    private boolean isCut(SimulatedProcess one, SimulatedProcess other) {
        return cuts.containsKey(Set.of(one, other));
    }

    /** One process: its connections, and what waits for it while it is frozen. */
    abstract class SimulatedProcess implements ConnectionManager {
        final Map<String, End> dialled = new HashMap<>();
        final Set<End> ends = new LinkedHashSet<>();
        final ArrayDeque<Runnable> frozenWork = new ArrayDeque<>();
        boolean frozen;
        long life;

        abstract Hello hello();

        abstract PeerConnection.Listener listener();

        abstract boolean isRunning();

        /** Does something in this process, once it isn't frozen, unless its life is over by then. */
        final void scheduleInProcess(long millis, Runnable work) {
            long mine = life;
            schedule(millis, () -> inLife(mine, work));
        }

        private void inLife(long mine, Runnable work) {
            if (life == mine && isRunning()) {
                if (frozen) {
                    frozenWork.add(work);
                } else {
                    work.run();
                }
            }
        }

        final void freeze() {
            frozen = true;
        }

        final void thaw() {
            frozen = false;
            List<Runnable> waiting = List.copyOf(frozenWork);
            frozenWork.clear();
            long mine = life;
            waiting.forEach(work -> inLife(mine, work));
        }

        @Override
        public final void setAddresses(Collection<String> addresses) {
            Set<String> wanted = new HashSet<>(addresses);
            for (String old : List.copyOf(dialled.keySet())) {
                if (!wanted.contains(old)) {
                    dialled.remove(old).close("no longer wanted");
                }
            }
            for (String address : wanted) {
                End known = dialled.get(address);
                if (known == null || known.closed) {
                    nodes.stream()
                            .filter(n -> n.hello().address().equals(address) && n != this)
                            .findFirst()
                            .ifPresent(n -> dial(address, n));
                }
            }
        }

        private void dial(String address, Node target) {
            if (!target.isRunning() || isCut(this, target)) {
                return;
            }
            End here = new End(this, target.hello(), true);
            End there = new End(target, hello(), false);
            here.far = there;
            there.far = here;
            dialled.put(address, here);
            there.deliver(() -> there.open());
            there.send(() -> here.open());
        }

        @Override
        public final List<PeerConnection> openConnections() {
            List<PeerConnection> open = new ArrayList<>();
            dialled.values().stream().filter(End::isOpen).forEach(open::add);
            return open;
        }

        final void dropped(SimulatedProcess far) {
            List.copyOf(ends).stream().filter(e -> e.far.owner == far).forEach(e -> e.close("silent"));
        }

        final void end() {
            life++;
            frozen = false;
            frozenWork.clear();
            for (End end : List.copyOf(ends)) {
                end.send(() -> end.far.close("reset"));
                end.closed = true;
            }
            ends.clear();
            dialled.clear();
        }
    }

    /** One side of a connection. */
    private final class End implements PeerConnection {
        final SimulatedProcess owner;
        private final Hello peer;
        private final boolean dialled;
        private final long itsLife;
        private End far;
        private boolean opened;
        private boolean closed;
        private long lastArrival;

        End(SimulatedProcess owner, Hello peer, boolean dialled) {
            this.owner = owner;
            this.peer = peer;
            this.dialled = dialled;
            itsLife = owner.life;
            owner.ends.add(this);
        }

        private void open() {
            if (!closed) {
                opened = true;
                owner.listener().opened(this);
            }
        }

        /** In order; lost on the way where the two are cut from each other. */
        private void send(Runnable atFarSide) {
            if (!isCut(owner, far.owner)) {
                far.deliver(atFarSide);
            }
        }

        private void deliver(Runnable work) {
            lastArrival = Math.max(lastArrival, nowMillis + 1 + random.nextInt(4));
            long mine = itsLife;
            schedule(lastArrival - nowMillis, () -> {
                if (isCut(owner, far.owner)) {
                    return;
                }
                if (owner.life == mine) {
                    owner.inLife(mine, work);
                } else {
                    far.close("reset");
                }
            });
        }

        @Override
        public Hello peer() {
            return opened ? peer : null;
        }

        @Override
        public boolean isOutbound() {
            return dialled;
        }

        @Override
        public boolean isOpen() {
            return opened && !closed;
        }

        @Override
        public void send(PeerMessage signal) {
            if (!closed) {
                if (signal instanceof Announce s) {
                    announceObserver.accept((Node) owner, s);
                }
                send(() -> {
                    if (far.isOpen()) {
                        far.owner.listener().received(far, signal);
                    }
                });
            }
        }

        @Override
        public void close(String why) {
            if (!closed) {
                closed = true;
                owner.ends.remove(this);
                if (opened && owner.life == itsLife && owner.isRunning()) {
                    owner.listener().closed(this);
                }
                send(() -> far.close("closed there"));
            }
        }
    }

    /** A core machine with its disk. */
    final class Node extends SimulatedProcess implements CoreMachine.Environment, Disk {
        private final Member member;
        private final ArrayDeque<Output> unsynced = new ArrayDeque<>();
        private PersistentState synced;
        private long diskFreeAt;
        CoreMachine machine;
        private boolean fetching;
        private long fetches;
        /** How long each write takes at most. */
        int maxSyncMillis = 4;

        private Node(Member member) {
            this.member = member;
            synced = new PersistentState(HardState.NONE, new Snapshot(0, 0, voters, new byte[0]), List.of());
        }

        tinworks.raft.Raft raft() {
            return machine.raftDriver().raft();
        }

        void start() {
            fetching = false;
            machine = maker.create(new CoreMachine.Identity(member.id(), member.address(), 1), synced, this, this);
            tick();
        }

        private void tick() {
            machine.tick();
            scheduleInProcess(CoreMachine.TICK_MILLIS, this::tick);
        }

        /** Of what isn't synced, the disk keeps what had come first, up to some point. */
        void kill() {
            if (machine != null) {
                for (int kept = random.nextInt(unsynced.size() + 1); kept > 0; kept--) {
                    synced = written(synced, unsynced.poll());
                }
                unsynced.clear();
                machine = null;
                end();
            }
        }

        @Override
        public void write(Output output, Runnable done) {
            unsynced.add(output);
            diskFreeAt = Math.max(diskFreeAt, nowMillis) + (output.mustSync() ? 1 + random.nextInt(maxSyncMillis) : 0);
            long mine = life;
            schedule(diskFreeAt - nowMillis, () -> {
                if (life == mine && isRunning()) {
                    synced = written(synced, unsynced.poll());
                    scheduleInProcess(0, done);
                }
            });
        }

        @Override
        boolean isRunning() {
            return machine != null;
        }

        @Override
        Hello hello() {
            return new Hello(NodeRole.CORE, member.id(), member.address(), member.address(), "z");
        }

        @Override
        PeerConnection.Listener listener() {
            return machine;
        }

        @Override
        public long millis() {
            return nowMillis;
        }

        @Override
        public ConnectionManager connectionManager() {
            return this;
        }

        @Override
        public List<String> seeds() {
            return voters.stream().map(Member::address).toList();
        }

        @Override
        public void setHostPolling(boolean wanted) {
            if (wanted != fetching) {
                fetching = wanted;
                fetches++;
                if (fetching && fetchesHostList) {
                    fetch(fetches);
                }
            }
        }

        /** As the poller does; the one host on the list bears the time at which it was asked for. */
        private void fetch(long mine) {
            long asked = nowMillis;
            scheduleInProcess(2 + random.nextInt(60), () -> {
                if (fetching && fetches == mine) {
                    machine.hostsFetched(
                            List.of(new HostList.Host("i-" + asked, "s", "10.0.0.1:80", "z", 3, false, 0)));
                    scheduleInProcess(1_000, () -> {
                        if (fetches == mine) {
                            fetch(mine);
                        }
                    });
                }
            });
        }

        @Override
        public void log(String line) {
            // Nobody reads it.
        }
    }

    /** An edge that starts now; it follows the core machines as the production class does. */
    final class Edge extends SimulatedProcess implements CoreFollower.Callbacks {
        private final Hello hello = new Hello(NodeRole.EDGE, 1_000 + order, "", "edge", "z");
        private final Runnable changed;
        final CoreFollower follower;

        /** Told of each change of what it holds. */
        Edge(Runnable changed) {
            this.changed = changed;
            follower = new CoreFollower(this);
            tick();
        }

        private void tick() {
            setAddresses(follower.addressesToDial(
                    voters.stream().map(Member::address).toList()));
            scheduleInProcess(250, this::tick);
        }

        @Override
        Hello hello() {
            return hello;
        }

        @Override
        PeerConnection.Listener listener() {
            return follower;
        }

        @Override
        boolean isRunning() {
            return true;
        }

        @Override
        public long millis() {
            return nowMillis;
        }

        @Override
        public void decode(long rev, Callable<Configuration> version) {
            scheduleInProcess(2, () -> {
                try {
                    follower.apply(version.call());
                    changed.run();
                } catch (Exception e) {
                    throw new AssertionError("version " + rev, e);
                }
            });
        }

        @Override
        public void hostListChanged(HostList list) {
            changed.run();
        }

        @Override
        public void edgeCountChanged(int edges) {
            // Nobody asks.
        }

        @Override
        public void log(String line) {
            // Nobody reads it.
        }
    }

    private static PersistentState written(PersistentState before, Output output) {
        HardState hard = output.hardState() != null ? output.hardState() : before.hardState();
        Snapshot snapshot = output.snapshot() != null ? output.snapshot() : before.snapshot();
        List<tinworks.raft.Entry> entries = new ArrayList<>(before.entries());
        entries.removeIf(e ->
                e.index() <= snapshot.index() || (output.truncateFrom() > 0 && e.index() >= output.truncateFrom()));
        entries.addAll(output.entries());
        return new PersistentState(hard, snapshot, entries);
    }
}
