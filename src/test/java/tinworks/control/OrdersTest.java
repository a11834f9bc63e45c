package tinworks.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.junit.jupiter.api.Test;
import tinworks.channel.HostList;
import tinworks.channel.PeerMessage.Announce;
import tinworks.channel.PeerMessage.CallResponse;
import tinworks.config.ConfigurationHistory;
import tinworks.config.ConfigurationHistory.Verdict;
import tinworks.control.CoreNetwork.Node;
import tinworks.raft.Raft;

/** Orders that race, repeat and lose their answers while machines are cut off, frozen and killed. */
class OrdersTest {
    private static final int RUNS = 200;
    private static final int LEASE_MILLIS = 450;
    private static final int WAY_MILLIS = 10;

    private static List<CallResponse> replace(Node node, long base, byte[] body) {
        List<CallResponse> answers = new ArrayList<>();
        node.scheduleInProcess(1, () -> node.machine.calls().replace(List.of(Long.toString(base)), body, answers::add));
        return answers;
    }

    private static int status(List<CallResponse> answers) {
        assertEquals(1, answers.size());
        return answers.get(0).status();
    }

    private static Node other(CoreNetwork network, Node... than) {
        return network.nodes.stream()
                .filter(n -> !List.of(than).contains(n))
                .findFirst()
                .orElseThrow();
    }

    @Test
    void aRepeatIsConfirmedUnderItsOwnNumberAlsoWhenALaterOneIsInForce() {
        CoreNetwork network = new CoreNetwork(1, 3, CoreMachine::new);
        network.awaitLeader(3_000);
        byte[] first = Operators.configurationJson(2, "a");
        for (Node node : network.nodes) {
            List<CallResponse> answers = replace(node, 0, first);
            network.runUntil(network.nowMillis + 200);
            assertEquals(200, status(answers));
            assertEquals(2, Operators.rev(answers.get(0)));
        }
        List<CallResponse> next = replace(network.nodes.get(0), 2, Operators.configurationJson(9, "b"));
        network.runUntil(network.nowMillis + 200);
        assertEquals(9, Operators.rev(next.get(0)));
        for (Node node : network.nodes) {
            List<CallResponse> again = replace(node, 0, first);
            network.runUntil(network.nowMillis + 200);
            assertEquals(200, status(again));
            assertEquals(2, Operators.rev(again.get(0)), "another's number");
        }
    }

    /** A copy that waits for a leader must not come into force after another copy was refused. */
    @Test
    void anOrderOnAVersionThatIsStillUnderWayIsNotRefused() {
        CoreNetwork network = new CoreNetwork(2, 3, CoreMachine::new);
        Node leader = network.awaitLeader(3_000);
        byte[] second = Operators.configurationJson(4, "b");
        List<CallResponse> early = replace(leader, 3, second);
        network.runUntil(network.nowMillis + 300);
        List<CallResponse> first = replace(leader, 0, Operators.configurationJson(3, "a"));
        network.runUntil(network.nowMillis + 300);
        assertEquals(200, status(first));
        assertEquals(200, status(early), "it waits for what it builds on");
        List<CallResponse> never = replace(leader, 8, Operators.configurationJson(9, "c"));
        network.runUntil(network.nowMillis + 1_000);
        assertEquals(503, status(never), "a base that nobody knows");
        assertEquals(0, leader.machine.calls().pendingCount());
        List<CallResponse> below = replace(leader, 8, Operators.configurationJson(8, "d"));
        network.runUntil(network.nowMillis + 10);
        assertEquals(400, status(below), "whatever comes, it can't be taken");
    }

    @Test
    void anOrderWhoseFirstCopyANewLeaderHoldsIsTakenOnce() {
        for (long seed = 0; seed < 20; seed++) {
            CoreNetwork network = new CoreNetwork(seed, 3, CoreMachine::new);
            Node leader = network.awaitLeader(3_000);
            byte[] body = Operators.configurationJson(3, "a");
            List<CallResponse> lost = replace(leader, 0, body);
            Node next = other(network, leader);
            while (next.raft().lastIndex() == leader.raft().commitIndex()) {
                network.runUntil(network.nowMillis + 1);
            }
            long first = next.raft().lastIndex();
            leader.kill();
            assertEquals(0, lost.size());
            List<List<CallResponse>> again = new ArrayList<>();
            for (int i = 0; i < 30; i++) {
                again.add(replace(network.nodes.get(i % 3), 0, body));
                again.add(replace(next, 0, Operators.configurationJson(3, "another's")));
                network.runUntil(network.nowMillis + 200);
            }
            network.runUntil(network.nowMillis + 1_000);
            for (List<CallResponse> answers : again) {
                answers.forEach(a -> assertTrue(a.status() != 200 || Operators.rev(a) == 3));
            }
            Node led = network.awaitLeader(3_000);
            assertTrue(led.raft().commitIndex() > first);
            assertEquals(3, led.machine.raftDriver().history().rev());
            long confirmed = again.stream()
                    .filter(a -> !a.isEmpty() && a.get(0).status() == 200)
                    .count();
            long refused = again.stream()
                    .filter(a -> !a.isEmpty() && a.get(0).status() == 412)
                    .count();
            assertTrue(confirmed > 0 && refused > 0, confirmed + " confirmed, " + refused + " refused");
        }
    }

    @Test
    void aVerdictThatComesAfterTheCallersTimeIsLeftUnclearAndItsRepeatConfirmed() {
        CoreNetwork network = new CoreNetwork(3, 3, CoreMachine::new);
        Node leader = network.awaitLeader(3_000);
        network.nodes.stream().filter(n -> n != leader).forEach(n -> network.partition(n, leader));
        List<CallResponse> late = replace(leader, 0, Operators.configurationJson(3, "a"));
        network.runUntil(network.nowMillis + 300);
        network.nodes.forEach(n -> n.maxSyncMillis = 3_000);
        network.heal();
        network.runUntil(network.nowMillis + 200);
        network.nodes.forEach(n -> n.maxSyncMillis = 4);
        network.runUntil(network.nowMillis + 12_000);
        assertEquals(503, status(late), "one answer and no second one");
        assertEquals(3, leader.machine.raftDriver().history().rev(), "it was taken later");
        List<CallResponse> again = replace(other(network, leader), 0, Operators.configurationJson(3, "a"));
        network.runUntil(network.nowMillis + 400);
        assertEquals(200, status(again));
    }

    /** Its own entry can't be committed, so it doesn't know yet what its predecessor acknowledged. */
    @Test
    void aNewLeaderShowsNothingBeforeItHasCommittedInItsTerm() {
        CoreNetwork network = new CoreNetwork(4, 3, CoreMachine::new);
        Node old = network.awaitLeader(3_000);
        List<CallResponse> taken = replace(old, 0, Operators.configurationJson(3, "a"));
        network.runUntil(network.nowMillis + 300);
        assertEquals(200, status(taken));
        old.kill();
        Node next = null;
        while (next == null) {
            network.runUntil(network.nowMillis + 1);
            next = network.nodes.stream()
                    .filter(n -> n.isRunning() && n.raft().role() == Raft.Role.LEADER)
                    .findFirst()
                    .orElse(null);
        }
        List<CallResponse> shown = new ArrayList<>();
        network.partition(next, other(network, next, old));
        next.machine.calls().show(shown::add);
        assertFalse(next.raft().hasCommittedInCurrentTerm());
        network.runUntil(network.nowMillis + 300);
        assertEquals(0, shown.size());
        network.heal();
        network.runUntil(network.nowMillis + 1_000);
        assertEquals(200, status(shown));
        assertEquals(3, Operators.rev(shown.get(0)));
    }

    /** Who says that it leads is alone in that, and who says that it is fresh is behind by less than a lease. */
    private static void check(CoreNetwork network, Operators operators, Node node, Announce s) {
        if (s.leader()) {
            network.nodes.forEach(n -> assertTrue(
                    n == node
                            || !n.isRunning()
                            || !n.raft().hasCommittedInCurrentTerm()
                            || n.raft().term() < s.term(),
                    node.hello().node() + " leads beside " + n.hello().node()));
        }
        long told = operators.newestReported(network.nowMillis - LEASE_MILLIS);
        assertTrue(
                !s.fresh() || s.rev() >= told, node.hello().node() + " is fresh with " + s.rev() + " behind " + told);
    }

    /**
     * An edge that starts now goes into service only with what was the newest less than a lease ago, but for the way to
     * it, and of two lists takes the one that was fetched later.
     */
    private static CoreNetwork.Edge edge(CoreNetwork network, Operators operators) {
        CoreNetwork.Edge[] edge = {null};
        boolean[] served = {false};
        long[] fetched = {0};
        edge[0] = network.new Edge(() -> {
            for (HostList.Host host : edge[0].follower.hostList().hosts()) {
                long asked = Long.parseLong(host.id().substring(2));
                assertTrue(asked >= fetched[0], "a list of " + asked + " after one of " + fetched[0]);
                fetched[0] = asked;
            }
            if (edge[0].follower.hasBeenUpToDate() && !served[0]) {
                served[0] = true;
                long told = operators.newestReported(network.nowMillis - LEASE_MILLIS - WAY_MILLIS);
                assertTrue(
                        edge[0].follower.rev() >= told,
                        "an edge serves with " + edge[0].follower.rev() + " behind " + told);
            }
        });
        return edge[0];
    }

    /** One run: faults for some seconds, then calm, then everything said is checked. */
    private static Operators play(long seed, CoreNetwork.CoreMachineFactory maker) {
        CoreNetwork network = new CoreNetwork(seed, 3, maker);
        network.fetchesHostList = true;
        network.awaitLeader(3_000);
        Operators operators = new Operators(network, 0.3);
        network.announceObserver = (node, s) -> check(network, operators, node, s);
        List<CoreNetwork.Edge> edges = new ArrayList<>();
        long end = network.nowMillis + 6_000;
        while (network.nowMillis < end) {
            network.runUntil(network.nowMillis + 20 + network.random.nextInt(120));
            operators.sendChange();
            if (network.random.nextInt(4) == 0) {
                operators.show();
            }
            if (network.random.nextInt(12) == 0) {
                trouble(network);
            }
            if (network.random.nextInt(8) == 0) {
                edges.add(edge(network, operators));
            }
        }
        network.heal();
        network.nodes.forEach(Node::thaw);
        network.runUntil(network.nowMillis + 6_000);
        ConfigurationHistory newest =
                network.awaitLeader(3_000).machine.raftDriver().history();
        operators.checkAgainst(newest);
        edges.forEach(edge -> assertTrue(
                edge.follower.rev() == newest.rev()
                        && edge.follower.hasBeenUpToDate()
                        && !edge.follower.hostList().hosts().isEmpty(),
                edge.follower.rev() + " at an edge, not " + newest.rev()));
        return operators;
    }

    private static void trouble(CoreNetwork network) {
        Node leader = network.leader();
        Node node = leader != null && network.random.nextBoolean()
                ? leader
                : network.nodes.get(network.random.nextInt(network.nodes.size()));
        long millis = 100L + network.random.nextInt(2_000);
        switch (network.random.nextInt(4)) {
            case 0 -> {
                network.isolate(node);
                network.schedule(millis, network::heal);
            }
            case 1 -> {
                node.freeze();
                network.schedule(millis, node::thaw);
            }
            case 2 -> {
                if (node.isRunning()) {
                    node.kill();
                    network.schedule(millis / 2, node::start);
                }
            }
            default -> {
                node.maxSyncMillis = 400;
                network.schedule(millis, () -> node.maxSyncMillis = 4);
            }
        }
    }

    @Test
    void nothingThatWasTakenIsRefusedAndNothingRefusedIsInForce() {
        int runs = Integer.getInteger("orders", RUNS);
        int acknowledged = 0;
        int refused = 0;
        for (long seed = 0; seed < runs; seed++) {
            try {
                Operators operators = play(seed, CoreMachine::new);
                acknowledged += operators.acknowledged;
                refused += operators.refused;
            } catch (AssertionError e) {
                throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
            }
        }
        assertTrue(
                acknowledged > 10 * runs && refused > 10 * runs,
                acknowledged + " acknowledged, " + refused + " refused");
    }

    private static CoreNetwork.CoreMachineFactory with(BiFunction<CoreMachine, LongSupplier, OperatorCalls> handled) {
        return (self, stored, disk, around) -> new CoreMachine(self, stored, disk, around, handled);
    }

    private static void assertCaught(CoreNetwork.CoreMachineFactory flawed) {
        for (long seed = 0; seed < RUNS; seed++) {
            try {
                play(seed, flawed);
            } catch (AssertionError e) {
                return;
            }
        }
        throw new AssertionError("not caught in " + RUNS + " runs");
    }

    @Test
    void refusingWhatIsAheadOfTheBaseIsCaught() {
        assertCaught(with((machine, clock) -> new OperatorCalls(machine, clock) {
            @Override
            boolean isBaseUnknown(long base, long current) {
                return false;
            }
        }));
    }

    @Test
    void takingTheVerdictOfALeaderThatIsBehindForSettledIsCaught() {
        assertCaught(with((machine, clock) -> new OperatorCalls(machine, clock) {
            @Override
            boolean isFinal(Verdict verdict, long base, long rev, long current) {
                return super.isFinal(verdict, base, rev, current) || verdict == Verdict.CONFLICT;
            }
        }));
    }

    @Test
    void sayingThatItIsFreshFromWhatWasReceivedIsCaught() {
        assertCaught((self, stored, disk, around) -> new CoreMachine(self, stored, disk, around) {
            @Override
            boolean isFresh() {
                return raftDriver().raft().role() == Raft.Role.LEADER
                        || raftDriver().raft().leader() != 0;
            }
        });
    }

    @Test
    void sayingThatItLeadsWithoutALeaseIsCaught() {
        assertCaught((self, stored, disk, around) -> new CoreMachine(self, stored, disk, around) {
            @Override
            boolean holdsLeaderLease() {
                return raftDriver().raft().hasCommittedInCurrentTerm();
            }
        });
    }

    @Test
    void numberingAListWithoutALeaseIsCaught() {
        assertCaught((self, stored, disk, around) -> new CoreMachine(self, stored, disk, around) {
            @Override
            boolean mayVersionHostList() {
                return true;
            }
        });
    }

    @Test
    void showingWithoutARoundOfHeartbeatsIsCaught() {
        assertCaught(with((machine, clock) -> new OperatorCalls(machine, clock) {
            @Override
            void confirmRead(RaftDriver agreement, Consumer<Boolean> told) {
                told.accept(true);
            }
        }));
    }
}
