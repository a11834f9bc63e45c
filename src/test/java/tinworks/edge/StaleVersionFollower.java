package tinworks.edge;

/** A mutant that accepts any version that differs, even an older one. */
public final class StaleVersionFollower extends CoreFollower {
    /** Creates a follower that has received nothing yet. */
    public StaleVersionFollower(Callbacks callbacks) {
        super(callbacks);
    }

    @Override
    boolean isNewer(long rev, long held) {
        return rev != held;
    }
}
