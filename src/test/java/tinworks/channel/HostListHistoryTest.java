package tinworks.channel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import tinworks.channel.HostList.Host;

/** Host list changes lead from one version to a later one, and stay small. */
class HostListHistoryTest {
    private static Host host(int number, boolean draining) {
        return new Host(
                String.format("i-%08x", number),
                "slot-lookup",
                "10.128.0." + number % 250 + ":8080",
                "shah-alam",
                3,
                draining,
                0);
    }

    private static HostList list(long term, long count, int from, int to) {
        List<Host> hosts = new ArrayList<>();
        for (int i = from; i < to; i++) {
            hosts.add(host(i, false));
        }
        return new HostList(new HostListVersion(term, count), hosts);
    }

    @Test
    void changesLeadFromAnyOlderListToTheNewest() {
        SplittableRandom random = new SplittableRandom(5);
        HostListHistory history = new HostListHistory();
        List<HostList> all = new ArrayList<>();
        for (int i = 1; i <= 60; i++) {
            List<Host> hosts = new ArrayList<>();
            for (int n = 0; n < 40; n++) {
                if (random.nextInt(4) > 0) {
                    hosts.add(host(n, random.nextInt(3) == 0));
                }
            }
            all.add(new HostList(new HostListVersion(1 + i / 20, i), hosts));
            history.advance(all.get(all.size() - 1));
        }
        for (HostList held : all.subList(0, all.size() - 1)) {
            HostListChange change = assertInstanceOf(PeerMessage.HostsChanged.class, history.since(held.version()))
                    .change();
            assertEquals(history.newest(), change.applyTo(held));
        }
    }

    @Test
    void unknownVersionGetsTheWholeList() {
        HostListHistory history = new HostListHistory();
        for (int i = 1; i <= 100; i++) {
            history.advance(list(1, i, 0, i));
        }
        assertEquals(new PeerMessage.Hosts(history.newest()), history.since(HostListVersion.NONE));
        assertEquals(new PeerMessage.Hosts(history.newest()), history.since(new HostListVersion(1, 1)));
        assertEquals(new PeerMessage.Hosts(history.newest()), history.since(new HostListVersion(9, 9)));
        assertThrows(
                IllegalArgumentException.class,
                () -> HostListChange.between(list(1, 1, 0, 2), list(1, 2, 0, 3)).applyTo(list(1, 3, 0, 2)));
    }

    /**
     * A change of one host has the size of that host for any number of hosts; an Announce is as small for many edges.
     */
    @Test
    void messageSizesDoNotGrowWithHostsOrEdges() {
        for (int hosts : new int[] {30, 250, 2_000}) {
            HostListHistory history = new HostListHistory();
            HostList first = list(1, 1, 0, hosts);
            history.advance(first);
            List<Host> changed = new ArrayList<>(first.hosts());
            changed.set(7, host(7, true));
            history.advance(new HostList(new HostListVersion(1, 2), changed));
            int bytes = PeerMessageCodec.write(history.since(first.version())).remaining();
            assertTrue(bytes < 200, bytes + " bytes for one changed host of " + hosts);
        }
        for (int edges : new int[] {4, 16, 64, 256}) {
            int bytes = PeerMessageCodec.write(new PeerMessage.Announce(
                            7,
                            9,
                            new HostListVersion(3, 4),
                            true,
                            true,
                            List.of(
                                    "10.0.0.1:7540",
                                    "10.1.0.1:7540",
                                    "10.2.0.1:7540",
                                    "10.3.0.1:7540",
                                    "10.4.0.1:7540"),
                            edges))
                    .remaining();
            assertTrue(bytes < 150, bytes + " bytes at " + edges + " edges");
        }
    }
}
