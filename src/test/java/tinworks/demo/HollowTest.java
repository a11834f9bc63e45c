package tinworks.demo;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Many edges' links on real core machines. */
class HollowTest {
    private static final int CORES = 3;
    private static final int EDGES = 5;

    @Test
    @Timeout(value = 120, unit = TimeUnit.SECONDS)
    void everyEdgeComesToHoldWhatChangesAndOutlivesRestarts() throws IOException, InterruptedException {
        StringWriter said = new StringWriter();
        try (Hollow hollow = new Hollow(
                new Hollow.Plan(
                        CORES,
                        EDGES,
                        1,
                        10,
                        60,
                        1,
                        1,
                        true,
                        List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx64m")),
                new PrintWriter(said, true))) {
            assertTrue(hollow.play(), said.toString());
        }
        for (String part : List.of(
                "all dial",
                "  whole configuration",
                "  whole list",
                "at rest",
                "one host replaced",
                "one host a second",
                "one route acknowledged",
                "  one route changed",
                "one core restarts",
                "all cores restart",
                "  the new leader's list")) {
            assertTrue(said.toString().contains(System.lineSeparator() + part), part + " in " + said);
        }
        assertTrue(said.toString().contains("real edges that are ready: 1 of 1"), said.toString());
        assertEquals(
                List.of(String.valueOf(CORES * EDGES)),
                said.toString()
                        .lines()
                        .filter(line -> line.startsWith("at rest"))
                        .map(line -> line.strip().split(" +")[3])
                        .toList(),
                "links at rest");
        assertTrue(said.toString().contains("restarts of processes: " + (CORES + 1) + ", "), said.toString());
    }

    @Test
    void aProcessIsSeenByWhatItUses() {
        ProcessUse before = ProcessUse.of(ProcessHandle.current().pid());
        assertTrue(before.processorMillis() > 100 && before.residentKb() > 10_000, before.toString());
        ProcessUse after = new ProcessUse(before.pid(), before.processorMillis() + 7, 0);
        assertEquals(7, after.processorMillisSince(before));
        assertEquals(9, new ProcessUse(before.pid() + 1, 9, 0).processorMillisSince(before), "another process");
        assertEquals(0, ProcessUse.of(-1).residentKb());
    }
}
