package tinworks.raft;

/**
 * The part of a member's state that has to survive a restart, besides the log and the snapshot.
 *
 * @param votedFor the id voted for in this term, 0 for none
 * @param lastLeader the id of the last leader that the member followed, or its own id if it led last, in this term or
 *     an earlier one; 0 if unknown
 */
public record HardState(long term, long votedFor, long lastLeader) {
    /** The state before the first election. */
    public static final HardState NONE = new HardState(0, 0);

    /** Creates a state whose last leader is unknown. */
    public HardState(long term, long votedFor) {
        this(term, votedFor, 0);
    }
}
