package tinworks.channel;

import java.util.ArrayDeque;

/** The newest list of hosts and its last changes, for those who hold one that is a little older. */
public final class HostListHistory {
    /** At one change a second, the longest that an edge may have been away and still be told changes alone. */
    private static final int MAX_CHANGES = 64;

    private final ArrayDeque<HostListChange> changes = new ArrayDeque<>();
    private HostList newest = HostList.NONE;

    /** The newest list. */
    public HostList newest() {
        return newest;
    }

    /** Takes a newer list. */
    public void advance(HostList next) {
        changes.addLast(HostListChange.between(newest, next));
        newest = next;
        if (changes.size() > MAX_CHANGES) {
            changes.removeFirst();
        }
    }

    /** What to tell one who holds this version: the changes since, or the whole list where they aren't known. */
    public PeerMessage since(HostListVersion held) {
        HostListChange all = null;
        for (HostListChange change : changes) {
            if (all != null) {
                all = all.mergedWith(change);
            } else if (change.base().isSameAs(held) && held.compareTo(HostListVersion.NONE) > 0) {
                all = change;
            }
        }
        return all == null ? new PeerMessage.Hosts(newest) : new PeerMessage.HostsChanged(all);
    }
}
