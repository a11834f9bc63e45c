package tinworks.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import tinworks.channel.HostList;
import tinworks.channel.HostListVersion;
import tinworks.channel.PeerConnection;
import tinworks.channel.PeerMessage;
import tinworks.channel.PeerMessage.Announce;
import tinworks.channel.PeerMessage.CallResponse;
import tinworks.channel.PeerMessage.Hello;
import tinworks.channel.PeerMessage.NodeRole;
import tinworks.control.CoreNetwork.Node;
import tinworks.raft.Message;

/** What a core node announces while it is partitioned or frozen, and how it treats messages from such a node. */
class CoreMachineTest {
    private static final int LEASE_MILLIS = 450;

    private final CoreNetwork network = new CoreNetwork(5, 3, CoreMachine::new);

    /** A peer with an inbound connection that records the messages it receives. */
    private static final class RecordingPeer implements PeerConnection {
        final List<PeerMessage> messages = new ArrayList<>();
        private final Hello peer;

        RecordingPeer(NodeRole part, long id) {
            peer = new Hello(part, id, "x:1", "x", "z");
        }

        Announce last() {
            return (Announce) messages.stream()
                    .filter(Announce.class::isInstance)
                    .reduce((a, b) -> b)
                    .orElseThrow();
        }

        @Override
        public Hello peer() {
            return peer;
        }

        @Override
        public boolean isOutbound() {
            return false;
        }

        @Override
        public boolean isOpen() {
            return true;
        }

        @Override
        public void send(PeerMessage message) {
            messages.add(message);
        }

        @Override
        public void close(String why) {
            throw new AssertionError(why);
        }
    }

    private static HostList.Host host(String id) {
        return new HostList.Host(id, "s", "10.0.0.1:80", "z", 3, false, 0);
    }

    private Node stableLeader() {
        Node leader = network.awaitLeader(3_000);
        network.runUntil(network.nowMillis + 1_000);
        network.nodes.forEach(
                node -> assertTrue(node.machine.isFresh(), node.hello().node()));
        assertTrue(leader.machine.holdsLeaderLease());
        return leader;
    }

    @Test
    void aPartitionedLeaderIsNeitherLeaderNorFreshAfterItsLease() {
        Node leader = stableLeader();
        RecordingPeer edge = new RecordingPeer(NodeRole.EDGE, 77);
        leader.machine.opened(edge);
        assertTrue(edge.last().fresh() && edge.last().leader());
        network.isolate(leader);
        network.runUntil(network.nowMillis + LEASE_MILLIS);
        assertTrue(leader.raft().hasCommittedInCurrentTerm(), "it does not know yet that another may lead");
        assertFalse(leader.machine.holdsLeaderLease() || leader.machine.isFresh());
        RecordingPeer late = new RecordingPeer(NodeRole.EDGE, 78);
        leader.machine.opened(late);
        assertFalse(late.last().fresh() || late.last().leader());
        network.runUntil(network.nowMillis + 3_000);
        assertFalse(leader.machine.isFresh());
        assertFalse(edge.last().fresh());
        assertEquals(2, network.nodes.stream().filter(n -> n.machine.isFresh()).count(), "the majority's side");
    }

    @Test
    void aPartitionedFollowerIsNotFresh() {
        Node leader = stableLeader();
        Node follower =
                network.nodes.stream().filter(n -> n != leader).findFirst().orElseThrow();
        network.isolate(follower);
        network.runUntil(network.nowMillis + LEASE_MILLIS);
        assertFalse(follower.machine.isFresh());
        assertTrue(leader.machine.holdsLeaderLease());
    }

    @Test
    void aLeaderThatWasFrozenDoesNotAnnounceItsOldState() {
        Node leader = stableLeader();
        RecordingPeer edge = new RecordingPeer(NodeRole.EDGE, 77);
        leader.machine.opened(edge);
        leader.freeze();
        // Events that it processes when it resumes, before any message of a later term.
        leader.scheduleInProcess(1, () -> leader.machine.hostsFetched(List.of(host("i-9"))));
        leader.scheduleInProcess(1, leader.machine::stateChanged);
        network.runUntil(network.nowMillis + 5_000);
        Node next = network.leader();
        assertTrue(next != null && next != leader && next.machine.holdsLeaderLease());
        int messagesBefore = edge.messages.size();
        leader.thaw();
        edge.messages.subList(messagesBefore, edge.messages.size()).stream()
                .filter(Announce.class::isInstance)
                .map(Announce.class::cast)
                .forEach(s -> assertFalse(s.leader() || s.fresh(), s.toString()));
        assertTrue(
                leader.machine.hostList().version().isSameAs(HostListVersion.NONE),
                "a host list fetched before the freeze");
        network.runUntil(network.nowMillis + 1_000);
        assertFalse(leader.machine.holdsLeaderLease());
        assertTrue(leader.machine.hostList().version().isSameAs(HostListVersion.NONE));
    }

    @Test
    void aHostListFetchedWithoutALeaseIsPublishedOnceTheLeaseIsRenewed() {
        Node leader = stableLeader();
        leader.machine.hostsFetched(List.of(host("i-1")));
        HostListVersion first = leader.machine.hostList().version();
        assertTrue(first.isSameAs(new HostListVersion(leader.raft().term(), 1)));
        network.isolate(leader);
        network.runUntil(network.nowMillis + LEASE_MILLIS + 50);
        leader.machine.hostsFetched(List.of(host("i-2")));
        assertTrue(leader.machine.hostList().version().isSameAs(first));
        network.heal();
        network.runUntil(network.nowMillis + 300);
        assertTrue(leader.machine.holdsLeaderLease(), "no other node had time to become a candidate");
        assertTrue(leader.machine.hostList().version().isSameAs(new HostListVersion(first.term(), 2)));
    }

    @Test
    void aPartitionedLeaderRejectsNothing() {
        Node leader = stableLeader();
        List<CallResponse> responses = new ArrayList<>();
        leader.machine.calls().replace(List.of("0"), Operators.configurationJson(3, "a"), responses::add);
        network.runUntil(network.nowMillis + 100);
        leader.machine.calls().replace(List.of("0"), Operators.configurationJson(4, "b"), responses::add);
        assertEquals(
                List.of(200, 412), responses.stream().map(CallResponse::status).toList());
        network.isolate(leader);
        network.runUntil(network.nowMillis + LEASE_MILLIS);
        leader.machine.calls().replace(List.of("0"), Operators.configurationJson(5, "c"), responses::add);
        leader.machine.calls().replace(List.of("0"), Operators.configurationJson(3, "a"), responses::add);
        leader.machine.calls().show(responses::add);
        network.runUntil(network.nowMillis + 1_000);
        assertEquals(
                List.of(200, 412, 200, 503, 503),
                responses.stream().map(CallResponse::status).toList(),
                "an accepted change is acknowledged, nothing is rejected or shown");
    }

    @Test
    void aResponseCountsOnlyFromTheNodeThatTheCallWasForwardedTo() {
        assertEquals(List.of(), responsesFromAnother(CoreMachine::new));
        assertEquals(
                1,
                responsesFromAnother((self, stored, disk, environment) -> new CoreMachine(
                                self, stored, disk, environment, (machine, clock) -> new OperatorCalls(machine, clock) {
                                    @Override
                                    boolean isExpectedResponder(PeerConnection passedTo, PeerConnection from) {
                                        return true;
                                    }
                                }))
                        .size(),
                "responses matched by number alone");
    }

    /** The responses that a caller gets when another node responds to a call with the same number. */
    private static List<CallResponse> responsesFromAnother(CoreNetwork.CoreMachineFactory factory) {
        CoreNetwork network = new CoreNetwork(6, 3, factory);
        Node leader = network.awaitLeader(3_000);
        network.runUntil(network.nowMillis + 500);
        Node forwarder =
                network.nodes.stream().filter(n -> n != leader).findFirst().orElseThrow();
        List<CallResponse> responses = new ArrayList<>();
        leader.freeze();
        forwarder.machine.calls().replace(List.of("0"), Operators.configurationJson(3, "a"), responses::add);
        forwarder.machine.received(
                new RecordingPeer(NodeRole.CORE, 9), new CallResponse(1, OperatorCalls.OK, new byte[0]));
        return responses;
    }

    @Test
    void messagesToANodeThatReconnectedUseItsLatestConnection() {
        Node node = network.nodes.get(0);
        RecordingPeer earlier = new RecordingPeer(NodeRole.CORE, 55);
        RecordingPeer latest = new RecordingPeer(NodeRole.CORE, 55);
        node.machine.opened(earlier);
        node.machine.opened(latest);
        node.machine.send(55, new Message.TimeoutNow(1));
        assertFalse(earlier.messages.stream().anyMatch(PeerMessage.RaftMessage.class::isInstance));
        assertTrue(latest.messages.stream().anyMatch(PeerMessage.RaftMessage.class::isInstance));
    }

    @Test
    void theCoreNodesAreThoseThatTheLatestLeaderAnnounced() {
        Node node = network.nodes.get(0);
        RecordingPeer later = new RecordingPeer(NodeRole.CORE, 55);
        RecordingPeer old = new RecordingPeer(NodeRole.CORE, 56);
        node.machine.opened(later);
        node.machine.opened(old);
        node.machine.received(later, new Announce(6, 0, HostListVersion.NONE, true, true, List.of("n:1"), 0));
        node.machine.received(old, new Announce(5, 0, HostListVersion.NONE, true, true, List.of("o:1"), 0));
        node.machine.opened(later);
        assertTrue(
                later.last().coreAddresses().contains("n:1")
                        && !later.last().coreAddresses().contains("o:1"),
                later.last().toString());
    }
}
