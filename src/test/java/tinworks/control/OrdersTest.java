package tinworks.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import tinworks.channel.Signal.CallAnswer;
import tinworks.control.CoreNetwork.Node;

/** Orders that race, repeat and lose their answers while machines are cut off, frozen and killed. */
class OrdersTest {
    private static List<CallAnswer> replace(Node node, long base, byte[] body) {
        List<CallAnswer> answers = new ArrayList<>();
        node.work(1, () -> node.machine.calls().replace(List.of(Long.toString(base)), body, answers::add));
        return answers;
    }

    private static int status(List<CallAnswer> answers) {
        assertEquals(1, answers.size());
        return answers.get(0).status();
    }

    @Test
    void aRepeatIsConfirmedUnderItsOwnNumberAlsoWhenALaterOneIsInForce() {
        CoreNetwork network = new CoreNetwork(1, 3, CoreMachine::new);
        network.ready(3_000);
        byte[] first = Operators.configuration(2, "a");
        for (Node node : network.nodes) {
            List<CallAnswer> answers = replace(node, 0, first);
            network.run(network.now + 200);
            assertEquals(200, status(answers));
            assertEquals(2, Operators.rev(answers.get(0)));
        }
        List<CallAnswer> next = replace(network.nodes.get(0), 2, Operators.configuration(9, "b"));
        network.run(network.now + 200);
        assertEquals(9, Operators.rev(next.get(0)));
        for (Node node : network.nodes) {
            List<CallAnswer> again = replace(node, 0, first);
            network.run(network.now + 200);
            assertEquals(200, status(again));
            assertEquals(2, Operators.rev(again.get(0)), "another's number");
        }
    }
}
