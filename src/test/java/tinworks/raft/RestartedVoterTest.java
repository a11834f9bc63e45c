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

/** What a member that starts again may have promised, and how it learns that the promise binds nobody any more. */
class RestartedVoterTest {
    private static final long ELECTION_TIMEOUT_MILLIS = Cluster.TIMING.electionTimeoutMillis();
    private static final long LEASE_MILLIS = Cluster.TIMING.leaseMillis();

    @Test
    void aMemberThatStartsAgainDeniesItsVoteForAsLongAsItMayHavePromised() {
        assertFalse(LeaseTest.grants(LeaseTest.voter(5_000), 5_000 + ELECTION_TIMEOUT_MILLIS - 1, 5));
        assertTrue(LeaseTest.grants(LeaseTest.voter(5_000), 5_000 + ELECTION_TIMEOUT_MILLIS, 5));
        Raft raft = LeaseTest.voter(5_000);
        raft.tick(5_000 + ELECTION_TIMEOUT_MILLIS - 1);
        assertEquals(Raft.Role.FOLLOWER, raft.role());
        Raft first = new Raft(1, PersistentState.EMPTY, Cluster.TIMING, 1, 0);
        assertTrue(LeaseTest.grants(first, 1, 1), "one that never answered anybody needn't wait");
    }

    /** Started at 5,000, after it followed the second into the third term. */
    private static Raft restarted(long lastLeader) {
        return restarted(lastLeader, Raft::new);
    }

    private static Raft restarted(long lastLeader, RaftFactory maker) {
        Snapshot none = new Snapshot(0, 0, LeaseTest.VOTERS, new byte[0]);
        return maker.create(
                1, new PersistentState(new HardState(3, 0, lastLeader), none, List.of()), Cluster.TIMING, 1, 5_000);
    }

    private static LeaseQuery leaseQueryAt(long now, Raft raft) {
        raft.drain();
        raft.tick(now);
        List<Envelope> asked = raft.drain().messages();
        assertEquals(List.of(2L), asked.stream().map(Envelope::to).toList(), "its last leader alone");
        return (LeaseQuery) asked.get(0).message();
    }

    @Test
    void aMemberThatStartsAgainVotesOnceItsLastLeaderSaysThatItDoesNotLead() {
        Raft raft = restarted(2);
        LeaseQuery query = leaseQueryAt(5_001, raft);
        raft.receive(5_010, 3, new LeaseEnded(3, query.incarnation()));
        assertFalse(LeaseTest.grants(raft, 5_010, 4), "nobody else's word frees it");
        leaseQueryAt(5_015, raft);
        raft.receive(5_020, 2, new LeaseEnded(3, query.incarnation()));
        raft.tick(5_020 + Cluster.TIMING.heartbeatIntervalMillis());
        assertEquals(Raft.Role.PRE_CANDIDATE, raft.role(), "and it stands within a heartbeat");
        assertTrue(LeaseTest.grants(raft, 5_100, 4));
        assertEquals(4, raft.term());
    }

    private static boolean votesAfterReplyToEarlierIncarnation(RaftFactory maker) {
        Raft raft = restarted(2, maker);
        raft.receive(5_010, 2, new LeaseEnded(3, leaseQueryAt(5_001, raft).incarnation() + 1));
        return LeaseTest.grants(raft, 5_011, 4);
    }

    /** The second may have become a leader, and been followed, between the earlier life's question and this start. */
    @Test
    void aMemberThatTakesAnAnswerToAnEarlierLifeIsCaught() {
        assertFalse(votesAfterReplyToEarlierIncarnation(Raft::new));
        assertTrue(votesAfterReplyToEarlierIncarnation(
                (id, stored, timing, seed, now) -> new Raft(id, stored, timing, seed, now) {
                    @Override
                    boolean isForThisIncarnation(LeaseEnded m) {
                        return true;
                    }
                }));
    }

    /** Both followers start again while the leader, heard by them or cut off, holds its lease. */
    @Test
    void nobodyElseIsElectedWhileTheLastLeaderLeadsOrIsAway() {
        for (int seed = 1; seed <= 100; seed++) {
            Cluster cluster = new Cluster(seed, 3, Flaw.NONE);
            cluster.run(1_000);
            Node leader = cluster.leader();
            boolean cut = seed % 2 == 0;
            for (Node other : cluster.nodes) {
                if (other != leader) {
                    if (cut) {
                        cluster.disconnect(leader.number, other.number);
                    }
                    other.crash();
                    other.start();
                }
            }
            cluster.run(cluster.now + (cut ? LEASE_MILLIS : 5 * ELECTION_TIMEOUT_MILLIS));
            assertEquals(leader, cluster.leader(), "seed " + seed);
        }
    }

    /** The end of an earlier life's promise is none of those that this life gave. */
    @Test
    void aMemberThatHearsALeaderAgainKeepsItsPromiseWhateverIsSaidOfTheEarlierOne() {
        Raft raft = restarted(2);
        LeaseQuery query = leaseQueryAt(5_001, raft);
        raft.receive(5_010, 2, new Append(4, 0, 0, 0, 1, List.of()));
        raft.receive(5_020, 2, new LeaseEnded(3, query.incarnation()));
        assertFalse(LeaseTest.grants(raft, 5_010 + ELECTION_TIMEOUT_MILLIS - 1, 5));
        assertTrue(LeaseTest.grants(raft, 5_010 + ELECTION_TIMEOUT_MILLIS, 5));
    }

    @Test
    void aMemberThatLedItselfNeedNotWait() {
        assertTrue(LeaseTest.grants(restarted(1), 5_000, 4));
    }

    @Test
    void whomAMemberFollowsIsWrittenWithItsFirstAnswer() {
        Raft raft = LeaseTest.voter(0);
        raft.receive(1_000, 2, new Append(3, 9, 3, 0, 1, List.of()));
        Output output = raft.drain();
        assertEquals(
                new HardState(3, 0, 2),
                output.hardState(),
                "though the term was written before, and nothing was taken");
        assertEquals(1, output.messages().size());
        Raft leader = LeaseTest.voter(0);
        leader.tick(1_000);
        leader.receive(1_000, 2, new VoteReply(4, true, true));
        leader.receive(1_000, 2, new VoteReply(4, false, true));
        assertEquals(new HardState(4, 1, 1), leader.drain().hardState());
    }

    @Test
    void onlyOneThatDoesNotLeadSaysThatItsLeaseIsOver() {
        Raft raft = LeaseTest.elected();
        raft.receive(1_010, 3, new LeaseQuery(9, 77));
        assertTrue(raft.drain().messages().isEmpty());
        assertEquals(4, raft.term(), "a question raises no term");
        raft.receive(1_020, 3, new AppendReply(5, false, 0, 1));
        raft.receive(1_030, 3, new LeaseQuery(5, 77));
        assertEquals(
                List.of(new Envelope(3, new LeaseEnded(5, 77))), raft.drain().messages());
    }
}
