package tinworks.channel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import tinworks.channel.PeerMessage.Hello;
import tinworks.channel.PeerMessage.Leave;
import tinworks.channel.PeerMessage.NodeRole;
import tinworks.simulation.Machine;
import tinworks.simulation.Simulator;

/** The simulated network removes a bandwidth limit also for frames that are already in flight. */
class SimulatedNetworkTest {
    private static final int THROTTLED_BYTES_PER_MILLI = 1;
    private static final int MESSAGES = 1_000;

    private final Simulator world = new Simulator(1);
    private final SimulatedNetwork network = new SimulatedNetwork(world);
    private final Map<String, Machine> machines = new HashMap<>();
    private final Machine one = machine("10.0.0.1:1");
    private final Machine other = machine("10.0.0.2:1");
    private PeerConnection outbound;
    private int received;

    private Machine machine(String address) {
        Machine machine = new Machine(world, address, () -> {});
        machine.start();
        machines.put(address, machine);
        return machine;
    }

    private final class CountingListener implements PeerConnection.Listener {
        @Override
        public void opened(PeerConnection connection) {
            outbound = connection.isOutbound() ? connection : outbound;
        }

        @Override
        public void received(PeerConnection connection, PeerMessage message) {
            received++;
        }

        @Override
        public void closed(PeerConnection connection) {
            // Not needed here.
        }

        @Override
        public void log(String line) {
            // Not needed here.
        }
    }

    private static Hello hello(Machine machine, long id) {
        return new Hello(NodeRole.CORE, id, machine.address(), "m" + id, "z");
    }

    /** Frames sent while a link was throttled are delivered at the current rate, not at the rate of their sending. */
    @Test
    void removingAThrottleAlsoSpeedsUpFramesInFlight() {
        network.listen(other, hello(other, 2), new CountingListener());
        network.connectionManager(one, machines, hello(one, 1), new CountingListener())
                .setAddresses(Set.of(other.address()));
        world.runUntil(1_000);
        network.throttle(other, THROTTLED_BYTES_PER_MILLI);
        Collections.nCopies(MESSAGES, new Leave(1)).forEach(outbound::send);
        world.runUntil(1_500);
        int before = received;
        assertTrue(before < MESSAGES / 5, before + " were delivered over the throttled link");
        network.unthrottle(other);
        world.runUntil(1_520);
        assertEquals(MESSAGES, received);
    }
}
