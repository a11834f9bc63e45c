package tinworks.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import org.junit.jupiter.api.Test;
import tinworks.channel.HostList;
import tinworks.channel.HostListVersion;
import tinworks.channel.PeerConnection;
import tinworks.channel.PeerMessage;
import tinworks.channel.PeerMessage.Announce;
import tinworks.channel.PeerMessage.ConfigurationBody;
import tinworks.channel.PeerMessage.Hello;
import tinworks.channel.PeerMessage.Hosts;
import tinworks.channel.PeerMessage.NodeRole;
import tinworks.channel.PeerMessage.PullConfiguration;
import tinworks.channel.PeerMessage.PullHosts;
import tinworks.config.Configuration;
import tinworks.config.Configuration.Limits;

/** What an edge accepts from core nodes that were partitioned or paused, or have just become leader. */
class CoreFollowerTest implements CoreFollower.Callbacks {
    private final List<Long> decodedVersions = new ArrayList<>();
    private final Core core = new Core();
    private long now = 10_000;
    private CoreFollower edge = new CoreFollower(this);

    /** A core node as the edge sees it; records what the edge requests. */
    private static final class Core implements PeerConnection {
        final List<PeerMessage> requests = new ArrayList<>();

        @Override
        public Hello peer() {
            return new Hello(NodeRole.CORE, 1, "a:1", "a", "z");
        }

        @Override
        public boolean isOutbound() {
            return true;
        }

        @Override
        public boolean isOpen() {
            return true;
        }

        @Override
        public void send(PeerMessage message) {
            requests.add(message);
        }

        @Override
        public void close(String why) {
            throw new AssertionError(why);
        }
    }

    @Override
    public long millis() {
        return now;
    }

    @Override
    public void decode(long rev, Callable<Configuration> version) {
        decodedVersions.add(rev);
    }

    @Override
    public void hostListChanged(HostList list) {
        // The tests query the follower.
    }

    @Override
    public void edgeCountChanged(int edges) {
        // The tests query the follower.
    }

    @Override
    public void log(String line) {
        // Not checked.
    }

    private static HostListVersion hosts(long term, long count) {
        return new HostListVersion(term, count);
    }

    private void leaderAnnounces(long term, long rev, HostListVersion list, String... cores) {
        edge.received(core, new Announce(term, rev, list, true, true, List.of(cores), cores.length * 3));
    }

    private void followerAnnounces(long term, long rev, HostListVersion list, boolean fresh) {
        edge.received(core, new Announce(term, rev, list, fresh, false, List.of("f:1"), 1));
    }

    private boolean apply(long rev) {
        return edge.apply(new Configuration(rev, List.of(), Map.of(), Limits.DEFAULTS));
    }

    private void receiveHosts(long term, long count) {
        edge.received(core, new Hosts(new HostList(hosts(term, count), List.of())));
    }

    @Test
    void findsTheClusterPastAPartitionedCoreNode() {
        followerAnnounces(1, 3, HostListVersion.NONE, false);
        assertEquals(Set.of("f:1", "s:1"), edge.addressesToDial(List.of("s:1")));
        leaderAnnounces(2, 4, HostListVersion.NONE, "a:1", "b:1");
        assertEquals(Set.of("a:1", "b:1"), edge.addressesToDial(List.of("s:1")));
    }

    @Test
    void startingEdgeWaitsForTheNewestVersionsUnderTheLeaderLease() {
        followerAnnounces(2, 4, hosts(2, 5), false);
        apply(4);
        receiveHosts(2, 5);
        assertFalse(edge.mayServe(), "the node that announces 4 may lag behind");
        followerAnnounces(3, 7, hosts(3, 1), true);
        assertFalse(edge.mayServe());
        apply(7);
        assertFalse(edge.mayServe(), "its host list is an older one");
        receiveHosts(3, 1);
        assertTrue(edge.mayServe());
        leaderAnnounces(3, 9, hosts(3, 2), "a:1");
        assertTrue(edge.mayServe() && edge.hasBeenUpToDate(), "a later version does not make a ready edge unready");
    }

    @Test
    void servesWithAnOldVersionAfterThreeSecondsWithoutLeaderContact() {
        followerAnnounces(2, 4, hosts(2, 5), false);
        apply(4);
        now += 3_000;
        followerAnnounces(2, 4, hosts(2, 5), false);
        assertFalse(edge.mayServe());
        now += 1;
        assertTrue(edge.mayServe(), "an old configuration serves better than none");
        assertFalse(edge.hasBeenUpToDate());
    }

    @Test
    void waitsLongerForANewerVersionWhileTheLeaderIsInContact() {
        followerAnnounces(2, 4, hosts(2, 5), false);
        apply(4);
        for (int i = 0; i < 10; i++) {
            leaderAnnounces(3, 9, hosts(3, 1), "a:1");
            assertFalse(edge.mayServe(), i + " s");
            now += 1_000;
        }
        now += 1;
        assertTrue(edge.mayServe(), "the newer version could not be fetched");
    }

    @Test
    void servingEdgeNeverGoesBackToAnOlderVersion() {
        leaderAnnounces(6, 9, hosts(6, 2), "a:1");
        assertTrue(apply(9));
        receiveHosts(6, 2);
        core.requests.clear();
        now += 500;
        for (int i = 0; i < 40; i++) {
            now += 1_000;
            followerAnnounces(5, 4, hosts(5, 900), false);
            leaderAnnounces(5, 4, hosts(5, 901), "z:1");
        }
        edge.received(core, new ConfigurationBody(4, new byte[0]));
        receiveHosts(5, 901);
        assertFalse(apply(4));
        assertEquals(List.of(), core.requests);
        assertEquals(List.of(), decodedVersions);
        assertEquals(9, edge.rev());
        assertTrue(edge.hostList().version().isSameAs(hosts(6, 2)));
        assertTrue(edge.isCoreUnreachable(), "only a deposed leader announces itself");
    }

    /** Whether a deposed leader's announcement, sent before it was paused and delivered late, is accepted. */
    private boolean acceptsADeposedLeader(CoreFollower follower) {
        edge = follower;
        leaderAnnounces(6, 9, hosts(6, 1), "a:1", "b:1");
        assertEquals(6, edge.edgeCount());
        now += 2_000;
        leaderAnnounces(5, 9, hosts(6, 1), "z:1");
        return edge.edgeCount() != 6
                || !edge.addressesToDial(List.of()).equals(Set.of("a:1", "b:1"))
                || edge.millisSinceLeaderContact() < 2_000;
    }

    @Test
    void delayedAnnouncementOfADeposedLeaderIsIgnored() {
        assertFalse(acceptsADeposedLeader(new CoreFollower(this)));
        assertTrue(
                acceptsADeposedLeader(new CoreFollower(this) {
                    @Override
                    boolean isFromEarlierTerm(Announce s) {
                        return false;
                    }
                }),
                "without the guard it is accepted");
    }

    @Test
    void termCountsOnlyOnceItsLeaderHasAnnouncedItself() {
        leaderAnnounces(6, 9, hosts(6, 1), "a:1");
        followerAnnounces(8, 4, hosts(5, 1), false);
        now += 1_000;
        leaderAnnounces(6, 9, hosts(6, 1), "a:1", "b:1");
        assertEquals(0, edge.millisSinceLeaderContact(), "a partitioned node has raised its own term");
        assertEquals(Set.of("a:1", "b:1"), edge.addressesToDial(List.of()));
    }

    @Test
    void newerVersionIsPulledFromAnyCoreNode() {
        followerAnnounces(5, 4, hosts(5, 1), false);
        assertEquals(List.of(new PullConfiguration(0), new PullHosts(HostListVersion.NONE)), core.requests);
    }
}
