package tinworks.raft;

/**
 * What a member must not forget, whatever becomes of its process.
 *
 * @param votedFor the id voted for in this term, 0 for none
 */
public record HardState(long term, long votedFor) {
    /** Before the first election. */
    public static final HardState NONE = new HardState(0, 0);
}
