package tinworks.raft;

import java.util.Arrays;

/**
 * The transfer of a snapshot to one follower, in chunks of which at most one is in flight. The leader completes a
 * transfer even when it has a newer snapshot by then. Otherwise a follower would never receive a whole snapshot while
 * changes keep arriving.
 *
 * @param offset number of bytes that the follower has acknowledged
 * @param awaitedSequence the sequence of the chunk in flight, 0 if none is
 */
record SnapshotTransfer(Snapshot snapshot, Snapshot.Metadata metadata, int offset, long awaitedSequence) {
    /** Small enough not to delay heartbeats, which are sent between chunks. */
    static final int CHUNK_BYTES = 64 << 10;

    /** Starts a transfer from the beginning. */
    static SnapshotTransfer start(Snapshot snapshot) {
        return new SnapshotTransfer(snapshot, snapshot.metadata(), 0, 0);
    }

    /** Returns the next chunk after the acknowledged bytes. */
    byte[] chunk() {
        byte[] state = snapshot.state();
        return Arrays.copyOfRange(state, offset, Math.min(state.length, offset + CHUNK_BYTES));
    }

    /** Returns this transfer with the chunk of this sequence in flight. */
    SnapshotTransfer withAwaitedSequence(long sequence) {
        return new SnapshotTransfer(snapshot, metadata, offset, sequence);
    }

    /**
     * Returns the transfer after a follower's reply. Messages on a connection keep their order. A reply without
     * progress to the chunk in flight, or to a message sent after it, therefore means that the chunk is lost, and
     * perhaps also bytes that the follower had received before.
     */
    SnapshotTransfer onReply(Message.InstallSnapshotReply reply) {
        return isAdvancedBy(reply) ? new SnapshotTransfer(snapshot, metadata, reply.offset(), 0) : this;
    }

    /** Returns whether a reply shows progress of this transfer, or that the chunk in flight is lost. */
    boolean isAdvancedBy(Message.InstallSnapshotReply reply) {
        return reply.index() == metadata.index()
                && reply.offset() >= 0
                && reply.offset() <= metadata.length()
                && (reply.offset() > offset || reply.sequence() >= awaitedSequence);
    }
}
