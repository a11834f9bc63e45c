package tinworks.raft;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import tinworks.raft.Cluster.Flaw;
import tinworks.raft.Cluster.Node;

/**
 * Measures the time from a failure to full redundancy on the simulated network, with the production timing and a
 * simplified version of the core node's timers; docs/design/control-safety-raft.md has the figures.
 */
class StrengthTest {
    private static final Timing PRODUCTION_TIMING = new Timing(120, 500);
    private static final int SEEDS = 200;
    private static final int TIMER_STEP_MILLIS = 50;
    private static final int PLAN_INTERVAL_MILLIS = 250;
    private static final int JOIN_INTERVAL_MILLIS = 500;
    private static final int REMOVE_AFTER_MILLIS = 2_500;
    /** The shortest time after which another node may fail; deployments count on 6 s. */
    private static final long RECOVERY_BOUND_MILLIS = 4_000;

    private interface Fault {
        /** Injects the fault and returns the condition for full redundancy. */
        Predicate<Cluster> inject(Cluster cluster);
    }

    private static Cluster clusterUnderLoad(long seed) {
        Cluster cluster = new Cluster(seed, 3, Flaw.NONE, PRODUCTION_TIMING, Raft::new);
        cluster.addEmptyNode();
        cluster.run(1_500);
        for (int i = 0; i < 30; i++) {
            cluster.propose();
            step(cluster);
        }
        return cluster;
    }

    /** Runs the timers of the nodes: members that should join become learners, and the leader replaces lost voters. */
    private static void step(Cluster cluster) {
        cluster.run(cluster.now + TIMER_STEP_MILLIS);
        Node leader = cluster.leader();
        if (leader == null) {
            return;
        }
        if (cluster.now % JOIN_INTERVAL_MILLIS < TIMER_STEP_MILLIS) {
            cluster.nodes.stream()
                    .filter(n -> n.raft != null && n.raft.shouldRequestJoin())
                    .forEach(n -> leader.raft.addLearner(n.member()));
        }
        if (cluster.now % PLAN_INTERVAL_MILLIS < TIMER_STEP_MILLIS && leader.raft.mayChangeMembers()) {
            replaceLostVoter(leader);
        }
        leader.pump();
    }

    private static void replaceLostVoter(Node leader) {
        List<Progress> learners = new ArrayList<>();
        List<Progress> lost = new ArrayList<>();
        for (Progress p : leader.raft.followers()) {
            long sinceReceived = leader.clock() - p.lastReceivedMillis();
            if (!leader.raft.isVoter(p.member().id()) && sinceReceived < 1_000) {
                learners.add(p);
            } else if (leader.raft.isVoter(p.member().id()) && sinceReceived > REMOVE_AFTER_MILLIS) {
                lost.add(p);
            }
        }
        for (Progress p : leader.raft.followers()) {
            if (leader.raft.isVoter(p.member().id())
                    && learners.stream()
                            .anyMatch(
                                    l -> l.member().address().equals(p.member().address()))) {
                lost.add(0, p);
            }
        }
        List<Member> voters = new ArrayList<>(leader.raft.voters());
        learners.stream()
                .filter(Progress::caughtUp)
                .findFirst()
                .filter(learner -> !lost.isEmpty())
                .ifPresent(learner -> voters.set(voters.indexOf(lost.get(0).member()), learner.member()));
        leader.raft.changeMembers(voters);
    }

    private static boolean hasLeaseHolder(Cluster cluster) {
        return cluster.nodes.stream().anyMatch(n -> n.raft != null && n.raft.holdsLease(n.clock()));
    }

    private static boolean votesInCompletedChange(Cluster cluster, Node node) {
        return hasLeaseHolder(cluster)
                && cluster.leader().raft.isVoter(node.id)
                && cluster.leader().raft.mayChangeMembers();
    }

    /** Measures the recovery time over all seeds, checks its maximum and returns its median. */
    private static long measureRecovery(String what, long bound, Fault fault) {
        long[] recoveryMillis = new long[SEEDS];
        for (int seed = 1; seed <= SEEDS; seed++) {
            Cluster cluster = clusterUnderLoad(seed);
            Predicate<Cluster> recovered = fault.inject(cluster);
            long from = cluster.now;
            while (!recovered.test(cluster)) {
                cluster.propose();
                step(cluster);
                assertTrue(cluster.now < from + 60_000, "seed " + seed + ": no recovery within 60 s");
            }
            recoveryMillis[seed - 1] = cluster.now - from;
            cluster.run(cluster.now + 1_000);
            cluster.checkRetainsAcknowledged(cluster.leader());
        }
        Arrays.sort(recoveryMillis);
        System.out.println(what + ": median " + recoveryMillis[SEEDS / 2] + " ms, maximum " + recoveryMillis[SEEDS - 1]
                + " ms, bound " + bound);
        assertTrue(recoveryMillis[SEEDS - 1] <= bound, what + " took " + recoveryMillis[SEEDS - 1] + " ms");
        return recoveryMillis[SEEDS / 2];
    }

    private static Node follower(Cluster cluster) {
        return cluster.nodes.stream()
                .filter(n -> n != cluster.leader() && cluster.leader().raft.isVoter(n.id))
                .findFirst()
                .orElseThrow();
    }

    @Test
    void newLeaderAfterTheLeaderIsLost() {
        measureRecovery("leader lost, another holds a lease", RECOVERY_BOUND_MILLIS, cluster -> {
            cluster.leader().crash();
            return StrengthTest::hasLeaseHolder;
        });
    }

    @Test
    void newLeaderAfterAllLostPower() {
        long median = measureRecovery("all lost power, one holds a lease", RECOVERY_BOUND_MILLIS, cluster -> {
            cluster.nodes.forEach(Node::crash);
            cluster.nodes.forEach(Node::start);
            return StrengthTest::hasLeaseHolder;
        });
        assertTrue(
                median <= 2 * PRODUCTION_TIMING.heartbeatIntervalMillis(),
                "median " + median + " ms: no member may wait for a lease that is over");
    }

    @Test
    void fourthNodeReplacesALostVoter() {
        measureRecovery(
                "voter lost, replaced by the fourth node",
                REMOVE_AFTER_MILLIS + PLAN_INTERVAL_MILLIS + 1_000,
                cluster -> {
                    follower(cluster).crash();
                    Node fourth = cluster.nodes.get(3);
                    return after -> votesInCompletedChange(after, fourth);
                });
    }

    @Test
    void fourthNodeReplacesTheLostLeader() {
        measureRecovery(
                "leader lost, replaced by the fourth node", RECOVERY_BOUND_MILLIS + REMOVE_AFTER_MILLIS, cluster -> {
                    cluster.leader().crash();
                    Node fourth = cluster.nodes.get(3);
                    return after -> votesInCompletedChange(after, fourth);
                });
    }

    @Test
    void voterThatLostItsDiskIsReplacedBeforeAnotherFailureIsExpected() {
        measureRecovery(
                "disk of a voter lost, replaced by the fourth node",
                RECOVERY_BOUND_MILLIS,
                cluster -> restartWithoutDisk(follower(cluster)));
        measureRecovery(
                "disk of the leader lost, replaced by the fourth node",
                RECOVERY_BOUND_MILLIS,
                cluster -> restartWithoutDisk(cluster.leader()));
        measureRecovery("disk of a voter lost, three nodes", RECOVERY_BOUND_MILLIS, cluster -> {
            cluster.nodes.get(3).crash();
            return restartWithoutDisk(follower(cluster));
        });
        measureRecovery("disk of the leader lost, three nodes", RECOVERY_BOUND_MILLIS, cluster -> {
            cluster.nodes.get(3).crash();
            return restartWithoutDisk(cluster.leader());
        });
    }

    private static Predicate<Cluster> restartWithoutDisk(Node node) {
        long before = node.id;
        node.restartWithoutDisk();
        return after -> hasLeaseHolder(after)
                && !after.leader().raft.isVoter(before)
                && after.leader().raft.mayChangeMembers();
    }

    @Test
    void emptyNodeBecomesAVoterBeforeAnotherFailureIsExpected() {
        measureRecovery(
                "three nodes, one lost for good, from the start of its successor", RECOVERY_BOUND_MILLIS, cluster -> {
                    // Takes the fourth node out, so that only the new node can replace the lost voter.
                    cluster.nodes.get(3).crash();
                    follower(cluster).crash();
                    for (int i = 0; i < 100; i++) {
                        step(cluster);
                    }
                    Node successor = cluster.addEmptyNode();
                    return after -> votesInCompletedChange(after, successor);
                });
    }
}
