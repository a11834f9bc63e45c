package tinworks.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import tinworks.channel.ConnectionManager;
import tinworks.channel.PeerConnection;
import tinworks.channel.PeerMessage.CallResponse;
import tinworks.config.ConfigurationHistory;
import tinworks.raft.HardState;
import tinworks.raft.Member;
import tinworks.raft.Output;
import tinworks.raft.PersistentState;
import tinworks.raft.Snapshot;

/** Memory limits of a core node's log and operator calls, with a responsive disk and with a stalled one. */
class LogMemoryTest {
    private static final List<Member> SINGLE_VOTER = List.of(new Member(1, "10.0.0.1:7"));

    /** A core node that is the only voter, with a simulated clock and disk. */
    private static final class Node implements CoreMachine.Environment, ConnectionManager {
        private final ArrayDeque<Runnable> pendingWrites = new ArrayDeque<>();
        private final CoreMachine core;
        private boolean diskStalled;
        private long now;
        private long snapshots;
        private long snapshotBytes;

        Node() {
            core = new CoreMachine(
                    new CoreMachine.Identity(1, "10.0.0.1:7", 0),
                    new PersistentState(HardState.NONE, new Snapshot(0, 0, SINGLE_VOTER, new byte[0]), List.of()),
                    this::write,
                    this);
            while (!core.raftDriver().raft().hasCommittedInCurrentTerm()) {
                tick();
            }
        }

        private void write(Output output, Runnable done) {
            if (output.snapshot() != null) {
                snapshots++;
                snapshotBytes += output.snapshot().state().length;
            }
            if (diskStalled) {
                pendingWrites.add(done);
            } else {
                done.run();
            }
        }

        void tick() {
            now += CoreMachine.TICK_MILLIS;
            core.tick();
        }

        @Override
        public long millis() {
            return now;
        }

        @Override
        public ConnectionManager connectionManager() {
            return this;
        }

        @Override
        public List<String> seeds() {
            return List.of();
        }

        @Override
        public void setHostPolling(boolean wanted) {}

        @Override
        public void log(String line) {}

        @Override
        public void setAddresses(Collection<String> addresses) {}

        @Override
        public List<PeerConnection> openConnections() {
            return List.of();
        }
    }

    /** A valid configuration that compresses to little less than half. */
    private static byte[] body(long rev, int bytes) {
        byte[] random = new byte[bytes / 2];
        new SplittableRandom(rev).nextBytes(random);
        return ("{\"rev\":" + rev + ",\"routes\":[],\"svcs\":[],\"note\":\""
                        + HexFormat.of().formatHex(random) + "\"}")
                .getBytes(StandardCharsets.UTF_8);
    }

    private static List<CallResponse> send(Node node, long base, byte[] body) {
        List<CallResponse> responses = new ArrayList<>();
        node.core.calls().replace(List.of(Long.toString(base)), body, responses::add);
        return responses;
    }

    @Test
    void theLogIsCompactedBySizeAndNotWithEachChange() {
        Node node = new Node();
        long commandBytes = ConfigurationHistory.command(0, 1, body(1, 400_000)).length;
        long maxBytes = 0;
        int changes = 100;
        for (long rev = 1; rev <= changes; rev++) {
            assertEquals(200, send(node, rev - 1, body(rev, 400_000)).get(0).status());
            maxBytes = Math.max(maxBytes, node.core.raftDriver().raft().logBytes(Long.MAX_VALUE));
        }
        assertTrue(maxBytes <= RaftDriver.MAX_LOG_BYTES + 2 * commandBytes, maxBytes + " bytes of log");
        assertTrue(node.snapshots * 4 <= changes, node.snapshots + " snapshots for " + changes + " changes");
        assertTrue(
                node.snapshotBytes < changes * commandBytes / 3,
                "snapshots write more than a third of the size of the changes");
        assertEquals(changes, node.core.raftDriver().history().rev());
    }

    @Test
    void smallChangesAreCompactedByCount() {
        Node node = new Node();
        for (long rev = 1; rev <= 300; rev++) {
            assertEquals(200, send(node, rev - 1, body(rev, 100)).get(0).status());
            assertTrue(node.core.raftDriver().raft().logLength() <= RaftDriver.MAX_LOG_ENTRIES + 2);
        }
        assertTrue(node.snapshots <= 5, node.snapshots + " snapshots");
    }

    /** Eight calls on a stalled disk: those over the limit are rejected at once, the others at their deadline. */
    @Test
    void callsOnAStalledDiskAreBoundedAndGetARetryableStatus() {
        Node node = new Node();
        node.diskStalled = true;
        List<List<CallResponse>> all = new ArrayList<>();
        long pendingBytes = 0;
        for (long rev = 1; rev <= 8; rev++) {
            byte[] body = body(rev, 2_600_000);
            all.add(send(node, 0, body));
            pendingBytes += all.get(all.size() - 1).isEmpty() ? ConfigurationHistory.command(0, rev, body).length : 0;
        }
        long rejectedAtOnce = all.stream()
                .filter(responses -> !responses.isEmpty() && responses.get(0).status() == OperatorCalls.OUTCOME_UNKNOWN)
                .count();
        assertTrue(rejectedAtOnce > 0 && rejectedAtOnce < 8, rejectedAtOnce + " rejected at once");
        assertTrue(pendingBytes <= OperatorCalls.MAX_PENDING_BYTES, pendingBytes + " bytes pending");
        assertTrue(
                node.core.raftDriver().raft().logBytes(Long.MAX_VALUE) <= 2 * OperatorCalls.MAX_COMMAND_BYTES,
                "uncommitted log");
        for (int i = 0; i < 40; i++) {
            node.tick();
        }
        assertTrue(all.stream()
                .allMatch(responses ->
                        responses.size() == 1 && responses.get(0).status() == OperatorCalls.OUTCOME_UNKNOWN));
        node.diskStalled = false;
        while (!node.pendingWrites.isEmpty()) {
            node.pendingWrites.poll().run();
        }
        assertEquals(200, send(node, 0, body(1, 2_600_000)).get(0).status(), "a retry of the change that was accepted");
    }

    @Test
    void aChangeThatIsTooLargeWhenCompressedIsRejected() {
        assertEquals(413, send(new Node(), 0, body(1, 6_000_000)).get(0).status());
    }
}
