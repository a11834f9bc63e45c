package tinworks.net;

/**
 * Memory budget for the bodies of all requests. With a separate share for short bodies, long ones cannot starve them.
 * Not thread-safe.
 */
public final class BodyBudget {
    /** Bodies up to this size are short. */
    public static final int SHORT_BODY_BYTES = 64 << 10;

    private final ByteBudget shortBodies;
    private final ByteBudget longBodies;
    /** Whether a body of unknown length reserves what has been received, rather than the maximum. */
    private final boolean reservesAsReceived;

    private BodyBudget(ByteBudget shortBodies, ByteBudget longBodies, boolean reservesAsReceived) {
        this.shortBodies = shortBodies;
        this.longBodies = longBodies;
        this.reservesAsReceived = reservesAsReceived;
    }

    /** One budget for all bodies; a body of unknown length reserves the maximum. */
    public static BodyBudget shared(ByteBudget all) {
        return new BodyBudget(all, all, false);
    }

    /** Separate budgets for short and long bodies; a body of unknown length reserves what has been received. */
    public static BodyBudget split(ByteBudget shortBodies, ByteBudget longBodies) {
        return new BodyBudget(shortBodies, longBodies, true);
    }

    /** Reserves memory for a body, or returns null if there is not enough. A negative length is unknown. */
    Reservation tryReserve(long length, long maxBytes) {
        long wanted = length >= 0 ? length : reservesAsReceived ? 0 : maxBytes;
        ByteBudget from = wanted <= SHORT_BODY_BYTES ? shortBodies : longBodies;
        return from.tryReserve(wanted) ? new Reservation(from, wanted) : null;
    }

    /** Extends a reservation to the received size of its body, or returns false if there is not enough memory. */
    boolean tryCover(Reservation reservation, long receivedBytes) {
        if (receivedBytes <= reservation.bytes()) {
            return true;
        }
        if (receivedBytes <= SHORT_BODY_BYTES || reservation.budget() == longBodies) {
            return reservation.grow(receivedBytes - reservation.bytes());
        }
        boolean fits = longBodies.tryReserve(receivedBytes);
        if (fits) {
            reservation.moveTo(longBodies, receivedBytes);
        }
        return fits;
    }
}
