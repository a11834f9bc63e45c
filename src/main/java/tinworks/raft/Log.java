package tinworks.raft;

import java.util.ArrayList;
import java.util.List;

/**
 * The in-memory log: a snapshot, the entries that follow it, and a tail of entries that the snapshot already covers.
 * The tail lets slightly lagging followers catch up without a snapshot; it is not stored on disk.
 */
final class Log {
    /** Approximate memory of an entry besides its body. */
    private static final int ENTRY_OVERHEAD_BYTES = 48;

    private Snapshot baseSnapshot;
    private final List<Entry> entries;
    /** The index and term just before the first entry held; at or below the snapshot's index. */
    private long precedingIndex;

    private long precedingTerm;

    Log(Snapshot base, List<Entry> entries) {
        this.baseSnapshot = base;
        this.entries = new ArrayList<>(entries);
        precedingIndex = base.index();
        precedingTerm = base.term();
        long expected = base.index();
        for (Entry entry : entries) {
            if (entry.index() != ++expected) {
                throw new IllegalArgumentException(
                        "log: found entry " + entry.index() + " where " + expected + " was expected");
            }
        }
    }

    Snapshot baseSnapshot() {
        return baseSnapshot;
    }

    /** Returns the index just before the first entry held. Its term is known too. */
    long precedingIndex() {
        return precedingIndex;
    }

    long lastIndex() {
        return precedingIndex + entries.size();
    }

    long lastTerm() {
        return entries.isEmpty()
                ? precedingTerm
                : entries.get(entries.size() - 1).term();
    }

    /** Returns the term at an index, or -1 if the log does not reach it or no longer holds it. */
    long term(long index) {
        if (index == precedingIndex) {
            return precedingTerm;
        }
        return index > precedingIndex && index <= lastIndex() ? entry(index).term() : -1;
    }

    Entry entry(long index) {
        return entries.get((int) (index - precedingIndex - 1));
    }

    /** Returns entries from an index on, as many as fit into the limit but at least one. */
    List<Entry> entriesFrom(long index, int maxBytes) {
        List<Entry> found = new ArrayList<>();
        long bytes = 0;
        for (long i = index; i <= lastIndex(); i++) {
            bytes += bytes(entry(i));
            if (bytes > maxBytes && !found.isEmpty()) {
                break;
            }
            found.add(entry(i));
        }
        return found;
    }

    /** Returns the memory taken by the entries held in the range ({@code above}, {@code upTo}]. */
    long bytes(long above, long upTo) {
        long bytes = 0;
        for (long i = Math.max(above, precedingIndex) + 1; i <= Math.min(upTo, lastIndex()); i++) {
            bytes += bytes(entry(i));
        }
        return bytes;
    }

    private static long bytes(Entry entry) {
        return (long) ENTRY_OVERHEAD_BYTES + entry.body().length;
    }

    void append(Entry entry) {
        entries.add(entry);
    }

    void truncateFrom(long index) {
        entries.subList((int) (index - precedingIndex - 1), entries.size()).clear();
    }

    /**
     * Replaces the log up to the snapshot's index by the snapshot. If the log matches the snapshot, it keeps the
     * entries after it and a tail of at most {@code tailBytes} of the entries that it covers; otherwise it drops all
     * entries.
     */
    void installSnapshot(Snapshot snapshot, long tailBytes) {
        if (term(snapshot.index()) == snapshot.term() && snapshot.index() >= baseSnapshot.index()) {
            long keep = snapshot.index();
            for (long left = tailBytes; keep > precedingIndex && bytes(entry(keep)) <= left; keep--) {
                left -= bytes(entry(keep));
            }
            long keptTerm = term(keep);
            entries.subList(0, (int) (keep - precedingIndex)).clear();
            precedingIndex = keep;
            precedingTerm = keptTerm;
        } else {
            entries.clear();
            precedingIndex = snapshot.index();
            precedingTerm = snapshot.term();
        }
        baseSnapshot = snapshot;
    }

    /** Returns the voters that apply at an index, which is the snapshot's or a later one. */
    Voters votersAt(long index) {
        for (long i = Math.min(index, lastIndex()); i > baseSnapshot.index(); i--) {
            if (entry(i).kind() == Entry.Kind.MEMBERSHIP) {
                return Voters.decode(entry(i).body());
            }
        }
        return Voters.of(baseSnapshot.members());
    }

    /** Returns the voters at an index without those that a membership change in progress removes. */
    List<Member> currentVotersAt(long index) {
        return votersAt(index).current();
    }

    /** Returns the index of the latest membership entry, or the snapshot's index if none follows it. */
    long lastMembershipIndex() {
        for (long i = lastIndex(); i > baseSnapshot.index(); i--) {
            if (entry(i).kind() == Entry.Kind.MEMBERSHIP) {
                return i;
            }
        }
        return baseSnapshot.index();
    }
}
