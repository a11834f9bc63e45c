package tinworks.raft;

/** Assembles a leader's snapshot from its chunks, which it accepts in order only. */
final class SnapshotAssembler {
    /** More than any snapshot holds. Guards against allocating memory for a false length. */
    static final int MAX_SNAPSHOT_BYTES = 8 << 20;

    private final Snapshot.Metadata metadata;
    private final long term;
    private final byte[] state;
    private int receivedBytes;

    /** Starts empty; {@code term} is the term of the sending leader. */
    SnapshotAssembler(Snapshot.Metadata metadata, long term) {
        this.metadata = metadata;
        this.term = term;
        state = new byte[metadata.length()];
    }

    Snapshot.Metadata metadata() {
        return metadata;
    }

    /** Returns the number of contiguous bytes received. */
    int receivedBytes() {
        return receivedBytes;
    }

    /** Returns whether a message belongs to an older snapshot of the same leader, which it no longer sends. */
    boolean supersedes(Message.InstallSnapshot m) {
        return m.term() == term && m.metadata().index() < metadata.index();
    }

    /** Adds a chunk if it continues the received bytes, and ignores it otherwise. */
    void add(int offset, byte[] chunk) {
        if (offset == receivedBytes && chunk.length <= state.length - receivedBytes) {
            System.arraycopy(chunk, 0, state, receivedBytes, chunk.length);
            receivedBytes += chunk.length;
        }
    }

    /** Returns whether all bytes are received. */
    boolean isComplete() {
        return receivedBytes == state.length;
    }

    /** Returns whether the received bytes match the leader's checksum. */
    boolean hasValidChecksum() {
        return Snapshot.checksum(state) == metadata.checksum();
    }

    Snapshot snapshot() {
        return new Snapshot(metadata.index(), metadata.term(), metadata.members(), state);
    }
}
