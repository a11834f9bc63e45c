package tinworks.channel;

/** How new a list of hosts is: the term of the leader that fetched it, and a count within the term. */
public record HostListVersion(long term, long count) implements Comparable<HostListVersion> {
    /** Before the first list. */
    public static final HostListVersion NONE = new HostListVersion(0, 0);

    /**
     * Whether it is the same. By hand: the comparison that the runtime makes for a record costs a cold start ten
     * milliseconds.
     */
    public boolean isSameAs(HostListVersion other) {
        return term == other.term && count == other.count;
    }

    @Override
    public int compareTo(HostListVersion other) {
        return term != other.term ? Long.compare(term, other.term) : Long.compare(count, other.count);
    }
}
