package tinworks.raft;

import java.util.Arrays;

/**
 * A snapshot on its way to one follower, in pieces of which one at most is under way. The same snapshot is sent to its
 * end though the leader may have a newer one by then: else a follower would never have a whole one while changes keep
 * coming.
 *
 * @param offset how far the follower has come
 * @param awaited the number of the last piece sent, 0 where none is under way
 */
record Transfer(Snapshot snapshot, Snapshot.Metadata label, int offset, long awaited) {
    /** Little enough not to hold up heartbeats, which go between pieces. */
    static final int PIECE_BYTES = 64 << 10;

    /** Nothing of a snapshot is sent yet. */
    static Transfer of(Snapshot snapshot) {
        return new Transfer(snapshot, snapshot.label(), 0, 0);
    }

    /** The bytes that follow what the follower has. */
    byte[] piece() {
        byte[] state = snapshot.state();
        return Arrays.copyOfRange(state, offset, Math.min(state.length, offset + PIECE_BYTES));
    }

    /** With a piece of this number under way. */
    Transfer sent(long number) {
        return new Transfer(snapshot, label, offset, number);
    }

    /**
     * What the follower's answer to a message comes to. Messages keep their order on a connection: one that was
     * answered with nothing new, and was sent after the piece or is the piece itself, tells that the piece is lost, and
     * what the follower had of it perhaps too.
     */
    Transfer answered(Message.InstallSnapshotReply reply) {
        return isAnsweredBy(reply) ? new Transfer(snapshot, label, reply.offset(), 0) : this;
    }

    /** Whether an answer tells something about this transfer that wasn't known. */
    boolean isAnsweredBy(Message.InstallSnapshotReply reply) {
        return reply.index() == label.index()
                && reply.offset() >= 0
                && reply.offset() <= label.length()
                && (reply.offset() > offset || reply.sequence() >= awaited);
    }
}
