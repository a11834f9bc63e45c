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

/** What a core machine says of itself when it is cut off or frozen, or hears from one that was. */
class CoreMachineTest {
    private static final int LEASE_MILLIS = 450;

    private final CoreNetwork network = new CoreNetwork(5, 3, CoreMachine::new);

    /** One that dialled the machine and records what that says. */
    private static final class Caller implements PeerConnection {
        final List<PeerMessage> heard = new ArrayList<>();
        private final Hello peer;

        Caller(NodeRole part, long id) {
            peer = new Hello(part, id, "x:1", "x", "z");
        }

        Announce last() {
            return (Announce) heard.stream()
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
        public void send(PeerMessage signal) {
            heard.add(signal);
        }

        @Override
        public void close(String why) {
            throw new AssertionError(why);
        }
    }

    private static HostList.Host host(String id) {
        return new HostList.Host(id, "s", "10.0.0.1:80", "z", 3, false, 0);
    }

    private Node settled() {
        Node leader = network.awaitLeader(3_000);
        network.runUntil(network.nowMillis + 1_000);
        network.nodes.forEach(
                node -> assertTrue(node.machine.isFresh(), node.hello().node()));
        assertTrue(leader.machine.holdsLeaderLease());
        return leader;
    }

    @Test
    void aLeaderThatIsCutOffNeitherLeadsNorIsFreshOnceItsLeaseIsOver() {
        Node leader = settled();
        Caller edge = new Caller(NodeRole.EDGE, 77);
        leader.machine.opened(edge);
        assertTrue(edge.last().fresh() && edge.last().leader());
        network.isolate(leader);
        network.runUntil(network.nowMillis + LEASE_MILLIS);
        assertTrue(leader.raft().hasCommittedInCurrentTerm(), "it doesn't know yet that another may lead");
        assertFalse(leader.machine.holdsLeaderLease() || leader.machine.isFresh());
        Caller late = new Caller(NodeRole.EDGE, 78);
        leader.machine.opened(late);
        assertFalse(late.last().fresh() || late.last().leader());
        network.runUntil(network.nowMillis + 3_000);
        assertFalse(leader.machine.isFresh());
        assertFalse(edge.last().fresh());
        assertEquals(2, network.nodes.stream().filter(n -> n.machine.isFresh()).count(), "the majority's side");
    }

    @Test
    void aFollowerThatIsCutOffIsNotFresh() {
        Node leader = settled();
        Node follower =
                network.nodes.stream().filter(n -> n != leader).findFirst().orElseThrow();
        network.isolate(follower);
        network.runUntil(network.nowMillis + LEASE_MILLIS);
        assertFalse(follower.machine.isFresh());
        assertTrue(leader.machine.holdsLeaderLease());
    }

    @Test
    void aLeaderThatThawsSaysNothingOfWhatItWas() {
        Node leader = settled();
        Caller edge = new Caller(NodeRole.EDGE, 77);
        leader.machine.opened(edge);
        leader.freeze();
        // What waits for it when it thaws, before any message of a later term.
        leader.scheduleInProcess(1, () -> leader.machine.hostsFetched(List.of(host("i-9"))));
        leader.scheduleInProcess(1, leader.machine::stateChanged);
        network.runUntil(network.nowMillis + 5_000);
        Node next = network.leader();
        assertTrue(next != null && next != leader && next.machine.holdsLeaderLease());
        int heard = edge.heard.size();
        leader.thaw();
        edge.heard.subList(heard, edge.heard.size()).stream()
                .filter(Announce.class::isInstance)
                .map(Announce.class::cast)
                .forEach(s -> assertFalse(s.leader() || s.fresh(), s.toString()));
        assertTrue(leader.machine.hostList().version().isSameAs(HostListVersion.NONE), "a list from before");
        network.runUntil(network.nowMillis + 1_000);
        assertFalse(leader.machine.holdsLeaderLease());
        assertTrue(leader.machine.hostList().version().isSameAs(HostListVersion.NONE));
    }

    @Test
    void aListThatIsFetchedWithoutALeaseIsToldOnceThatIsThereAgain() {
        Node leader = settled();
        leader.machine.hostsFetched(List.of(host("i-1")));
        HostListVersion first = leader.machine.hostList().version();
        assertTrue(first.isSameAs(new HostListVersion(leader.raft().term(), 1)));
        network.isolate(leader);
        network.runUntil(network.nowMillis + LEASE_MILLIS + 50);
        leader.machine.hostsFetched(List.of(host("i-2")));
        assertTrue(leader.machine.hostList().version().isSameAs(first));
        network.heal();
        network.runUntil(network.nowMillis + 300);
        assertTrue(leader.machine.holdsLeaderLease(), "nobody else had the time to stand");
        assertTrue(leader.machine.hostList().version().isSameAs(new HostListVersion(first.term(), 2)));
    }

    @Test
    void aLeaderThatIsCutOffRefusesNothing() {
        Node leader = settled();
        List<CallResponse> answers = new ArrayList<>();
        leader.machine.calls().replace(List.of("0"), Operators.configurationJson(3, "a"), answers::add);
        network.runUntil(network.nowMillis + 100);
        leader.machine.calls().replace(List.of("0"), Operators.configurationJson(4, "b"), answers::add);
        assertEquals(
                List.of(200, 412), answers.stream().map(CallResponse::status).toList());
        network.isolate(leader);
        network.runUntil(network.nowMillis + LEASE_MILLIS);
        leader.machine.calls().replace(List.of("0"), Operators.configurationJson(5, "c"), answers::add);
        leader.machine.calls().replace(List.of("0"), Operators.configurationJson(3, "a"), answers::add);
        leader.machine.calls().show(answers::add);
        network.runUntil(network.nowMillis + 1_000);
        assertEquals(
                List.of(200, 412, 200, 503, 503),
                answers.stream().map(CallResponse::status).toList(),
                "what was taken is confirmed, nothing is refused, nothing is shown");
    }

    @Test
    void anAnswerCountsOnlyFromWhomTheCallWasPassedTo() {
        assertEquals(List.of(), answersFromAnother(CoreMachine::new));
        assertEquals(
                1,
                answersFromAnother((self, stored, disk, around) -> new CoreMachine(
                                self, stored, disk, around, (machine, clock) -> new OperatorCalls(machine, clock) {
                                    @Override
                                    boolean isExpectedResponder(PeerConnection passedTo, PeerConnection from) {
                                        return true;
                                    }
                                }))
                        .size(),
                "matched by the number alone");
    }

    /** What a caller is told when somebody else answers a call of the same number. */
    private static List<CallResponse> answersFromAnother(CoreNetwork.CoreMachineFactory maker) {
        CoreNetwork network = new CoreNetwork(6, 3, maker);
        Node leader = network.awaitLeader(3_000);
        network.runUntil(network.nowMillis + 500);
        Node asked = network.nodes.stream().filter(n -> n != leader).findFirst().orElseThrow();
        List<CallResponse> answers = new ArrayList<>();
        leader.freeze();
        asked.machine.calls().replace(List.of("0"), Operators.configurationJson(3, "a"), answers::add);
        asked.machine.received(new Caller(NodeRole.CORE, 9), new CallResponse(1, OperatorCalls.OK, new byte[0]));
        return answers;
    }

    @Test
    void aMachineThatDialledAgainIsReachedByItsLatestConnection() {
        Node node = network.nodes.get(0);
        Caller earlier = new Caller(NodeRole.CORE, 55);
        Caller latest = new Caller(NodeRole.CORE, 55);
        node.machine.opened(earlier);
        node.machine.opened(latest);
        node.machine.send(55, new Message.TimeoutNow(1));
        assertFalse(earlier.heard.stream().anyMatch(PeerMessage.RaftMessage.class::isInstance));
        assertTrue(latest.heard.stream().anyMatch(PeerMessage.RaftMessage.class::isInstance));
    }

    @Test
    void theCoreMachinesAreThoseThatTheLatestLeaderTold() {
        Node node = network.nodes.get(0);
        Caller later = new Caller(NodeRole.CORE, 55);
        Caller old = new Caller(NodeRole.CORE, 56);
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
