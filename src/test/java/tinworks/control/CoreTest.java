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

/** How a core machine finds out who it is, and what it does with a damaged store. */
class CoreTest {
    private static final long LARGEST_FIRST_ID = 1L + 0xffff_ffffL;

    @Test
    void theIdOfAnEmptyMachineIsPositiveAndAboveAllOfAFirstStart() {
        for (int i = 0; i < 200; i++) {
            long id = Core.newId("10.1.0." + i + ":7540");
            assertTrue(id > LARGEST_FIRST_ID, Long.toString(id));
        }
    }

    private static BootSettings settings(int machine, boolean bootstrap) {
        return new BootSettings(
                "core-" + machine,
                "z",
                null,
                null,
                null,
                new InetSocketAddress("10.1.0." + machine, 7540),
                List.of("10.1.0.1:7540", "10.1.0.2:7540", "10.1.0.3:7540"),
                bootstrap,
                800,
                null,
                1,
                6_000,
                null);
    }

    /** Starts a machine on its disk; who it is, or 0 where the disk gave out. */
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

    /** Power goes on all three at every operation of a first start, and they come back with or without bootstrap. */
    @Test
    void aFirstStartThatLostItsPowerFoundsTheSameSystemOrNone() throws Exception {
        long first = start(new SimulatedDisk(0), settings(1, true));
        int founded = 0;
        for (int after = 0; after < 60; after++) {
            SimulatedDisk disk = new SimulatedDisk(after);
            disk.failAfter(after);
            long before = start(disk, settings(1, true));
            disk.powerLoss();
            boolean bootstrap = after % 2 == 0;
            long id = start(disk, settings(1, bootstrap));
            assertTrue(before == 0 || id == before, "an identity that was told of is gone after operation " + after);
            assertTrue(
                    id == first || (!bootstrap && voters(disk).isEmpty() && id > LARGEST_FIRST_ID),
                    "operation " + after);
            assertEquals(id == first ? 3 : 0, voters(disk).size());
            founded += before == first ? 1 : 0;
        }
        assertTrue(founded > 0 && founded < 60, founded + " founded before power went");
    }

    /**
     * It may have voted under its old id, so it may not take it again: with most voters gone so, there is no leader.
     */
    @Test
    void aMachineWhoseStoreWasSetAsideIsNoVoterWhateverItsSettingsSay() throws Exception {
        for (int machine = 1; machine <= 3; machine++) {
            SimulatedDisk disk = new SimulatedDisk(machine);
            long first = start(disk, settings(machine, true));
            disk.crash();
            byte[] bytes = disk.read("state.mv");
            Arrays.fill(bytes, 0, bytes.length, (byte) 0x55);
            disk.put("state.mv", bytes);
            long id = start(disk, settings(machine, true));
            assertTrue(id != first && id > LARGEST_FIRST_ID, Long.toString(id));
            assertEquals(List.of(), voters(disk));
            disk.powerLoss();
            assertEquals(id, start(disk, settings(machine, true)), "who it became is gone with the power");
            assertEquals(
                    1,
                    disk.files().stream()
                            .filter(file -> file.startsWith("damaged-"))
                            .count());
        }
    }

    /** Also when power goes anywhere between setting it aside and beginning anew. */
    @Test
    void aDamagedVoterNeverTakesItsOldIdThroughAnyLossOfPower() throws Exception {
        for (int seed = 0; seed < 400; seed++) {
            SimulatedDisk disk = new SimulatedDisk(seed);
            disk.put("state.mv", new byte[20_000]);
            int after = seed % 20;
            disk.failAfter(after);
            start(disk, settings(1, true));
            disk.powerLoss();
            assertTrue(start(disk, settings(1, true)) > LARGEST_FIRST_ID, "operation " + after + ", seed " + seed);
        }
    }

    /** A full disk takes no write, but what is on it can be read: it isn't damage. */
    @Test
    void aFullDiskIsNotADamagedStore() throws Exception {
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
