package tinworks.logging;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.io.IOException;
import java.time.Instant;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;
import tinworks.json.Json;

/** Log records are written as JSON lines. */
class JsonLogTest {
    @Test
    void aLineRoundTripsThroughJson() throws IOException {
        String message = "a \"quoted\" \\ line\nand \u0001 control, \u00fc";
        String line = JsonLog.formatLine(
                1_766_000_000_007L, Level.WARN, "edge-1", "EdgeNode", message, new IllegalStateException("no \"way\""));
        assertEquals('\n', line.charAt(line.length() - 1));
        Json read = Json.read(line);
        assertEquals("2025-12-17T19:33:20.007Z", read.field("at").text());
        assertEquals("WARN", read.field("level").text());
        assertEquals("edge-1", read.field("node").text());
        assertEquals("EdgeNode", read.field("part").text());
        assertEquals(message, read.field("said").text());
        assertEquals(
                "java.lang.IllegalStateException: no \"way\"",
                read.field("thrown").text());
    }

    @Test
    void timestampsMatchJavaTime() throws IOException {
        SplittableRandom random = new SplittableRandom(3);
        for (int i = 0; i < 1_000; i++) {
            long millis = random.nextLong(4_000_000_000_000L);
            String at = Json.read(JsonLog.formatLine(millis, Level.INFO, "n", "p", "", null))
                    .field("at")
                    .text();
            assertEquals(millis, Instant.parse(at).toEpochMilli());
        }
    }

    @Test
    void slf4jFindsTheProvider() {
        assertInstanceOf(JsonLog.class, LoggerFactory.getLogger("tinworks.Any"));
    }
}
