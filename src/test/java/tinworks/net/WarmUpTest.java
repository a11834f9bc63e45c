package tinworks.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import tinworks.json.Json;

/** The warm-up before a gateway listens: it ends in time and leaves no files behind. */
class WarmUpTest {
    private static GatewayConfig config() throws IOException {
        String settings = GatewayFixture.SETTINGS.replace("IDLE", "15000000000");
        InetSocketAddress nowhere = new InetSocketAddress("127.0.0.1", 1);
        return GatewayConfig.read(Json.read("{\"seed\":\"2a\",\"settings\":" + settings + "}"), nowhere, nowhere);
    }

    /** The warm-up directories of this process; those of other processes may come and go meanwhile. */
    private static List<Path> warmUpDirectories() throws IOException {
        String prefix = "rehearsal-" + ProcessHandle.current().pid() + "-";
        try (var files = Files.list(Path.of(System.getProperty("java.io.tmpdir")))) {
            return files.filter(f -> f.getFileName().toString().startsWith(prefix))
                    .toList();
        }
    }

    @Test
    void completesAndLeavesNoFiles() throws Exception {
        List<Path> before = warmUpDirectories();
        assertTrue(WarmUp.run(config(), GatewayFixture.AWAIT_TIMEOUT_MILLIS * 6));
        assertEquals(before, warmUpDirectories());
    }

    @Test
    void completesInMemoryWithoutUnixDomainSockets() throws Exception {
        assertTrue(WarmUp.runInMemory(config(), GatewayFixture.AWAIT_TIMEOUT_MILLIS * 6));
    }

    @Test
    void stopsAtTimeLimit() throws Exception {
        List<Path> before = warmUpDirectories();
        assertFalse(WarmUp.run(config(), 1));
        assertEquals(before, warmUpDirectories());
    }
}
