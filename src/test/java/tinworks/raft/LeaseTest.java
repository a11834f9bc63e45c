package tinworks.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import tinworks.raft.Cluster.Flaw;
import tinworks.raft.Cluster.Node;
import tinworks.raft.Cluster.RaftFactory;
import tinworks.raft.Message.Append;
import tinworks.raft.Message.AppendReply;
import tinworks.raft.Message.VoteReply;
import tinworks.raft.Message.VoteRequest;

/**
 * Tests leader leases and follower freshness under broken connections, process pauses, restarts and leadership
 * transfers with clocks of different rates. Mutants without one guard each have to be caught.
 */
class LeaseTest {
    private static final int SEEDS = 1_500;
    private static final int MUTANT_SEEDS = 1_000;
    static final List<Member> VOTERS = List.of(new Member(1, "a"), new Member(2, "b"), new Member(3, "c"));
    private static final long ELECTION_TIMEOUT_MILLIS = Cluster.TIMING.electionTimeoutMillis();
    private static final long LEASE_MILLIS = Cluster.TIMING.leaseMillis();

    /** Simulates some seconds with disconnects, process pauses, restarts and leadership transfers. */
    private static Cluster runWithFaults(long seed, RaftFactory factory) {
        Cluster cluster = new Cluster(seed, seed % 4 == 0 ? 5 : 3, Flaw.NONE, Cluster.TIMING, factory);
        cluster.lossProbability = seed % 3 == 0 ? 0.1 : 0;
        cluster.run(400);
        for (int round = 0; round < 50; round++) {
            cluster.run(cluster.now + 5 + cluster.random.nextInt(90));
            cluster.propose();
            Node one = cluster.nodes.get(cluster.random.nextInt(cluster.nodes.size()));
            Node other = cluster.nodes.get(cluster.random.nextInt(cluster.nodes.size()));
            Node leader = cluster.leader();
            switch (cluster.random.nextInt(9)) {
                case 0, 1 -> {
                    one.crash();
                    one.start();
                }
                case 2 -> one.freeze(50 + cluster.random.nextInt(600));
                case 3 -> {
                    if (one != other) {
                        cluster.disconnect(one.number, other.number);
                    }
                }
                case 4 ->
                    cluster.nodes.stream().filter(n -> n != one).forEach(n -> cluster.disconnect(n.number, one.number));
                case 5 -> {
                    cluster.run(cluster.now + 40);
                    if (leader != null && leader.raft != null && !leader.isFrozen()) {
                        leader.raft.transferLeadership();
                        leader.pump();
                        cluster.run(cluster.now + 5);
                        leader.freeze(cluster.random.nextInt(100));
                    }
                }
                case 6 -> {
                    // Leaves the leader connected to one follower, which restarts and may lose its connection too.
                    if (leader != null && leader != one) {
                        cluster.nodes.stream()
                                .filter(n -> n != leader && n != one)
                                .forEach(n -> cluster.disconnect(n.number, leader.number));
                        cluster.run(cluster.now + ELECTION_TIMEOUT_MILLIS + cluster.random.nextInt(100));
                        if (cluster.random.nextBoolean()) {
                            cluster.disconnect(one.number, leader.number);
                        }
                        one.crash();
                        one.start();
                    }
                }
                default -> cluster.reconnectAll();
            }
        }
        return cluster;
    }

    @Test
    void noSecondLeaderDuringALeaseAndFreshMembersHaveAcknowledgedEntries() {
        long leases = 0;
        long followers = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            Cluster cluster = runWithFaults(seed, Raft::new);
            leases += cluster.leaseObservations;
            followers += cluster.freshFollowerObservations;
        }
        assertTrue(
                leases > 100L * SEEDS && followers > 100L * SEEDS,
                "too few observations: " + leases + ", " + followers);
    }

    private static int firstSeedCaught(RaftFactory mutant) {
        for (int seed = 1; seed <= MUTANT_SEEDS; seed++) {
            try {
                runWithFaults(seed, mutant);
            } catch (Cluster.InvariantViolation e) {
                return seed;
            }
        }
        return 0;
    }

    @Test
    void leaseStartingAtTheReplyIsCaught() {
        assertTrue(firstSeedCaught((id, stored, timing, seed, now) -> new Raft(id, stored, timing, seed, now) {
                    @Override
                    long lastAckedRoundSentAt(Progress p) {
                        return p.lastReceivedMillis;
                    }
                })
                > 0);
    }

    @Test
    void leaseBeforeTheFirstCommitOfTheTermIsCaught() {
        assertTrue(firstSeedCaught((id, stored, timing, seed, now) -> new Raft(id, stored, timing, seed, now) {
                    @Override
                    public boolean hasCommittedInCurrentTerm() {
                        return role() == Role.LEADER;
                    }

                    @Override
                    public long freshIndex() {
                        return 0;
                    }
                })
                > 0);
    }

    @Test
    void votingImmediatelyAfterARestartIsCaught() {
        assertTrue(firstSeedCaught((id, stored, timing, seed, now) -> new Raft(id, stored, timing, seed, now) {
                    @Override
                    boolean isBoundByPriorLease() {
                        return false;
                    }
                })
                > 0);
    }

    @Test
    void votingWhileTheLeaderIsActiveIsCaught() {
        assertTrue(firstSeedCaught((id, stored, timing, seed, now) -> new Raft(id, stored, timing, seed, now) {
                    @Override
                    boolean hasActiveLeader() {
                        return role() == Role.LEADER;
                    }
                })
                > 0);
    }

    @Test
    void keepingTheLeaseDuringALeadershipTransferIsCaught() {
        assertTrue(firstSeedCaught((id, stored, timing, seed, now) -> new Raft(id, stored, timing, seed, now) {
                    @Override
                    boolean isTransferringLeadership() {
                        return false;
                    }
                })
                > 0);
    }

    @Test
    void leaderThatReportsItsLeaseEndedIsCaught() {
        assertTrue(firstSeedCaught((id, stored, timing, seed, now) -> new Raft(id, stored, timing, seed, now) {
                    @Override
                    boolean hasNoLease() {
                        return true;
                    }
                })
                > 0);
    }

    // ---- single members

    static Raft voter(long now) {
        return voter(now, Cluster.TIMING);
    }

    private static Raft voter(long now, Timing timing) {
        return new Raft(
                1,
                new PersistentState(new HardState(3, 0), new Snapshot(0, 0, VOTERS, new byte[0]), List.of()),
                timing,
                1,
                now);
    }

    /** Returns a leader elected at 1,000 ms by the votes of member 2, with nothing committed yet. */
    static Raft elected() {
        return elected(Cluster.TIMING);
    }

    private static Raft elected(Timing timing) {
        Raft raft = voter(0, timing);
        raft.tick(1_000);
        raft.receive(1_000, 2, new VoteReply(4, true, true));
        raft.receive(1_000, 2, new VoteReply(4, false, true));
        raft.persisted(raft.drain());
        assertEquals(Raft.Role.LEADER, raft.role());
        return raft;
    }

    private static long lastRoundSentTo(long to, Raft raft) {
        return raft.drain().messages().stream()
                .filter(e -> e.to() == to && e.message() instanceof Append)
                .mapToLong(e -> ((Append) e.message()).round())
                .max()
                .orElseThrow();
    }

    @Test
    void leaseStartsWhenTheAcknowledgedRoundWasSent() {
        Raft raft = elected();
        assertEquals(0, raft.leaseUntil(), "no entry of its term is committed");
        assertFalse(raft.holdsLease() || raft.fresh());
        raft.receive(1_020, 2, new AppendReply(4, true, raft.lastIndex(), 1));
        assertEquals(1_000 + LEASE_MILLIS, raft.leaseUntil());
        raft.tick(1_070);
        long round = lastRoundSentTo(2, raft);
        raft.receive(1_110, 2, new AppendReply(4, true, raft.lastIndex(), round - 1));
        assertEquals(
                1_000 + LEASE_MILLIS, raft.leaseUntil(), "a reply to the previous round does not extend the lease");
        raft.receive(1_120, 2, new AppendReply(4, true, raft.lastIndex(), round));
        assertEquals(1_070 + LEASE_MILLIS, raft.leaseUntil());
        raft.tick(1_170);
        raft.receive(1_180, 2, new Message.InstallSnapshotReply(4, 1, 0, 1, lastRoundSentTo(2, raft)));
        assertEquals(1_170 + LEASE_MILLIS, raft.leaseUntil(), "a reply to a snapshot chunk extends the lease too");
        assertTrue(raft.holdsLease() && raft.fresh());
    }

    /** Appends for commands postpone the next heartbeat, so rounds must not depend on heartbeats alone. */
    @Test
    void underSteadyCommandsTheLeaseIsRenewedAndADisconnectedLeaderStepsDown() {
        Raft raft = elected();
        long now = 1_000;
        for (int i = 0; i < 100; i++) {
            now += 10;
            raft.tick(now);
            assertTrue(raft.propose(new byte[1]) > 0);
            raft.receive(now + 1, 2, new AppendReply(4, true, raft.lastIndex(), lastRoundSentTo(2, raft)));
            assertTrue(raft.holdsLease());
        }
        long until = now + 2 * ELECTION_TIMEOUT_MILLIS + 20;
        while (now < until) {
            now += 10;
            raft.tick(now);
            raft.propose(new byte[1]);
        }
        assertEquals(Raft.Role.FOLLOWER, raft.role());
    }

    /**
     * Returns whether a leader with a slow clock still holds its lease when a voter with a fast clock, which received
     * the round without delay, votes for another.
     */
    private static boolean holdsLeaseWhenVoterMayVote(Timing leaderTiming) {
        Raft leader = elected(leaderTiming);
        leader.receive(1_000, 2, new AppendReply(4, true, leader.lastIndex(), 1));
        Raft voter = voter(0);
        voter.receive(1_000, 2, new Append(4, 0, 0, 0, 1, List.of()));
        for (long passed = 0; ; passed++) {
            if (grants(voter, 1_000 + passed * 1_045 / 1_000, 5)) {
                return leader.holdsLease(1_000 + passed * 955 / 1_000);
            }
        }
    }

    @Test
    void leaseEndsBeforeVotesAreGrantedDespiteClockDrift() {
        assertFalse(holdsLeaseWhenVoterMayVote(Cluster.TIMING));
        assertTrue(
                holdsLeaseWhenVoterMayVote(new Timing(50, ELECTION_TIMEOUT_MILLIS * 10 / 9)),
                "a lease as long as the time for which votes are withheld is caught");
    }

    @Test
    void afterAProcessPauseTheLeaderHasNoLeaseUntilANewRoundIsAcknowledged() {
        Raft raft = elected();
        raft.receive(1_020, 2, new AppendReply(4, true, raft.lastIndex(), 1));
        assertTrue(raft.holdsLease());
        assertFalse(raft.holdsLease(30_000), "checked at the current time before any event");
        raft.receive(30_000, 2, new AppendReply(4, true, raft.lastIndex(), 1));
        assertFalse(raft.holdsLease() || raft.fresh(), "the reply had waited during the pause");
        raft.drain();
        raft.tick(30_001);
        raft.receive(30_010, 2, new AppendReply(4, true, raft.lastIndex(), lastRoundSentTo(2, raft)));
        assertTrue(raft.holdsLease());
    }

    @Test
    void leadershipIsTransferredToAnotherMemberNotToItself() {
        Raft raft = elected();
        raft.transferLeadership();
        assertTrue(
                raft.drain().messages().stream().noneMatch(e -> e.message() instanceof Message.TimeoutNow),
                "no follower is up to date");
        raft.receive(1_020, 3, new AppendReply(4, true, raft.lastIndex(), 1));
        raft.transferLeadership();
        assertEquals(
                List.of(3L),
                raft.drain().messages().stream()
                        .filter(e -> e.message() instanceof Message.TimeoutNow)
                        .map(Output.Envelope::to)
                        .toList());
    }

    @Test
    void transferEndsTheLeaseFirstAndTheLeaderStepsDownAfterATimeout() {
        Raft raft = elected();
        raft.receive(1_020, 2, new AppendReply(4, true, raft.lastIndex(), 1));
        raft.persisted(raft.drain());
        raft.transferLeadership();
        assertFalse(raft.holdsLease());
        raft.tick(1_070);
        raft.receive(1_075, 2, new AppendReply(4, true, raft.lastIndex(), lastRoundSentTo(2, raft)));
        assertFalse(raft.holdsLease(), "the successor may start its election at any time");
        raft.tick(1_020 + ELECTION_TIMEOUT_MILLIS);
        assertEquals(Raft.Role.FOLLOWER, raft.role());
    }

    static boolean grants(Raft raft, long now, long term) {
        raft.drain();
        raft.receive(now, 3, new VoteRequest(term, false, 9, 4, false));
        return ((VoteReply) raft.drain().messages().get(0).message()).granted();
    }

    /** A reply to an earlier pre-vote request may raise the term, which does not end the support for a lease. */
    @Test
    void voterWithholdsItsVoteAfterItsTermWasRaised() {
        Raft raft = voter(0);
        raft.receive(1_000, 2, new Append(4, 0, 0, 0, 1, List.of()));
        raft.receive(1_010, 3, new VoteReply(5, true, false));
        assertEquals(5, raft.term());
        assertFalse(grants(raft, 1_020, 5));
        assertTrue(grants(raft, 1_000 + ELECTION_TIMEOUT_MILLIS, 5));
    }

    @Test
    void followerCountsTheLeaseFromItsOwnReplyAndIgnoresRepliesFromBeforeARestart() {
        Raft raft = voter(0);
        raft.receive(1_000, 2, new Append(4, 0, 0, 0, 1, List.of()));
        AppendReply reply = (AppendReply) raft.drain().messages().get(0).message();
        assertFalse(raft.fresh());
        raft.receive(1_100, 2, new Append(4, 0, 0, 0, 2, List.of(), reply.sentAt(), 150));
        assertEquals(1_150, raft.freshUntil());
        assertTrue(raft.fresh());
        assertFalse(raft.fresh(1_150));
        raft.receive(1_120, 2, new Append(4, 0, 0, 3, 3, List.of(), reply.sentAt() + 50, 150));
        assertFalse(raft.fresh(), "entries committed by then are not applied yet");
        Raft again = new Raft(1, PersistentState.EMPTY, Cluster.TIMING, 2, 900);
        again.receive(1_100, 2, new Append(4, 0, 0, 0, 2, List.of(), reply.sentAt(), 150));
        assertFalse(again.fresh(), "after a restart the clock is a different one");
    }
}
