package tinworks.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.h2.store.fs.FilePath;
import org.junit.jupiter.api.Test;
import tinworks.raft.Entry;
import tinworks.raft.HardState;
import tinworks.raft.Output;
import tinworks.raft.Snapshot;

/** The simulated disk keeps and loses the data that a real disk may keep and lose. */
class SimulatedDiskTest {
    private static final int SEEDS = 40;
    private static final int RESTARTS = 6;
    private static final int WRITES_PER_RESTART = 20;

    private static FileChannel open(SimulatedDisk disk, String name) throws IOException {
        return FilePath.get(disk.directory().path(name)).open("rw");
    }

    private static void write(FileChannel file, int at, String text) throws IOException {
        file.write(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), at);
    }

    private static String contentsOf(SimulatedDisk disk, String name) {
        return disk.files().contains(name)
                ? new String(disk.read(name), StandardCharsets.UTF_8).replace('\0', '.')
                : "none";
    }

    @Test
    void powerLossKeepsSyncedBytesAndAnyPartOfTheRest() throws IOException {
        Set<String> seen = new TreeSet<>();
        for (int seed = 0; seed < 400; seed++) {
            SimulatedDisk disk = new SimulatedDisk(seed);
            FileChannel file = open(disk, "f");
            write(file, 0, "ab");
            file.force(true);
            disk.directory().sync();
            write(file, 2, "cd");
            write(file, 4, "ef");
            file.truncate(5);
            disk.powerLoss();
            seen.add(contentsOf(disk, "f"));
            assertThrows(IOException.class, () -> write(file, 0, "zz"), "a terminated process writes");
        }
        assertTrue(seen.containsAll(Set.of("ab", "abcd", "abcde", "abcdef", "ab..ef", "abc")), seen.toString());
        assertTrue(seen.stream().allMatch(contents -> contents.startsWith("ab")), seen.toString());
    }

    @Test
    void unsyncedDirectoryEntriesAreKeptOrLostIndependently() throws IOException {
        Set<String> seen = new TreeSet<>();
        for (int seed = 0; seed < 200; seed++) {
            SimulatedDisk disk = new SimulatedDisk(seed);
            disk.put("old", new byte[] {'o'});
            disk.directory().rename("old", "aside");
            FileChannel file = open(disk, "new");
            write(file, 0, "n");
            file.force(true);
            disk.powerLoss();
            seen.add(contentsOf(disk, "old") + " " + contentsOf(disk, "aside") + " " + contentsOf(disk, "new"));
        }
        assertEquals(
                Set.of("o none none", "o none n", "none o none", "none o n", "none none none", "none none n"), seen);
    }

    @Test
    void storeSurvivesRepeatedPowerLoss() throws Exception {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedDisk disk = new SimulatedDisk(seed);
            int index = 0;
            for (int restart = 0; restart < RESTARTS; restart++) {
                CoreStore store = CoreStore.open(disk.directory());
                if (restart == 0) {
                    store.initialize(seed + 1, HardState.NONE, Snapshot.NONE);
                    disk.directory().sync();
                }
                assertEquals(seed + 1, store.identity());
                assertEquals(index, store.load().entries().size());
                for (int i = 0; i < WRITES_PER_RESTART; i++) {
                    index++;
                    store.write(new Output(
                            1,
                            null,
                            null,
                            index,
                            List.of(new Entry(index, 1, Entry.Kind.COMMAND, new byte[300])),
                            index,
                            List.of(),
                            null,
                            List.of(),
                            List.of()));
                }
                disk.powerLoss();
            }
        }
    }

    @Test
    void crashKeepsFilesAndAFullDiskRejectsEveryWrite() throws IOException {
        SimulatedDisk disk = new SimulatedDisk(1);
        write(open(disk, "f"), 0, "ab");
        disk.crash();
        assertEquals("ab", contentsOf(disk, "f"));
        disk.setFull(true);
        assertThrows(IOException.class, () -> write(open(disk, "f"), 2, "cd"));
        assertThrows(IOException.class, () -> open(disk, "g"));
        assertEquals("ab", contentsOf(disk, "f"));
        disk.setFull(false);
        write(open(disk, "f"), 2, "cd");
        assertEquals("abcd", contentsOf(disk, "f"));
        disk.wipe();
        assertEquals(0, disk.bytes());
    }
}
