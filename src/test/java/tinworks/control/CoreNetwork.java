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
 * A deterministic simulation of core nodes: network, disks and one monotonic clock, with all randomness from one seed.
 * Nodes can be partitioned, frozen, killed and restarted. The core machine, Raft and the operator calls are the
 * production classes.
 */
final class CoreNetwork {
    /** Creates the core machine under test, correct or deliberately defective. */
    interface CoreMachineFactory {
        CoreMachine create(
                CoreMachine.Identity self, PersistentState stored, Disk disk, CoreMachine.Environment around);
    }

    private static final int SILENCE_TIMEOUT_MILLIS = 2_600;

    final SplittableRandom random;
    final List<Node> nodes = new ArrayList<>();
    private final CoreMachineFactory factory;
    private final List<Member> voters = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparing(Event::order));
    private final Map<Set<SimulatedProcess>, Long> partitions = new HashMap<>();
    long nowMillis = 1_000;
    /** Whether leaders fetch a list of hosts. */
    boolean fetchesHostList;
    /** Called for each announcement when it is sent. */
    BiConsumer<Node, Announce> announceObserver = (node, announcement) -> {};

    private long nextEventOrder;

    private record Event(long at, long order, Runnable work) {}

    CoreNetwork(long seed, int machines, CoreMachineFactory factory) {
        random = new SplittableRandom(seed);
        this.factory = factory;
        for (int i = 0; i < machines; i++) {
            voters.add(new Member(i + 1, "core-" + i));
        }
        voters.forEach(voter -> nodes.add(new Node(voter)));
        nodes.forEach(Node::start);
    }

    void schedule(long millis, Runnable work) {
        events.add(new Event(nowMillis + millis, nextEventOrder++, work));
    }

    void runUntil(long until) {
        while (!events.isEmpty() && events.peek().at() <= until) {
            Event event = events.poll();
            nowMillis = event.at();
            event.work().run();
        }
        nowMillis = until;
    }

    /** Returns the node that leads in the highest term, null for none. */
    Node leader() {
        return nodes.stream()
                .filter(n -> n.isRunning() && n.raft().hasCommittedInCurrentTerm())
                .max(Comparator.comparingLong(n -> n.raft().term()))
                .orElse(null);
    }

    Node awaitLeader(long withinMillis) {
        for (long until = nowMillis + withinMillis; nowMillis < until; ) {
            runUntil(nowMillis + 10);
            if (leader() != null) {
                return leader();
            }
        }
        throw new AssertionError("no leader within " + withinMillis + " ms");
    }

    void partition(SimulatedProcess one, SimulatedProcess other) {
        Set<SimulatedProcess> pair = Set.of(one, other);
        long at = nowMillis;
        if (partitions.putIfAbsent(pair, at) == null) {
            schedule(SILENCE_TIMEOUT_MILLIS, () -> {
                if (Long.valueOf(at).equals(partitions.get(pair))) {
                    one.closeConnectionsTo(other);
                    other.closeConnectionsTo(one);
                }
            });
        }
    }

    void isolate(Node node) {
        nodes.stream().filter(n -> n != node).forEach(n -> partition(node, n));
    }

    void heal() {
        partitions.clear();
    }

    private boolean isPartitioned(SimulatedProcess one, SimulatedProcess other) {
        return partitions.containsKey(Set.of(one, other));
    }

    /** A process with its connections, and the tasks queued while it is frozen. */
    abstract class SimulatedProcess implements ConnectionManager {
        final Map<String, Endpoint> dialled = new HashMap<>();
        final Set<Endpoint> endpoints = new LinkedHashSet<>();
        final ArrayDeque<Runnable> frozenWork = new ArrayDeque<>();
        boolean frozen;
        long incarnation;

        abstract Hello hello();

        abstract PeerConnection.Listener listener();

        abstract boolean isRunning();

        /** Runs a task in this process after a delay: once it is not frozen, and only in the current incarnation. */
        final void scheduleInProcess(long millis, Runnable work) {
            long scheduledIn = incarnation;
            schedule(millis, () -> runInIncarnation(scheduledIn, work));
        }

        private void runInIncarnation(long scheduledIn, Runnable work) {
            if (incarnation == scheduledIn && isRunning()) {
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
            long scheduledIn = incarnation;
            waiting.forEach(work -> runInIncarnation(scheduledIn, work));
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
                Endpoint known = dialled.get(address);
                if (known == null || known.closed) {
                    nodes.stream()
                            .filter(n -> n.hello().address().equals(address) && n != this)
                            .findFirst()
                            .ifPresent(n -> dial(address, n));
                }
            }
        }

        private void dial(String address, Node target) {
            if (!target.isRunning() || isPartitioned(this, target)) {
                return;
            }
            Endpoint dialling = new Endpoint(this, target.hello(), true);
            Endpoint accepted = new Endpoint(target, hello(), false);
            dialling.remote = accepted;
            accepted.remote = dialling;
            dialled.put(address, dialling);
            accepted.deliver(() -> accepted.open());
            accepted.send(() -> dialling.open());
        }

        @Override
        public final List<PeerConnection> openConnections() {
            List<PeerConnection> open = new ArrayList<>();
            dialled.values().stream().filter(Endpoint::isOpen).forEach(open::add);
            return open;
        }

        final void closeConnectionsTo(SimulatedProcess remote) {
            List.copyOf(endpoints).stream()
                    .filter(e -> e.remote.owner == remote)
                    .forEach(e -> e.close("unresponsive"));
        }

        final void terminate() {
            incarnation++;
            frozen = false;
            frozenWork.clear();
            for (Endpoint end : List.copyOf(endpoints)) {
                end.send(() -> end.remote.close("reset"));
                end.closed = true;
            }
            endpoints.clear();
            dialled.clear();
        }
    }

    /** One side of a connection. */
    private final class Endpoint implements PeerConnection {
        final SimulatedProcess owner;
        private final Hello peer;
        private final boolean dialled;
        private final long ownerIncarnation;
        private Endpoint remote;
        private boolean opened;
        private boolean closed;
        private long lastArrival;

        Endpoint(SimulatedProcess owner, Hello peer, boolean dialled) {
            this.owner = owner;
            this.peer = peer;
            this.dialled = dialled;
            ownerIncarnation = owner.incarnation;
            owner.endpoints.add(this);
        }

        private void open() {
            if (!closed) {
                opened = true;
                owner.listener().opened(this);
            }
        }

        /** Delivers in order; the message is lost where the two sides are partitioned. */
        private void send(Runnable atRemote) {
            if (!isPartitioned(owner, remote.owner)) {
                remote.deliver(atRemote);
            }
        }

        private void deliver(Runnable work) {
            lastArrival = Math.max(lastArrival, nowMillis + 1 + random.nextInt(4));
            long scheduledIn = ownerIncarnation;
            schedule(lastArrival - nowMillis, () -> {
                if (isPartitioned(owner, remote.owner)) {
                    return;
                }
                if (owner.incarnation == scheduledIn) {
                    owner.runInIncarnation(scheduledIn, work);
                } else {
                    remote.close("reset");
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
        public void send(PeerMessage message) {
            if (!closed) {
                if (message instanceof Announce s) {
                    announceObserver.accept((Node) owner, s);
                }
                send(() -> {
                    if (remote.isOpen()) {
                        remote.owner.listener().received(remote, message);
                    }
                });
            }
        }

        @Override
        public void close(String reason) {
            if (!closed) {
                closed = true;
                owner.endpoints.remove(this);
                if (opened && owner.incarnation == ownerIncarnation && owner.isRunning()) {
                    owner.listener().closed(this);
                }
                send(() -> remote.close("closed by the remote side"));
            }
        }
    }

    /** A core node with its disk. */
    final class Node extends SimulatedProcess implements CoreMachine.Environment, Disk {
        private final Member member;
        private final ArrayDeque<Output> unsynced = new ArrayDeque<>();
        private PersistentState synced;
        private long diskFreeAt;
        CoreMachine machine;
        private boolean fetching;
        private long fetches;
        /** The longest duration of a synced write. */
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
            machine = factory.create(new CoreMachine.Identity(member.id(), member.address(), 1), synced, this, this);
            tick();
        }

        private void tick() {
            machine.tick();
            scheduleInProcess(CoreMachine.TICK_MILLIS, this::tick);
        }

        /** Kills the process; the disk keeps a random prefix of the writes that were not synced. */
        void kill() {
            if (machine != null) {
                for (int kept = random.nextInt(unsynced.size() + 1); kept > 0; kept--) {
                    synced = written(synced, unsynced.poll());
                }
                unsynced.clear();
                machine = null;
                terminate();
            }
        }

        @Override
        public void write(Output output, Runnable done) {
            unsynced.add(output);
            diskFreeAt = Math.max(diskFreeAt, nowMillis) + (output.mustSync() ? 1 + random.nextInt(maxSyncMillis) : 0);
            long scheduledIn = incarnation;
            schedule(diskFreeAt - nowMillis, () -> {
                if (incarnation == scheduledIn && isRunning()) {
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

        /** Fetches repeatedly, as the production poller does; the id of the one host is the time of the request. */
        private void fetch(long fetchNumber) {
            long requestedAt = nowMillis;
            scheduleInProcess(2 + random.nextInt(60), () -> {
                if (fetching && fetches == fetchNumber) {
                    machine.hostsFetched(
                            List.of(new HostList.Host("i-" + requestedAt, "s", "10.0.0.1:80", "z", 3, false, 0)));
                    scheduleInProcess(1_000, () -> {
                        if (fetches == fetchNumber) {
                            fetch(fetchNumber);
                        }
                    });
                }
            });
        }

        @Override
        public void log(String line) {
            // Not used by these tests.
        }
    }

    /** An edge that starts now; it follows the core nodes with the production {@link CoreFollower}. */
    final class Edge extends SimulatedProcess implements CoreFollower.Callbacks {
        private final Hello hello = new Hello(NodeRole.EDGE, 1_000 + nextEventOrder, "", "edge", "z");
        private final Runnable changed;
        final CoreFollower follower;

        /** Starts an edge; the callback runs after each change of its configuration or list of hosts. */
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
            // Not used by these tests.
        }

        @Override
        public void log(String line) {
            // Not used by these tests.
        }
    }

    private static PersistentState written(PersistentState before, Output output) {
        HardState hardState = output.hardState() != null ? output.hardState() : before.hardState();
        Snapshot snapshot = output.snapshot() != null ? output.snapshot() : before.snapshot();
        List<tinworks.raft.Entry> entries = new ArrayList<>(before.entries());
        entries.removeIf(e ->
                e.index() <= snapshot.index() || (output.truncateFrom() > 0 && e.index() >= output.truncateFrom()));
        entries.addAll(output.entries());
        return new PersistentState(hardState, snapshot, entries);
    }
}
