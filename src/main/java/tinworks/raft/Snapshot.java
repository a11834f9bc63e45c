package tinworks.raft;

import java.util.List;
import java.util.zip.CRC32C;

/**
 * What the log up to {@code index} came to: the voters and the state machine's bytes. No snapshot is made in the middle
 * of a change of voters.
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

    /**
     * What tells a snapshot from others, and by which it is known to have come whole.
     *
     * @param length how many bytes of state there are, 0 or more
     * @param checksum their CRC-32C
     */
    public record Metadata(long index, long term, List<Member> members, int length, int checksum) {
        /** Keeps its own list of voters; a negative length is an {@link IllegalArgumentException}. */
        public Metadata {
            members = List.copyOf(members);
            if (length < 0) {
                throw new IllegalArgumentException("snapshot: a length of " + length);
            }
        }
    }

    /** Its label. */
    Metadata label() {
        return new Metadata(index, term, members, state.length, checksum(state));
    }

    static int checksum(byte[] state) {
        CRC32C sum = new CRC32C();
        sum.update(state);
        return (int) sum.getValue();
    }
}
