package tinworks.raft;

import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import tinworks.raft.Output.Envelope;

/**
 * A bounded model checker. It explores every order of a limited number of events for a few members, each of them the
 * production state machine: election timeouts, commands, membership changes, broken connections, and crashes between
 * events or within one, before or after its sync. The messages from one member to another are delivered together and in
 * order, as by a connection; a broken connection loses all of them, or all but the first. States already visited are
 * not explored again.
 */
final class Model {
    /** The maximum number of events of each kind. */
    record Bounds(
            int electionTimeouts,
            int heartbeats,
            int commands,
            int connectionLosses,
            int crashes,
            int membershipChanges,
            int leaseQueries,
            int preVotes) {
        /** Creates bounds without lease queries and without pre-votes before an election timeout. */
        Bounds(
                int electionTimeouts,
                int heartbeats,
                int commands,
                int connectionLosses,
                int crashes,
                int membershipChanges) {
            this(electionTimeouts, heartbeats, commands, connectionLosses, crashes, membershipChanges, 0, 0);
        }
    }

    /** Creates a member, possibly a mutant that the invariants have to catch. */
    interface RaftFactory {
        Raft create(long id, PersistentState stored, long now);
    }

    /** The statistics of a complete search. */
    record SearchResult(long states, long steps, int maxDepth, long maxCommitted, long latestTerm) {}

    private static final long TIMEOUT_MILLIS = 10_000;
    private static final Timing TIMING = Cluster.TIMING;
    /**
     * Fields of {@link Raft} that are not part of a state: those that are constant or only time the next timeout, which
     * here may come at any time, and the freshness of followers, which has no effect here and is checked by
     * {@link Cluster}.
     */
    private static final Set<String> IGNORED_FIELDS = Set.of(
            "self",
            "timing",
            "random",
            "electionTimeoutAt",
            "nextHeartbeatAt",
            "incarnation",
            "freshUntil",
            "freshIndex");

    private static final List<Field> FIELDS = fields();
    private static final Field LOG = FIELDS.stream()
            .filter(field -> field.getName().equals("log"))
            .findFirst()
            .orElseThrow();

    private final RaftFactory factory;
    private final int nodeCount;
    /** False if disks report syncs that they do not carry out. */
    private final boolean syncs;
    /**
     * Whether leases are part of a state and checked. Otherwise a crash ends a member's support for a lease, and leases
     * are ignored.
     */
    private final boolean leases;

    private final Set<Key> visited = new HashSet<>();
    private long steps;
    private int maxDepth;
    private long maxCommitted;
    /** The latest term in which a member was leader. */
    private long latestTerm;

    private record Key(long high, long low) {}

    Model(int nodeCount, boolean syncs, RaftFactory factory) {
        this(nodeCount, syncs, false, factory);
    }

    private Model(int nodeCount, boolean syncs, boolean leases, RaftFactory factory) {
        this.nodeCount = nodeCount;
        this.syncs = syncs;
        this.leases = leases;
        this.factory = factory;
    }

    /** Creates a model that checks leases too. Members start at the current time, which only timeouts advance. */
    static Model withLeases(int nodeCount, RaftFactory factory) {
        return new Model(nodeCount, true, true, factory);
    }

    /** Creates a member whose support for a lease has expired at its start. */
    static Raft createWithoutLeases(long id, PersistentState stored, long now) {
        return new Raft(id, stored, TIMING, 1, 0);
    }

    static Raft createWithLeases(long id, PersistentState stored, long now) {
        return new Raft(id, stored, TIMING, 1, now);
    }

    /** Explores all states; throws {@link Cluster.InvariantViolation} if an invariant is violated. */
    SearchResult search(int voters, Bounds bounds) {
        return search(voters, bounds, List.of());
    }

    /** Explores all states that follow the given first steps. */
    SearchResult search(int voters, Bounds bounds, List<Step> prefix) {
        World first = initialWorld(voters, bounds);
        for (Step step : prefix) {
            first = successor(first, step);
        }
        ArrayDeque<World> unexplored = new ArrayDeque<>();
        unexplored.push(first);
        visited.add(first.key());
        while (!unexplored.isEmpty()) {
            World world = unexplored.pop();
            for (Step step : world.steps()) {
                World next = successor(world, step);
                if (visited.add(next.key())) {
                    unexplored.push(next);
                }
            }
        }
        return new SearchResult(visited.size(), steps, maxDepth, maxCommitted, latestTerm);
    }

    /**
     * Returns an election timeout of a member, followed by deliveries on the given links (pairs of sender and
     * receiver).
     */
    List<Step> election(int member, int... fromAndTo) {
        List<Step> steps = new ArrayList<>();
        steps.add(new Step(EventKind.TIMEOUT, member, 0, Completion.COMPLETED));
        for (int i = 0; i < fromAndTo.length; i += 2) {
            steps.add(
                    new Step(EventKind.DELIVER, fromAndTo[i] * nodeCount + fromAndTo[i + 1], 0, Completion.COMPLETED));
        }
        return steps;
    }

    /**
     * Runs random walks from the state after the given first steps, each until no event is possible. Returns the number
     * of the first walk that violates an invariant, or -1.
     */
    int randomWalks(int voters, Bounds bounds, List<Step> prefix, long seed, int walks) {
        SplittableRandom random = new SplittableRandom(seed);
        for (int walk = 0; walk < walks; walk++) {
            try {
                World world = initialWorld(voters, bounds);
                for (Step step : prefix) {
                    world = successor(world, step);
                }
                for (List<Step> enabled = world.steps(); !enabled.isEmpty(); enabled = world.steps()) {
                    world = successor(world, enabled.get(random.nextInt(enabled.size())));
                }
            } catch (Cluster.InvariantViolation | IllegalStateException e) {
                return walk;
            }
        }
        return -1;
    }

    private World initialWorld(int voters, Bounds bounds) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < voters; i++) {
            members.add(new Member(i + 1, "m" + i));
        }
        World first = new World(bounds);
        for (int i = 0; i < nodeCount; i++) {
            PersistentState disk = i < voters
                    ? new PersistentState(HardState.NONE, new Snapshot(0, 0, members, new byte[0]), List.of())
                    : PersistentState.EMPTY;
            first.nodes.add(new Node(i + 1, disk, factory.create(i + 1, disk, 0)));
        }
        return first;
    }

    private World successor(World world, Step step) {
        World next = new World(world);
        next.apply(step);
        steps++;
        next.check();
        maxCommitted = Math.max(maxCommitted, next.committed.size());
        maxDepth = Math.max(maxDepth, next.depth);
        latestTerm = next.leaderByTerm.keySet().stream().reduce(latestTerm, Math::max);
        return next;
    }

    /** The kinds of event. */
    enum EventKind {
        TIMEOUT,
        HEARTBEAT,
        COMMAND,
        DELIVER,
        DROP,
        DELIVER_FIRST,
        CRASH,
        MEMBERSHIP_CHANGE,
        LEASE_QUERY,
        PRE_VOTE
    }

    /** How an event ends: completed, or by a crash before or after the sync that it requires. */
    enum Completion {
        COMPLETED,
        CRASH_BEFORE_SYNC,
        CRASH_AFTER_SYNC
    }

    /** One event of a path through the model. */
    record Step(EventKind kind, int node, int other, Completion completion) {}

    /** A member. A step copies only the member that it changes; worlds share the others. */
    private static final class Node {
        private final long id;
        private final PersistentState disk;
        private final Raft raft;
        private long describedAt = -1;
        private String description;

        Node(long id, PersistentState disk, Raft raft) {
            this.id = id;
            this.disk = disk;
            this.raft = raft;
        }

        String describe(long now, boolean leases) {
            if (describedAt != now) {
                describedAt = now;
                description = Model.describe(this, now, leases);
            }
            return description;
        }
    }

    private final class World {
        private final List<Node> nodes = new ArrayList<>();
        private final Map<Integer, List<Message>> links = new TreeMap<>();
        private final Map<Long, Long> leaderByTerm = new TreeMap<>();
        /** Entries applied by any member, by index. */
        private final Map<Long, Entry> committed = new TreeMap<>();

        private final int[] remaining;
        private final int depth;
        private long now;
        private int lastCommand;

        World(Bounds b) {
            remaining = new int[] {
                b.electionTimeouts(),
                b.heartbeats(),
                b.commands(),
                b.connectionLosses(),
                b.crashes(),
                b.membershipChanges(),
                b.leaseQueries(),
                b.preVotes()
            };
            depth = 0;
        }

        World(World other) {
            nodes.addAll(other.nodes);
            links.putAll(other.links);
            leaderByTerm.putAll(other.leaderByTerm);
            committed.putAll(other.committed);
            remaining = other.remaining.clone();
            depth = other.depth + 1;
            now = other.now;
            lastCommand = other.lastCommand;
        }

        List<Step> steps() {
            List<Step> steps = new ArrayList<>();
            for (int i = 0; i < nodes.size(); i++) {
                Raft raft = nodes.get(i).raft;
                boolean leads = raft.role() == Raft.Role.LEADER;
                if (!leads && remaining[0] > 0 && raft.isVoter(nodes.get(i).id)) {
                    add(steps, EventKind.TIMEOUT, i, 0);
                }
                if (leads && remaining[1] > 0) {
                    add(steps, EventKind.HEARTBEAT, i, 0);
                }
                if (leads && remaining[2] > 0) {
                    add(steps, EventKind.COMMAND, i, 0);
                }
                if (remaining[6] > 0 && raft.isBoundByPriorLease()) {
                    add(steps, EventKind.LEASE_QUERY, i, 0);
                }
                if (!raft.hasActiveLeader() && remaining[7] > 0 && raft.isVoter(nodes.get(i).id)) {
                    add(steps, EventKind.PRE_VOTE, i, 0);
                }
                if (remaining[4] > 0) {
                    steps.add(new Step(EventKind.CRASH, i, 0, Completion.COMPLETED));
                }
                for (int other = 0; remaining[5] > 0 && raft.mayChangeMembers() && other < nodes.size(); other++) {
                    add(steps, EventKind.MEMBERSHIP_CHANGE, i, other);
                }
            }
            for (int link : links.keySet()) {
                add(steps, EventKind.DELIVER, link, 0);
                if (remaining[3] > 0) {
                    steps.add(new Step(EventKind.DROP, link, 0, Completion.COMPLETED));
                    if (links.get(link).size() > 1) {
                        steps.add(new Step(EventKind.DELIVER_FIRST, link, 0, Completion.COMPLETED));
                    }
                }
            }
            return steps;
        }

        private void add(List<Step> steps, EventKind kind, int node, int other) {
            for (Completion end : remaining[4] > 0 ? Completion.values() : new Completion[] {Completion.COMPLETED}) {
                steps.add(new Step(kind, node, other, end));
            }
        }

        void apply(Step step) {
            int i = step.node() % nodeCount;
            copyNode(i);
            switch (step.kind()) {
                case TIMEOUT -> {
                    remaining[0]--;
                    now += TIMEOUT_MILLIS;
                    nodes.get(i).raft.tick(now);
                }
                case HEARTBEAT -> {
                    remaining[1]--;
                    now += TIMING.heartbeatIntervalMillis();
                    nodes.get(i).raft.tick(now);
                }
                case COMMAND -> {
                    remaining[2]--;
                    nodes.get(i).raft.propose(new byte[] {(byte) ++lastCommand});
                }
                case MEMBERSHIP_CHANGE -> changeMembership(i, step.other());
                case LEASE_QUERY -> {
                    remaining[6]--;
                    nodes.get(i).raft.queryLastLeader();
                }
                case PRE_VOTE -> {
                    remaining[7]--;
                    nodes.get(i).raft.startPreVote();
                }
                case CRASH -> crash(i);
                default -> deliver(step);
            }
            complete(i, step.completion());
        }

        private void copyNode(int i) {
            Node node = nodes.get(i);
            nodes.set(i, new Node(node.id, node.disk, copy(node.raft, node.id, node.disk)));
        }

        /** Delivers or drops the messages on a link. */
        private void deliver(Step step) {
            List<Message> link = links.remove(step.node());
            int to = step.node() % nodeCount;
            if (step.kind() != EventKind.DELIVER) {
                remaining[3]--;
            }
            int taken = step.kind() == EventKind.DROP ? 0 : step.kind() == EventKind.DELIVER_FIRST ? 1 : link.size();
            link.subList(0, taken)
                    .forEach(message -> nodes.get(to).raft.receive(now, step.node() / nodeCount + 1, message));
        }

        /** Adds a node that is not a voter, or replaces a voter by such a node, or removes it if there is none. */
        private void changeMembership(int leader, int other) {
            remaining[5]--;
            Raft raft = nodes.get(leader).raft;
            List<Member> wanted = new ArrayList<>(raft.voters());
            wanted.remove(member(other));
            for (int i = 0; i < nodes.size(); i++) {
                if (!raft.isVoter(nodes.get(i).id) && (i == other || raft.isVoter(nodes.get(other).id))) {
                    raft.addLearner(member(i));
                    wanted.add(member(i));
                    break;
                }
            }
            raft.changeMembers(wanted);
        }

        private Member member(int i) {
            return new Member(nodes.get(i).id, "m" + i);
        }

        private void crash(int i) {
            remaining[4]--;
            Node node = nodes.get(i);
            nodes.set(i, new Node(node.id, node.disk, factory.create(node.id, node.disk, now)));
            links.keySet().removeIf(link -> link / nodeCount == i || link % nodeCount == i);
        }

        /** Writes, syncs, sends and applies the output of an event, up to the crash if there is one. */
        private void complete(int i, Completion end) {
            Output output = nodes.get(i).raft.drain();
            while (!output.isEmpty()) {
                Node node = nodes.get(i);
                if (end != Completion.CRASH_BEFORE_SYNC && syncs) {
                    nodes.set(i, new Node(node.id, Cluster.persist(node.disk, output), node.raft));
                }
                if (end != Completion.COMPLETED) {
                    break;
                }
                node.raft.persisted(output);
                for (Envelope envelope : output.messages()) {
                    links.merge(i * nodeCount + (int) envelope.to() - 1, List.of(envelope.message()), Model::concat);
                }
                output.committed().forEach(this::recordApplied);
                output = node.raft.drain();
            }
            if (end != Completion.COMPLETED) {
                crash(i);
                complete(i, Completion.COMPLETED);
            }
        }

        private void recordApplied(Entry entry) {
            Entry before = committed.putIfAbsent(entry.index(), entry);
            if (before != null && !before.equals(entry)) {
                throw new Cluster.InvariantViolation("two entries were applied at index " + entry.index());
            }
        }

        /** Checks election safety, log matching and leader completeness. */
        void check() {
            for (Node node : nodes) {
                if (node.raft.role() == Raft.Role.LEADER) {
                    Long before = leaderByTerm.putIfAbsent(node.raft.term(), node.id);
                    if (before != null && before != node.id) {
                        throw new Cluster.InvariantViolation("two leaders in term " + node.raft.term());
                    }
                    checkComplete(node);
                    checkLease(node);
                }
            }
            for (int a = 0; a < nodes.size(); a++) {
                for (int b = a + 1; b < nodes.size(); b++) {
                    checkMatch(log(nodes.get(a).raft), log(nodes.get(b).raft));
                }
            }
        }

        /** Checks that there was no leader of a later term while one holds a lease. */
        private void checkLease(Node leader) {
            if (leases
                    && leader.raft.holdsLease(now)
                    && leaderByTerm.keySet().stream().anyMatch(term -> term > leader.raft.term())) {
                throw new Cluster.InvariantViolation(
                        "a lease of term " + leader.raft.term() + " while there is a leader in a later term");
            }
        }

        private void checkComplete(Node leader) {
            Log log = log(leader.raft);
            committed.forEach((index, entry) -> {
                if (leader.raft.term() >= entry.term()
                        && isNewest(leader)
                        && index > log.baseSnapshot().index()
                        && (index > log.lastIndex() || !log.entry(index).equals(entry))) {
                    throw new Cluster.InvariantViolation(
                            "the leader of term " + leader.raft.term() + " lacks the committed entry " + index);
                }
            });
        }

        /** A disconnected leader may go on for a while and need not know of later commits. */
        private boolean isNewest(Node leader) {
            return nodes.stream().allMatch(node -> node.raft.term() <= leader.raft.term());
        }

        private void checkMatch(Log a, Log b) {
            long last = Math.min(a.lastIndex(), b.lastIndex());
            boolean matched = false;
            for (long index = last;
                    index > Math.max(a.baseSnapshot().index(), b.baseSnapshot().index());
                    index--) {
                boolean same = a.entry(index).equals(b.entry(index));
                if ((a.term(index) == b.term(index) && !same) || (matched && !same)) {
                    throw new Cluster.InvariantViolation(
                            "logs differ at index " + index + " although they share a term at or above it");
                }
                matched |= same;
            }
        }

        /** Returns a digest of everything that can influence the future of a state. */
        Key key() {
            StringBuilder text = new StringBuilder(2_048);
            nodes.forEach(node -> text.append(node.describe(now, leases)));
            text.append(links).append(leaderByTerm).append(committed);
            for (int one : remaining) {
                text.append(one).append(',');
            }
            return digest(text.append(lastCommand).toString());
        }
    }

    private static List<Message> concat(List<Message> first, List<Message> last) {
        List<Message> both = new ArrayList<>(first);
        both.addAll(last);
        return both;
    }

    // ---- identity of states

    private static String describe(Node node, long now, boolean leases) {
        StringBuilder text = new StringBuilder(512);
        for (Field field : FIELDS) {
            Object value = get(field, node.raft);
            switch (field.getName()) {
                case "now", "startedAt" -> {}
                case "priorLeasePending" -> text.append(leases ? node.raft.isBoundByPriorLease() : value);
                case "roundSentAt" -> text.append(leases ? ages((Map<?, ?>) value, now) : "");
                case "roundStartedAt" -> text.append(now - (long) value >= TIMING.heartbeatIntervalMillis() / 2);
                case "transferDeadline" -> text.append((long) value != 0);
                case "leaderContactAt" -> text.append(now - (long) value < TIMING.electionTimeoutMillis());
                case "progress" -> ((Map<?, ?>) value).values().forEach(p -> describe(text, (Progress) p, now, leases));
                case "log" -> describe(text, (Log) value);
                default -> text.append(value);
            }
            text.append(';');
        }
        return text.append(node.disk.hardState())
                .append(node.disk.snapshot().index())
                .append(node.disk.entries())
                .append('|')
                .toString();
    }

    /** Returns the rounds that may still count for a lease, each with the time since it was sent. */
    private static List<Object> ages(Map<?, ?> rounds, long now) {
        List<Object> ages = new ArrayList<>();
        rounds.forEach((round, sentAt) -> {
            if (now - (long) sentAt < TIMING.leaseMillis()) {
                ages.add(round);
                ages.add(now - (long) sentAt);
            }
        });
        return ages;
    }

    private static void describe(StringBuilder text, Progress p, long now, boolean leases) {
        long sinceReceived = now - p.lastReceivedMillis;
        text.append(p.member.id())
                .append(' ')
                .append(p.nextIndex)
                .append(' ')
                .append(p.matchIndex)
                .append(' ')
                .append(p.ackedRound)
                .append(' ')
                .append(sinceReceived < TIMING.electionTimeoutMillis())
                .append(sinceReceived < 2 * TIMING.electionTimeoutMillis())
                .append(now - p.lastRewindAt >= TIMING.heartbeatIntervalMillis() / 4)
                .append(leases ? Math.min(now - p.ackedRoundSentAt, TIMING.leaseMillis()) : "")
                .append(',');
    }

    private static void describe(StringBuilder text, Log log) {
        text.append(log.baseSnapshot().index())
                .append(log.entriesFrom(log.baseSnapshot().index() + 1, Integer.MAX_VALUE));
    }

    // ---- copies of the state machine, field by field

    private static List<Field> fields() {
        List<Field> fields = new ArrayList<>();
        for (Field field : Raft.class.getDeclaredFields()) {
            if (!Modifier.isStatic(field.getModifiers()) && !IGNORED_FIELDS.contains(field.getName())) {
                field.setAccessible(true);
                fields.add(field);
            }
        }
        return fields;
    }

    private static Object get(Field field, Raft raft) {
        try {
            return field.get(raft);
        } catch (IllegalAccessException e) {
            throw new IllegalStateException(e);
        }
    }

    private Raft copy(Raft raft, long id, PersistentState disk) {
        Raft copy = factory.create(id, disk, 0);
        try {
            for (Field field : FIELDS) {
                field.set(copy, copyOf(field.get(raft)));
            }
        } catch (IllegalAccessException e) {
            throw new IllegalStateException(e);
        }
        return copy;
    }

    private static Object copyOf(Object value) {
        if (value instanceof Log log) {
            return new Log(
                    log.baseSnapshot(), log.entriesFrom(log.baseSnapshot().index() + 1, Integer.MAX_VALUE));
        } else if (value instanceof LinkedHashMap<?, ?> map) {
            Map<Object, Object> copy = new LinkedHashMap<>();
            map.forEach((key, one) -> copy.put(key, one instanceof Progress p ? copyOf(p) : one));
            return copy;
        } else if (value instanceof HashSet<?> set) {
            return new HashSet<>(set);
        } else if (value instanceof ArrayList<?> list) {
            return new ArrayList<>(list);
        }
        return value;
    }

    private static Progress copyOf(Progress p) {
        Progress copy = new Progress(p.member, p.nextIndex, p.lastReceivedMillis);
        copy.matchIndex = p.matchIndex;
        copy.catchUpIndex = p.catchUpIndex;
        copy.ackedRound = p.ackedRound;
        copy.lastRewindAt = p.lastRewindAt;
        copy.ackedRoundSentAt = p.ackedRoundSentAt;
        return copy;
    }

    private static Log log(Raft raft) {
        return (Log) get(LOG, raft);
    }

    private static Key digest(String text) {
        try {
            ByteBuffer sum =
                    ByteBuffer.wrap(MessageDigest.getInstance("MD5").digest(text.getBytes(StandardCharsets.UTF_8)));
            return new Key(sum.getLong(), sum.getLong());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
