package tinworks.raft;

/**
 * What a member must not forget, whatever becomes of its process.
 *
 * @param votedFor the id voted for in this term, 0 for none
 * @param lastLeader the leader that the member followed, or was, last, in this term or an earlier one; 0 where it isn't
 *     known
 */
public record HardState(long term, long votedFor, long lastLeader) {
    /** Before the first election. */
    public static final HardState NONE = new HardState(0, 0);

    /** One that doesn't tell whom the member followed. */
    public HardState(long term, long votedFor) {
        this(term, votedFor, 0);
    }
}
