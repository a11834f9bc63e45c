package tinworks.raft;

import java.util.ArrayList;
import java.util.List;

/** The log in memory: a snapshot and the entries that follow it. */
final class Log {
    private Snapshot base;
    private final List<Entry> entries;

    Log(Snapshot base, List<Entry> entries) {
        this.base = base;
        this.entries = new ArrayList<>(entries);
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

    long lastIndex() {
        return base.index() + entries.size();
    }

    long lastTerm() {
        return entries.isEmpty() ? base.term() : entries.get(entries.size() - 1).term();
    }

    /** The term at an index, or -1 where this log doesn't reach or no longer has it. */
    long term(long index) {
        if (index == base.index()) {
            return base.term();
        }
        return index > base.index() && index <= lastIndex() ? entry(index).term() : -1;
    }

    Entry entry(long index) {
        return entries.get((int) (index - base.index() - 1));
    }

    /** Entries from an index on, as many as fit the bytes and one at least. */
    List<Entry> from(long index, int mostBytes) {
        List<Entry> found = new ArrayList<>();
        int bytes = 0;
        for (long i = index; i <= lastIndex() && (found.isEmpty() || bytes < mostBytes); i++) {
            found.add(entry(i));
            bytes += entry(i).body().length;
        }
        return found;
    }

    void append(Entry entry) {
        entries.add(entry);
    }

    void cutFrom(long index) {
        entries.subList((int) (index - base.index() - 1), entries.size()).clear();
    }

    /** Puts a snapshot in place of what it covers; entries behind it stay where they follow it. */
    void rebase(Snapshot snapshot) {
        if (term(snapshot.index()) == snapshot.term() && snapshot.index() >= base.index()) {
            entries.subList(0, (int) (snapshot.index() - base.index())).clear();
        } else {
            entries.clear();
        }
        base = snapshot;
    }

    /** The voters as of an index, as the latest entry of them at or before it has them. */
    Voters votersAt(long index) {
        for (long i = Math.min(index, lastIndex()); i > base.index(); i--) {
            if (entry(i).kind() == Entry.Kind.MEMBERS) {
                return Voters.read(entry(i).body());
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
            if (entry(i).kind() == Entry.Kind.MEMBERS) {
                return i;
            }
        }
        return base.index();
    }
}
