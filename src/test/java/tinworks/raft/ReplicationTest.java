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

/** Tests log replication by entries and by snapshot chunks, its flow control, and mutants without a guard. */
class ReplicationTest {
    private static final Timing TIMING = Cluster.TIMING;
    private static final int BODY = 60_000;
    private static final List<Member> VOTERS = List.of(new Member(1, "a"), new Member(2, "b"), new Member(3, "c"));

    /** The guard that a mutant lacks. */
    enum Mutant {
        NONE,
        NO_FLOW_CONTROL,
        NO_TAIL,
        NO_CHECKSUM
    }

    /** A leader and two followers on ordered connections, whose messages tests can inspect, drop or corrupt. */
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
                boolean hasInFlightCapacity(long unacknowledgedBytes) {
                    return mutant == Mutant.NO_FLOW_CONTROL || super.hasInFlightCapacity(unacknowledgedBytes);
                }

                @Override
                int retainedTailBytes() {
                    return mutant == Mutant.NO_TAIL ? 0 : super.retainedTailBytes();
                }

                @Override
                boolean hasValidChecksum(SnapshotAssembler assembler) {
                    return mutant == Mutant.NO_CHECKSUM || super.hasValidChecksum(assembler);
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

        /** Carries out the output of a member, whose applied state is the last command. */
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

        /** Delivers the next message; messages to or from the isolated member are lost. */
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
                assertTrue(i < 20_000, "the network does not come to rest");
            }
        }

        void heartbeat() {
            now += TIMING.heartbeatIntervalMillis();
            leader().tick(now);
            pump(1);
        }

        /** Replaces the leader's log by a snapshot of this state. */
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
        ThreeNodeCluster cluster = new ThreeNodeCluster(mutant);
        cluster.isolated = 3;
        cluster.bytesSentTo.clear();
        for (int i = 0; i < 100; i++) {
            cluster.propose(BODY);
            cluster.run();
            cluster.heartbeat();
            cluster.run();
        }
        assertEquals(cluster.leader().lastIndex(), cluster.leader().commitIndex());
        long ahead = cluster.bytesSentTo.get(3L);
        cluster.isolated = 0;
        cluster.heartbeat();
        cluster.run();
        cluster.heartbeat();
        cluster.run();
        cluster.assertSameStateAsLeader(3);
        return ahead;
    }

    @Test
    void unresponsiveFollowerReceivesAtMostTheInFlightLimitAndTheRestLater() {
        assertTrue(bytesSentToIsolatedFollower(Mutant.NONE) <= Raft.MAX_IN_FLIGHT_BYTES + BODY);
        assertTrue(
                bytesSentToIsolatedFollower(Mutant.NO_FLOW_CONTROL) > 2 * Raft.MAX_IN_FLIGHT_BYTES,
                "without flow control it is sent everything");
    }

    /** Returns how many snapshot chunks are sent to a follower that lacks two entries when the log is compacted. */
    private static int snapshotsForTwoEntries(Mutant mutant) {
        ThreeNodeCluster cluster = new ThreeNodeCluster(mutant);
        cluster.propose(BODY);
        cluster.run();
        cluster.isolated = 3;
        cluster.propose(BODY);
        cluster.propose(BODY);
        cluster.run();
        cluster.compact(cluster.states.get(1L));
        assertEquals(0, cluster.leader().logLength());
        cluster.isolated = 0;
        for (int i = 0; i < 4; i++) {
            cluster.heartbeat();
            cluster.run();
        }
        cluster.assertSameStateAsLeader(3);
        return cluster.chunks.size();
    }

    @Test
    void slightlyLaggingFollowerReceivesEntriesAndNoSnapshot() {
        assertEquals(0, snapshotsForTwoEntries(Mutant.NONE));
        assertTrue(snapshotsForTwoEntries(Mutant.NO_TAIL) > 0, "without a tail it is sent a snapshot");
    }

    /**
     * Creates a cluster with a snapshot of this size and a follower that lacks far more entries than the tail holds.
     */
    private static ThreeNodeCluster withFollowerFarBehind(Mutant mutant, int bytes) {
        ThreeNodeCluster cluster = new ThreeNodeCluster(mutant);
        cluster.isolated = 3;
        for (int i = 0; i < 40; i++) {
            cluster.propose(BODY);
            cluster.run();
        }
        cluster.propose(bytes);
        cluster.run();
        cluster.compact(cluster.states.get(1L));
        cluster.run();
        cluster.isolated = 0;
        return cluster;
    }

    @Test
    void snapshotIsSentInChunksBetweenHeartbeatsAndInstalledAsAWhole() {
        ThreeNodeCluster cluster = withFollowerFarBehind(Mutant.NONE, 10 * SnapshotTransfer.CHUNK_BYTES + 1);
        cluster.heartbeat();
        int rounds = 0;
        while (cluster.messages.size() > 0) {
            cluster.step();
            if (++rounds % 3 == 0 && rounds < 60) {
                cluster.heartbeat();
            }
            long inFlight = cluster.messages.stream()
                    .filter(e -> e.message() instanceof Message.InstallSnapshot i && i.chunk().length > 0)
                    .count();
            assertTrue(inFlight <= 1, inFlight + " chunks in flight");
            byte[] state = cluster.states.get(3L);
            assertTrue(
                    state.length == 0 || state.length == cluster.states.get(1L).length,
                    "part of a snapshot was applied");
        }
        assertEquals(11, cluster.chunks.size());
        assertTrue(cluster.chunks.stream().allMatch(i -> i.chunk().length <= SnapshotTransfer.CHUNK_BYTES));
        cluster.assertSameStateAsLeader(3);
    }

    @Test
    void afterABrokenConnectionOnlyTheLostChunkIsSentAgain() {
        ThreeNodeCluster cluster = withFollowerFarBehind(Mutant.NONE, 10 * SnapshotTransfer.CHUNK_BYTES);
        cluster.heartbeat();
        while (cluster.chunks.size() < 5) {
            cluster.step();
        }
        // Breaks the connection for a while, which loses the chunk or the reply in flight.
        cluster.isolated = 3;
        cluster.heartbeat();
        cluster.run();
        cluster.heartbeat();
        cluster.run();
        cluster.isolated = 0;
        for (int i = 0; i < 3; i++) {
            cluster.heartbeat();
            cluster.run();
        }
        cluster.assertSameStateAsLeader(3);
        assertTrue(
                cluster.chunks.size() <= 11,
                cluster.chunks.size() + " chunks, of which at most one may be a duplicate");
    }

    @Test
    void restartedFollowerRestartsTheTransferAndANewerSnapshotDoesNotInterruptIt() {
        ThreeNodeCluster cluster = withFollowerFarBehind(Mutant.NONE, 10 * SnapshotTransfer.CHUNK_BYTES);
        cluster.heartbeat();
        while (cluster.chunks.size() < 5) {
            cluster.step();
        }
        cluster.propose(100);
        cluster.compact(cluster.states.get(1L));
        while (cluster.chunks.size() < 7) {
            cluster.step();
        }
        assertEquals(
                1,
                cluster.chunks.stream()
                        .map(i -> i.metadata().index())
                        .distinct()
                        .count());
        cluster.start(3);
        for (int i = 0; i < 4; i++) {
            cluster.heartbeat();
            cluster.run();
        }
        cluster.assertSameStateAsLeader(3);
        assertTrue(cluster.chunks.size() <= 18, cluster.chunks.size() + " chunks");
    }

    /** Returns whether a follower ends with the leader's state although one chunk was corrupted in transit. */
    private static boolean recoversFromCorruptChunk(Mutant mutant) {
        ThreeNodeCluster cluster = withFollowerFarBehind(mutant, 4 * SnapshotTransfer.CHUNK_BYTES);
        cluster.heartbeat();
        while (cluster.chunks.size() < 2) {
            cluster.step();
        }
        cluster.chunks.get(1).chunk()[7]++;
        Message.InstallSnapshot corrupt = cluster.chunks.get(1);
        cluster.rafts
                .get(3L)
                .receive(
                        cluster.now,
                        1,
                        new Message.InstallSnapshot(
                                corrupt.term(),
                                corrupt.metadata(),
                                2 * SnapshotTransfer.CHUNK_BYTES,
                                corrupt.chunk(),
                                corrupt.sequence(),
                                corrupt.round()));
        cluster.pump(3);
        for (int i = 0; i < 4; i++) {
            cluster.heartbeat();
            cluster.run();
        }
        return java.util.Arrays.equals(cluster.states.get(1L), cluster.states.get(3L));
    }

    @Test
    void snapshotWithAWrongChecksumIsTransferredAgain() {
        assertTrue(recoversFromCorruptChunk(Mutant.NONE));
        assertFalse(
                recoversFromCorruptChunk(Mutant.NO_CHECKSUM), "without the check the corrupt snapshot is installed");
    }

    @Test
    void falseLengthAllocatesNoMemoryAndAnOlderSnapshotIsIgnored() {
        ThreeNodeCluster cluster = new ThreeNodeCluster(Mutant.NONE);
        Raft follower = cluster.rafts.get(3L);
        Snapshot newer = new Snapshot(50, 1, VOTERS, new byte[100]);
        Snapshot older = new Snapshot(40, 1, VOTERS, new byte[100]);
        Snapshot.Metadata falseLength = new Snapshot.Metadata(60, 1, VOTERS, Integer.MAX_VALUE, 0);
        follower.receive(cluster.now, 1, new Message.InstallSnapshot(1, falseLength, 0, new byte[10], 1, 0));
        assertTrue(follower.drain().messages().isEmpty());
        follower.receive(cluster.now, 1, new Message.InstallSnapshot(1, newer.metadata(), 0, new byte[60], 2, 0));
        follower.receive(cluster.now, 1, new Message.InstallSnapshot(1, older.metadata(), 0, new byte[60], 3, 0));
        follower.receive(cluster.now, 1, new Message.InstallSnapshot(1, newer.metadata(), 60, new byte[40], 4, 0));
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
    void leaderLimitsItsUncommittedEntries() {
        ThreeNodeCluster cluster = new ThreeNodeCluster(Mutant.NONE);
        cluster.isolated = 2;
        cluster.run();
        int written = 0;
        while (cluster.leader().fitsUncommittedLimit(BODY)) {
            cluster.propose(BODY);
            cluster.messages.clear();
            cluster.senders.clear();
            written += BODY;
        }
        assertTrue(
                written > Raft.MAX_UNCOMMITTED_BYTES / 2 && written <= Raft.MAX_UNCOMMITTED_BYTES, written + " bytes");
    }

    /** Two followers with message loss and restarts, and frequent compaction: all must end with the same state. */
    @Test
    void followersConvergeDespiteLossesAndRestarts() {
        for (long seed = 1; seed <= 200; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            ThreeNodeCluster cluster = new ThreeNodeCluster(Mutant.NONE);
            for (int i = 0; i < 120; i++) {
                if (cluster.leader().fitsUncommittedLimit(300_000)) {
                    cluster.propose(random.nextInt(300_000));
                }
                for (int n = random.nextInt(6); n > 0; n--) {
                    cluster.step();
                }
                switch (random.nextInt(8)) {
                    case 0 -> cluster.isolated = 0;
                    case 1 -> cluster.isolated = 3;
                    case 2 -> cluster.start(2);
                    case 3 -> cluster.compact(cluster.states.get(1L));
                    case 4 -> cluster.heartbeat();
                    default -> {}
                }
            }
            cluster.isolated = 0;
            for (int i = 0; i < 8; i++) {
                cluster.heartbeat();
                cluster.run();
            }
            assertEquals(cluster.leader().lastIndex(), cluster.leader().commitIndex(), "seed " + seed);
            cluster.assertSameStateAsLeader(2);
            cluster.assertSameStateAsLeader(3);
        }
    }
}
