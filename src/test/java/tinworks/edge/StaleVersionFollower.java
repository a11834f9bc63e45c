package tinworks.edge;

/** Broken on purpose: it takes whatever version comes. */
public final class StaleVersionFollower extends CoreFollower {
    /** One that knows nothing yet. */
    public StaleVersionFollower(Callbacks owner) {
        super(owner);
    }

    @Override
    boolean isNewer(long rev, long held) {
        return rev != held;
    }
}
