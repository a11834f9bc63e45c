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

/** The agreement gone through exhaustively within small bounds; docs/design/system.md has the counts. */
@Timeout(value = 900, unit = TimeUnit.SECONDS)
class ModelTest {
    private static SearchResult search(int machines, Bounds bounds) {
        long began = System.nanoTime();
        SearchResult found = new Model(machines, true, Model::createWithoutLeases).search(3, bounds);
        System.out.println(machines + " machines, " + bounds + ": " + found + " in "
                + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began) + " ms");
        return found;
    }

    @Test
    void anElectionAndACommandWithABrokenConnection() {
        SearchResult found = search(3, new Bounds(1, 0, 1, 1, 0, 0));
        assertTrue(found.states() > 10_000 && found.maxCommitted() == 3, found.toString());
    }

    @Test
    void anElectionAndACommandWithACrash() {
        SearchResult found = search(3, new Bounds(1, 0, 1, 0, 1, 0));
        assertTrue(found.states() > 10_000 && found.maxCommitted() == 3, found.toString());
    }

    @Test
    void anEmptyMachineIsMadeAVoterOrTakesTheirPlace() {
        SearchResult found = search(4, new Bounds(1, 0, 0, 0, 0, 1));
        assertTrue(found.states() > 10_000 && found.maxCommitted() == 4, found.toString());
    }

    /**
     * After the first was elected, and the second and perhaps the third have answered its round: no time has passed
     * since.
     */
    private static SearchResult searchWithLease(
            int machines, Model.RaftFactory maker, boolean allAnswered, Bounds bounds) {
        Model model = Model.withLeases(machines, maker);
        int[] second = {0, 1, 1, 0, 0, 1, 1, 0, 0, 1, 1, 0};
        int[] third = {0, 2, 2, 0};
        SearchResult found = model.search(3, bounds, model.election(0, allAnswered ? concat(second, third) : second));
        System.out.println(machines + " machines, leases, " + bounds + ": " + found);
        return found;
    }

    private static int[] concat(int[] first, int[] last) {
        return IntStream.concat(IntStream.of(first), IntStream.of(last)).toArray();
    }

    /**
     * Where all are bound by their word, one leads only once two have started again, and one of them was told that the
     * lease is over.
     */
    @Test
    void noOtherLeadsDuringALeaseThoughVotersStartAgain() {
        assertEquals(
                2,
                searchWithLease(3, Model::createWithLeases, true, LEASE_BOUNDS).latestTerm());
        assertEquals(
                1,
                searchWithLease(3, Model::createWithLeases, true, new Bounds(1, 0, 0, 1, 2, 0, 0, 1))
                        .latestTerm(),
                "nobody asks");
        searchWithLease(3, Model::createWithLeases, false, LEASE_BOUNDS);
    }

    @Test
    void aVoterThatForgetsItsPromiseAndALeaderThatSaysItsLeaseIsOverAreCaught() {
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

    /** One connection breaks, two members start again, each may ask, and one stands. */
    private static final Bounds LEASE_BOUNDS = new Bounds(1, 0, 0, 1, 2, 0, 2, 1);

    private static final Bounds LONG_BOUNDS = new Bounds(3, 1, 2, 1, 2, 2);
    private static final int WALKS = 3_000;

    @Test
    void longWaysByChanceKeepTheInvariants() {
        assertEquals(
                -1, new Model(4, true, Model::createWithoutLeases).randomWalks(3, LONG_BOUNDS, List.of(), 1, WALKS));
    }

    @Test
    void aDiskThatOnlySaysItHasSyncedElectsTwoLeadersInATerm() {
        Bounds bounds = new Bounds(2, 0, 0, 0, 1, 0);
        assertTrue(firstWalkWithTwoLeaders(false, bounds) >= 0);
        assertEquals(-1, firstWalkWithTwoLeaders(true, bounds), "with syncs the same ways are safe");
    }

    /** After the first member was elected by the second's vote; the second may now crash, and the third stand. */
    private static int firstWalkWithTwoLeaders(boolean syncs, Bounds bounds) {
        Model model = new Model(3, syncs, Model::createWithoutLeases);
        return model.randomWalks(3, bounds, model.election(0, 0, 1, 1, 0, 0, 1, 1, 0), 1, 20 * WALKS);
    }

    /**
     * After the first member was elected by the second's vote and all have its first entries; voters may now change.
     */
    private static int firstBrokenWalk(Model.RaftFactory maker) {
        Model model = new Model(4, true, maker);
        return model.randomWalks(
                3, new Bounds(3, 3, 1, 2, 0, 2), model.election(0, 0, 1, 1, 0, 0, 1, 1, 0), 1, 2 * WALKS);
    }

    @Test
    void aChangeOfVotersThatCountsOneSideOnlyIsCaught() {
        assertEquals(-1, firstBrokenWalk(Model::createWithoutLeases));
        assertTrue(
                firstBrokenWalk((id, stored, now) -> new Raft(id, stored, Cluster.TIMING, 1, 0) {
                            @Override
                            Voters quorumVoters() {
                                return Voters.of(super.quorumVoters().current());
                            }
                        })
                        >= 0,
                "those to come only");
        assertTrue(
                firstBrokenWalk((id, stored, now) -> new Raft(id, stored, Cluster.TIMING, 1, 0) {
                            @Override
                            Voters quorumVoters() {
                                Voters both = super.quorumVoters();
                                return both.isJoint() ? Voters.of(both.outgoing()) : both;
                            }
                        })
                        >= 0,
                "those before only");
    }
}
