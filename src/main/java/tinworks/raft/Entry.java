package tinworks.raft;

import java.util.Arrays;

/**
 * A record of the log.
 *
 * @param index its place, from 1
 * @param term the term of the leader that wrote it
 * @param body for {@link Kind#COMMAND} the state machine's bytes, for {@link Kind#MEMBERSHIP} {@link Voters}'s
 */
public record Entry(long index, long term, Kind kind, byte[] body) {
    /** What an entry is for: a leader's first, a command to the state machine, or the voters from here on. */
    public enum Kind {
        NO_OP,
        COMMAND,
        MEMBERSHIP
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Entry e
                && index == e.index
                && term == e.term
                && kind == e.kind
                && Arrays.equals(body, e.body);
    }

    @Override
    public int hashCode() {
        return Long.hashCode(index * 31 + term);
    }

    /** The same for equal entries. */
    @Override
    public String toString() {
        return index + "." + term + " " + kind + " " + body.length + " bytes #"
                + Integer.toHexString(Arrays.hashCode(body));
    }
}
