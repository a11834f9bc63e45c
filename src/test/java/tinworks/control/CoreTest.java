package tinworks.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import tinworks.node.BootSettings;
import tinworks.raft.Member;
import tinworks.store.CoreStore;
import tinworks.store.SimulatedDisk;

/** How a core node determines its identity, and what it does with a corrupt store. */
class CoreTest {
    private static final long MAX_BOOTSTRAP_ID = 1L + 0xffff_ffffL;

    @Test
    void theIdOfAnEmptyNodeIsAboveAllBootstrapIds() {
        for (int i = 0; i < 200; i++) {
            long id = Core.newId("10.1.0." + i + ":7540");
            assertTrue(id > MAX_BOOTSTRAP_ID, Long.toString(id));
        }
    }

    private static BootSettings settings(int node, boolean bootstrap) {
        return new BootSettings(
                "core-" + node,
                "z",
                null,
                null,
                null,
                new InetSocketAddress("10.1.0." + node, 7540),
                List.of("10.1.0.1:7540", "10.1.0.2:7540", "10.1.0.3:7540"),
                bootstrap,
                800,
                null,
                1,
                6_000,
                null);
    }

    /** Starts a node on its disk. Returns its id, or 0 if the disk failed. */
    private static long start(SimulatedDisk disk, BootSettings settings) throws CoreStore.CorruptStoreException {
        try (CoreStore store = Core.open(disk.directory())) {
            return Core.identity(store, settings);
        } catch (IOException e) {
            return 0;
        }
    }

    private static List<Member> voters(SimulatedDisk disk) throws Exception {
        try (CoreStore store = CoreStore.open(disk.directory())) {
            return store.load().snapshot().members();
        }
    }

    /** Power is lost at every disk operation of a bootstrap, and the node restarts with or without bootstrap. */
    @Test
    void aBootstrapInterruptedByPowerLossFoundsTheSameSystemOrNone() throws Exception {
        long first = start(new SimulatedDisk(0), settings(1, true));
        int founded = 0;
        for (int after = 0; after < 60; after++) {
            SimulatedDisk disk = new SimulatedDisk(after);
            disk.failAfter(after);
            long idBefore = start(disk, settings(1, true));
            disk.powerLoss();
            boolean bootstrap = after % 2 == 0;
            long id = start(disk, settings(1, bootstrap));
            assertTrue(
                    idBefore == 0 || id == idBefore, "an identity that was returned is lost after operation " + after);
            assertTrue(
                    id == first || (!bootstrap && voters(disk).isEmpty() && id > MAX_BOOTSTRAP_ID),
                    "operation " + after);
            assertEquals(id == first ? 3 : 0, voters(disk).size());
            founded += idBefore == first ? 1 : 0;
        }
        assertTrue(founded > 0 && founded < 60, founded + " founded before the power loss");
    }

    /**
     * The node may have voted under its old id, so it must not take it again. If most voters lose their stores like
     * this, there is no leader.
     */
    @Test
    void aNodeWhoseStoreWasQuarantinedIsNotAVoterWhateverItsSettings() throws Exception {
        for (int node = 1; node <= 3; node++) {
            SimulatedDisk disk = new SimulatedDisk(node);
            long first = start(disk, settings(node, true));
            disk.crash();
            byte[] bytes = disk.read("state.mv");
            Arrays.fill(bytes, 0, bytes.length, (byte) 0x55);
            disk.put("state.mv", bytes);
            long id = start(disk, settings(node, true));
            assertTrue(id != first && id > MAX_BOOTSTRAP_ID, Long.toString(id));
            assertEquals(List.of(), voters(disk));
            disk.powerLoss();
            assertEquals(id, start(disk, settings(node, true)), "the new identity did not survive the power loss");
            assertEquals(
                    1,
                    disk.files().stream()
                            .filter(file -> file.startsWith("damaged-"))
                            .count());
        }
    }

    /** Also if power is lost at any point between the quarantine and the start with an empty store. */
    @Test
    void aVoterWithACorruptStoreNeverTakesItsOldIdAfterPowerLoss() throws Exception {
        for (int seed = 0; seed < 400; seed++) {
            SimulatedDisk disk = new SimulatedDisk(seed);
            disk.put("state.mv", new byte[20_000]);
            int after = seed % 20;
            disk.failAfter(after);
            start(disk, settings(1, true));
            disk.powerLoss();
            assertTrue(start(disk, settings(1, true)) > MAX_BOOTSTRAP_ID, "operation " + after + ", seed " + seed);
        }
    }

    /** A full disk accepts no writes but can be read, so its store must not count as corrupt. */
    @Test
    void aFullDiskIsNotACorruptStore() throws Exception {
        SimulatedDisk disk = new SimulatedDisk(5);
        disk.setFull(true);
        assertEquals(0, start(disk, settings(1, true)));
        disk.setFull(false);
        long id = start(disk, settings(1, true));
        disk.crash();
        disk.setFull(true);
        assertEquals(id, start(disk, settings(1, true)));
        assertEquals(List.of("state.mv"), disk.files());
    }
}
