package tinworks.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import tinworks.soak.Trouble.Kind;
import tinworks.soak.Trouble.Side;

/**
 * The troubles of a day, drawn from its seed: waves in which two to four overlap, with calm between them. No wave but
 * every third strikes the core, so that what holds for machines in touch is judged as well.
 */
public final class Schedule {
    private static final int FEWEST = 2;
    private static final int MOST = 4;
    private static final long WAVE_MILLIS = 5_000;
    /** Longer than it takes until machines are in touch again. */
    static final long CALM_MILLIS = 5_500;
    /** Within a wave troubles begin so near to each other that they overlap. */
    private static final long START_MILLIS = 2_000;

    private static final long LEAST_MILLIS = 1_200;
    private static final int TARGETS = 1_000;
    /** The longest pause between the beginnings of two troubles of a dense day. */
    private static final long DENSE_GAP_MILLIS = 1_100;

    private static final int CORE_EVERY = 3;

    private Schedule() {}

    /** The kinds that are drawn where nothing else is asked for. */
    public static Set<Kind> usual() {
        Set<Kind> usual = EnumSet.allOf(Kind.class);
        // What a machine can't hold is refused or not; it is played by scripts, as it takes seconds to read.
        usual.remove(Kind.HUGE_ORDERS);
        return usual;
    }

    /** The troubles for a day of so many seconds, by when they begin; a disk is lost once at most. */
    public static List<Trouble> draw(long seed, long seconds, Set<Kind> kinds) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Trouble> drawn = new ArrayList<>();
        boolean diskLost = false;
        int wave = random.nextInt(CORE_EVERY);
        for (long at = 0; at + WAVE_MILLIS + CALM_MILLIS <= seconds * 1_000; at += WAVE_MILLIS + CALM_MILLIS) {
            boolean core = wave++ % CORE_EVERY == 0;
            List<Kind> there = kinds.stream()
                    .filter(kind -> core || kind.side() != Side.CORE)
                    .toList();
            int count = FEWEST + random.nextInt(MOST - FEWEST + 1);
            for (int i = 0; i < count && !there.isEmpty(); i++) {
                Kind kind = core && i == 0 ? ofCore(there, random) : there.get(random.nextInt(there.size()));
                if (kind == Kind.LOSE_DISK && diskLost) {
                    continue;
                }
                diskLost |= kind == Kind.LOSE_DISK;
                long begins = at + random.nextLong(START_MILLIS);
                long lasts = LEAST_MILLIS + random.nextLong(at + WAVE_MILLIS - begins - LEAST_MILLIS);
                drawn.add(new Trouble(kind, begins, lasts, random.nextInt(TARGETS)));
            }
        }
        drawn.sort(Comparator.comparingLong(Trouble::atMillis));
        return drawn;
    }

    /**
     * The troubles of a dense day: one begins every half second or so, whatever is still going on, so that series of
     * signals, restarts and changes overlap with each other and with all the rest. Nothing is in touch for long in such
     * a day: it is for what holds at all times.
     */
    public static List<Trouble> drawDense(long seed, long seconds, Set<Kind> kinds) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Kind> among = List.copyOf(kinds);
        List<Trouble> drawn = new ArrayList<>();
        boolean diskLost = false;
        long end = seconds * 1_000 - CALM_MILLIS;
        for (long at = random.nextLong(DENSE_GAP_MILLIS); at < end; at += 1 + random.nextLong(DENSE_GAP_MILLIS)) {
            Kind kind = among.get(random.nextInt(among.size()));
            if (kind == Kind.LOSE_DISK && diskLost) {
                continue;
            }
            diskLost |= kind == Kind.LOSE_DISK;
            long lasts = LEAST_MILLIS + random.nextLong(WAVE_MILLIS - LEAST_MILLIS);
            drawn.add(new Trouble(kind, at, Math.min(lasts, end - at), random.nextInt(TARGETS)));
        }
        return drawn;
    }

    private static Kind ofCore(List<Kind> kinds, SplittableRandom random) {
        List<Kind> core =
                kinds.stream().filter(kind -> kind.side() == Side.CORE).toList();
        List<Kind> among = core.isEmpty() ? kinds : core;
        return among.get(random.nextInt(among.size()));
    }
}
