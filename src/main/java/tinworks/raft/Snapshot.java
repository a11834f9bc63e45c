package tinworks.raft;

import java.util.List;

/**
 * What the log up to {@code index} came to: the voters and the state machine's bytes. No snapshot is made in the middle of
 * a change of voters.
 *
 * @param term the term of the entry at {@code index}, 0 where there was none
 */
public record Snapshot(long index, long term, List<Member> members, byte[] state) {
    /** Before the first entry. */
    public static final Snapshot NONE = new Snapshot(0, 0, List.of(), new byte[0]);

    /** Keeps its own list of voters. */
    public Snapshot {
        members = List.copyOf(members);
    }
}
