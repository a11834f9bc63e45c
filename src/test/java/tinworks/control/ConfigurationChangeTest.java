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

/** Concurrent and retried configuration changes with lost responses, under partitions, freezes and crashes. */
class ConfigurationChangeTest {
    private static final int RUNS = 200;
    private static final int LEASE_MILLIS = 450;
    private static final int NETWORK_DELAY_MILLIS = 10;

    private static List<CallResponse> replace(Node node, long base, byte[] body) {
        List<CallResponse> responses = new ArrayList<>();
        node.scheduleInProcess(
                1, () -> node.machine.calls().replace(List.of(Long.toString(base)), body, responses::add));
        return responses;
    }

    private static int status(List<CallResponse> responses) {
        assertEquals(1, responses.size());
        return responses.get(0).status();
    }

    private static Node other(CoreNetwork network, Node... than) {
        return network.nodes.stream()
                .filter(n -> !List.of(than).contains(n))
                .findFirst()
                .orElseThrow();
    }

    @Test
    void aRetryIsAcknowledgedWithItsOwnVersionAfterALaterChange() {
        CoreNetwork network = new CoreNetwork(1, 3, CoreMachine::new);
        network.awaitLeader(3_000);
        byte[] first = Operators.configurationJson(2, "a");
        for (Node node : network.nodes) {
            List<CallResponse> responses = replace(node, 0, first);
            network.runUntil(network.nowMillis + 200);
            assertEquals(200, status(responses));
            assertEquals(2, Operators.rev(responses.get(0)));
        }
        List<CallResponse> next = replace(network.nodes.get(0), 2, Operators.configurationJson(9, "b"));
        network.runUntil(network.nowMillis + 200);
        assertEquals(9, Operators.rev(next.get(0)));
        for (Node node : network.nodes) {
            List<CallResponse> retries = replace(node, 0, first);
            network.runUntil(network.nowMillis + 200);
            assertEquals(200, status(retries));
            assertEquals(2, Operators.rev(retries.get(0)), "acknowledged with the version of another change");
        }
    }

    /** A copy that is pending until there is a leader must not be accepted after another copy was rejected. */
    @Test
    void aChangeBasedOnAVersionInFlightIsNotRejected() {
        CoreNetwork network = new CoreNetwork(2, 3, CoreMachine::new);
        Node leader = network.awaitLeader(3_000);
        byte[] second = Operators.configurationJson(4, "b");
        List<CallResponse> early = replace(leader, 3, second);
        network.runUntil(network.nowMillis + 300);
        List<CallResponse> first = replace(leader, 0, Operators.configurationJson(3, "a"));
        network.runUntil(network.nowMillis + 300);
        assertEquals(200, status(first));
        assertEquals(200, status(early), "it waits for its base version");
        List<CallResponse> never = replace(leader, 8, Operators.configurationJson(9, "c"));
        network.runUntil(network.nowMillis + 1_000);
        assertEquals(503, status(never), "an unknown base version");
        assertEquals(0, leader.machine.calls().pendingCount());
        List<CallResponse> below = replace(leader, 8, Operators.configurationJson(8, "d"));
        network.runUntil(network.nowMillis + 10);
        assertEquals(400, status(below), "it can never be accepted");
    }

    @Test
    void aChangeWhoseFirstCopyIsInTheNewLeadersLogIsAppliedOnce() {
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
            List<List<CallResponse>> attempts = new ArrayList<>();
            for (int i = 0; i < 30; i++) {
                attempts.add(replace(network.nodes.get(i % 3), 0, body));
                attempts.add(replace(next, 0, Operators.configurationJson(3, "another's")));
                network.runUntil(network.nowMillis + 200);
            }
            network.runUntil(network.nowMillis + 1_000);
            for (List<CallResponse> responses : attempts) {
                responses.forEach(a -> assertTrue(a.status() != 200 || Operators.rev(a) == 3));
            }
            Node led = network.awaitLeader(3_000);
            assertTrue(led.raft().commitIndex() > first);
            assertEquals(3, led.machine.raftDriver().history().rev());
            long acknowledged = attempts.stream()
                    .filter(a -> !a.isEmpty() && a.get(0).status() == 200)
                    .count();
            long refused = attempts.stream()
                    .filter(a -> !a.isEmpty() && a.get(0).status() == 412)
                    .count();
            assertTrue(acknowledged > 0 && refused > 0, acknowledged + " acknowledged, " + refused + " refused");
        }
    }

    @Test
    void aCommitAfterTheDeadlineGivesAnUnknownOutcomeAndItsRetryIsAcknowledged() {
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
        assertEquals(503, status(late), "exactly one response");
        assertEquals(3, leader.machine.raftDriver().history().rev(), "it was committed later");
        List<CallResponse> retries = replace(other(network, leader), 0, Operators.configurationJson(3, "a"));
        network.runUntil(network.nowMillis + 400);
        assertEquals(200, status(retries));
    }

    /** Until its own entry is committed, a new leader does not know what its predecessor has acknowledged. */
    @Test
    void aNewLeaderShowsNothingBeforeItHasCommittedInItsTerm() {
        CoreNetwork network = new CoreNetwork(4, 3, CoreMachine::new);
        Node old = network.awaitLeader(3_000);
        List<CallResponse> acknowledged = replace(old, 0, Operators.configurationJson(3, "a"));
        network.runUntil(network.nowMillis + 300);
        assertEquals(200, status(acknowledged));
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

    /**
     * At most one node announces that it leads, and a node that announces fresh state is behind by less than a lease.
     */
    private static void check(CoreNetwork network, Operators operators, Node node, Announce s) {
        if (s.leader()) {
            network.nodes.forEach(n -> assertTrue(
                    n == node
                            || !n.isRunning()
                            || !n.raft().hasCommittedInCurrentTerm()
                            || n.raft().term() < s.term(),
                    node.hello().node() + " leads beside " + n.hello().node()));
        }
        long reported = operators.newestReported(network.nowMillis - LEASE_MILLIS);
        assertTrue(
                !s.fresh() || s.rev() >= reported,
                node.hello().node() + " is fresh with " + s.rev() + " behind " + reported);
    }

    /**
     * Starts an edge. It must become ready only with a configuration that was the newest less than a lease plus the
     * network delay ago, and of two host lists it must use the one that was fetched later.
     */
    private static CoreNetwork.Edge edge(CoreNetwork network, Operators operators) {
        CoreNetwork.Edge[] edge = {null};
        boolean[] served = {false};
        long[] lastFetchedAt = {0};
        edge[0] = network.new Edge(() -> {
            for (HostList.Host host : edge[0].follower.hostList().hosts()) {
                long fetchedAt = Long.parseLong(host.id().substring(2));
                assertTrue(
                        fetchedAt >= lastFetchedAt[0], "a list of " + fetchedAt + " after one of " + lastFetchedAt[0]);
                lastFetchedAt[0] = fetchedAt;
            }
            if (edge[0].follower.hasBeenUpToDate() && !served[0]) {
                served[0] = true;
                long reported = operators.newestReported(network.nowMillis - LEASE_MILLIS - NETWORK_DELAY_MILLIS);
                assertTrue(
                        edge[0].follower.rev() >= reported,
                        "an edge serves with " + edge[0].follower.rev() + " behind " + reported);
            }
        });
        return edge[0];
    }

    /** One run: random faults for some seconds, then recovery, then a check of all responses. */
    private static Operators simulate(long seed, CoreNetwork.CoreMachineFactory factory) {
        CoreNetwork network = new CoreNetwork(seed, 3, factory);
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
                injectFault(network);
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
                edge.follower.rev() + " at an edge instead of " + newest.rev()));
        return operators;
    }

    private static void injectFault(CoreNetwork network) {
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
    void noAcceptedChangeIsRejectedAndNoRejectedChangeIsApplied() {
        int runs = Integer.getInteger("orders", RUNS);
        int acknowledged = 0;
        int refused = 0;
        for (long seed = 0; seed < runs; seed++) {
            try {
                Operators operators = simulate(seed, CoreMachine::new);
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

    private static CoreNetwork.CoreMachineFactory with(
            BiFunction<CoreMachine, LongSupplier, OperatorCalls> callHandler) {
        return (self, stored, disk, environment) -> new CoreMachine(self, stored, disk, environment, callHandler);
    }

    private static void assertCaught(CoreNetwork.CoreMachineFactory mutant) {
        for (long seed = 0; seed < RUNS; seed++) {
            try {
                simulate(seed, mutant);
            } catch (AssertionError e) {
                return;
            }
        }
        throw new AssertionError("not caught in " + RUNS + " runs");
    }

    @Test
    void rejectingAChangeWithAnUnknownBaseIsCaught() {
        assertCaught(with((machine, clock) -> new OperatorCalls(machine, clock) {
            @Override
            boolean isBaseUnknown(long base, long current) {
                return false;
            }
        }));
    }

    @Test
    void treatingAConflictAtAnOutdatedLeaderAsFinalIsCaught() {
        assertCaught(with((machine, clock) -> new OperatorCalls(machine, clock) {
            @Override
            boolean isFinal(Verdict verdict, long base, long rev, long current) {
                return super.isFinal(verdict, base, rev, current) || verdict == Verdict.CONFLICT;
            }
        }));
    }

    @Test
    void announcingFreshStateWithoutALeaseIsCaught() {
        assertCaught((self, stored, disk, environment) -> new CoreMachine(self, stored, disk, environment) {
            @Override
            boolean isFresh() {
                return raftDriver().raft().role() == Raft.Role.LEADER
                        || raftDriver().raft().leader() != 0;
            }
        });
    }

    @Test
    void announcingLeadershipWithoutALeaseIsCaught() {
        assertCaught((self, stored, disk, environment) -> new CoreMachine(self, stored, disk, environment) {
            @Override
            boolean holdsLeaderLease() {
                return raftDriver().raft().hasCommittedInCurrentTerm();
            }
        });
    }

    @Test
    void versioningAHostListWithoutALeaseIsCaught() {
        assertCaught((self, stored, disk, environment) -> new CoreMachine(self, stored, disk, environment) {
            @Override
            boolean mayVersionHostList() {
                return true;
            }
        });
    }

    @Test
    void readingWithoutARoundOfHeartbeatsIsCaught() {
        assertCaught(with((machine, clock) -> new OperatorCalls(machine, clock) {
            @Override
            void confirmRead(RaftDriver driver, Consumer<Boolean> callback) {
                callback.accept(true);
            }
        }));
    }
}
