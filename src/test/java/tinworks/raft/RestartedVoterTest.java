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
import tinworks.raft.Message.LeaseEnded;
import tinworks.raft.Message.LeaseQuery;
import tinworks.raft.Message.VoteReply;
import tinworks.raft.Output.Envelope;

/** Tests how a restarted member honors a lease that it may have supported, and how it learns that the lease is over. */
class RestartedVoterTest {
    private static final long ELECTION_TIMEOUT_MILLIS = Cluster.TIMING.electionTimeoutMillis();
    private static final long LEASE_MILLIS = Cluster.TIMING.leaseMillis();

    @Test
    void restartedMemberWithholdsItsVoteWhileALeaseMayLast() {
        assertFalse(LeaseTest.grants(LeaseTest.voter(5_000), 5_000 + ELECTION_TIMEOUT_MILLIS - 1, 5));
        assertTrue(LeaseTest.grants(LeaseTest.voter(5_000), 5_000 + ELECTION_TIMEOUT_MILLIS, 5));
        Raft raft = LeaseTest.voter(5_000);
        raft.tick(5_000 + ELECTION_TIMEOUT_MILLIS - 1);
        assertEquals(Raft.Role.FOLLOWER, raft.role());
        Raft first = new Raft(1, PersistentState.EMPTY, Cluster.TIMING, 1, 0);
        assertTrue(LeaseTest.grants(first, 1, 1), "a member that never replied to a leader need not wait");
    }

    /** Returns a member restarted at 5,000 ms in term 3 with the given last leader. */
    private static Raft restarted(long lastLeader) {
        return restarted(lastLeader, Raft::new);
    }

    private static Raft restarted(long lastLeader, RaftFactory factory) {
        Snapshot none = new Snapshot(0, 0, LeaseTest.VOTERS, new byte[0]);
        return factory.create(
                1, new PersistentState(new HardState(3, 0, lastLeader), none, List.of()), Cluster.TIMING, 1, 5_000);
    }

    private static LeaseQuery leaseQueryAt(long now, Raft raft) {
        raft.drain();
        raft.tick(now);
        List<Envelope> sent = raft.drain().messages();
        assertEquals(List.of(2L), sent.stream().map(Envelope::to).toList(), "sent to its last leader only");
        return (LeaseQuery) sent.get(0).message();
    }

    @Test
    void restartedMemberVotesOnceItsLastLeaderReportsItsLeaseEnded() {
        Raft raft = restarted(2);
        LeaseQuery query = leaseQueryAt(5_001, raft);
        raft.receive(5_010, 3, new LeaseEnded(3, query.incarnation()));
        assertFalse(LeaseTest.grants(raft, 5_010, 4), "a reply from another member does not count");
        leaseQueryAt(5_015, raft);
        raft.receive(5_020, 2, new LeaseEnded(3, query.incarnation()));
        raft.tick(5_020 + Cluster.TIMING.heartbeatIntervalMillis());
        assertEquals(Raft.Role.PRE_CANDIDATE, raft.role(), "it becomes a pre-candidate within a heartbeat interval");
        assertEquals("ASKING", raft.role().toString(), "the name shown in the status page");
        assertTrue(LeaseTest.grants(raft, 5_100, 4));
        assertEquals(4, raft.term());
    }

    private static boolean votesAfterReplyToEarlierIncarnation(RaftFactory factory) {
        Raft raft = restarted(2, factory);
        raft.receive(5_010, 2, new LeaseEnded(3, leaseQueryAt(5_001, raft).incarnation() + 1));
        return LeaseTest.grants(raft, 5_011, 4);
    }

    /** Member 2 may have been elected and followed between the query of the earlier incarnation and the restart. */
    @Test
    void acceptingAReplyToAnEarlierIncarnationIsCaught() {
        assertFalse(votesAfterReplyToEarlierIncarnation(Raft::new));
        assertTrue(votesAfterReplyToEarlierIncarnation(
                (id, stored, timing, seed, now) -> new Raft(id, stored, timing, seed, now) {
                    @Override
                    boolean isForThisIncarnation(LeaseEnded m) {
                        return true;
                    }
                }));
    }

    /** Both followers restart while the leader, connected or not, holds its lease. */
    @Test
    void noOtherLeaderWhileTheLastLeaderLeadsOrIsUnreachable() {
        for (int seed = 1; seed <= 100; seed++) {
            Cluster cluster = new Cluster(seed, 3, Flaw.NONE);
            cluster.run(1_000);
            Node leader = cluster.leader();
            boolean isolated = seed % 2 == 0;
            for (Node other : cluster.nodes) {
                if (other != leader) {
                    if (isolated) {
                        cluster.disconnect(leader.number, other.number);
                    }
                    other.crash();
                    other.start();
                }
            }
            cluster.run(cluster.now + (isolated ? LEASE_MILLIS : 5 * ELECTION_TIMEOUT_MILLIS));
            assertEquals(leader, cluster.leader(), "seed " + seed);
        }
    }

    /** The end of an earlier lease does not end the support for a lease given after the restart. */
    @Test
    void leaseEndedAfterNewLeaderContactDoesNotReleaseTheVoter() {
        Raft raft = restarted(2);
        LeaseQuery query = leaseQueryAt(5_001, raft);
        raft.receive(5_010, 2, new Append(4, 0, 0, 0, 1, List.of()));
        raft.receive(5_020, 2, new LeaseEnded(3, query.incarnation()));
        assertFalse(LeaseTest.grants(raft, 5_010 + ELECTION_TIMEOUT_MILLIS - 1, 5));
        assertTrue(LeaseTest.grants(raft, 5_010 + ELECTION_TIMEOUT_MILLIS, 5));
    }

    @Test
    void memberThatLedLastNeedNotWait() {
        assertTrue(LeaseTest.grants(restarted(1), 5_000, 4));
    }

    @Test
    void lastLeaderIsWrittenWithTheFirstReply() {
        Raft raft = LeaseTest.voter(0);
        raft.receive(1_000, 2, new Append(3, 9, 3, 0, 1, List.of()));
        Output output = raft.drain();
        assertEquals(
                new HardState(3, 0, 2),
                output.hardState(),
                "although the term was stored before and no entry was accepted");
        assertEquals(1, output.messages().size());
        Raft leader = LeaseTest.voter(0);
        leader.tick(1_000);
        leader.receive(1_000, 2, new VoteReply(4, true, true));
        leader.receive(1_000, 2, new VoteReply(4, false, true));
        assertEquals(new HardState(4, 1, 1), leader.drain().hardState());
    }

    @Test
    void onlyANonLeaderReportsItsLeaseEnded() {
        Raft raft = LeaseTest.elected();
        raft.receive(1_010, 3, new LeaseQuery(9, 77));
        assertTrue(raft.drain().messages().isEmpty());
        assertEquals(4, raft.term(), "a query does not raise the term");
        raft.receive(1_020, 3, new AppendReply(5, false, 0, 1));
        raft.receive(1_030, 3, new LeaseQuery(5, 77));
        assertEquals(
                List.of(new Envelope(3, new LeaseEnded(5, 77))), raft.drain().messages());
    }
}
