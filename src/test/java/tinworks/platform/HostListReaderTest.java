package tinworks.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import tinworks.channel.HostList.Host;
import tinworks.json.Json;

/**
 * The platform's list with entries that nobody can use. One entry without an id kept everybody from the whole list, and
 * one with a name of over 4,096 bytes was taken by the core machines and closed each edge's link with every frame
 * ({@code can't read a frame: a text of 100000 bytes}, once a second): hosts that drained went on getting work.
 */
class HostListReaderTest {
    private static final String SOUND = entry("h-1", "10.0.0.1:80", "ready");

    private final HostListReader reader = new HostListReader(3);

    private static String entry(String id, String address, String status) {
        return "{\"id\":\"" + id + "\",\"svc\":\"s\",\"addr\":\"" + address + "\",\"status\":\"" + status + "\"}";
    }

    private String page(String next, String... entries) throws IOException {
        return reader.page(
                Json.read("{\"hosts\":[" + String.join(",", entries) + "],\"nextCursor\":\"" + next + "\"}"));
    }

    @Test
    void whatCantBeReadKeepsNoneOfTheOthersOut() throws IOException {
        String longName = "n".repeat(100_000);
        page(
                "",
                "{}",
                "7",
                entry("h-2", "starting", "ready"),
                entry("h-3", "host.example:80", "ready"),
                entry("h-4", "10.0.0.256:80", "ready"),
                entry("h-5", "10.0.0.1:99999", "ready"),
                entry(longName, "10.0.0.1:80", "ready"),
                SOUND.replace("\"s\"", "\"" + longName + "\""),
                SOUND);
        assertEquals(List.of("h-1"), reader.hosts().stream().map(Host::id).toList());
        assertEquals(8, reader.leftOut());
        assertTrue(reader.why().contains("100000"), reader.why());
    }

    @Test
    void aListOfWhichNothingCanBeReadIsNoneAndAnEmptyOneIsOne() throws IOException {
        page("");
        assertEquals(List.of(), reader.hosts());
        page("", "{}");
        assertThrows(IllegalArgumentException.class, reader::hosts);
    }

    @Test
    void theLaterEntryOfAnIdCounts() throws IOException {
        assertEquals("p2", page("p2", SOUND, entry("h-0", "10.0.0.2:80", "ready")));
        page("", entry("h-1", "10.0.0.1:80", "draining"));
        assertEquals(
                List.of(false, true),
                reader.hosts().stream().map(Host::draining).toList());
    }

    @Test
    void aListWithoutEndOrBeyondTheMemoryIsNone() throws IOException {
        for (int i = 1; i < 1_000; i++) {
            page("more", SOUND);
        }
        assertThrows(IllegalArgumentException.class, () -> page("more", SOUND));
        String[] four = new String[4];
        for (int i = 0; i < four.length; i++) {
            four[i] = entry("h-" + i, "10.0.0." + i + ":80", "ready");
        }
        assertThrows(IllegalArgumentException.class, () -> page("", four));
    }
}
