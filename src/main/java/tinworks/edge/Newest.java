package tinworks.edge;

/**
 * Whether an edge has ever held the newest version of the configuration. Guards against a fresh edge that takes clients
 * with what a core machine tells that is itself behind: only one that hears a leader knows what is newest.
 */
final class Newest {
    private long announced;
    private boolean reached;

    /** A core machine has a version, 0 where it has none; {@code fresh} where it hears a leader. */
    void announced(long rev, boolean fresh) {
        announced = fresh ? Math.max(announced, rev) : announced;
    }

    /** This edge holds a version; once it has held the newest it stays ready, whatever comes later. */
    void holds(long rev) {
        reached |= announced > 0 && rev >= announced;
    }

    boolean reached() {
        return reached;
    }
}
