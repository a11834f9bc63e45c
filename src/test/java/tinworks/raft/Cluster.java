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
 * Members on a simulated network, simulated disks and clocks, all chance from one seed. Messages are dropped, delayed,
 * doubled and cut off; processes freeze, or crash, with what their disks had not synced kept only up to some point;
 * machines lose their disks and come back as somebody else; each clock has a rate and, in each life, a beginning of its
 * own. Each step checks what must never be broken.
 */
final class Cluster {
    /** How this cluster's machines are broken on purpose. */
    enum Flaw {
        NONE,
        SYNC_SKIPPED
    }

    /** Makes a member; a flawed one is caught by the invariants. */
    interface RaftFactory {
        Raft create(long id, PersistentState stored, Timing timing, long seed, long now);
    }

    /** What a broken invariant ends as. */
    static final class InvariantViolation extends AssertionError {
        private static final long serialVersionUID = 1L;

        InvariantViolation(String what) {
            super(what);
        }
    }

    static final Timing TIMING = new Timing(50, 200);
    private static final int STEP_MILLIS = 5;
    private static final int MAX_EVENTS = 200_000;
    /** What clocks may be off by, of 1,000; a lease bears five parts of 100. */
    private static final int CLOCK_DRIFT_PER_MILLE = 45;

    final SplittableRandom random;
    final List<Node> nodes = new ArrayList<>();
    final Set<Integer> acknowledged = new HashSet<>();
    private final Flaw flaw;
    private final Timing timing;
    private final RaftFactory factory;
    /** Acknowledged entries: when, and the highest index until then. */
    private final ArrayDeque<long[]> acknowledgedAt = new ArrayDeque<>();

    private long highestAcknowledgedIndex;
    private long acknowledgedBeforeLease;
    private long latestLeaderTerm;
    /** How often a member held a lease, and a follower was fresh, as the checks saw them. */
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

    Cluster(long seed, int voters, Flaw flaw, Timing timing, RaftFactory maker) {
        random = new SplittableRandom(seed);
        this.flaw = flaw;
        this.timing = timing;
        this.factory = maker;
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

    /** A further machine, with an empty disk. */
    Node addEmptyNode() {
        Node node = new Node(nodes.size(), ++lastId);
        nodes.add(node);
        node.start();
        return node;
    }

    void schedule(long delay, Runnable work) {
        events.add(new Event(now + delay, nextEventOrder++, work));
    }

    void run(long until) {
        while (now < until) {
            now += STEP_MILLIS;
            while (!events.isEmpty() && events.peek().at() <= now) {
                events.poll().action().run();
                if (++eventsHandled > MAX_EVENTS) {
                    throw new InvariantViolation("the network never comes to rest");
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
     * Who holds a lease leads alone, and has all that was acknowledged; who is fresh has what was acknowledged a lease
     * ago.
     */
    private void checkLeases() {
        long old = now - timing.leaseMillis() * (1_000 + CLOCK_DRIFT_PER_MILLE) / 1_000 - STEP_MILLIS;
        while (!acknowledgedAt.isEmpty() && acknowledgedAt.peek()[0] < old) {
            acknowledgedBeforeLease = acknowledgedAt.poll()[1];
        }
        for (Node node : nodes) {
            if (node.raft == null) {
                continue;
            }
            boolean leads = node.raft.holdsLease(node.clock());
            if (leads && latestLeaderTerm > node.raft.term()) {
                throw new InvariantViolation(
                        "a lease of term " + node.raft.term() + " while one leads in term " + latestLeaderTerm);
            }
            if (node.raft.fresh(node.clock()) && node.appliedIndex >= node.raft.freshIndex()) {
                leaseObservations += leads ? 1 : 0;
                freshFollowerObservations += leads ? 0 : 1;
                if (node.appliedIndex < (leads ? highestAcknowledgedIndex : acknowledgedBeforeLease)) {
                    throw new InvariantViolation("a fresh member lacks what was acknowledged");
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

    /** Has some leader write a command; it is acknowledged when that leader applies it. */
    void propose() {
        List<Node> leading = nodes.stream()
                .filter(n -> n.raft != null && !n.isFrozen() && n.raft.role() == Raft.Role.LEADER)
                .toList();
        if (!leading.isEmpty()) {
            leading.get(random.nextInt(leading.size())).propose(++lastCommand);
        }
    }

    /** All acknowledged commands must be in what a member has applied. */
    void checkRetainsAcknowledged(Node node) {
        Set<Integer> has = new HashSet<>(node.state);
        for (int command : acknowledged) {
            if (!has.contains(command)) {
                throw new InvariantViolation("command " + command + " was acknowledged and is gone at " + node.number);
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

    /** A member with its simulated disk and its messages under way. */
    final class Node {
        final int number;
        long id;
        Raft raft;
        PersistentState disk = PersistentState.EMPTY;
        /** The commands that have been applied, in order. */
        List<Integer> state = new ArrayList<>();

        private final ArrayDeque<Output> unsynced = new ArrayDeque<>();
        private final Map<Long, Integer> pendingProposals = new HashMap<>();
        /** How far the state is. */
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

        /** Its steady clock, in milliseconds. */
        long clock() {
            return clockOffset + now * clockRatePerMille / 1_000;
        }

        boolean isFrozen() {
            return now < frozenUntil;
        }

        void freeze(long millis) {
            frozenUntil = now + millis;
        }

        /** Does something once the process runs, if it is still the same one. */
        private void runWhenThawed(long mine, Runnable work) {
            if (incarnation == mine && isFrozen()) {
                schedule(frozenUntil - now, () -> runWhenThawed(mine, work));
            } else if (incarnation == mine) {
                work.run();
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

        /** The process ends; of what was not synced, some first part has reached the disk. */
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

        /** The machine comes back without its disk, as somebody else. */
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

        @SuppressWarnings("ReferenceEquality") // The very output that was queued is meant, not one like it.
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
            long mine = incarnation;
            // The flaw of a skipped sync: what is said to be on the disk reaches it much later.
            diskFreeAt = Math.max(diskFreeAt, now) + (output.mustSync() ? random.nextInt(8) : 0);
            unsynced.add(output);
            schedule(
                    diskFreeAt - now,
                    () -> runWhenThawed(mine, () -> {
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
            long last = 0;
            for (Entry entry : output.committed()) {
                checkApplied(entry);
                last = entry.index();
                appliedIndex = last;
                if (entry.kind() == Entry.Kind.COMMAND) {
                    int command = ByteBuffer.wrap(entry.body()).getInt();
                    state.add(command);
                    Integer mine = pendingProposals.remove(entry.index());
                    if (mine != null && mine == command && entry.term() == raft.term()) {
                        acknowledged.add(command);
                        highestAcknowledgedIndex = Math.max(highestAcknowledgedIndex, entry.index());
                        acknowledgedAt.add(new long[] {now, highestAcknowledgedIndex});
                    }
                }
            }
            if (last > 0 && raft.logLength() > 12 && random.nextInt(3) == 0) {
                ByteBuffer saved = ByteBuffer.allocate(state.size() * Integer.BYTES);
                state.forEach(saved::putInt);
                raft.compact(last, saved.array());
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
