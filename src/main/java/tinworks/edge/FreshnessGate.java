package tinworks.edge;

import tinworks.channel.HostListVersion;

/**
 * Whether an edge has ever held the newest versions of the configuration and of the list of hosts. Guards against an
 * edge that starts and takes clients with what a core machine tells that is itself behind: only by the leader's lease
 * one knows what is newest.
 */
final class FreshnessGate {
    private long announcedRev;
    private HostListVersion announcedHosts = HostListVersion.NONE;
    private boolean reached;

    /**
     * A core machine has these versions, 0 where it has none; {@code fresh} where it has them by the leader's lease.
     */
    void announced(long rev, HostListVersion hosts, boolean fresh) {
        if (fresh) {
            announcedRev = Math.max(announcedRev, rev);
            announcedHosts = hosts.compareTo(announcedHosts) > 0 ? hosts : announcedHosts;
        }
    }

    /** This edge holds these versions; once it has held the newest it stays ready, whatever comes later. */
    void holds(long rev, HostListVersion hosts) {
        reached |= announcedRev > 0 && rev >= announcedRev && hosts.compareTo(announcedHosts) >= 0;
    }

    boolean reached() {
        return reached;
    }
}
