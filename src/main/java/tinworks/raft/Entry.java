package tinworks.raft;

import java.util.Arrays;

/**
 * An entry of the replicated log.
 *
 * @param index position in the log, starting at 1
 * @param term the term of the leader that created the entry
 * @param body the command for {@link Kind#COMMAND}, the encoded {@link Voters} for {@link Kind#MEMBERSHIP}, otherwise
 *     empty
 */
public record Entry(long index, long term, Kind kind, byte[] body) {
    /**
     * The purpose of an entry: the no-op with which a leader opens its term, a command for the state machine, or the
     * voters that count from this entry on. The order of the constants is part of the encoding.
     */
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

    /** Returns a summary that is the same for equal entries. */
    @Override
    public String toString() {
        return index + "." + term + " " + kind + " " + body.length + " bytes #"
                + Integer.toHexString(Arrays.hashCode(body));
    }
}
