package tinworks.demo;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Changes played one on the other against real core processes. */
class ChangesTest {
    /** 80 configurations of 300 kB come to 24 MB, more than the heap: at first each was kept whole 64 times over. */
    @Test
    @Timeout(value = 300, unit = TimeUnit.SECONDS)
    void manyWholeConfigurationsOnASmallHeapAreAllTakenAndAKilledMemberCatchesUp()
            throws IOException, InterruptedException {
        StringWriter said = new StringWriter();
        try (Changes changes = new Changes(
                new Changes.Plan(
                        3,
                        2_000,
                        80,
                        List.of(
                                "-XX:+UseSerialGC",
                                "-XX:TieredStopAtLevel=1",
                                "-Xmx20m",
                                "-XX:MaxDirectMemorySize=20m",
                                "-XX:+ExitOnOutOfMemoryError")),
                new PrintWriter(said, true))) {
            assertTrue(changes.play(), said.toString());
        }
        Matcher disk = Pattern.compile("largest disk: ([0-9.]+) MB").matcher(said.toString());
        assertTrue(disk.find() && Double.parseDouble(disk.group(1)) < 24, said.toString());
        System.out.println(said);
    }
}
