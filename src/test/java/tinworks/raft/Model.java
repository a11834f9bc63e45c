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
            int timeouts,
            int heartbeats,
            int commands,
            int losses,
            int crashes,
            int changes,
            int queries,
            int candidacies) {
        /** One in which nobody asks for the end of a lease, and time passes before anybody stands. */
        Bounds(int timeouts, int heartbeats, int commands, int losses, int crashes, int changes) {
            this(timeouts, heartbeats, commands, losses, crashes, changes, 0, 0);
        }
    }

    /** Makes a member; a flawed one is caught by the invariants. */
    interface Maker {
        Raft make(long id, PersistentState stored, long now);
    }

    /** What a whole search found. */
    record Found(long states, long steps, int deepest, long committed, long latestTerm) {}

    private static final long TIMEOUT_MILLIS = 10_000;
    private static final Timing TIMING = Cluster.TIMING;
    /**
     * What only says when a time-out comes, which here comes at any time, what never changes, and what followers tell
     * of leases, which decides nothing here and which {@link Cluster} checks.
     */
    private static final Set<String> LEFT_OUT =
            Set.of("self", "timing", "random", "electionAt", "heartbeatAt", "life", "freshUntil", "freshIndex");

    private static final List<Field> FIELDS = fields();
    private static final Field LOG = FIELDS.stream()
            .filter(field -> field.getName().equals("log"))
            .findFirst()
            .orElseThrow();

    private final Maker maker;
    private final int machines;
    /** False where disks only say that they have synced. */
    private final boolean syncs;
    /**
     * Whether leases are part of a state and checked; else members forget their promises with a crash, and none is
     * looked at.
     */
    private final boolean leases;

    private final Set<Key> seen = new HashSet<>();
    private long steps;
    private int deepest;
    private long committedAtMost;
    /** The latest term in which a member has led. */
    private long latestTerm;

    private record Key(long high, long low) {}

    Model(int machines, boolean syncs, Maker maker) {
        this(machines, syncs, false, maker);
    }

    private Model(int machines, boolean syncs, boolean leases, Maker maker) {
        this.machines = machines;
        this.syncs = syncs;
        this.leases = leases;
        this.maker = maker;
    }

    /** One that checks leases too: lives begin when they do, and time stands still but for time-outs. */
    static Model withLeases(int machines, Maker maker) {
        return new Model(machines, true, true, maker);
    }

    /** Members whose promises have lapsed at any start. */
    static Raft plain(long id, PersistentState stored, long now) {
        return new Raft(id, stored, TIMING, 1, 0);
    }

    static Raft leased(long id, PersistentState stored, long now) {
        return new Raft(id, stored, TIMING, 1, now);
    }

    /** Goes through all that can happen; a broken invariant ends as {@link Cluster.Broken}. */
    Found search(int voters, Bounds bounds) {
        return search(voters, bounds, List.of());
    }

    /** The same, after these first steps. */
    Found search(int voters, Bounds bounds, List<Step> begin) {
        World first = first(voters, bounds);
        for (Step step : begin) {
            first = next(first, step);
        }
        ArrayDeque<World> open = new ArrayDeque<>();
        open.push(first);
        seen.add(first.key());
        while (!open.isEmpty()) {
            World world = open.pop();
            for (Step step : world.steps()) {
                World next = next(world, step);
                if (seen.add(next.key())) {
                    open.push(next);
                }
            }
        }
        return new Found(seen.size(), steps, deepest, committedAtMost, latestTerm);
    }

    /** A time-out of a member, and then what each of these wires holds is taken, from one to the other. */
    List<Step> election(int member, int... fromAndTo) {
        List<Step> steps = new ArrayList<>();
        steps.add(new Step(What.TIMEOUT, member, 0, End.WHOLE));
        for (int i = 0; i < fromAndTo.length; i += 2) {
            steps.add(new Step(What.TAKE, fromAndTo[i] * machines + fromAndTo[i + 1], 0, End.WHOLE));
        }
        return steps;
    }

    /**
     * Goes so many ways by chance, each to its end, after the same first steps; returns the first that breaks an
     * invariant, or -1 where none does.
     */
    int walk(int voters, Bounds bounds, List<Step> begin, long seed, int ways) {
        SplittableRandom random = new SplittableRandom(seed);
        for (int way = 0; way < ways; way++) {
            try {
                World world = first(voters, bounds);
                for (Step step : begin) {
                    world = next(world, step);
                }
                for (List<Step> can = world.steps(); !can.isEmpty(); can = world.steps()) {
                    world = next(world, can.get(random.nextInt(can.size())));
                }
            } catch (Cluster.Broken | IllegalStateException e) {
                return way;
            }
        }
        return -1;
    }

    private World first(int voters, Bounds bounds) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < voters; i++) {
            members.add(new Member(i + 1, "m" + i));
        }
        World first = new World(bounds);
        for (int i = 0; i < machines; i++) {
            PersistentState disk = i < voters
                    ? new PersistentState(HardState.NONE, new Snapshot(0, 0, members, new byte[0]), List.of())
                    : PersistentState.EMPTY;
            first.nodes.add(new Node(i + 1, disk, maker.make(i + 1, disk, 0)));
        }
        return first;
    }

    private World next(World world, Step step) {
        World next = new World(world);
        next.take(step);
        steps++;
        next.check();
        committedAtMost = Math.max(committedAtMost, next.committed.size());
        deepest = Math.max(deepest, next.depth);
        latestTerm = next.leaders.keySet().stream().reduce(latestTerm, Math::max);
        return next;
    }

    /** The kinds of event. */
    enum What {
        TIMEOUT,
        HEARTBEAT,
        COMMAND,
        TAKE,
        LOSE,
        TAKE_ONE,
        CRASH,
        CHANGE,
        QUERY,
        STAND
    }

    /** How an event ends: carried out, or by a crash before or after the sync that it asks for. */
    enum End {
        WHOLE,
        UNWRITTEN,
        UNSENT
    }

    /** One event of a path through the model. */
    record Step(What what, int node, int other, End end) {}

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
        private final Map<Integer, List<Message>> wires = new TreeMap<>();
        private final Map<Long, Long> leaders = new TreeMap<>();
        /** What some member has applied, by index. */
        private final Map<Long, Entry> committed = new TreeMap<>();

        private final int[] left;
        private final int depth;
        private long now;
        private int written;

        World(Bounds b) {
            left = new int[] {
                b.timeouts(),
                b.heartbeats(),
                b.commands(),
                b.losses(),
                b.crashes(),
                b.changes(),
                b.queries(),
                b.candidacies()
            };
            depth = 0;
        }

        World(World other) {
            nodes.addAll(other.nodes);
            wires.putAll(other.wires);
            leaders.putAll(other.leaders);
            committed.putAll(other.committed);
            left = other.left.clone();
            depth = other.depth + 1;
            now = other.now;
            written = other.written;
        }

        List<Step> steps() {
            List<Step> steps = new ArrayList<>();
            for (int i = 0; i < nodes.size(); i++) {
                Raft raft = nodes.get(i).raft;
                boolean leads = raft.role() == Raft.Role.LEADER;
                if (!leads && left[0] > 0 && raft.isVoter(nodes.get(i).id)) {
                    add(steps, What.TIMEOUT, i, 0);
                }
                if (leads && left[1] > 0) {
                    add(steps, What.HEARTBEAT, i, 0);
                }
                if (leads && left[2] > 0) {
                    add(steps, What.COMMAND, i, 0);
                }
                if (left[6] > 0 && raft.mayHavePromised()) {
                    add(steps, What.QUERY, i, 0);
                }
                if (!raft.content() && left[7] > 0 && raft.isVoter(nodes.get(i).id)) {
                    add(steps, What.STAND, i, 0);
                }
                if (left[4] > 0) {
                    steps.add(new Step(What.CRASH, i, 0, End.WHOLE));
                }
                for (int other = 0; left[5] > 0 && raft.mayChangeMembers() && other < nodes.size(); other++) {
                    add(steps, What.CHANGE, i, other);
                }
            }
            for (int wire : wires.keySet()) {
                add(steps, What.TAKE, wire, 0);
                if (left[3] > 0) {
                    steps.add(new Step(What.LOSE, wire, 0, End.WHOLE));
                    if (wires.get(wire).size() > 1) {
                        steps.add(new Step(What.TAKE_ONE, wire, 0, End.WHOLE));
                    }
                }
            }
            return steps;
        }

        private void add(List<Step> steps, What what, int node, int other) {
            for (End end : left[4] > 0 ? End.values() : new End[] {End.WHOLE}) {
                steps.add(new Step(what, node, other, end));
            }
        }

        void take(Step step) {
            int i = step.node() % machines;
            own(i);
            switch (step.what()) {
                case TIMEOUT -> {
                    left[0]--;
                    now += TIMEOUT_MILLIS;
                    nodes.get(i).raft.tick(now);
                }
                case HEARTBEAT -> {
                    left[1]--;
                    now += TIMING.heartbeatMillis();
                    nodes.get(i).raft.tick(now);
                }
                case COMMAND -> {
                    left[2]--;
                    nodes.get(i).raft.propose(new byte[] {(byte) ++written});
                }
                case CHANGE -> change(i, step.other());
                case QUERY -> {
                    left[6]--;
                    nodes.get(i).raft.askLastLeader();
                }
                case STAND -> {
                    left[7]--;
                    nodes.get(i).raft.ask();
                }
                case CRASH -> crash(i);
                default -> message(step);
            }
            carryOut(i, step.end());
        }

        private void own(int i) {
            Node node = nodes.get(i);
            nodes.set(i, new Node(node.id, node.disk, copy(node.raft, node.id, node.disk)));
        }

        /** Takes or loses what is on a wire. */
        private void message(Step step) {
            List<Message> wire = wires.remove(step.node());
            int to = step.node() % machines;
            if (step.what() != What.TAKE) {
                left[3]--;
            }
            int taken = step.what() == What.LOSE ? 0 : step.what() == What.TAKE_ONE ? 1 : wire.size();
            wire.subList(0, taken)
                    .forEach(message -> nodes.get(to).raft.receive(now, step.node() / machines + 1, message));
        }

        /**
         * The machine that has no vote is let in; a voter changes places with one that has none, or goes where there is
         * none.
         */
        private void change(int leader, int other) {
            left[5]--;
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
            left[4]--;
            Node node = nodes.get(i);
            nodes.set(i, new Node(node.id, node.disk, maker.make(node.id, node.disk, now)));
            wires.keySet().removeIf(wire -> wire / machines == i || wire % machines == i);
        }

        /** Writes, syncs, sends and applies what came of an event, as far as its end lets it. */
        private void carryOut(int i, End end) {
            Output output = nodes.get(i).raft.drain();
            while (!output.isEmpty()) {
                Node node = nodes.get(i);
                if (end != End.UNWRITTEN && syncs) {
                    nodes.set(i, new Node(node.id, Cluster.written(node.disk, output), node.raft));
                }
                if (end != End.WHOLE) {
                    break;
                }
                node.raft.persisted(output);
                for (Envelope envelope : output.messages()) {
                    wires.merge(i * machines + (int) envelope.to() - 1, List.of(envelope.message()), Model::joined);
                }
                output.committed().forEach(this::applied);
                output = node.raft.drain();
            }
            if (end != End.WHOLE) {
                crash(i);
                carryOut(i, End.WHOLE);
            }
        }

        private void applied(Entry entry) {
            Entry before = committed.putIfAbsent(entry.index(), entry);
            if (before != null && !before.equals(entry)) {
                throw new Cluster.Broken("two entries were applied at index " + entry.index());
            }
        }

        /** One leader a term, logs that match, leaders that have what was committed. */
        void check() {
            for (Node node : nodes) {
                if (node.raft.role() == Raft.Role.LEADER) {
                    Long before = leaders.putIfAbsent(node.raft.term(), node.id);
                    if (before != null && before != node.id) {
                        throw new Cluster.Broken("two leaders in term " + node.raft.term());
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
                    && leaders.keySet().stream().anyMatch(term -> term > leader.raft.term())) {
                throw new Cluster.Broken("a lease of term " + leader.raft.term() + " while one leads a later term");
            }
        }

        private void checkComplete(Node leader) {
            Log log = log(leader.raft);
            committed.forEach((index, entry) -> {
                if (leader.raft.term() >= entry.term()
                        && isNewest(leader)
                        && index > log.base().index()
                        && (index > log.lastIndex() || !log.entry(index).equals(entry))) {
                    throw new Cluster.Broken(
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
            for (long index = last; index > Math.max(a.base().index(), b.base().index()); index--) {
                boolean same = a.entry(index).equals(b.entry(index));
                if ((a.term(index) == b.term(index) && !same) || (alike && !same)) {
                    throw new Cluster.Broken("logs differ at index " + index + " below or at a term that they share");
                }
                alike |= same;
            }
        }

        /** All by which the future of two states can differ. */
        Key key() {
            StringBuilder text = new StringBuilder(2_048);
            nodes.forEach(node -> text.append(node.describe(now, leases)));
            text.append(wires).append(leaders).append(committed);
            for (int one : left) {
                text.append(one).append(',');
            }
            return digest(text.append(written).toString());
        }
    }

    private static List<Message> joined(List<Message> first, List<Message> last) {
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
                case "promiseOpen" -> text.append(leases ? node.raft.mayHavePromised() : value);
                case "rounds" -> text.append(leases ? ages((Map<?, ?>) value, now) : "");
                case "roundAt" -> text.append(now - (long) value >= TIMING.heartbeatMillis() / 2);
                case "leavesAt" -> text.append((long) value != 0);
                case "heardLeaderAt" -> text.append(now - (long) value < TIMING.electionMillis());
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
        long silent = now - p.heardAt;
        text.append(p.member.id())
                .append(' ')
                .append(p.next)
                .append(' ')
                .append(p.match)
                .append(' ')
                .append(p.round)
                .append(' ')
                .append(silent < TIMING.electionMillis())
                .append(silent < 2 * TIMING.electionMillis())
                .append(now - p.rewoundAt >= TIMING.heartbeatMillis() / 4)
                .append(leases ? Math.min(now - p.askedAt, TIMING.leaseMillis()) : "")
                .append(',');
    }

    private static void describe(StringBuilder text, Log log) {
        text.append(log.base().index()).append(log.from(log.base().index() + 1, Integer.MAX_VALUE));
    }

    // ---- copies of the state machine, field by field

    private static List<Field> fields() {
        List<Field> fields = new ArrayList<>();
        for (Field field : Raft.class.getDeclaredFields()) {
            if (!Modifier.isStatic(field.getModifiers()) && !LEFT_OUT.contains(field.getName())) {
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
        Raft copy = maker.make(id, disk, 0);
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
            return new Log(log.base(), log.from(log.base().index() + 1, Integer.MAX_VALUE));
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
        Progress copy = new Progress(p.member, p.next, p.heardAt);
        copy.match = p.match;
        copy.target = p.target;
        copy.round = p.round;
        copy.rewoundAt = p.rewoundAt;
        copy.askedAt = p.askedAt;
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
