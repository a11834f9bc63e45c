package tinworks.raft;

import java.util.List;

/** What a member has on its disk when it starts; the entries follow the snapshot without a gap. */
public record PersistentState(HardState hardState, Snapshot snapshot, List<Entry> entries) {
    /** An empty disk. */
    public static final PersistentState EMPTY = new PersistentState(HardState.NONE, Snapshot.NONE, List.of());

    /** Keeps its own list of entries. */
    public PersistentState {
        entries = List.copyOf(entries);
    }
}
