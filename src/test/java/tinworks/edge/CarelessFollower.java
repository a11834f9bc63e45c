package tinworks.edge;

/** Broken on purpose: it takes whatever version comes. */
public final class CarelessFollower extends CoreFollower {
    /** One that knows nothing yet. */
    public CarelessFollower(Owner owner) {
        super(owner);
    }

    @Override
    boolean isNewer(long rev, long held) {
        return rev != held;
    }
}
