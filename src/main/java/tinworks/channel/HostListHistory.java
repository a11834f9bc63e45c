package tinworks.channel;

import java.util.ArrayDeque;

/**
 * The newest host list and its latest changes, so that peers with a slightly older version are sent only the
 * difference.
 */
public final class HostListHistory {
    /** At one change a second, an edge can be disconnected for about a minute and still receive changes only. */
    private static final int MAX_CHANGES = 64;

    private final ArrayDeque<HostListChange> changes = new ArrayDeque<>();
    private HostList newest = HostList.NONE;

    /** The newest list. */
    public HostList newest() {
        return newest;
    }

    /** Records a newer list. */
    public void advance(HostList next) {
        changes.addLast(HostListChange.between(newest, next));
        newest = next;
        if (changes.size() > MAX_CHANGES) {
            changes.removeFirst();
        }
    }

    /** The message that updates a peer from the version held: the changes, or the whole list if it is too old. */
    public PeerMessage since(HostListVersion held) {
        HostListChange merged = null;
        for (HostListChange change : changes) {
            if (merged != null) {
                merged = merged.mergedWith(change);
            } else if (change.base().isSameAs(held) && held.compareTo(HostListVersion.NONE) > 0) {
                merged = change;
            }
        }
        return merged == null ? new PeerMessage.Hosts(newest) : new PeerMessage.HostsChanged(merged);
    }
}
