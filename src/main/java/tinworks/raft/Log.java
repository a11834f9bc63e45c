package tinworks.raft;

import java.util.ArrayList;
import java.util.List;

/**
 * The log in memory: a snapshot, the entries that follow it, and a tail of entries that it covers already, kept for
 * followers that are a little behind. The tail isn't on the disk.
 */
final class Log {
    /** What an entry takes beside its body, roughly. */
    private static final int ENTRY_BYTES = 48;

    private Snapshot base;
    private final List<Entry> entries;
    /** The index and the term before the first entry that is held; at the snapshot's or below. */
    private long start;

    private long startTerm;

    Log(Snapshot base, List<Entry> entries) {
        this.base = base;
        this.entries = new ArrayList<>(entries);
        start = base.index();
        startTerm = base.term();
        long expected = base.index();
        for (Entry entry : entries) {
            if (entry.index() != ++expected) {
                throw new IllegalArgumentException("log: index " + entry.index() + " where " + expected + " was due");
            }
        }
    }

    Snapshot base() {
        return base;
    }

    /** Entries above this index are held, and its term is known. */
    long start() {
        return start;
    }

    long lastIndex() {
        return start + entries.size();
    }

    long lastTerm() {
        return entries.isEmpty() ? startTerm : entries.get(entries.size() - 1).term();
    }

    /** The term at an index, or -1 where this log doesn't reach or no longer has it. */
    long term(long index) {
        if (index == start) {
            return startTerm;
        }
        return index > start && index <= lastIndex() ? entry(index).term() : -1;
    }

    Entry entry(long index) {
        return entries.get((int) (index - start - 1));
    }

    /** Entries from an index on, as many as fit the bytes and one at least. */
    List<Entry> from(long index, int mostBytes) {
        List<Entry> found = new ArrayList<>();
        long bytes = 0;
        for (long i = index; i <= lastIndex(); i++) {
            bytes += bytes(entry(i));
            if (bytes > mostBytes && !found.isEmpty()) {
                break;
            }
            found.add(entry(i));
        }
        return found;
    }

    /** What the entries above one index and up to another take; of those that are held no more, nothing. */
    long bytes(long above, long upTo) {
        long bytes = 0;
        for (long i = Math.max(above, start) + 1; i <= Math.min(upTo, lastIndex()); i++) {
            bytes += bytes(entry(i));
        }
        return bytes;
    }

    private static long bytes(Entry entry) {
        return (long) ENTRY_BYTES + entry.body().length;
    }

    void append(Entry entry) {
        entries.add(entry);
    }

    void cutFrom(long index) {
        entries.subList((int) (index - start - 1), entries.size()).clear();
    }

    /**
     * Puts a snapshot in place of what it covers; entries behind it stay where they follow it, and of those that it
     * covers the last ones, as many as fit the bytes.
     */
    void rebase(Snapshot snapshot, long tailBytes) {
        if (term(snapshot.index()) == snapshot.term() && snapshot.index() >= base.index()) {
            long keep = snapshot.index();
            for (long left = tailBytes; keep > start && bytes(entry(keep)) <= left; keep--) {
                left -= bytes(entry(keep));
            }
            long keptTerm = term(keep);
            entries.subList(0, (int) (keep - start)).clear();
            start = keep;
            startTerm = keptTerm;
        } else {
            entries.clear();
            start = snapshot.index();
            startTerm = snapshot.term();
        }
        base = snapshot;
    }

    /**
     * The voters as of an index, the snapshot's or a later one, as the latest entry of them at or before it has them.
     */
    Voters votersAt(long index) {
        for (long i = Math.min(index, lastIndex()); i > base.index(); i--) {
            if (entry(i).kind() == Entry.Kind.MEMBERSHIP) {
                return Voters.decode(entry(i).body());
            }
        }
        return Voters.of(base.members());
    }

    /** Those of {@link #votersAt} that stay. */
    List<Member> membersAt(long index) {
        return votersAt(index).current();
    }

    /** The index of the latest list of voters. */
    long membersIndex() {
        for (long i = lastIndex(); i > base.index(); i--) {
            if (entry(i).kind() == Entry.Kind.MEMBERSHIP) {
                return i;
            }
        }
        return base.index();
    }
}
