package tinworks.net;

/**
 * How much of the memory the bodies of all requests may take. Where short ones have a part of their own, long ones
 * can't keep them out. On one thread.
 */
public final class BodyBudget {
    /** Up to here a body is a short one. */
    public static final int SHORT_BODY_BYTES = 64 << 10;

    private final ByteBudget shortOnes;
    private final ByteBudget longOnes;
    /** Whether a body of unknown length takes what has come of it, and not the most that it may become. */
    private final boolean grows;

    private BodyBudget(ByteBudget shortOnes, ByteBudget longOnes, boolean grows) {
        this.shortOnes = shortOnes;
        this.longOnes = longOnes;
        this.grows = grows;
    }

    /** One budget for all; a body of unknown length takes the most that it may become. */
    public static BodyBudget shared(ByteBudget all) {
        return new BodyBudget(all, all, false);
    }

    /** A budget for short bodies and one for long ones; a body of unknown length takes what has come of it. */
    public static BodyBudget split(ByteBudget shortOnes, ByteBudget longOnes) {
        return new BodyBudget(shortOnes, longOnes, true);
    }

    /** Takes room for a body; null where there is none. A length below 0 is unknown. */
    Reservation take(long length, long largest) {
        long wanted = length >= 0 ? length : grows ? 0 : largest;
        ByteBudget from = wanted <= SHORT_BODY_BYTES ? shortOnes : longOnes;
        return from.tryReserve(wanted) ? new Reservation(from, wanted) : null;
    }

    /** Makes a reservation as large as what has come of its body; false where there is no room for it. */
    boolean cover(Reservation reserved, long come) {
        if (come <= reserved.bytes()) {
            return true;
        }
        if (come <= SHORT_BODY_BYTES || reserved.from() == longOnes) {
            return reserved.grow(come - reserved.bytes());
        }
        boolean fits = longOnes.tryReserve(come);
        if (fits) {
            reserved.move(longOnes, come);
        }
        return fits;
    }
}
