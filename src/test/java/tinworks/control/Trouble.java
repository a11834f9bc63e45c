package tinworks.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * One trouble of a day.
 *
 * @param at the day's milliseconds
 * @param who {@code leader}, {@code other} (one that doesn't lead), {@code any}, or a machine's name
 * @param lasts milliseconds
 * @param x what the kind takes it for
 */
record Trouble(long at, Kind kind, String who, long lasts, long x) {
    /** What may happen; on the line, in lower case. */
    enum Kind {
        /** The process is killed and comes back. */
        KILL,
        /** Power is lost and comes back. */
        POWER,
        /** All processes of core machines are killed; x: 1 for a loss of power. */
        ALL,
        /** Frozen for a while. */
        FREEZE,
        /** Each piece of work takes x microseconds, and its links 40 bytes a millisecond. */
        SLOW,
        /** Cut off from the other core machines; x: 0 both ways, 1 inwards, 2 outwards. */
        CUT,
        /** Cut off; it is started again during the cut, then the others, one after the other. */
        CUT_BOTH,
        /** Cut off; edges that start meanwhile get it as their first seed. */
        CUT_SEEDS,
        /** Connections between core machines are reset; x: how many machines'. */
        RESET,
        /** Replaced in good order: the new one first, and SIGTERM to the old one after x ms. */
        REPLACE,
        /** Lost for good; an empty one comes x ms later at another address. */
        LOSE,
        /** The disk is lost; the machine is back with an empty one. */
        WIPE,
        /** The next machine that acknowledges a change is killed within 4 ms; x: 1 power lost, 2 disk lost. */
        AFTER_ACK,
        /** The leader, x ms after the next change is sent, loses power; lasts: as for POWER. */
        AFTER_SEND,
        /** As AFTER_SEND, and the disk is lost. */
        WIPE_AFTER_SEND,
        /** The disk stands still. */
        STALL,
        /** The disk takes nothing. */
        FULL,
        /** An edge starts anew. */
        EDGE_START,
        /** An edge is cut off from all core machines. */
        EDGE_CUT,
        /** x pairs of racing orders. */
        RACES,
        /** x changes at once, as fast as they are taken. */
        CHANGES
    }

    private static final Kind[] KINDS = Kind.values();

    static Trouble parse(String line) {
        String[] parts = line.trim().split("\\s+");
        return new Trouble(
                Long.parseLong(parts[0]),
                Kind.valueOf(parts[1].toUpperCase(Locale.ROOT)),
                parts[2],
                Long.parseLong(parts[3]),
                Long.parseLong(parts[4]));
    }

    static List<Trouble> script(String text) {
        return text.lines().filter(line -> !line.isBlank()).map(Trouble::parse).toList();
    }

    /** What a day of so many milliseconds is drawn from. */
    static List<Trouble> draw(SplittableRandom random, long from, long until, int machines, int edges) {
        List<Trouble> drawn = new ArrayList<>();
        for (int left = 1 + random.nextInt(9); left > 0; left--) {
            drawn.add(one(random, from + random.nextLong(until - from), machines, edges));
        }
        drawn.sort(Comparator.comparingLong(Trouble::at));
        return drawn;
    }

    private static Trouble one(SplittableRandom random, long at, int machines, int edges) {
        Kind kind = KINDS[random.nextInt(KINDS.length)];
        String who = switch (random.nextInt(4)) {
            case 0, 1 -> "leader";
            case 2 -> "other";
            default -> "m" + (1 + random.nextInt(machines));
        };
        return switch (kind) {
            case KILL, POWER, WIPE ->
                new Trouble(at, kind, who, 200 + random.nextLong(random.nextInt(3) == 0 ? 9_000 : 2_000), 0);
            case ALL -> new Trouble(at, kind, "all", 200 + random.nextLong(2_000), random.nextInt(2));
            case FREEZE -> new Trouble(at, kind, who, 100 + random.nextLong(8_000), 0);
            case SLOW -> new Trouble(at, kind, who, 1_000 + random.nextLong(6_000), 2_000 + random.nextLong(30_000));
            case CUT, CUT_BOTH, CUT_SEEDS ->
                new Trouble(
                        at,
                        kind,
                        who,
                        500 + random.nextLong(random.nextInt(3) == 0 ? 20_000 : 6_000),
                        random.nextInt(3));
            case RESET -> new Trouble(at, kind, who, 0, 1 + random.nextInt(machines));
            case REPLACE, LOSE -> new Trouble(at, kind, who, 0, 500 + random.nextLong(2_000));
            case AFTER_ACK -> new Trouble(at, kind, "acker", 500 + random.nextLong(3_000), random.nextInt(3));
            case AFTER_SEND, WIPE_AFTER_SEND ->
                new Trouble(
                        at,
                        kind,
                        random.nextBoolean() ? "leader" : "any",
                        500 + random.nextLong(3_000),
                        5 + random.nextLong(random.nextBoolean() ? 40 : 395));
            case STALL, FULL -> new Trouble(at, kind, who, 300 + random.nextLong(5_000), 0);
            case EDGE_START, EDGE_CUT ->
                new Trouble(at, kind, "e" + (1 + random.nextInt(edges)), 500 + random.nextLong(8_000), 0);
            case RACES -> new Trouble(at, kind, "operators", 0, 1 + random.nextInt(10));
            case CHANGES -> new Trouble(at, kind, "operators", 0, 5 + random.nextInt(60));
        };
    }

    /** The line that {@link #parse} reads. */
    @Override
    public String toString() {
        return at + " " + kind.name().toLowerCase(Locale.ROOT) + " " + who + " " + lasts + " " + x;
    }
}
