package tinworks.raft;

/** The pieces of a leader's snapshot that have come so far: from its beginning on, without a gap. */
final class SnapshotAssembler {
    /** More than any snapshot holds. Guards against a length that lies. */
    static final int LONGEST = 8 << 20;

    private final Snapshot.Metadata label;
    private final long term;
    private final byte[] state;
    private int gathered;

    /** Nothing of it is here yet; {@code term} is that of the leader which sends it. */
    SnapshotAssembler(Snapshot.Metadata label, long term) {
        this.label = label;
        this.term = term;
        state = new byte[label.length()];
    }

    Snapshot.Metadata label() {
        return label;
    }

    /** How many bytes are here. */
    int gathered() {
        return gathered;
    }

    /** Whether a message belongs to a snapshot that the same leader no longer sends. */
    boolean overtakes(Message.InstallSnapshot m) {
        return m.term() == term && m.metadata().index() < label.index();
    }

    /** Takes a piece that follows what is here; any other is passed over. */
    void add(int offset, byte[] piece) {
        if (offset == gathered && piece.length <= state.length - gathered) {
            System.arraycopy(piece, 0, state, gathered, piece.length);
            gathered += piece.length;
        }
    }

    /** Whether all bytes are here. */
    boolean isComplete() {
        return gathered == state.length;
    }

    /** Whether they are what the leader has. */
    boolean isSound() {
        return Snapshot.checksum(state) == label.checksum();
    }

    /** The snapshot. */
    Snapshot snapshot() {
        return new Snapshot(label.index(), label.term(), label.members(), state);
    }
}
