package tinworks.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import tinworks.config.ConfigurationHistory;
import tinworks.raft.Cluster.Flaw;
import tinworks.raft.Cluster.Node;

/** Tests Raft on simulated networks and disks over many fixed seeds. */
class RaftTest {
    private static final int SEEDS = 2_000;
    private static final int MUTANT_SEEDS = 4_000;

    @Test
    void acknowledgedCommandsSurviveFaults() {
        int acknowledged = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            acknowledged += runWithFaults(seed, seed % 3 == 0 ? 5 : 3, Flaw.NONE);
        }
        assertTrue(acknowledged > 10 * SEEDS, "too few acknowledged commands: " + acknowledged);
    }

    @Test
    void skippedSyncsAreCaught() {
        int caught = 0;
        for (long seed = 1; seed <= MUTANT_SEEDS && caught == 0; seed++) {
            try {
                runWithFaults(seed, 3 + 2 * (int) (seed % 2), Flaw.SYNC_SKIPPED);
            } catch (Cluster.InvariantViolation | IllegalStateException e) {
                caught++;
            }
        }
        assertTrue(caught > 0, "skipped syncs were never caught");
    }

    private static PersistentState stored(HardState hard) {
        List<Member> voters = List.of(new Member(1, "a"), new Member(2, "b"), new Member(3, "c"));
        return new PersistentState(
                hard,
                new Snapshot(0, 0, voters, new byte[0]),
                List.of(
                        new Entry(1, 1, Entry.Kind.NO_OP, new byte[0]),
                        new Entry(2, 2, Entry.Kind.NO_OP, new byte[0])));
    }

    /** Returns the commit index of a leader of term 4 once a majority has the entry of term 2 but none of term 4. */
    private static long commitIndexAfterMajorityHasOlderTerm(Raft raft) {
        raft.tick(10_000);
        raft.receive(10_000, 2, new Message.VoteReply(4, true, true));
        raft.receive(10_000, 2, new Message.VoteReply(4, false, true));
        assertEquals(Raft.Role.LEADER, raft.role());
        raft.persisted(raft.drain());
        raft.receive(10_000, 2, new Message.AppendReply(4, true, 2, 0));
        return raft.commitIndex();
    }

    @Test
    void entryOfAnEarlierTermIsNotCommittedByItsReplicaCount() {
        HardState hard = new HardState(3, 0);
        assertEquals(0, commitIndexAfterMajorityHasOlderTerm(new Raft(1, stored(hard), Cluster.TIMING, 1, 0)));
        assertEquals(
                2,
                commitIndexAfterMajorityHasOlderTerm(new Raft(1, stored(hard), Cluster.TIMING, 1, 0) {
                    @Override
                    boolean mayCommit(long index) {
                        return true;
                    }
                }),
                "without the guard the same events commit it");
    }

    private static boolean grantsVote(HardState hard) {
        Raft raft = new Raft(1, stored(hard), Cluster.TIMING, 1, 0);
        // Earlier than this it denies all votes, since it may have supported a lease before its start.
        raft.receive(Cluster.TIMING.electionTimeoutMillis(), 3, new Message.VoteRequest(5, false, 9, 4, false));
        return ((Message.VoteReply) raft.drain().messages().get(0).message()).granted();
    }

    @Test
    void storedVoteIsNotGrantedTwice() {
        assertFalse(grantsVote(new HardState(5, 2)));
        assertTrue(grantsVote(new HardState(5, 0)), "a member without a stored vote would vote again");
        assertTrue(grantsVote(new HardState(5, 3)), "the same candidate may request the vote again");
    }

    /**
     * Simulates some seconds of crashes, disconnects and message loss, then a period without faults. Returns the number
     * of acknowledged commands.
     */
    private static int runWithFaults(long seed, int voters, Flaw flaw) {
        Cluster cluster = new Cluster(seed, voters, flaw);
        cluster.lossProbability = seed % 4 == 0 ? 0.2 : 0.02;
        for (int round = 0; round < 30; round++) {
            cluster.run(cluster.now + 20 + cluster.random.nextInt(150));
            for (int i = cluster.random.nextInt(4); i > 0; i--) {
                cluster.propose();
            }
            Node victim = cluster.nodes.get(cluster.random.nextInt(voters));
            switch (cluster.random.nextInt(8)) {
                case 0, 1 -> {
                    if (victim.raft != null) {
                        victim.crash();
                    }
                }
                case 2, 3 -> cluster.nodes.stream().filter(n -> n.raft == null).forEach(Node::start);
                case 4 ->
                    cluster.nodes.stream()
                            .filter(n -> n != victim)
                            .forEach(n -> cluster.disconnect(n.number, victim.number));
                case 5 -> cluster.reconnectAll();
                default -> cluster.propose();
            }
        }
        settle(cluster);
        cluster.nodes.forEach(cluster::checkRetainsAcknowledged);
        return cluster.acknowledged.size();
    }

    private static void settle(Cluster cluster) {
        cluster.reconnectAll();
        cluster.lossProbability = 0;
        cluster.nodes.stream().filter(n -> n.raft == null).forEach(Node::start);
        cluster.run(cluster.now + 3_000);
        cluster.propose();
        cluster.run(cluster.now + 1_000);
    }

    @Test
    void nodeThatLostItsDiskReturnsAsNewMemberAndNothingIsLost() {
        for (long seed = 1; seed <= 300; seed++) {
            Cluster cluster = new Cluster(seed, 3, Flaw.NONE);
            cluster.run(1_500);
            for (int round = 0; round < 6; round++) {
                cluster.propose();
                cluster.propose();
                cluster.run(cluster.now + cluster.random.nextInt(60));
                Node wiped = cluster.nodes.get(cluster.random.nextInt(3));
                wiped.restartWithoutDisk();
                replace(cluster, wiped);
            }
            settle(cluster);
            cluster.nodes.forEach(cluster::checkRetainsAcknowledged);
        }
    }

    /** Replaces the lost voter by the new member once that has caught up, as the leader's membership plan does. */
    private static void replace(Cluster cluster, Node replacement) {
        for (int i = 0; i < 400; i++) {
            cluster.run(cluster.now + 20);
            Node leader = cluster.leader();
            if (leader == null || leader == replacement) {
                continue;
            }
            leader.raft.addLearner(replacement.member());
            if (leader.raft.isVoter(replacement.id) && leader.raft.mayChangeMembers()) {
                return;
            }
            boolean caughtUp =
                    leader.raft.followers().stream().anyMatch(p -> p.member().id() == replacement.id && p.caughtUp());
            List<Member> voters = new ArrayList<>(leader.raft.voters());
            voters.removeIf(m -> m.address().equals(replacement.member().address()));
            voters.add(replacement.member());
            if (caughtUp && !leader.raft.isVoter(replacement.id)) {
                leader.raft.changeMembers(voters);
            }
            leader.pump();
        }
        throw new AssertionError("the new member never became a voter");
    }

    @Test
    void disconnectedLeaderStepsDownAndConfirmsNoRead() {
        Cluster cluster = new Cluster(7, 3, Flaw.NONE);
        cluster.run(1_500);
        Node old = cluster.leader();
        assertNotNull(old);
        cluster.nodes.stream().filter(n -> n != old).forEach(n -> cluster.disconnect(n.number, old.number));
        assertTrue(old.raft.read() > 0);
        assertEquals(List.of(), old.raft.drain().reads(), "no read without confirmation by a majority");
        cluster.run(cluster.now + 1_000);
        assertEquals(Raft.Role.FOLLOWER, withoutPreVote(old.raft.role()));
        assertTrue(cluster.leader() != old);
    }

    /** Two changes based on the same version, one on each side of a partition: at most one may be confirmed. */
    @Test
    void ofTwoChangesInAPartitionAtMostOneIsConfirmedOnAllNodes() {
        int confirmed = 0;
        for (long seed = 1; seed <= 300; seed++) {
            int voters = seed % 2 == 0 ? 5 : 3;
            Cluster cluster = new Cluster(seed, voters, Flaw.NONE);
            cluster.run(1_500);
            Node old = cluster.leader();
            assertNotNull(old);
            int withOld = voters == 5 ? cluster.random.nextInt(2) : 0;
            for (Node node : cluster.nodes) {
                if (node != old && withOld > 0) {
                    withOld--; // one more on the minority's side
                    cluster.nodes.stream()
                            .filter(n -> n != old && n != node)
                            .forEach(n -> cluster.disconnect(n.number, node.number));
                } else if (node != old) {
                    cluster.disconnect(node.number, old.number);
                }
            }
            old.propose(1);
            cluster.run(cluster.now + 50 + cluster.random.nextInt(1_500));
            Node other = cluster.leader();
            if (other != null && other != old) {
                other.propose(2);
            }
            cluster.run(cluster.now + 500);
            assertFalse(cluster.acknowledged.contains(1), "seed " + seed + ": confirmed without a majority");
            settle(cluster);
            int accepted = 0;
            for (Node node : cluster.nodes) {
                cluster.checkRetainsAcknowledged(node);
                ConfigurationHistory history = new ConfigurationHistory();
                for (int command : node.state) {
                    boolean isAccepted =
                            history.apply(ConfigurationHistory.command(0, command, new byte[] {(byte) command}))
                                    == ConfigurationHistory.Verdict.ACCEPTED;
                    assertTrue(
                            !isAccepted || accepted == 0 || accepted == command,
                            "seed " + seed + ": " + accepted + " and " + command);
                    accepted = isAccepted ? command : accepted;
                }
            }
            confirmed += cluster.acknowledged.contains(2) ? 1 : 0;
        }
        assertTrue(confirmed > 100, "too few confirmed changes on the majority's side: " + confirmed);
    }

    private static Raft.Role withoutPreVote(Raft.Role role) {
        return role == Raft.Role.PRE_CANDIDATE ? Raft.Role.FOLLOWER : role;
    }

    @Test
    void readIsConfirmedOnceAMajorityHasAcknowledgedTheLeader() {
        Cluster cluster = new Cluster(8, 3, Flaw.NONE);
        cluster.run(1_500);
        Raft leader = cluster.leader().raft;
        long ticket = leader.read();
        Output output = leader.drain();
        assertTrue(output.reads().isEmpty());
        long peer = output.messages().get(0).to();
        Message.Append append = (Message.Append) output.messages().get(0).message();
        leader.receive(
                cluster.now,
                peer,
                new Message.AppendReply(leader.term(), true, append.previousIndex(), append.round()));
        assertEquals(List.of(ticket), leader.drain().reads());
    }

    @Test
    void reconnectedMemberDoesNotDeposeTheLeader() {
        Cluster cluster = new Cluster(9, 3, Flaw.NONE);
        cluster.run(1_500);
        Node leader = cluster.leader();
        long term = leader.raft.term();
        disconnectAndReconnectFollower(cluster);
        assertEquals(term, leader.raft.term());
        assertEquals(Raft.Role.LEADER, leader.raft.role());
    }

    @Test
    void electionWithoutPreVoteIsCaught() {
        Cluster cluster = new Cluster(
                9,
                3,
                Flaw.NONE,
                Cluster.TIMING,
                (id, stored, timing, seed, now) -> new Raft(id, stored, timing, seed, now) {
                    @Override
                    void startPreVote() {
                        startElection(false);
                    }
                });
        cluster.run(1_500);
        long term = cluster.leader().raft.term();
        disconnectAndReconnectFollower(cluster);
        assertTrue(cluster.leader().raft.term() > term, "the reconnected member raised the term of all");
    }

    /** Returns whether two members elect a leader after the third has crashed. */
    private static boolean electsAfterLeaderCrash(Cluster.RaftFactory factory) {
        Cluster cluster = new Cluster(12, 3, Flaw.NONE, Cluster.TIMING, factory);
        cluster.run(1_500);
        (cluster.leader() == null ? cluster.nodes.get(0) : cluster.leader()).crash();
        cluster.run(cluster.now + 10_000);
        return cluster.leader() != null;
    }

    @Test
    void treatingAVoteRequestAsLeaderContactIsCaught() {
        assertTrue(electsAfterLeaderCrash(Raft::new));
        assertFalse(electsAfterLeaderCrash((id, stored, timing, seed, now) -> new Raft(id, stored, timing, seed, now) {
            @Override
            public void receive(long nowMillis, long from, Message message) {
                if (message instanceof Message.VoteRequest) {
                    recordLeaderContact();
                }
                super.receive(nowMillis, from, message);
            }
        }));
    }

    private static void disconnectAndReconnectFollower(Cluster cluster) {
        Node leader = cluster.leader();
        Node follower =
                cluster.nodes.stream().filter(n -> n != leader).findFirst().orElseThrow();
        cluster.nodes.stream().filter(n -> n != follower).forEach(n -> cluster.disconnect(n.number, follower.number));
        cluster.run(cluster.now + 5_000);
        cluster.reconnectAll();
        cluster.run(cluster.now + 1_000);
    }

    @Test
    void emptyNodeDoesNotStartElections() {
        Cluster cluster = new Cluster(10, 3, Flaw.NONE);
        Node empty = cluster.addEmptyNode();
        cluster.run(5_000);
        assertEquals(0, empty.raft.term());
        assertFalse(empty.raft.isVoter(empty.id));
    }

    @Test
    void leadershipTransferNeedsNoElectionTimeout() {
        Cluster cluster = new Cluster(11, 3, Flaw.NONE);
        cluster.run(1_500);
        Node old = cluster.leader();
        old.raft.transferLeadership();
        old.pump();
        cluster.run(cluster.now + 100);
        assertTrue(cluster.leader() != null && cluster.leader() != old);
    }
}
