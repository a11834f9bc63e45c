package tinworks.raft;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * How a leader sends its log: by entries as long as it can, by pieces of a snapshot else, and never more than its bound
 * ahead.
 */
class ReplicationTest {
    private static final Timing TIMING = Cluster.TIMING;
    private static final int BODY = 60_000;
    private static final List<Member> VOTERS = List.of(new Member(1, "a"), new Member(2, "b"), new Member(3, "c"));

    /** A guard that is taken out. */
    enum Mutant {
        NONE,
        NO_FLOW_CONTROL,
        NO_TAIL,
        NO_CHECKSUM
    }

    /**
     * A leader and two followers on connections that keep their order, where each message can be looked at, lost or
     * spoilt.
     */
    private static final class ThreeNodeCluster {
        private final Mutant mutant;
        private final Map<Long, Raft> rafts = new HashMap<>();
        private final Map<Long, byte[]> states = new HashMap<>();
        private final Map<Long, PersistentState> disks = new HashMap<>();
        private final ArrayDeque<Output.Envelope> messages = new ArrayDeque<>();
        private final ArrayDeque<Long> senders = new ArrayDeque<>();
        private final Map<Long, Long> bytesSentTo = new HashMap<>();
        private final List<Message.InstallSnapshot> chunks = new ArrayList<>();
        private long isolated;
        private long now;

        ThreeNodeCluster(Mutant mutant) {
            this.mutant = mutant;
            for (Member member : VOTERS) {
                disks.put(
                        member.id(),
                        new PersistentState(HardState.NONE, new Snapshot(0, 0, VOTERS, new byte[0]), List.of()));
                start(member.id());
            }
            now = 10_000;
            leader().tick(now);
            pump(1);
            run();
            assertEquals(Raft.Role.LEADER, leader().role());
        }

        void start(long id) {
            states.put(id, new byte[0]);
            rafts.put(id, new Raft(id, disks.get(id), TIMING, id, now) {
                @Override
                boolean hasInFlightCapacity(long unanswered) {
                    return mutant == Mutant.NO_FLOW_CONTROL || super.hasInFlightCapacity(unanswered);
                }

                @Override
                int retainedTailBytes() {
                    return mutant == Mutant.NO_TAIL ? 0 : super.retainedTailBytes();
                }

                @Override
                boolean hasValidChecksum(SnapshotAssembler whole) {
                    return mutant == Mutant.NO_CHECKSUM || super.hasValidChecksum(whole);
                }
            });
            pump(id);
        }

        Raft leader() {
            return rafts.get(1L);
        }

        void propose(int bytes) {
            byte[] body = new byte[bytes];
            new SplittableRandom(leader().lastIndex()).nextBytes(body);
            assertTrue(leader().propose(body) > 0);
            pump(1);
        }

        /** The applied state is the last command. */
        void pump(long id) {
            Raft raft = rafts.get(id);
            for (Output output = raft.drain(); !output.isEmpty(); output = raft.drain()) {
                disks.put(id, Cluster.persist(disks.get(id), output));
                raft.persisted(output);
                for (Output.Envelope envelope : output.messages()) {
                    messages.add(envelope);
                    senders.add(id);
                    bytesSentTo.merge(envelope.to(), size(envelope.message()), Long::sum);
                }
                if (output.restored() != null) {
                    states.put(id, output.restored().state());
                }
                output.committed().stream()
                        .filter(e -> e.kind() == Entry.Kind.COMMAND)
                        .forEach(e -> states.put(id, e.body()));
            }
        }

        private static long size(Message message) {
            return message instanceof Message.Append a
                    ? a.entries().stream().mapToLong(e -> e.body().length).sum()
                    : message instanceof Message.InstallSnapshot i ? i.chunk().length : 0;
        }

        /** Takes the next message; what is for or from the silent one is lost. */
        boolean step() {
            if (messages.isEmpty()) {
                return false;
            }
            Output.Envelope envelope = messages.poll();
            long from = senders.poll();
            if (envelope.to() != isolated && from != isolated) {
                if (envelope.message() instanceof Message.InstallSnapshot i && i.chunk().length > 0) {
                    chunks.add(i);
                }
                rafts.get(envelope.to()).receive(now, from, envelope.message());
                pump(envelope.to());
            }
            return true;
        }

        void run() {
            for (int i = 0; step(); i++) {
                assertTrue(i < 20_000, "the network never comes to rest");
            }
        }

        void heartbeat() {
            now += TIMING.heartbeatIntervalMillis();
            leader().tick(now);
            pump(1);
        }

        /** The applied state in place of the log. */
        void compact(byte[] state) {
            leader().compact(leader().commitIndex(), state);
            pump(1);
        }

        void assertSameStateAsLeader(long id) {
            assertArrayEquals(states.get(1L), states.get(id));
            assertEquals(leader().commitIndex(), rafts.get(id).commitIndex());
        }
    }

    private static long bytesSentToIsolatedFollower(Mutant mutant) {
        ThreeNodeCluster trio = new ThreeNodeCluster(mutant);
        trio.isolated = 3;
        trio.bytesSentTo.clear();
        for (int i = 0; i < 100; i++) {
            trio.propose(BODY);
            trio.run();
            trio.heartbeat();
            trio.run();
        }
        assertEquals(trio.leader().lastIndex(), trio.leader().commitIndex());
        long ahead = trio.bytesSentTo.get(3L);
        trio.isolated = 0;
        trio.heartbeat();
        trio.run();
        trio.heartbeat();
        trio.run();
        trio.assertSameStateAsLeader(3);
        return ahead;
    }

    @Test
    void aSilentFollowerIsSentNoMoreThanTheBoundAheadAndAllOnceItAnswers() {
        assertTrue(bytesSentToIsolatedFollower(Mutant.NONE) <= Raft.MAX_IN_FLIGHT_BYTES + BODY);
        assertTrue(
                bytesSentToIsolatedFollower(Mutant.NO_FLOW_CONTROL) > 2 * Raft.MAX_IN_FLIGHT_BYTES,
                "without the guard it is sent everything");
    }

    /** How many snapshots a follower is sent that has missed two entries when the log is compacted. */
    private static int snapshotsForTwoEntries(Mutant mutant) {
        ThreeNodeCluster trio = new ThreeNodeCluster(mutant);
        trio.propose(BODY);
        trio.run();
        trio.isolated = 3;
        trio.propose(BODY);
        trio.propose(BODY);
        trio.run();
        trio.compact(trio.states.get(1L));
        assertEquals(0, trio.leader().logLength());
        trio.isolated = 0;
        for (int i = 0; i < 4; i++) {
            trio.heartbeat();
            trio.run();
        }
        trio.assertSameStateAsLeader(3);
        return trio.chunks.size();
    }

    @Test
    void aFollowerThatIsAFewEntriesBehindIsSentThoseAndNoSnapshot() {
        assertEquals(0, snapshotsForTwoEntries(Mutant.NONE));
        assertTrue(snapshotsForTwoEntries(Mutant.NO_TAIL) > 0, "without a tail it is sent everything");
    }

    /** A log of which the last snapshot is as large as this, and a follower that lacks far more than the tail. */
    private static ThreeNodeCluster withFollowerFarBehind(Mutant mutant, int bytes) {
        ThreeNodeCluster trio = new ThreeNodeCluster(mutant);
        trio.isolated = 3;
        for (int i = 0; i < 40; i++) {
            trio.propose(BODY);
            trio.run();
        }
        trio.propose(bytes);
        trio.run();
        trio.compact(trio.states.get(1L));
        trio.run();
        trio.isolated = 0;
        return trio;
    }

    @Test
    void aSnapshotComesInPiecesWithHeartbeatsBetweenAndIsTakenWhole() {
        ThreeNodeCluster trio = withFollowerFarBehind(Mutant.NONE, 10 * SnapshotTransfer.CHUNK_BYTES + 1);
        trio.heartbeat();
        int rounds = 0;
        while (trio.messages.size() > 0) {
            trio.step();
            if (++rounds % 3 == 0 && rounds < 60) {
                trio.heartbeat();
            }
            long underWay = trio.messages.stream()
                    .filter(e -> e.message() instanceof Message.InstallSnapshot i && i.chunk().length > 0)
                    .count();
            assertTrue(underWay <= 1, underWay + " pieces under way");
            byte[] state = trio.states.get(3L);
            assertTrue(
                    state.length == 0 || state.length == trio.states.get(1L).length, "part of a snapshot was applied");
        }
        assertEquals(11, trio.chunks.size());
        assertTrue(trio.chunks.stream().allMatch(i -> i.chunk().length <= SnapshotTransfer.CHUNK_BYTES));
        trio.assertSameStateAsLeader(3);
    }

    @Test
    void whatHasComeIsNotSentAgainAfterABreakAndALostPieceIs() {
        ThreeNodeCluster trio = withFollowerFarBehind(Mutant.NONE, 10 * SnapshotTransfer.CHUNK_BYTES);
        trio.heartbeat();
        while (trio.chunks.size() < 5) {
            trio.step();
        }
        // The connection breaks for a while: all that is on it is lost, whether a piece or its answer.
        trio.isolated = 3;
        trio.heartbeat();
        trio.run();
        trio.heartbeat();
        trio.run();
        trio.isolated = 0;
        for (int i = 0; i < 3; i++) {
            trio.heartbeat();
            trio.run();
        }
        trio.assertSameStateAsLeader(3);
        assertTrue(trio.chunks.size() <= 11, trio.chunks.size() + " pieces, of which one at most came twice");
    }

    @Test
    void aFollowerThatStartsAnewInTheMiddleBeginsAnewAndANewerSnapshotDoesNotDisturbTheOneUnderWay() {
        ThreeNodeCluster trio = withFollowerFarBehind(Mutant.NONE, 10 * SnapshotTransfer.CHUNK_BYTES);
        trio.heartbeat();
        while (trio.chunks.size() < 5) {
            trio.step();
        }
        trio.propose(100);
        trio.compact(trio.states.get(1L));
        while (trio.chunks.size() < 7) {
            trio.step();
        }
        assertEquals(
                1,
                trio.chunks.stream().map(i -> i.metadata().index()).distinct().count());
        trio.start(3);
        for (int i = 0; i < 4; i++) {
            trio.heartbeat();
            trio.run();
        }
        trio.assertSameStateAsLeader(3);
        assertTrue(trio.chunks.size() <= 18, trio.chunks.size() + " pieces");
    }

    /** Whether a follower ends with the leader's state although one piece was spoilt on its way. */
    private static boolean recoversFromCorruptChunk(Mutant mutant) {
        ThreeNodeCluster trio = withFollowerFarBehind(mutant, 4 * SnapshotTransfer.CHUNK_BYTES);
        trio.heartbeat();
        while (trio.chunks.size() < 2) {
            trio.step();
        }
        trio.chunks.get(1).chunk()[7]++;
        Message.InstallSnapshot spoilt = trio.chunks.get(1);
        trio.rafts
                .get(3L)
                .receive(
                        trio.now,
                        1,
                        new Message.InstallSnapshot(
                                spoilt.term(),
                                spoilt.metadata(),
                                2 * SnapshotTransfer.CHUNK_BYTES,
                                spoilt.chunk(),
                                spoilt.sequence(),
                                spoilt.round()));
        trio.pump(3);
        for (int i = 0; i < 4; i++) {
            trio.heartbeat();
            trio.run();
        }
        return java.util.Arrays.equals(trio.states.get(1L), trio.states.get(3L));
    }

    @Test
    void aSnapshotThatDoesNotMatchItsChecksumIsGatheredAnew() {
        assertTrue(recoversFromCorruptChunk(Mutant.NONE));
        assertFalse(recoversFromCorruptChunk(Mutant.NO_CHECKSUM), "without the check what was mixed up is applied");
    }

    @Test
    void aLengthThatLiesCostsNoMemoryAndALeadersOlderSnapshotIsPassedOver() {
        ThreeNodeCluster trio = new ThreeNodeCluster(Mutant.NONE);
        Raft follower = trio.rafts.get(3L);
        Snapshot newer = new Snapshot(50, 1, VOTERS, new byte[100]);
        Snapshot older = new Snapshot(40, 1, VOTERS, new byte[100]);
        Snapshot.Metadata lies = new Snapshot.Metadata(60, 1, VOTERS, Integer.MAX_VALUE, 0);
        follower.receive(trio.now, 1, new Message.InstallSnapshot(1, lies, 0, new byte[10], 1, 0));
        assertTrue(follower.drain().messages().isEmpty());
        follower.receive(trio.now, 1, new Message.InstallSnapshot(1, newer.metadata(), 0, new byte[60], 2, 0));
        follower.receive(trio.now, 1, new Message.InstallSnapshot(1, older.metadata(), 0, new byte[60], 3, 0));
        follower.receive(trio.now, 1, new Message.InstallSnapshot(1, newer.metadata(), 60, new byte[40], 4, 0));
        Output output = follower.drain();
        assertEquals(newer.metadata(), output.restored().metadata());
        assertEquals(
                new Message.InstallSnapshotReply(1, 50, 60, 2, 0),
                output.messages().get(0).message());
        assertEquals(
                new Message.AppendReply(1, true, 50, 0),
                ((Message.AppendReply) output.messages().get(1).message()).withSentAt(0));
    }

    @Test
    void aLeaderWritesOnlySoMuchAheadOfItsCommitIndex() {
        ThreeNodeCluster trio = new ThreeNodeCluster(Mutant.NONE);
        trio.isolated = 2;
        trio.run();
        int written = 0;
        while (trio.leader().fitsUncommittedLimit(BODY)) {
            trio.propose(BODY);
            trio.messages.clear();
            trio.senders.clear();
            written += BODY;
        }
        assertTrue(
                written > Raft.MAX_UNCOMMITTED_BYTES / 2 && written <= Raft.MAX_UNCOMMITTED_BYTES, written + " bytes");
    }

    /** Two followers with losses, restarts and a log that is compacted all the while: all end alike. */
    @Test
    void whateverIsLostAllFollowersEndAlike() {
        for (long seed = 1; seed <= 200; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            ThreeNodeCluster trio = new ThreeNodeCluster(Mutant.NONE);
            for (int i = 0; i < 120; i++) {
                if (trio.leader().fitsUncommittedLimit(300_000)) {
                    trio.propose(random.nextInt(300_000));
                }
                for (int n = random.nextInt(6); n > 0; n--) {
                    trio.step();
                }
                switch (random.nextInt(8)) {
                    case 0 -> trio.isolated = 0;
                    case 1 -> trio.isolated = 3;
                    case 2 -> trio.start(2);
                    case 3 -> trio.compact(trio.states.get(1L));
                    case 4 -> trio.heartbeat();
                    default -> {}
                }
            }
            trio.isolated = 0;
            for (int i = 0; i < 8; i++) {
                trio.heartbeat();
                trio.run();
            }
            assertEquals(trio.leader().lastIndex(), trio.leader().commitIndex(), "seed " + seed);
            trio.assertSameStateAsLeader(2);
            trio.assertSameStateAsLeader(3);
        }
    }
}
