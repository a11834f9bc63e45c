package tinworks.net;

/** Bytes taken out of a {@link ByteBudget}, which go back once the last holder has released them. On one thread. */
public final class Reservation {
    /** Of nothing: it may be retained and released as often as anybody likes. */
    static final Reservation NONE = new Reservation(null, 0);

    private ByteBudget from;
    private long bytes;
    private int holders = 1;

    /** Bytes that were taken; the caller is their first holder. */
    Reservation(ByteBudget from, long bytes) {
        this.from = from;
        this.bytes = bytes;
    }

    /** How many bytes are held. */
    long bytes() {
        return bytes;
    }

    /** Which budget they were taken from. */
    ByteBudget from() {
        return from;
    }

    /** Takes more out of the same budget, or nothing and tells false where there aren't so many left. */
    boolean grow(long more) {
        boolean fits = from.tryReserve(more);
        bytes += fits ? more : 0;
        return fits;
    }

    /** Holds bytes of another budget, which were taken, in place of its own. */
    void move(ByteBudget to, long taken) {
        from.release(bytes);
        from = to;
        bytes = taken;
    }

    /** One more holder. */
    public Reservation retain() {
        holders += from == null ? 0 : 1;
        return this;
    }

    /** One holder less; the last one gives the bytes back. */
    public void release() {
        if (from != null && --holders == 0) {
            from.release(bytes);
            bytes = 0;
        }
    }
}
