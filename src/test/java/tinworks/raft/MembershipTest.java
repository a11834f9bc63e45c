package tinworks.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import tinworks.raft.Cluster.Flaw;
import tinworks.raft.Cluster.Node;
import tinworks.raft.Cluster.RaftFactory;
import tinworks.raft.Message.AppendReply;
import tinworks.raft.Message.VoteReply;

/** Tests membership changes by joint consensus, on single members and in simulations, with mutants without a guard. */
class MembershipTest {
    private static final int SEEDS = 500;
    private static final int MUTANT_SEEDS = 4_000;
    private static final Member A = new Member(1, "a");
    private static final Member B = new Member(2, "b");
    private static final Member C = new Member(3, "c");
    private static final Member D = new Member(4, "d");
    private static final Member E = new Member(5, "e");

    /** Returns a leader of A, B and C in term 4 with a committed entry of that term; D and E are learners. */
    private static Raft leader() {
        PersistentState stored =
                new PersistentState(new HardState(3, 0), new Snapshot(0, 0, List.of(A, B, C), new byte[0]), List.of());
        Raft raft = new Raft(1, stored, Cluster.TIMING, 1, 0);
        raft.tick(1_000);
        raft.receive(1_000, 2, new VoteReply(4, true, true));
        raft.receive(1_000, 2, new VoteReply(4, false, true));
        raft.addLearner(D);
        raft.addLearner(E);
        acknowledge(raft, 2);
        assertTrue(raft.hasCommittedInCurrentTerm());
        return raft;
    }

    private static void acknowledge(Raft raft, long... members) {
        raft.persisted(raft.drain());
        for (long member : members) {
            raft.receive(1_010, member, new AppendReply(raft.term(), true, raft.lastIndex(), 1));
        }
    }

    @Test
    void changeNeedsAMajorityOfTheOldAndOfTheNewVoters() {
        Raft raft = leader();
        assertTrue(raft.changeMembers(List.of(A, D, E)));
        long first = raft.lastIndex();
        assertEquals(Set.of(A, B, C, D, E), Set.copyOf(raft.voters()));
        acknowledge(raft, 4, 5);
        assertTrue(raft.commitIndex() < first, "of the old voters, only the leader has it");
        acknowledge(raft, 2);
        assertTrue(raft.commitIndex() >= first);
        assertEquals(List.of(A, D, E), raft.voters(), "the leader completes the change by itself");
        assertFalse(raft.mayChangeMembers());
        long last = raft.lastIndex();
        acknowledge(raft, 2, 3);
        assertTrue(raft.commitIndex() < last, "the old voters no longer count");
        acknowledge(raft, 4);
        assertEquals(last, raft.commitIndex());
        assertTrue(raft.mayChangeMembers());

        raft = leader();
        raft.changeMembers(List.of(A, D, E));
        first = raft.lastIndex();
        acknowledge(raft, 2, 3);
        assertTrue(raft.commitIndex() < first, "of the new voters, only the leader has it");
    }

    @Test
    void removedLeaderStepsDownOnceTheChangeIsComplete() {
        Raft raft = leader();
        assertTrue(raft.changeMembers(List.of(B, C, D)));
        acknowledge(raft, 2, 3);
        assertEquals(List.of(B, C, D), raft.voters());
        assertEquals(Raft.Role.LEADER, raft.role());
        acknowledge(raft, 2, 4);
        assertEquals(Raft.Role.FOLLOWER, raft.role());
    }

    @Test
    void leaseDuringAChangeNeedsAMajorityOfBothLists() {
        Raft raft = leader();
        raft.changeMembers(List.of(A, D, E));
        raft.tick(1_100);
        raft.drain();
        raft.receive(1_260, 2, new AppendReply(4, true, 1, 2));
        assertFalse(raft.holdsLease(), "D and E have only acknowledged the first round, which is too long ago");
        raft.receive(1_260, 4, new AppendReply(4, true, 1, 2));
        assertTrue(raft.holdsLease());
    }

    @Test
    void readDuringAChangeNeedsAMajorityOfBothLists() {
        Raft raft = leader();
        raft.changeMembers(List.of(A, D, E));
        raft.drain();
        long ticket = raft.read();
        raft.receive(1_020, 2, new AppendReply(4, true, 1, 2));
        raft.receive(1_020, 3, new AppendReply(4, true, 1, 2));
        assertEquals(List.of(), raft.drain().reads());
        raft.receive(1_020, 5, new AppendReply(4, true, 1, 2));
        assertEquals(List.of(ticket), raft.drain().reads());
    }

    @Test
    void invalidChangesAreRejected() {
        Raft raft = leader();
        assertFalse(raft.changeMembers(List.of()));
        assertFalse(raft.changeMembers(List.of(C, B, A)), "the same voters");
        assertFalse(raft.changeMembers(List.of(A, B, new Member(2, "d"))), "duplicate id");
        assertTrue(raft.changeMembers(List.of(A, B, D)));
        assertFalse(raft.changeMembers(List.of(A, B, E)), "during another change");
    }

    @Test
    void noSnapshotIsTakenDuringAChange() {
        Raft raft = leader();
        raft.changeMembers(List.of(A, B, D));
        long first = raft.lastIndex();
        acknowledge(raft, 2, 4);
        raft.drain();
        raft.compact(first, new byte[0]);
        assertEquals(raft.lastIndex(), raft.logLength(), "the log is not compacted");
        acknowledge(raft, 2);
        raft.drain();
        raft.compact(raft.commitIndex(), new byte[0]);
        assertEquals(0, raft.logLength());
        assertEquals(List.of(A, B, D), raft.voters());
    }

    /** The old voters need the vote of the removed member, which denies it to all without the second entry. */
    @Test
    void removedMemberStartsElectionsUntilItsRemovalCommits() {
        List<Entry> entries = List.of(
                new Entry(1, 1, Entry.Kind.NO_OP, new byte[0]),
                new Entry(2, 1, Entry.Kind.MEMBERSHIP, new Voters(List.of(B, C), List.of(A, B)).encode()),
                new Entry(3, 1, Entry.Kind.MEMBERSHIP, Voters.of(List.of(B, C)).encode()));
        PersistentState stored =
                new PersistentState(new HardState(1, 1), new Snapshot(0, 0, List.of(A, B), new byte[0]), entries);
        Raft raft = new Raft(1, stored, Cluster.TIMING, 1, 0);
        raft.tick(1_000);
        assertEquals(Raft.Role.PRE_CANDIDATE, raft.role());
        raft.receive(1_000, 2, new VoteReply(2, true, true));
        assertEquals(Raft.Role.PRE_CANDIDATE, raft.role(), "its own vote no longer counts");
        raft.receive(1_000, 3, new VoteReply(2, true, true));
        raft.receive(1_000, 2, new VoteReply(2, false, true));
        raft.receive(1_000, 3, new VoteReply(2, false, true));
        assertEquals(Raft.Role.LEADER, raft.role());
        acknowledge(raft, 2, 3);
        assertEquals(Raft.Role.FOLLOWER, raft.role());
        raft.tick(5_000);
        assertEquals(Raft.Role.FOLLOWER, raft.role(), "its removal is committed");
    }

    // ---- on the simulated network

    private static Cluster withLearners(long seed, int voters, int learners, RaftFactory factory) {
        Cluster cluster = new Cluster(seed, voters, Flaw.NONE, Cluster.TIMING, factory);
        for (int i = 0; i < learners; i++) {
            cluster.addEmptyNode();
        }
        cluster.run(1_000);
        return cluster;
    }

    /** Makes the leader replicate to all nodes and request a change to the given voters. */
    private static void change(Cluster cluster, List<Member> newVoters) {
        Node leader = cluster.leader();
        if (leader != null && !leader.isFrozen()) {
            cluster.nodes.forEach(n -> leader.raft.addLearner(n.member()));
            leader.raft.changeMembers(newVoters);
            leader.pump();
        }
    }

    private static void addAllAsLearners(Cluster cluster) {
        change(cluster, List.of());
        cluster.run(cluster.now + 200);
    }

    /** The leader crashes at a random moment of a change. The next leader completes the change, or it has no effect. */
    @Test
    void changeOfACrashedLeaderIsCompletedByTheNextOrHasNoEffect() {
        int completed = 0;
        for (long seed = 1; seed <= 300; seed++) {
            Cluster cluster = withLearners(seed, 3, 2, Raft::new);
            addAllAsLearners(cluster);
            Node leader = cluster.leader();
            List<Member> newVoters = List.of(
                    cluster.nodes.get(0).member(),
                    cluster.nodes.get(3).member(),
                    cluster.nodes.get(4).member());
            change(cluster, newVoters);
            cluster.propose();
            cluster.run(cluster.now + cluster.random.nextInt(60));
            leader.crash();
            cluster.run(cluster.now + 1_500);
            Node next = cluster.leader();
            assertTrue(
                    next != null && next.raft.mayChangeMembers(), "seed " + seed + ": the change is never completed");
            completed += Set.copyOf(next.raft.voters()).equals(Set.copyOf(newVoters)) ? 1 : 0;
            leader.start();
            cluster.propose();
            cluster.run(cluster.now + 1_500);
            cluster.nodes.stream().filter(n -> next.raft.isVoter(n.id)).forEach(cluster::checkRetainsAcknowledged);
        }
        assertTrue(completed > 50 && completed < 300, "completed " + completed + " of 300");
    }

    /** A second failure right after a replacement must lose no entry, and the remaining voters must stay available. */
    @Test
    void rightAfterAReplacementAnyOtherVoterMayFail() {
        for (long seed = 1; seed <= 300; seed++) {
            Cluster cluster = withLearners(seed, 3, 1, Raft::new);
            addAllAsLearners(cluster);
            Node leader = cluster.leader();
            List<Node> others = new ArrayList<>(cluster.nodes.subList(0, 3));
            others.remove(leader);
            others.get(0).crash();
            cluster.propose();
            List<Member> newVoters = List.of(
                    leader.member(),
                    others.get(1).member(),
                    cluster.nodes.get(3).member());
            change(cluster, newVoters);
            while (!leader.raft.mayChangeMembers()) {
                cluster.run(cluster.now + 5);
            }
            cluster.nodes.stream()
                    .filter(n -> newVoters.contains(n.member()))
                    .skip(seed % 3)
                    .findFirst()
                    .orElseThrow()
                    .restartWithoutDisk();
            int before = cluster.acknowledged.size();
            cluster.run(cluster.now + 1_500);
            cluster.propose();
            cluster.run(cluster.now + 300);
            assertTrue(cluster.acknowledged.size() > before, "seed " + seed + ": no majority is left");
            cluster.checkRetainsAcknowledged(cluster.leader());
        }
    }

    /** Changes between random sets of five voters during partitions, process pauses and crashes. */
    private static int runWithFaults(long seed, RaftFactory factory) {
        Cluster cluster = withLearners(seed, 3, 2, factory);
        addAllAsLearners(cluster);
        for (int round = 0; round < 40; round++) {
            cluster.run(cluster.now + 5 + cluster.random.nextInt(120));
            cluster.propose();
            cluster.propose();
            Node one = cluster.nodes.get(cluster.random.nextInt(5));
            switch (cluster.random.nextInt(8)) {
                case 0, 1, 2 -> {
                    List<Member> newVoters = new ArrayList<>();
                    cluster.nodes.stream()
                            .filter(n -> cluster.random.nextInt(5) < 3)
                            .forEach(n -> newVoters.add(n.member()));
                    change(cluster, newVoters);
                    cluster.run(cluster.now + cluster.random.nextInt(30));
                }
                case 3, 4 -> {
                    Set<Node> side = new HashSet<>();
                    cluster.nodes.stream()
                            .filter(n -> cluster.random.nextBoolean())
                            .forEach(side::add);
                    cluster.reconnectAll();
                    side.forEach(a -> cluster.nodes.stream()
                            .filter(b -> !side.contains(b))
                            .forEach(b -> cluster.disconnect(a.number, b.number)));
                }
                case 5 -> {
                    one.crash();
                    one.start();
                }
                case 6 -> one.freeze(cluster.random.nextInt(300));
                default -> cluster.reconnectAll();
            }
        }
        cluster.reconnectAll();
        cluster.run(cluster.now + 3_000);
        cluster.propose();
        cluster.run(cluster.now + 1_000);
        assertTrue(cluster.leader() != null, "seed " + seed + ": no leader although all nodes run and are connected");
        cluster.checkRetainsAcknowledged(cluster.leader());
        return cluster.acknowledged.size();
    }

    @Test
    void randomChangesLoseNothingAndNeverElectTwoLeaders() {
        int acknowledged = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            acknowledged += runWithFaults(seed, Raft::new);
        }
        assertTrue(acknowledged > 10 * SEEDS, "too few acknowledged commands: " + acknowledged);
    }

    private static int firstSeedCaught(RaftFactory mutant) {
        for (int seed = 1; seed <= MUTANT_SEEDS; seed++) {
            try {
                runWithFaults(seed, mutant);
            } catch (Cluster.InvariantViolation | IllegalStateException e) {
                return seed;
            } catch (AssertionError e) {
                // A stalled cluster violates liveness only, not safety.

            }
        }
        return 0;
    }

    @Test
    void changeThatCountsOnlyTheNewVotersIsCaught() {
        assertTrue(firstSeedCaught((id, stored, timing, seed, now) -> new Raft(id, stored, timing, seed, now) {
                    @Override
                    Voters quorumVoters() {
                        return Voters.of(super.quorumVoters().current());
                    }
                })
                > 0);
    }

    @Test
    void changeThatCountsOnlyTheOldVotersIsCaught() {
        assertTrue(firstSeedCaught((id, stored, timing, seed, now) -> new Raft(id, stored, timing, seed, now) {
                    @Override
                    Voters quorumVoters() {
                        Voters both = super.quorumVoters();
                        return both.isJoint() ? Voters.of(both.outgoing()) : both;
                    }
                })
                > 0);
    }

    /** According to its own log it is a voter, but no leader replicates to it. */
    @Test
    void voterRemovedWhileDownRequestsToJoin() {
        Cluster cluster = withLearners(5, 3, 1, Raft::new);
        addAllAsLearners(cluster);
        Node leader = cluster.leader();
        Node removed =
                cluster.nodes.stream().filter(n -> n != leader).findFirst().orElseThrow();
        assertFalse(removed.raft.shouldRequestJoin() || leader.raft.shouldRequestJoin());
        removed.crash();
        List<Member> newVoters = new ArrayList<>(leader.raft.voters());
        newVoters.set(newVoters.indexOf(removed.member()), cluster.nodes.get(3).member());
        change(cluster, newVoters);
        cluster.run(cluster.now + 300);
        leader.raft.removeLearner(removed.id);
        removed.start();
        cluster.run(cluster.now + 1_000);
        assertTrue(removed.raft.isVoter(removed.id), "according to its own log");
        assertTrue(removed.raft.shouldRequestJoin());
        leader.raft.addLearner(removed.member());
        cluster.run(cluster.now + 500);
        assertEquals(Set.copyOf(newVoters), Set.copyOf(removed.raft.voters()));
        assertEquals(leader.raft.commitIndex(), removed.raft.commitIndex());
    }

    // ---- promotion of learners

    /** Entries arrive faster than the learner's replies, so at no moment does it hold everything committed. */
    @Test
    void learnerCatchesUpWithTheLogAsOfItsAdditionWhileEntriesKeepArriving() {
        Raft raft = leader();
        Progress learner = raft.followers().stream()
                .filter(p -> p.member().equals(D))
                .findFirst()
                .orElseThrow();
        long target = raft.lastIndex();
        raft.propose(new byte[1]);
        int caughtUp = 0;
        for (int i = 0; i < 100; i++) {
            long before = raft.lastIndex();
            raft.propose(new byte[1]);
            acknowledge(raft, 2);
            raft.receive(1_010, 4, new AppendReply(4, true, before - 1, 1));
            assertTrue(
                    learner.matchIndex() < raft.commitIndex(),
                    "a target of all committed entries would never be reached");
            caughtUp += learner.caughtUp() ? 1 : 0;
            assertEquals(learner.matchIndex() >= target, learner.caughtUp());
        }
        assertTrue(caughtUp >= 98, "caught up " + caughtUp + " times of 100");
    }

    @Test
    void unresponsiveLearnerGetsANewTarget() {
        Raft raft = leader();
        acknowledge(raft, 4);
        Progress learner = raft.followers().stream()
                .filter(p -> p.member().equals(D))
                .findFirst()
                .orElseThrow();
        assertTrue(learner.caughtUp());
        for (long now = 1_020; now < 2_000; now += 50) {
            raft.tick(now);
            raft.receive(now, 2, new AppendReply(4, true, raft.lastIndex(), 1));
            raft.propose(new byte[1]);
        }
        raft.addLearner(D);
        assertFalse(learner.caughtUp());
        acknowledge(raft, 4);
        assertTrue(learner.caughtUp());
    }

    // ---- leadership transfer

    @Test
    void leaderKeepsLeadingUntilAFollowerIsUpToDateAndThenAcceptsNoProposals() {
        Raft raft = leader();
        raft.propose(new byte[1]);
        assertFalse(raft.transferLeadership(), "no follower has the entry");
        assertTrue(raft.propose(new byte[1]) > 0);
        long last = raft.lastIndex();
        raft.drain();
        raft.receive(1_010, 3, new AppendReply(4, true, last, 1));
        assertFalse(raft.transferLeadership(), "on one disk of three it is not committed");
        acknowledge(raft, 3);
        assertTrue(raft.transferLeadership());
        assertEquals(0, raft.propose(new byte[1]));
        assertFalse(raft.mayChangeMembers());
        assertEquals(
                List.of(3L),
                raft.drain().messages().stream()
                        .filter(e -> e.message() instanceof Message.TimeoutNow)
                        .map(Output.Envelope::to)
                        .toList());
        assertTrue(raft.transferLeadership(), "a repeated call asks no other member");
        assertEquals(List.of(), raft.drain().messages());
    }

    /** Returns how many of 100 leadership transfers elect a new leader in the very next term. */
    private static int directTransfers(RaftFactory factory) {
        int direct = 0;
        for (long seed = 1; seed <= 100; seed++) {
            Cluster cluster = new Cluster(seed, 3, Flaw.NONE, Cluster.TIMING, factory);
            cluster.run(1_000);
            Node leader = cluster.leader();
            Node late = cluster.nodes.stream()
                    .filter(n -> n != leader)
                    .skip(seed % 2)
                    .findFirst()
                    .orElseThrow();
            cluster.disconnect(leader.number, late.number);
            cluster.run(cluster.now + 60);
            cluster.propose();
            cluster.run(cluster.now + 30);
            cluster.reconnectAll();
            long term = leader.raft.term();
            for (int i = 0; i < 40 && !leader.raft.transferLeadership(); i++) {
                leader.pump();
                cluster.run(cluster.now + 5);
            }
            leader.pump();
            cluster.run(cluster.now + 150);
            Node next = cluster.leader();
            direct += next != null && next != leader && next.raft.term() == term + 1 ? 1 : 0;
        }
        return direct;
    }

    @Test
    void transferToAnUpToDateMemberSucceedsAndToAnyOtherIsCaught() {
        int direct = directTransfers(Raft::new);
        int directWithoutGuard =
                directTransfers((id, stored, timing, seed, now) -> new Raft(id, stored, timing, seed, now) {
                    @Override
                    boolean isFullyReplicated(Progress p) {
                        return true;
                    }
                });
        assertEquals(100, direct);
        assertTrue(directWithoutGuard < 75, directWithoutGuard + " without the guard");
    }
}
