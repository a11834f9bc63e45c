package tinworks.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import tinworks.channel.HostList.Host;

/** A host that was once draining stays so, whatever an older list shows. */
class DrainedHostsTest {
    private final DrainedHosts drained = new DrainedHosts();

    private static Host host(String id, boolean draining) {
        return new Host(id, "s", "10.0.0.1:80", "z", 3, draining, 0);
    }

    @Test
    void drainingHostStaysDrainingDespiteAnOlderList() {
        assertFalse(drained.withDrainingKept(host("i-1", false)).draining());
        assertTrue(drained.withDrainingKept(host("i-1", true)).draining());
        assertTrue(
                drained.withDrainingKept(host("i-1", false)).draining(),
                "listed by a node that had crashed and holds an older list");
        assertEquals(host("i-2", false), drained.withDrainingKept(host("i-2", false)));
    }

    @Test
    void onlyTheLatestHostsAreRemembered() {
        for (int i = 0; i < 10_000; i++) {
            drained.withDrainingKept(host("i-" + i, true));
        }
        assertFalse(drained.withDrainingKept(host("i-0", false)).draining());
        assertTrue(drained.withDrainingKept(host("i-9999", false)).draining());
    }
}
