package tinworks.raft;

import java.util.List;

/** The state that a member loads from disk when it starts; the entries follow the snapshot without a gap. */
public record PersistentState(HardState hardState, Snapshot snapshot, List<Entry> entries) {
    /** The state of a member with an empty disk. */
    public static final PersistentState EMPTY = new PersistentState(HardState.NONE, Snapshot.NONE, List.of());

    /** Copies the entries. */
    public PersistentState {
        entries = List.copyOf(entries);
    }
}
