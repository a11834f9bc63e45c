package tinworks.raft;

import java.util.List;

/** What a member has on its disk when it starts; the entries follow the snapshot without a gap. */
public record Stored(HardState hard, Snapshot snapshot, List<Entry> entries) {
    /** An empty disk. */
    public static final Stored NOTHING = new Stored(HardState.NONE, Snapshot.NONE, List.of());

    /** Keeps its own list of entries. */
    public Stored {
        entries = List.copyOf(entries);
    }
}
