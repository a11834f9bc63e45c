package tinworks.net;

/** Reference-counted bytes of a {@link ByteBudget}, returned when the last holder releases them. Not thread-safe. */
public final class Reservation {
    /** Reserves nothing; retaining and releasing it has no effect. */
    static final Reservation NONE = new Reservation(null, 0);

    private ByteBudget budget;
    private long bytes;
    private int holders = 1;

    /** Wraps bytes that the caller has reserved; the caller is the first holder. */
    Reservation(ByteBudget budget, long bytes) {
        this.budget = budget;
        this.bytes = bytes;
    }

    long bytes() {
        return bytes;
    }

    ByteBudget budget() {
        return budget;
    }

    /** Reserves more from the same budget, or returns false if not that many bytes are left. */
    boolean grow(long more) {
        boolean fits = budget.tryReserve(more);
        bytes += fits ? more : 0;
        return fits;
    }

    /** Replaces the reserved bytes by ones that the caller has reserved from another budget. */
    void moveTo(ByteBudget other, long reservedBytes) {
        budget.release(bytes);
        budget = other;
        bytes = reservedBytes;
    }

    /** Adds a holder. */
    public Reservation retain() {
        holders += budget == null ? 0 : 1;
        return this;
    }

    /** Removes a holder; the last one returns the bytes to the budget. */
    public void release() {
        if (budget != null && --holders == 0) {
            budget.release(bytes);
            bytes = 0;
        }
    }
}
