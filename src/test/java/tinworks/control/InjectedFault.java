package tinworks.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * A fault that is injected into a simulated day. Its text form is the line {@code atMillis kind target durationMillis
 * argument}.
 *
 * @param atMillis the time of the day at which it is injected
 * @param target {@code leader}, {@code other} (a node that does not lead), {@code any}, or the name of a node
 * @param argument its meaning depends on the kind
 */
record InjectedFault(long atMillis, Kind kind, String target, long durationMillis, long argument) {
    /** The kinds of faults; written in lower case in the text form. */
    enum Kind {
        /** The process of a core node is killed, and restarted after the duration. */
        KILL,
        /** A core node loses power for the duration. */
        POWER,
        /** All core processes are killed; argument 1: they lose power instead. */
        ALL,
        /** The process is suspended for the duration. */
        FREEZE,
        /** Each task takes {@code argument} microseconds, and links of the node carry 40 bytes a millisecond. */
        SLOW,
        /** Partitioned from the other core nodes; argument 0: in both directions, 1: inbound, 2: outbound. */
        CUT,
        /** Partitioned in both directions and restarted meanwhile; the other nodes are restarted one by one later. */
        CUT_BOTH,
        /** Partitioned; the edges are restarted during the partition with the node as their first seed. */
        CUT_SEEDS,
        /** Connections of {@code argument} random core nodes to all others are reset. */
        RESET,
        /** A planned replacement: a new node starts, and the old one gets SIGTERM {@code argument} ms later. */
        REPLACE,
        /** The node is lost for good; an empty one starts {@code argument} ms later at another address. */
        LOSE,
        /** The disk is lost; the node restarts with an empty one after the duration. */
        WIPE,
        /** The next node that acknowledges a change is stopped within 4 ms; argument 1: power loss, 2: disk loss. */
        AFTER_ACK,
        /** The target loses power {@code argument} ms after the next change is sent, for the duration. */
        AFTER_SEND,
        /** As {@link #AFTER_SEND}, and the disk is lost as well. */
        WIPE_AFTER_SEND,
        /** The disk does not complete any write for the duration. */
        STALL,
        /** The disk rejects all writes for the duration. */
        FULL,
        /** An edge is restarted. */
        EDGE_START,
        /** An edge is partitioned from all core nodes. */
        EDGE_CUT,
        /** Operators send {@code argument} pairs of conflicting changes. */
        RACES,
        /** Operators send {@code argument} changes in quick succession. */
        CHANGES
    }

    private static final Kind[] KINDS = Kind.values();

    static InjectedFault parse(String line) {
        String[] parts = line.trim().split("\\s+");
        return new InjectedFault(
                Long.parseLong(parts[0]),
                Kind.valueOf(parts[1].toUpperCase(Locale.ROOT)),
                parts[2],
                Long.parseLong(parts[3]),
                Long.parseLong(parts[4]));
    }

    static List<InjectedFault> parseScript(String text) {
        return text.lines()
                .filter(line -> !line.isBlank())
                .map(InjectedFault::parse)
                .toList();
    }

    /** Draws the random faults of a day, between two times. */
    static List<InjectedFault> drawFaults(SplittableRandom random, long from, long until, int machines, int edges) {
        List<InjectedFault> faults = new ArrayList<>();
        for (int remaining = 1 + random.nextInt(9); remaining > 0; remaining--) {
            faults.add(drawFault(random, from + random.nextLong(until - from), machines, edges));
        }
        faults.sort(Comparator.comparingLong(InjectedFault::atMillis));
        return faults;
    }

    private static InjectedFault drawFault(SplittableRandom random, long at, int machines, int edges) {
        Kind kind = KINDS[random.nextInt(KINDS.length)];
        String target = switch (random.nextInt(4)) {
            case 0, 1 -> "leader";
            case 2 -> "other";
            default -> "m" + (1 + random.nextInt(machines));
        };
        return switch (kind) {
            case KILL, POWER, WIPE ->
                new InjectedFault(at, kind, target, 200 + random.nextLong(random.nextInt(3) == 0 ? 9_000 : 2_000), 0);
            case ALL -> new InjectedFault(at, kind, "all", 200 + random.nextLong(2_000), random.nextInt(2));
            case FREEZE -> new InjectedFault(at, kind, target, 100 + random.nextLong(8_000), 0);
            case SLOW ->
                new InjectedFault(at, kind, target, 1_000 + random.nextLong(6_000), 2_000 + random.nextLong(30_000));
            case CUT, CUT_BOTH, CUT_SEEDS ->
                new InjectedFault(
                        at,
                        kind,
                        target,
                        500 + random.nextLong(random.nextInt(3) == 0 ? 20_000 : 6_000),
                        random.nextInt(3));
            case RESET -> new InjectedFault(at, kind, target, 0, 1 + random.nextInt(machines));
            case REPLACE, LOSE -> new InjectedFault(at, kind, target, 0, 500 + random.nextLong(2_000));
            case AFTER_ACK -> new InjectedFault(at, kind, "acker", 500 + random.nextLong(3_000), random.nextInt(3));
            case AFTER_SEND, WIPE_AFTER_SEND ->
                new InjectedFault(
                        at,
                        kind,
                        random.nextBoolean() ? "leader" : "any",
                        500 + random.nextLong(3_000),
                        5 + random.nextLong(random.nextBoolean() ? 40 : 395));
            case STALL, FULL -> new InjectedFault(at, kind, target, 300 + random.nextLong(5_000), 0);
            case EDGE_START, EDGE_CUT ->
                new InjectedFault(at, kind, "e" + (1 + random.nextInt(edges)), 500 + random.nextLong(8_000), 0);
            case RACES -> new InjectedFault(at, kind, "operators", 0, 1 + random.nextInt(10));
            case CHANGES -> new InjectedFault(at, kind, "operators", 0, 5 + random.nextInt(60));
        };
    }

    /** Returns the line that {@link #parse} reads. */
    @Override
    public String toString() {
        return atMillis + " " + kind.name().toLowerCase(Locale.ROOT) + " " + target + " " + durationMillis + " "
                + argument;
    }
}
