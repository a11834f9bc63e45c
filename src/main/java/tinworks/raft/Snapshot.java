package tinworks.raft;

import java.util.List;
import java.util.zip.CRC32C;

/**
 * The result of applying the log up to {@code index}: the voters and the state machine's state. No snapshot is taken
 * during a membership change.
 *
 * @param term the term of the entry at {@code index}, 0 if there is none
 * @param members the voters
 */
public record Snapshot(long index, long term, List<Member> members, byte[] state) {
    /** The snapshot before the first entry. */
    public static final Snapshot NONE = new Snapshot(0, 0, List.of(), new byte[0]);

    /** Copies the list of voters. */
    public Snapshot {
        members = List.copyOf(members);
    }

    /**
     * Identifies a snapshot and allows a receiver to verify that it is complete and intact.
     *
     * @param length size of the state in bytes, 0 or more
     * @param checksum CRC-32C of the state
     */
    public record Metadata(long index, long term, List<Member> members, int length, int checksum) {
        /** Copies the list of voters; throws an {@link IllegalArgumentException} if the length is negative. */
        public Metadata {
            members = List.copyOf(members);
            if (length < 0) {
                throw new IllegalArgumentException("snapshot: negative length " + length);
            }
        }
    }

    Metadata metadata() {
        return new Metadata(index, term, members, state.length, checksum(state));
    }

    static int checksum(byte[] state) {
        CRC32C sum = new CRC32C();
        sum.update(state);
        return (int) sum.getValue();
    }
}
