package tinworks.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import tinworks.raft.Model.Bounds;
import tinworks.raft.Model.SearchResult;

/** Checks the Raft state machine exhaustively within small bounds; docs/design/system.md lists the state counts. */
@Timeout(value = 900, unit = TimeUnit.SECONDS)
class ModelTest {
    private static SearchResult search(int nodes, Bounds bounds) {
        long startedAt = System.nanoTime();
        SearchResult result = new Model(nodes, true, Model::createWithoutLeases).search(3, bounds);
        System.out.println(nodes + " nodes, " + bounds + ": " + result + " in "
                + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt) + " ms");
        return result;
    }

    @Test
    void electionAndCommandWithABrokenConnection() {
        SearchResult result = search(3, new Bounds(1, 0, 1, 1, 0, 0));
        assertTrue(result.states() > 10_000 && result.maxCommitted() == 3, result.toString());
    }

    @Test
    void electionAndCommandWithACrash() {
        SearchResult result = search(3, new Bounds(1, 0, 1, 0, 1, 0));
        assertTrue(result.states() > 10_000 && result.maxCommitted() == 3, result.toString());
    }

    @Test
    void emptyNodeIsAddedOrReplacesAVoter() {
        SearchResult result = search(4, new Bounds(1, 0, 0, 0, 0, 1));
        assertTrue(result.states() > 10_000 && result.maxCommitted() == 4, result.toString());
    }

    /**
     * Explores the states after member 0 was elected and member 1, or also member 2, has acknowledged its round, with
     * no time passed since.
     */
    private static SearchResult searchWithLease(
            int nodes, Model.RaftFactory factory, boolean allAcknowledged, Bounds bounds) {
        Model model = Model.withLeases(nodes, factory);
        int[] second = {0, 1, 1, 0, 0, 1, 1, 0, 0, 1, 1, 0};
        int[] third = {0, 2, 2, 0};
        SearchResult result =
                model.search(3, bounds, model.election(0, allAcknowledged ? concat(second, third) : second));
        System.out.println(nodes + " nodes, leases, " + bounds + ": " + result);
        return result;
    }

    private static int[] concat(int[] first, int[] last) {
        return IntStream.concat(IntStream.of(first), IntStream.of(last)).toArray();
    }

    /**
     * If all members support the lease, another leader is possible only after two members have restarted and one of
     * them has learned that the lease is over.
     */
    @Test
    void noSecondLeaderDuringALeaseDespiteRestartsOfVoters() {
        assertEquals(
                2,
                searchWithLease(3, Model::createWithLeases, true, LEASE_BOUNDS).latestTerm());
        assertEquals(
                1,
                searchWithLease(3, Model::createWithLeases, true, new Bounds(1, 0, 0, 1, 2, 0, 0, 1))
                        .latestTerm(),
                "without lease queries");
        searchWithLease(3, Model::createWithLeases, false, LEASE_BOUNDS);
    }

    @Test
    void voterThatForgetsALeaseAndLeaderThatReportsItsLeaseEndedAreCaught() {
        assertThrows(
                Cluster.InvariantViolation.class,
                () -> searchWithLease(
                        3,
                        (id, stored, now) -> new Raft(id, stored, Cluster.TIMING, 1, now) {
                            @Override
                            boolean isBoundByPriorLease() {
                                return false;
                            }
                        },
                        true,
                        LEASE_BOUNDS));
        assertThrows(
                Cluster.InvariantViolation.class,
                () -> searchWithLease(
                        3,
                        (id, stored, now) -> new Raft(id, stored, Cluster.TIMING, 1, now) {
                            @Override
                            boolean hasNoLease() {
                                return true;
                            }
                        },
                        true,
                        LEASE_BOUNDS));
    }

    @Test
    @EnabledIfSystemProperty(named = "model", matches = "large")
    void twoElectionsWithACommandOrACrashAndAReplacement() {
        search(3, new Bounds(2, 0, 0, 0, 0, 0));
        search(3, new Bounds(1, 1, 1, 0, 1, 0));
        search(4, new Bounds(1, 0, 0, 0, 0, 2));
        search(3, new Bounds(2, 0, 1, 0, 0, 0));
        search(3, new Bounds(2, 0, 0, 0, 1, 0));
        searchWithLease(3, Model::createWithLeases, false, new Bounds(1, 0, 0, 0, 2, 0, 2, 2));
        searchWithLease(3, Model::createWithLeases, false, new Bounds(1, 0, 0, 0, 3, 0, 3, 1));
        searchWithLease(4, Model::createWithLeases, true, new Bounds(1, 0, 0, 0, 1, 1, 1, 1));
    }

    /** One broken connection, two restarts, two lease queries and one pre-vote. */
    private static final Bounds LEASE_BOUNDS = new Bounds(1, 0, 0, 1, 2, 0, 2, 1);

    private static final Bounds LONG_BOUNDS = new Bounds(3, 1, 2, 1, 2, 2);
    private static final int WALKS = 3_000;

    @Test
    void longRandomWalksKeepTheInvariants() {
        assertEquals(
                -1, new Model(4, true, Model::createWithoutLeases).randomWalks(3, LONG_BOUNDS, List.of(), 1, WALKS));
    }

    @Test
    void diskWithoutSyncsAllowsTwoLeadersInATerm() {
        Bounds bounds = new Bounds(2, 0, 0, 0, 1, 0);
        assertTrue(firstWalkWithTwoLeaders(false, bounds) >= 0);
        assertEquals(-1, firstWalkWithTwoLeaders(true, bounds), "with syncs the same walks are safe");
    }

    /**
     * Walks from the state after member 0 was elected by the vote of member 1, which may now crash while 2 is a
     * candidate.
     */
    private static int firstWalkWithTwoLeaders(boolean syncs, Bounds bounds) {
        Model model = new Model(3, syncs, Model::createWithoutLeases);
        return model.randomWalks(3, bounds, model.election(0, 0, 1, 1, 0, 0, 1, 1, 0), 1, 20 * WALKS);
    }

    /**
     * Walks from the state after member 0 was elected by the vote of member 1 and its first entries are replicated, so
     * that the voters may change.
     */
    private static int firstBrokenWalk(Model.RaftFactory factory) {
        Model model = new Model(4, true, factory);
        return model.randomWalks(
                3, new Bounds(3, 3, 1, 2, 0, 2), model.election(0, 0, 1, 1, 0, 0, 1, 1, 0), 1, 2 * WALKS);
    }

    @Test
    void membershipChangeThatCountsOnlyOneListIsCaught() {
        assertEquals(-1, firstBrokenWalk(Model::createWithoutLeases));
        assertTrue(
                firstBrokenWalk((id, stored, now) -> new Raft(id, stored, Cluster.TIMING, 1, 0) {
                            @Override
                            Voters quorumVoters() {
                                return Voters.of(super.quorumVoters().current());
                            }
                        })
                        >= 0,
                "new voters only");
        assertTrue(
                firstBrokenWalk((id, stored, now) -> new Raft(id, stored, Cluster.TIMING, 1, 0) {
                            @Override
                            Voters quorumVoters() {
                                Voters both = super.quorumVoters();
                                return both.isJoint() ? Voters.of(both.outgoing()) : both;
                            }
                        })
                        >= 0,
                "old voters only");
    }
}
