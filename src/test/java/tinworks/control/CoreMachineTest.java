package tinworks.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import tinworks.channel.Conversation;
import tinworks.channel.Signal;
import tinworks.channel.Signal.CallAnswer;
import tinworks.channel.Signal.Hello;
import tinworks.channel.Signal.Part;
import tinworks.control.CoreNetwork.Node;
import tinworks.raft.Message;

/** Whom a core machine speaks to and hears. */
class CoreMachineTest {
    private final CoreNetwork network = new CoreNetwork(5, 3, CoreMachine::new);

    /** One that dialled the machine and records what that says. */
    private static final class Caller implements Conversation {
        final List<Signal> heard = new ArrayList<>();
        private final Hello peer;

        Caller(Part part, long id) {
            peer = new Hello(part, id, "x:1", "x", "z");
        }

        @Override
        public Hello peer() {
            return peer;
        }

        @Override
        public boolean dialled() {
            return false;
        }

        @Override
        public boolean isOpen() {
            return true;
        }

        @Override
        public void send(Signal signal) {
            heard.add(signal);
        }

        @Override
        public void close(String why) {
            throw new AssertionError(why);
        }
    }

    @Test
    void anAnswerCountsOnlyFromWhomTheCallWasPassedTo() {
        assertEquals(List.of(), answersFromAnother(CoreMachine::new));
        assertEquals(1, answersFromAnother((self, stored, disk, around) -> new CoreMachine(self, stored, disk, around,
                (machine, clock) -> new OperatorCalls(machine, clock) {
                    @Override
                    boolean isAsked(Conversation passedTo, Conversation from) {
                        return true;
                    }
                })).size(), "matched by the number alone");
    }

    /** What a caller is told when somebody else answers a call of the same number. */
    private static List<CallAnswer> answersFromAnother(CoreNetwork.Maker maker) {
        CoreNetwork network = new CoreNetwork(6, 3, maker);
        Node leader = network.ready(3_000);
        network.run(network.now + 500);
        Node asked = network.nodes.stream().filter(n -> n != leader).findFirst().orElseThrow();
        List<CallAnswer> answers = new ArrayList<>();
        leader.freeze();
        asked.machine.calls().replace(List.of("0"), Operators.configuration(3, "a"), answers::add);
        asked.machine.received(new Caller(Part.CORE, 9), new CallAnswer(1, OperatorCalls.OK, new byte[0]));
        return answers;
    }

    @Test
    void aMachineThatDialledAgainIsReachedByItsLatestConnection() {
        Node node = network.nodes.get(0);
        Caller earlier = new Caller(Part.CORE, 55);
        Caller latest = new Caller(Part.CORE, 55);
        node.machine.opened(earlier);
        node.machine.opened(latest);
        node.machine.send(55, new Message.HandOver(1));
        assertFalse(earlier.heard.stream().anyMatch(Signal.Agreement.class::isInstance));
        assertTrue(latest.heard.stream().anyMatch(Signal.Agreement.class::isInstance));
    }
}
