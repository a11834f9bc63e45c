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

/**
 * What a core machine's log and its operators' calls take of the memory, with a disk that keeps up and with one that
 * stalls.
 */
class LogMemoryTest {
    private static final List<Member> ALONE = List.of(new Member(1, "10.0.0.1:7"));

    /** A core machine that votes alone, on a clock and a disk of the test's. */
    private static final class Machine implements CoreMachine.Environment, ConnectionManager {
        private final ArrayDeque<Runnable> stalled = new ArrayDeque<>();
        private final CoreMachine core;
        private boolean stalls;
        private long now;
        private long snapshots;
        private long snapshotBytes;

        Machine() {
            core = new CoreMachine(
                    new CoreMachine.Identity(1, "10.0.0.1:7", 0),
                    new PersistentState(HardState.NONE, new Snapshot(0, 0, ALONE, new byte[0]), List.of()),
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
            if (stalls) {
                stalled.add(done);
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

    /** A valid configuration that hardly packs to under half. */
    private static byte[] body(long rev, int bytes) {
        byte[] random = new byte[bytes / 2];
        new SplittableRandom(rev).nextBytes(random);
        return ("{\"rev\":" + rev + ",\"routes\":[],\"svcs\":[],\"note\":\""
                        + HexFormat.of().formatHex(random) + "\"}")
                .getBytes(StandardCharsets.UTF_8);
    }

    private static List<CallResponse> send(Machine machine, long base, byte[] body) {
        List<CallResponse> answers = new ArrayList<>();
        machine.core.calls().replace(List.of(Long.toString(base)), body, answers::add);
        return answers;
    }

    @Test
    void theLogIsCompactedByItsBytesAndNotWithEachChange() {
        Machine machine = new Machine();
        long packed = ConfigurationHistory.command(0, 1, body(1, 400_000)).length;
        long most = 0;
        int changes = 100;
        for (long rev = 1; rev <= changes; rev++) {
            assertEquals(200, send(machine, rev - 1, body(rev, 400_000)).get(0).status());
            most = Math.max(most, machine.core.raftDriver().raft().logBytes(Long.MAX_VALUE));
        }
        assertTrue(most <= RaftDriver.MAX_LOG_BYTES + 2 * packed, most + " bytes of log");
        assertTrue(machine.snapshots * 4 <= changes, machine.snapshots + " snapshots for " + changes + " changes");
        assertTrue(
                machine.snapshotBytes < changes * packed / 3,
                "more is written for snapshots than a third of the changes");
        assertEquals(changes, machine.core.raftDriver().history().rev());
    }

    @Test
    void smallChangesAreCompactedByTheirNumber() {
        Machine machine = new Machine();
        for (long rev = 1; rev <= 300; rev++) {
            assertEquals(200, send(machine, rev - 1, body(rev, 100)).get(0).status());
            assertTrue(machine.core.raftDriver().raft().logLength() <= RaftDriver.MAX_LOG_ENTRIES + 2);
        }
        assertTrue(machine.snapshots <= 5, machine.snapshots + " snapshots");
    }

    /**
     * Eight at once on a disk that stalls: what finds no room is told so at once, and the rest when its time is over.
     */
    @Test
    void callsThatPileUpOnAStalledDiskAreBoundedAndToldToComeBack() {
        Machine machine = new Machine();
        machine.stalls = true;
        List<List<CallResponse>> all = new ArrayList<>();
        long held = 0;
        for (long rev = 1; rev <= 8; rev++) {
            byte[] body = body(rev, 2_600_000);
            all.add(send(machine, 0, body));
            held += all.get(all.size() - 1).isEmpty() ? ConfigurationHistory.command(0, rev, body).length : 0;
        }
        long atOnce = all.stream()
                .filter(answers -> !answers.isEmpty() && answers.get(0).status() == OperatorCalls.OUTCOME_UNKNOWN)
                .count();
        assertTrue(atOnce > 0 && atOnce < 8, atOnce + " told at once");
        assertTrue(held <= OperatorCalls.MAX_PENDING_BYTES, held + " bytes held");
        assertTrue(
                machine.core.raftDriver().raft().logBytes(Long.MAX_VALUE) <= 2 * OperatorCalls.MAX_COMMAND_BYTES,
                "written ahead");
        for (int i = 0; i < 40; i++) {
            machine.tick();
        }
        assertTrue(all.stream()
                .allMatch(answers -> answers.size() == 1 && answers.get(0).status() == OperatorCalls.OUTCOME_UNKNOWN));
        machine.stalls = false;
        while (!machine.stalled.isEmpty()) {
            machine.stalled.poll().run();
        }
        assertEquals(200, send(machine, 0, body(1, 2_600_000)).get(0).status(), "a repeat of the one that was taken");
    }

    @Test
    void whatDoesNotPackIsRefusedAsTooLong() {
        assertEquals(413, send(new Machine(), 0, body(1, 6_000_000)).get(0).status());
    }
}
