package tinworks.raft;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import tinworks.raft.Output.Envelope;

/**
 * Simulates members with their network, disks and clocks, with all randomness from one seed. Messages are dropped,
 * delayed and duplicated, and connections break. Processes freeze, or crash and keep only a prefix of their unsynced
 * writes. Nodes lose their disks and return as new members. Each clock has its own rate, and a new offset after each
 * start. Every step checks the safety invariants.
 */
final class Cluster {
    /** A defect injected into all nodes. */
    enum Flaw {
        NONE,
        SYNC_SKIPPED
    }

    /** Creates a member, possibly a mutant that the invariants have to catch. */
    interface RaftFactory {
        Raft create(long id, PersistentState stored, Timing timing, long seed, long now);
    }

    /** Thrown when an invariant is violated. */
    static final class InvariantViolation extends AssertionError {
        private static final long serialVersionUID = 1L;

        InvariantViolation(String what) {
            super(what);
        }
    }

    static final Timing TIMING = new Timing(50, 200);
    private static final int STEP_MILLIS = 5;
    private static final int MAX_EVENTS = 200_000;
    /** Maximum deviation of a clock's rate in parts per 1,000; a lease tolerates 5%. */
    private static final int CLOCK_DRIFT_PER_MILLE = 45;

    final SplittableRandom random;
    final List<Node> nodes = new ArrayList<>();
    final Set<Integer> acknowledged = new HashSet<>();
    private final Flaw flaw;
    private final Timing timing;
    private final RaftFactory factory;
    /** Time of each acknowledgement and the highest index acknowledged by then. */
    private final ArrayDeque<long[]> acknowledgedAt = new ArrayDeque<>();

    private long highestAcknowledgedIndex;
    private long acknowledgedBeforeLease;
    private long latestLeaderTerm;
    /** How often the checks saw a lease holder, and a fresh follower. */
    long leaseObservations;

    long freshFollowerObservations;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparing(Event::order));
    private final Map<Long, Long> leaderByTerm = new HashMap<>();
    private final Map<Long, Entry> appliedByIndex = new HashMap<>();
    private final Set<Set<Integer>> disconnected = new HashSet<>();
    double lossProbability;
    long now;
    private long nextEventOrder;
    private long lastId = 100;
    private int lastCommand;
    private int eventsHandled;

    private record Event(long at, long order, Runnable action) {}

    Cluster(long seed, int voters, Flaw flaw) {
        this(seed, voters, flaw, TIMING, Raft::new);
    }

    Cluster(long seed, int voters, Flaw flaw, Timing timing, RaftFactory factory) {
        random = new SplittableRandom(seed);
        this.flaw = flaw;
        this.timing = timing;
        this.factory = factory;
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < voters; i++) {
            members.add(new Member(i + 1, "m" + i));
        }
        for (int i = 0; i < voters; i++) {
            Node node = new Node(i, i + 1);
            node.disk = new PersistentState(HardState.NONE, new Snapshot(0, 0, members, new byte[0]), List.of());
            nodes.add(node);
            node.start();
        }
    }

    /** Adds a node with an empty disk. */
    Node addEmptyNode() {
        Node node = new Node(nodes.size(), ++lastId);
        nodes.add(node);
        node.start();
        return node;
    }

    void schedule(long delay, Runnable action) {
        events.add(new Event(now + delay, nextEventOrder++, action));
    }

    void run(long until) {
        while (now < until) {
            now += STEP_MILLIS;
            while (!events.isEmpty() && events.peek().at() <= now) {
                events.poll().action().run();
                if (++eventsHandled > MAX_EVENTS) {
                    throw new InvariantViolation("the network does not come to rest");
                }
            }
            for (Node node : nodes) {
                if (node.raft != null && !node.isFrozen()) {
                    node.raft.tick(node.clock());
                    node.pump();
                }
            }
            checkLeases();
        }
    }

    /**
     * Checks that a lease holder is the only leader and has everything acknowledged, and that a fresh member has
     * everything that was acknowledged one lease duration ago.
     */
    private void checkLeases() {
        long leaseStart = now - timing.leaseMillis() * (1_000 + CLOCK_DRIFT_PER_MILLE) / 1_000 - STEP_MILLIS;
        while (!acknowledgedAt.isEmpty() && acknowledgedAt.peek()[0] < leaseStart) {
            acknowledgedBeforeLease = acknowledgedAt.poll()[1];
        }
        for (Node node : nodes) {
            if (node.raft == null) {
                continue;
            }
            boolean leads = node.raft.holdsLease(node.clock());
            if (leads && latestLeaderTerm > node.raft.term()) {
                throw new InvariantViolation(
                        "a lease of term " + node.raft.term() + " while there is a leader in term " + latestLeaderTerm);
            }
            if (node.raft.fresh(node.clock()) && node.appliedIndex >= node.raft.freshIndex()) {
                leaseObservations += leads ? 1 : 0;
                freshFollowerObservations += leads ? 0 : 1;
                if (node.appliedIndex < (leads ? highestAcknowledgedIndex : acknowledgedBeforeLease)) {
                    throw new InvariantViolation("a fresh member lacks acknowledged entries");
                }
            }
        }
    }

    void disconnect(int a, int b) {
        disconnected.add(Set.of(a, b));
    }

    void reconnectAll() {
        disconnected.clear();
    }

    Node leader() {
        Node found = null;
        for (Node node : nodes) {
            if (node.raft != null
                    && node.raft.role() == Raft.Role.LEADER
                    && (found == null || node.raft.term() > found.raft.term())) {
                found = node;
            }
        }
        return found;
    }

    /** Proposes a command to a random leader; it is acknowledged when that leader applies it. */
    void propose() {
        List<Node> leading = nodes.stream()
                .filter(n -> n.raft != null && !n.isFrozen() && n.raft.role() == Raft.Role.LEADER)
                .toList();
        if (!leading.isEmpty()) {
            leading.get(random.nextInt(leading.size())).propose(++lastCommand);
        }
    }

    /** Checks that a node has applied all acknowledged commands. */
    void checkRetainsAcknowledged(Node node) {
        Set<Integer> has = new HashSet<>(node.state);
        for (int command : acknowledged) {
            if (!has.contains(command)) {
                throw new InvariantViolation(
                        "command " + command + " was acknowledged and is missing at node " + node.number);
            }
        }
    }

    private void checkApplied(Entry entry) {
        Entry before = appliedByIndex.putIfAbsent(entry.index(), entry);
        if (before != null && !before.equals(entry)) {
            throw new InvariantViolation("two entries were applied at index " + entry.index());
        }
    }

    private void checkLeader(long term, long id) {
        Long before = leaderByTerm.putIfAbsent(term, id);
        latestLeaderTerm = Math.max(latestLeaderTerm, term);
        if (before != null && before != id) {
            throw new InvariantViolation("two leaders in term " + term);
        }
    }

    /** A node with its simulated disk. */
    final class Node {
        final int number;
        long id;
        Raft raft;
        PersistentState disk = PersistentState.EMPTY;
        /** The applied commands, in order. */
        List<Integer> state = new ArrayList<>();

        private final ArrayDeque<Output> unsynced = new ArrayDeque<>();
        private final Map<Long, Integer> pendingProposals = new HashMap<>();
        long appliedIndex;

        private final int clockRatePerMille =
                1_000 - CLOCK_DRIFT_PER_MILLE + random.nextInt(2 * CLOCK_DRIFT_PER_MILLE + 1);
        private long clockOffset;
        private long frozenUntil;
        private long incarnation;
        private long diskFreeAt;

        Node(int number, long id) {
            this.number = number;
            this.id = id;
        }

        /** Returns the time of the node's steady clock in milliseconds. */
        long clock() {
            return clockOffset + now * clockRatePerMille / 1_000;
        }

        boolean isFrozen() {
            return now < frozenUntil;
        }

        void freeze(long millis) {
            frozenUntil = now + millis;
        }

        /** Runs an action once the process is not frozen, unless it has restarted by then. */
        private void runWhenThawed(long expectedIncarnation, Runnable action) {
            if (incarnation == expectedIncarnation && isFrozen()) {
                schedule(frozenUntil - now, () -> runWhenThawed(expectedIncarnation, action));
            } else if (incarnation == expectedIncarnation) {
                action.run();
            }
        }

        Member member() {
            return new Member(id, "m" + number);
        }

        void start() {
            incarnation++;
            state = new ArrayList<>();
            appliedIndex = 0;
            frozenUntil = 0;
            clockOffset = random.nextInt(5_000);
            raft = factory.create(id, disk, timing, random.nextLong(), clock());
            pump();
        }

        /** Crashes the process; a random prefix of its unsynced writes has reached the disk. */
        void crash() {
            raft = null;
            incarnation++;
            pendingProposals.clear();
            int kept = flaw == Flaw.SYNC_SKIPPED ? 0 : random.nextInt(unsynced.size() + 1);
            for (Output output : unsynced) {
                if (kept-- <= 0) {
                    break;
                }
                disk = persist(disk, output);
            }
            unsynced.clear();
        }

        /** Restarts the node with an empty disk and a new id. */
        void restartWithoutDisk() {
            crash();
            disk = PersistentState.EMPTY;
            id = ++lastId;
            start();
        }

        void propose(int command) {
            long index = raft.propose(
                    ByteBuffer.allocate(Integer.BYTES).putInt(command).array());
            if (index > 0) {
                pendingProposals.put(index, command);
            }
            pump();
        }

        @SuppressWarnings("ReferenceEquality") // Compares the identity of the queued output, not its content.
        void pump() {
            Output output = raft.drain();
            if (raft.role() == Raft.Role.LEADER) {
                checkLeader(raft.term(), id);
            } else {
                pendingProposals.clear();
            }
            if (output.isEmpty()) {
                return;
            }
            long current = incarnation;
            // With skipped syncs, an output reported as persisted reaches the disk much later.
            diskFreeAt = Math.max(diskFreeAt, now) + (output.mustSync() ? random.nextInt(8) : 0);
            unsynced.add(output);
            schedule(
                    diskFreeAt - now,
                    () -> runWhenThawed(current, () -> {
                        if (flaw != Flaw.SYNC_SKIPPED || random.nextInt(4) == 0) {
                            while (!unsynced.isEmpty()) {
                                Output first = unsynced.poll();
                                disk = persist(disk, first);
                                if (first == output) {
                                    break;
                                }
                            }
                        }
                        complete(output);
                    }));
        }

        private void complete(Output output) {
            raft.persisted(output);
            output.messages().forEach(this::send);
            if (output.restored() != null) {
                state = new ArrayList<>();
                appliedIndex = output.restored().index();
                ByteBuffer in = ByteBuffer.wrap(output.restored().state());
                while (in.hasRemaining()) {
                    state.add(in.getInt());
                }
            }
            long lastApplied = 0;
            for (Entry entry : output.committed()) {
                checkApplied(entry);
                lastApplied = entry.index();
                appliedIndex = lastApplied;
                if (entry.kind() == Entry.Kind.COMMAND) {
                    int command = ByteBuffer.wrap(entry.body()).getInt();
                    state.add(command);
                    Integer proposed = pendingProposals.remove(entry.index());
                    if (proposed != null && proposed == command && entry.term() == raft.term()) {
                        acknowledged.add(command);
                        highestAcknowledgedIndex = Math.max(highestAcknowledgedIndex, entry.index());
                        acknowledgedAt.add(new long[] {now, highestAcknowledgedIndex});
                    }
                }
            }
            if (lastApplied > 0 && raft.logLength() > 12 && random.nextInt(3) == 0) {
                ByteBuffer saved = ByteBuffer.allocate(state.size() * Integer.BYTES);
                state.forEach(saved::putInt);
                raft.compact(lastApplied, saved.array());
            }
            pump();
        }

        private void send(Envelope envelope) {
            for (Node other : nodes) {
                if (other.id == envelope.to()
                        && !disconnected.contains(Set.of(number, other.number))
                        && random.nextDouble() >= lossProbability) {
                    int copies = random.nextInt(20) == 0 ? 2 : 1;
                    for (int i = 0; i < copies; i++) {
                        long from = id;
                        schedule(1 + random.nextInt(random.nextInt(10) == 0 ? 120 : 10), () -> {
                            if (other.raft != null && other.id == envelope.to()) {
                                other.runWhenThawed(other.incarnation, () -> {
                                    other.raft.receive(other.clock(), from, envelope.message());
                                    other.pump();
                                });
                            }
                        });
                    }
                }
            }
        }
    }

    static PersistentState persist(PersistentState before, Output output) {
        HardState hard = output.hardState() != null ? output.hardState() : before.hardState();
        Snapshot snapshot = output.snapshot() != null ? output.snapshot() : before.snapshot();
        List<Entry> entries = new ArrayList<>(before.entries());
        entries.removeIf(e ->
                e.index() <= snapshot.index() || (output.truncateFrom() > 0 && e.index() >= output.truncateFrom()));
        entries.addAll(output.entries());
        return new PersistentState(hard, snapshot, entries);
    }
}
