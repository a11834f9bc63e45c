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

/** What an edge takes from core machines of which some were cut off, frozen, or have just begun to lead. */
class CoreFollowerTest implements CoreFollower.Callbacks {
    private final List<Long> read = new ArrayList<>();
    private final Core core = new Core();
    private long now = 10_000;
    private CoreFollower edge = new CoreFollower(this);

    /** A core machine, as far as this edge sees it. */
    private static final class Core implements PeerConnection {
        final List<PeerMessage> asked = new ArrayList<>();

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
        public void send(PeerMessage signal) {
            asked.add(signal);
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
        read.add(rev);
    }

    @Override
    public void hostListChanged(HostList list) {
        // Asked for below.
    }

    @Override
    public void edgeCountChanged(int edges) {
        // Asked for below.
    }

    @Override
    public void log(String line) {
        // Nobody reads it.
    }

    private static HostListVersion hosts(long term, long count) {
        return new HostListVersion(term, count);
    }

    private void leader(long term, long rev, HostListVersion list, String... cores) {
        edge.received(core, new Announce(term, rev, list, true, true, List.of(cores), cores.length * 3));
    }

    private void follower(long term, long rev, HostListVersion list, boolean fresh) {
        edge.received(core, new Announce(term, rev, list, fresh, false, List.of("f:1"), 1));
    }

    private boolean use(long rev) {
        return edge.apply(new Configuration(rev, List.of(), Map.of(), Limits.DEFAULTS));
    }

    private void list(long term, long count) {
        edge.received(core, new Hosts(new HostList(hosts(term, count), List.of())));
    }

    @Test
    void findsItsWayPastACoreMachineThatIsCutOff() {
        follower(1, 3, HostListVersion.NONE, false);
        assertEquals(Set.of("f:1", "s:1"), edge.addressesToDial(List.of("s:1")));
        leader(2, 4, HostListVersion.NONE, "a:1", "b:1");
        assertEquals(Set.of("a:1", "b:1"), edge.addressesToDial(List.of("s:1")));
    }

    @Test
    void anEdgeThatStartsWaitsForTheNewestVersionsByTheLeadersLease() {
        follower(2, 4, hosts(2, 5), false);
        use(4);
        list(2, 5);
        assertFalse(edge.mayServe(), "who tells of 4 may be behind");
        follower(3, 7, hosts(3, 1), true);
        assertFalse(edge.mayServe());
        use(7);
        assertFalse(edge.mayServe(), "its list of hosts is an older one");
        list(3, 1);
        assertTrue(edge.mayServe());
        leader(3, 9, hosts(3, 2), "a:1");
        assertTrue(edge.mayServe() && edge.hasBeenUpToDate(), "a later version makes no ready edge unready");
    }

    @Test
    void withoutTheCoresWordItServesWithAnOldVersionAfterThreeSeconds() {
        follower(2, 4, hosts(2, 5), false);
        use(4);
        now += 3_000;
        follower(2, 4, hosts(2, 5), false);
        assertFalse(edge.mayServe());
        now += 1;
        assertTrue(edge.mayServe(), "better than nothing");
        assertFalse(edge.hasBeenUpToDate());
    }

    @Test
    void whereTheCoreSpeaksItWaitsLongerForWhatItKnowsToBeNewer() {
        follower(2, 4, hosts(2, 5), false);
        use(4);
        for (int i = 0; i < 10; i++) {
            leader(3, 9, hosts(3, 1), "a:1");
            assertFalse(edge.mayServe(), i + " s");
            now += 1_000;
        }
        now += 1;
        assertTrue(edge.mayServe(), "it can't be had");
    }

    @Test
    void anEdgeInServiceNeverGoesBackInAnyVersion() {
        leader(6, 9, hosts(6, 2), "a:1");
        assertTrue(use(9));
        list(6, 2);
        core.asked.clear();
        now += 500;
        for (int i = 0; i < 40; i++) {
            now += 1_000;
            follower(5, 4, hosts(5, 900), false);
            leader(5, 4, hosts(5, 901), "z:1");
        }
        edge.received(core, new ConfigurationBody(4, new byte[0]));
        list(5, 901);
        assertFalse(use(4));
        assertEquals(List.of(), core.asked);
        assertEquals(List.of(), read);
        assertEquals(9, edge.rev());
        assertTrue(edge.hostList().version().isSameAs(hosts(6, 2)));
        assertTrue(edge.isCoreUnreachable(), "only an old leader speaks");
    }

    /**
     * Whether what an old leader said before it was frozen, and what comes only now, is taken for the present leader's
     * word.
     */
    private boolean heedsAnOldLeader(CoreFollower follower) {
        edge = follower;
        leader(6, 9, hosts(6, 1), "a:1", "b:1");
        assertEquals(6, edge.edgeCount());
        now += 2_000;
        leader(5, 9, hosts(6, 1), "z:1");
        return edge.edgeCount() != 6
                || !edge.addressesToDial(List.of()).equals(Set.of("a:1", "b:1"))
                || edge.millisSinceLeaderContact() < 2_000;
    }

    @Test
    void anOldLeadersWordThatComesLateCountsForNothing() {
        assertFalse(heedsAnOldLeader(new CoreFollower(this)));
        assertTrue(
                heedsAnOldLeader(new CoreFollower(this) {
                    @Override
                    boolean isOld(Announce s) {
                        return false;
                    }
                }),
                "with the guard off");
    }

    @Test
    void aTermCountsOnlyOnceItsLeaderHasSpoken() {
        leader(6, 9, hosts(6, 1), "a:1");
        follower(8, 4, hosts(5, 1), false);
        now += 1_000;
        leader(6, 9, hosts(6, 1), "a:1", "b:1");
        assertEquals(0, edge.millisSinceLeaderContact(), "a machine that is cut off has raised its own term");
        assertEquals(Set.of("a:1", "b:1"), edge.addressesToDial(List.of()));
    }

    @Test
    void whatIsNewerIsAskedForWhoeverTellsOfIt() {
        follower(5, 4, hosts(5, 1), false);
        assertEquals(List.of(new PullConfiguration(0), new PullHosts(HostListVersion.NONE)), core.asked);
    }
}
