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
 * Every order in which a bounded number of things can happen to a few members, each of them the production state
 * machine: time-outs, commands, changes of voters, connections that break, and crashes: between events, or in the
 * middle of one, before or after its sync. What one member has sent another is taken together and in order, as from a
 * connection; one that breaks loses all of it, or all but the first. States that were seen are not gone into again.
 */
final class Model {
    /** How often each thing may happen. */
    record Bounds(
            int electionTimeouts,
            int heartbeats,
            int commands,
            int connectionLosses,
            int crashes,
            int membershipChanges,
            int leaseQueries,
            int preVotes) {
        /** One in which nobody asks for the end of a lease, and time passes before anybody stands. */
        Bounds(int timeouts, int heartbeats, int commands, int losses, int crashes, int changes) {
            this(timeouts, heartbeats, commands, losses, crashes, changes, 0, 0);
        }
    }

    /** Makes a member; a flawed one is caught by the invariants. */
    interface RaftFactory {
        Raft create(long id, PersistentState stored, long now);
    }

    /** What a whole search found. */
    record SearchResult(long states, long steps, int maxDepth, long maxCommitted, long latestTerm) {}

    private static final long TIMEOUT_MILLIS = 10_000;
    private static final Timing TIMING = Cluster.TIMING;
    /**
     * What only says when a time-out comes, which here comes at any time, what never changes, and what followers tell
     * of leases, which decides nothing here and which {@link Cluster} checks.
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
    private final int machines;
    /** False where disks only say that they have synced. */
    private final boolean syncs;
    /**
     * Whether leases are part of a state and checked; else members forget their promises with a crash, and none is
     * looked at.
     */
    private final boolean leases;

    private final Set<Key> visited = new HashSet<>();
    private long steps;
    private int maxDepth;
    private long maxCommitted;
    /** The latest term in which a member has led. */
    private long latestTerm;

    private record Key(long high, long low) {}

    Model(int machines, boolean syncs, RaftFactory maker) {
        this(machines, syncs, false, maker);
    }

    private Model(int machines, boolean syncs, boolean leases, RaftFactory maker) {
        this.machines = machines;
        this.syncs = syncs;
        this.leases = leases;
        this.factory = maker;
    }

    /** One that checks leases too: lives begin when they do, and time stands still but for time-outs. */
    static Model withLeases(int machines, RaftFactory maker) {
        return new Model(machines, true, true, maker);
    }

    /** Members whose promises have lapsed at any start. */
    static Raft createWithoutLeases(long id, PersistentState stored, long now) {
        return new Raft(id, stored, TIMING, 1, 0);
    }

    static Raft createWithLeases(long id, PersistentState stored, long now) {
        return new Raft(id, stored, TIMING, 1, now);
    }

    /** Goes through all that can happen; a broken invariant ends as {@link Cluster.InvariantViolation}. */
    SearchResult search(int voters, Bounds bounds) {
        return search(voters, bounds, List.of());
    }

    /** The same, after these first steps. */
    SearchResult search(int voters, Bounds bounds, List<Step> begin) {
        World first = initialWorld(voters, bounds);
        for (Step step : begin) {
            first = successor(first, step);
        }
        ArrayDeque<World> open = new ArrayDeque<>();
        open.push(first);
        visited.add(first.key());
        while (!open.isEmpty()) {
            World world = open.pop();
            for (Step step : world.steps()) {
                World next = successor(world, step);
                if (visited.add(next.key())) {
                    open.push(next);
                }
            }
        }
        return new SearchResult(visited.size(), steps, maxDepth, maxCommitted, latestTerm);
    }

    /** A time-out of a member, and then what each of these wires holds is taken, from one to the other. */
    List<Step> election(int member, int... fromAndTo) {
        List<Step> steps = new ArrayList<>();
        steps.add(new Step(EventKind.TIMEOUT, member, 0, Completion.COMPLETED));
        for (int i = 0; i < fromAndTo.length; i += 2) {
            steps.add(new Step(EventKind.DELIVER, fromAndTo[i] * machines + fromAndTo[i + 1], 0, Completion.COMPLETED));
        }
        return steps;
    }

    /**
     * Goes so many ways by chance, each to its end, after the same first steps; returns the first that breaks an
     * invariant, or -1 where none does.
     */
    int randomWalks(int voters, Bounds bounds, List<Step> begin, long seed, int ways) {
        SplittableRandom random = new SplittableRandom(seed);
        for (int way = 0; way < ways; way++) {
            try {
                World world = initialWorld(voters, bounds);
                for (Step step : begin) {
                    world = successor(world, step);
                }
                for (List<Step> can = world.steps(); !can.isEmpty(); can = world.steps()) {
                    world = successor(world, can.get(random.nextInt(can.size())));
                }
            } catch (Cluster.InvariantViolation | IllegalStateException e) {
                return way;
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
        for (int i = 0; i < machines; i++) {
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

    /** How an event ends: carried out, or by a crash before or after the sync that it asks for. */
    enum Completion {
        COMPLETED,
        CRASH_BEFORE_SYNC,
        CRASH_AFTER_SYNC
    }

    /** One event of a path through the model. */
    record Step(EventKind kind, int node, int other, Completion completion) {}

    /** A member; only one that a step is about to change is copied, and the others are shared between worlds. */
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
        /** What some member has applied, by index. */
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
            for (int wire : links.keySet()) {
                add(steps, EventKind.DELIVER, wire, 0);
                if (remaining[3] > 0) {
                    steps.add(new Step(EventKind.DROP, wire, 0, Completion.COMPLETED));
                    if (links.get(wire).size() > 1) {
                        steps.add(new Step(EventKind.DELIVER_FIRST, wire, 0, Completion.COMPLETED));
                    }
                }
            }
            return steps;
        }

        private void add(List<Step> steps, EventKind what, int node, int other) {
            for (Completion end : remaining[4] > 0 ? Completion.values() : new Completion[] {Completion.COMPLETED}) {
                steps.add(new Step(what, node, other, end));
            }
        }

        void apply(Step step) {
            int i = step.node() % machines;
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

        /** Takes or loses what is on a wire. */
        private void deliver(Step step) {
            List<Message> wire = links.remove(step.node());
            int to = step.node() % machines;
            if (step.kind() != EventKind.DELIVER) {
                remaining[3]--;
            }
            int taken = step.kind() == EventKind.DROP ? 0 : step.kind() == EventKind.DELIVER_FIRST ? 1 : wire.size();
            wire.subList(0, taken)
                    .forEach(message -> nodes.get(to).raft.receive(now, step.node() / machines + 1, message));
        }

        /**
         * The machine that has no vote is let in; a voter changes places with one that has none, or goes where there is
         * none.
         */
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
            links.keySet().removeIf(wire -> wire / machines == i || wire % machines == i);
        }

        /** Writes, syncs, sends and applies what came of an event, as far as its end lets it. */
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
                    links.merge(i * machines + (int) envelope.to() - 1, List.of(envelope.message()), Model::concat);
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

        /** One leader a term, logs that match, leaders that have what was committed. */
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

        /** Nobody has led a later term while one holds a lease. */
        private void checkLease(Node leader) {
            if (leases
                    && leader.raft.holdsLease(now)
                    && leaderByTerm.keySet().stream().anyMatch(term -> term > leader.raft.term())) {
                throw new Cluster.InvariantViolation(
                        "a lease of term " + leader.raft.term() + " while one leads a later term");
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

        /** One that was cut off may go on as a leader for a while, and need not know what was committed since. */
        private boolean isNewest(Node leader) {
            return nodes.stream().allMatch(node -> node.raft.term() <= leader.raft.term());
        }

        private void checkMatch(Log a, Log b) {
            long last = Math.min(a.lastIndex(), b.lastIndex());
            boolean alike = false;
            for (long index = last;
                    index > Math.max(a.baseSnapshot().index(), b.baseSnapshot().index());
                    index--) {
                boolean same = a.entry(index).equals(b.entry(index));
                if ((a.term(index) == b.term(index) && !same) || (alike && !same)) {
                    throw new Cluster.InvariantViolation(
                            "logs differ at index " + index + " below or at a term that they share");
                }
                alike |= same;
            }
        }

        /** All by which the future of two states can differ. */
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

    // ---- what tells states apart

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

    /** When each round that may still count for a lease was sent. */
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
        long silent = now - p.lastReceivedMillis;
        text.append(p.member.id())
                .append(' ')
                .append(p.nextIndex)
                .append(' ')
                .append(p.matchIndex)
                .append(' ')
                .append(p.ackedRound)
                .append(' ')
                .append(silent < TIMING.electionTimeoutMillis())
                .append(silent < 2 * TIMING.electionTimeoutMillis())
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
