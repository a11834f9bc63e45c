package tinworks.edge;

import tinworks.channel.HostListVersion;

/**
 * Whether an edge has ever held the newest configuration and host list. Guards against an edge that starts and serves
 * clients with the state of a core node that lags behind: only an announcement under a valid leader lease shows which
 * versions are the newest.
 */
final class FreshnessGate {
    private long announcedRev;
    private HostListVersion announcedHosts = HostListVersion.NONE;
    private boolean reached;

    /**
     * A core node has announced its versions.
     *
     * @param rev its configuration version, 0 if it has none
     * @param fresh whether the announcement was made under a valid leader lease
     */
    void announced(long rev, HostListVersion hosts, boolean fresh) {
        if (fresh) {
            announcedRev = Math.max(announcedRev, rev);
            announcedHosts = hosts.compareTo(announcedHosts) > 0 ? hosts : announcedHosts;
        }
    }

    /**
     * This edge holds these versions. Once it has held the newest, the gate stays open, whatever is announced later.
     */
    void holds(long rev, HostListVersion hosts) {
        reached |= announcedRev > 0 && rev >= announcedRev && hosts.compareTo(announcedHosts) >= 0;
    }

    /** Whether this edge has ever held the newest versions. */
    boolean reached() {
        return reached;
    }
}
