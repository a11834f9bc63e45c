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

/** The agreement on simulated networks and disks, over many fixed seeds. */
class RaftTest {
    private static final int SEEDS = 2_000;
    private static final int MUTANT_SEEDS = 4_000;

    @Test
    void nothingAcknowledgedIsLostWhateverBreaks() {
        int acknowledged = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            acknowledged += rough(seed, seed % 3 == 0 ? 5 : 3, Flaw.NONE);
        }
        assertTrue(acknowledged > 10 * SEEDS, "too little was acknowledged to mean anything: " + acknowledged);
    }

    @Test
    void aDiskThatOnlySaysItHasSyncedIsFoundOut() {
        int caught = 0;
        for (long seed = 1; seed <= MUTANT_SEEDS && caught == 0; seed++) {
            try {
                rough(seed, 3 + 2 * (int) (seed % 2), Flaw.SYNC_SKIPPED);
            } catch (Cluster.Broken | IllegalStateException e) {
                caught++;
            }
        }
        assertTrue(caught > 0, "skipped syncs were never noticed");
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

    /** The commit index of a new leader of term 4 once a majority has the entry of term 2, but none of its own. */
    private static long commitOfAnOlderTerm(Raft raft) {
        raft.tick(10_000);
        raft.receive(10_000, 2, new Message.VoteReply(4, true, true));
        raft.receive(10_000, 2, new Message.VoteReply(4, false, true));
        assertEquals(Raft.Role.LEADER, raft.role());
        raft.persisted(raft.drain());
        raft.receive(10_000, 2, new Message.AppendReply(4, true, 2, 0));
        return raft.commitIndex();
    }

    @Test
    void anEntryOfAnEarlierTermIsNotCommittedByCountingItsCopies() {
        HardState hard = new HardState(3, 0);
        assertEquals(0, commitOfAnOlderTerm(new Raft(1, stored(hard), Cluster.TIMING, 1, 0)));
        assertEquals(
                2,
                commitOfAnOlderTerm(new Raft(1, stored(hard), Cluster.TIMING, 1, 0) {
                    @Override
                    boolean mayCommit(long index) {
                        return true;
                    }
                }),
                "without its guard the same events commit it");
    }

    private static boolean votes(HardState hard) {
        Raft raft = new Raft(1, stored(hard), Cluster.TIMING, 1, 0);
        // Before that it denies any vote, for what it may have promised before its start.
        raft.receive(Cluster.TIMING.electionMillis(), 3, new Message.VoteRequest(5, false, 9, 4, false));
        return ((Message.VoteReply) raft.drain().messages().get(0).message()).granted();
    }

    @Test
    void aVoteThatIsOnTheDiskIsNotGivenTwice() {
        assertFalse(votes(new HardState(5, 2)));
        assertTrue(votes(new HardState(5, 0)), "one whose vote was forgotten would vote again");
        assertTrue(votes(new HardState(5, 3)), "the same candidate may ask again");
    }

    /** Some seconds of crashes, cuts and losses, then calm; returns how many commands were acknowledged. */
    private static int rough(long seed, int voters, Flaw flaw) {
        Cluster cluster = new Cluster(seed, voters, flaw);
        cluster.loss = seed % 4 == 0 ? 0.2 : 0.02;
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
                    cluster.nodes.stream().filter(n -> n != victim).forEach(n -> cluster.cut(n.number, victim.number));
                case 5 -> cluster.join();
                default -> cluster.propose();
            }
        }
        settle(cluster);
        cluster.nodes.forEach(cluster::checkKept);
        return cluster.acknowledged.size();
    }

    private static void settle(Cluster cluster) {
        cluster.join();
        cluster.loss = 0;
        cluster.nodes.stream().filter(n -> n.raft == null).forEach(Node::start);
        cluster.run(cluster.now + 3_000);
        cluster.propose();
        cluster.run(cluster.now + 1_000);
    }

    @Test
    void aMachineThatLostItsDiskComesBackAsAnotherMemberAndNothingIsLost() {
        for (long seed = 1; seed <= 300; seed++) {
            Cluster cluster = new Cluster(seed, 3, Flaw.NONE);
            cluster.run(1_500);
            for (int round = 0; round < 6; round++) {
                cluster.propose();
                cluster.propose();
                cluster.run(cluster.now + cluster.random.nextInt(60));
                Node wiped = cluster.nodes.get(cluster.random.nextInt(3));
                wiped.wipe();
                replace(cluster, wiped);
            }
            settle(cluster);
            cluster.nodes.forEach(cluster::checkKept);
        }
    }

    /**
     * What the leader's plan does: the one that is gone changes places with the one that came, once that has the log.
     */
    private static void replace(Cluster cluster, Node fresh) {
        for (int i = 0; i < 400; i++) {
            cluster.run(cluster.now + 20);
            Node leader = cluster.leader();
            if (leader == null || leader == fresh) {
                continue;
            }
            leader.raft.addLearner(fresh.member());
            if (leader.raft.isVoter(fresh.id) && leader.raft.mayChangeMembers()) {
                return;
            }
            boolean caughtUp =
                    leader.raft.followers().stream().anyMatch(p -> p.member().id() == fresh.id && p.caughtUp());
            List<Member> voters = new ArrayList<>(leader.raft.voters());
            voters.removeIf(m -> m.address().equals(fresh.member().address()));
            voters.add(fresh.member());
            if (caughtUp && !leader.raft.isVoter(fresh.id)) {
                leader.raft.changeMembers(voters);
            }
            leader.pump();
        }
        throw new AssertionError("the fresh machine never became a voter");
    }

    @Test
    void aLeaderThatIsCutOffStepsDownAndAnswersNoRead() {
        Cluster cluster = new Cluster(7, 3, Flaw.NONE);
        cluster.run(1_500);
        Node old = cluster.leader();
        assertNotNull(old);
        cluster.nodes.stream().filter(n -> n != old).forEach(n -> cluster.cut(n.number, old.number));
        assertTrue(old.raft.read() > 0);
        assertEquals(List.of(), old.raft.drain().reads(), "no read without a majority's word");
        cluster.run(cluster.now + 1_000);
        assertEquals(Raft.Role.FOLLOWER, notLeading(old.raft.role()));
        assertTrue(cluster.leader() != old);
    }

    /** Two operators build on the same version, one on either side of a cut: one is confirmed, and the other never. */
    @Test
    void ofTwoChangesOnEitherSideOfACutOneAtMostIsConfirmedAndAllMachinesAgreeWhich() {
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
                    withOld--; // one more on the losing side, which still is a minority
                    cluster.nodes.stream()
                            .filter(n -> n != old && n != node)
                            .forEach(n -> cluster.cut(n.number, node.number));
                } else if (node != old) {
                    cluster.cut(node.number, old.number);
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
            int taken = 0;
            for (Node node : cluster.nodes) {
                cluster.checkKept(node);
                ConfigurationHistory history = new ConfigurationHistory();
                for (int command : node.state) {
                    boolean isTaken =
                            history.apply(ConfigurationHistory.command(0, command, new byte[] {(byte) command}))
                                    == ConfigurationHistory.Verdict.ACCEPTED;
                    assertTrue(
                            !isTaken || taken == 0 || taken == command,
                            "seed " + seed + ": " + taken + " and " + command);
                    taken = isTaken ? command : taken;
                }
            }
            confirmed += cluster.acknowledged.contains(2) ? 1 : 0;
        }
        assertTrue(confirmed > 100, "the majority's side is seldom heard: " + confirmed);
    }

    private static Raft.Role notLeading(Raft.Role role) {
        return role == Raft.Role.PRE_CANDIDATE ? Raft.Role.FOLLOWER : role;
    }

    @Test
    void aReadIsAnsweredOnceAMajorityHasConfirmedTheLeader() {
        Cluster cluster = new Cluster(8, 3, Flaw.NONE);
        cluster.run(1_500);
        Raft leader = cluster.leader().raft;
        long ticket = leader.read();
        Output asked = leader.drain();
        assertTrue(asked.reads().isEmpty());
        long peer = asked.messages().get(0).to();
        Message.Append append = (Message.Append) asked.messages().get(0).message();
        leader.receive(
                cluster.now,
                peer,
                new Message.AppendReply(leader.term(), true, append.previousIndex(), append.round()));
        assertEquals(List.of(ticket), leader.drain().reads());
    }

    @Test
    void oneThatWasCutOffDoesNotUnseatTheLeaderWhenItComesBack() {
        Cluster cluster = new Cluster(9, 3, Flaw.NONE);
        cluster.run(1_500);
        Node leader = cluster.leader();
        long term = leader.raft.term();
        cutOffAndBack(cluster);
        assertEquals(term, leader.raft.term());
        assertEquals(Raft.Role.LEADER, leader.raft.role());
    }

    @Test
    void oneThatStandsWithoutAskingFirstIsCaught() {
        Cluster cluster = new Cluster(
                9,
                3,
                Flaw.NONE,
                Cluster.TIMING,
                (id, stored, timing, seed, now) -> new Raft(id, stored, timing, seed, now) {
                    @Override
                    void ask() {
                        stand(false);
                    }
                });
        cluster.run(1_500);
        long term = cluster.leader().raft.term();
        cutOffAndBack(cluster);
        assertTrue(cluster.leader().raft.term() > term, "it has raised the term of all");
    }

    /** Whether two members elect a leader once the third is gone. */
    private static boolean elects(Cluster.Maker maker) {
        Cluster cluster = new Cluster(12, 3, Flaw.NONE, Cluster.TIMING, maker);
        cluster.run(1_500);
        (cluster.leader() == null ? cluster.nodes.get(0) : cluster.leader()).crash();
        cluster.run(cluster.now + 10_000);
        return cluster.leader() != null;
    }

    @Test
    void oneThatTakesAQuestionForAWordOfTheLeaderIsCaught() {
        assertTrue(elects(Raft::new));
        assertFalse(elects((id, stored, timing, seed, now) -> new Raft(id, stored, timing, seed, now) {
            @Override
            public void receive(long nowMillis, long from, Message message) {
                if (message instanceof Message.VoteRequest) {
                    heardLeader();
                }
                super.receive(nowMillis, from, message);
            }
        }));
    }

    private static void cutOffAndBack(Cluster cluster) {
        Node leader = cluster.leader();
        Node away = cluster.nodes.stream().filter(n -> n != leader).findFirst().orElseThrow();
        cluster.nodes.stream().filter(n -> n != away).forEach(n -> cluster.cut(n.number, away.number));
        cluster.run(cluster.now + 5_000);
        cluster.join();
        cluster.run(cluster.now + 1_000);
    }

    @Test
    void anEmptyMachineNeitherVotesForItselfNorStands() {
        Cluster cluster = new Cluster(10, 3, Flaw.NONE);
        Node empty = cluster.addEmpty();
        cluster.run(5_000);
        assertEquals(0, empty.raft.term());
        assertFalse(empty.raft.isVoter(empty.id));
    }

    @Test
    void theLeadIsHandedOverWithoutWaitingForAnElection() {
        Cluster cluster = new Cluster(11, 3, Flaw.NONE);
        cluster.run(1_500);
        Node old = cluster.leader();
        old.raft.transferLeadership();
        old.pump();
        cluster.run(cluster.now + 100);
        assertTrue(cluster.leader() != null && cluster.leader() != old);
    }
}
