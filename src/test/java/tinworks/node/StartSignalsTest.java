package tinworks.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import tinworks.local.FreePorts;

/**
 * Signals that come as a process starts. Settings that change then come with SIGHUP, whose own effect in a Java process
 * is its end: the soak with signals in series (seed 503, dense) saw an edge end by itself with code 129, three times.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class StartSignalsTest {
    private static final String IP = "127.0.0.9";
    private static final int TERMINATED = 128 + 15;

    @TempDir
    private Path folder;

    private Process edge() throws IOException {
        List<Integer> ports = FreePorts.at(IP, 3);
        Path settings = folder.resolve("edge.json");
        Files.writeString(settings, """
                {"node":"edge-0","az":"z","ip":"IP","portRange":[INNER,INNER],"seeds":["127.0.0.8:1"],
                 "listen":{"http":"IP:HTTP","readyz":"IP:READYZ"},"bounds":{"graceS":6},"survive":{"nodes":1},
                 "provider":{"addr":"127.0.0.8:1"}}""".replace("IP", IP)
                .replace("INNER", ports.get(0).toString())
                .replace("HTTP", ports.get(1).toString())
                .replace("READYZ", ports.get(2).toString()));
        ProcessBuilder builder = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx48m",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "tinworks.Main",
                        "edge")
                .redirectErrorStream(true);
        builder.environment().put(BootSettings.VARIABLE, settings.toString());
        return builder.start();
    }

    private static void signal(Process process, String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .inheritIO()
                .start()
                .waitFor();
    }

    /** From its first line on a process takes SIGHUP for changed settings, and ends in order on SIGTERM. */
    @Test
    void neitherEndsAProcessOutOfOrder() throws Exception {
        Process process = edge();
        try (BufferedReader log = process.inputReader(StandardCharsets.UTF_8)) {
            String first = log.readLine();
            assertTrue(first != null && first.contains("\"starts\""), first);
            for (int i = 0; i < 5; i++) {
                signal(process, "HUP");
                TimeUnit.MILLISECONDS.sleep(20);
                assertTrue(process.isAlive(), "ended by SIGHUP");
            }
            signal(process, "TERM");
            signal(process, "HUP");
            signal(process, "TERM");
            assertTrue(process.waitFor(20, TimeUnit.SECONDS));
            assertEquals(TERMINATED, process.exitValue());
        } finally {
            process.destroyForcibly();
        }
    }

    /** It starts again and again, and is told to end a little later each time: it never ends otherwise than so. */
    @Test
    void sigtermAtAnyMomentOfTheStartIsAnEndInOrder() throws Exception {
        for (int millis = 0; millis < 600; millis += 60) {
            Process process = edge();
            try (BufferedReader log = process.inputReader(StandardCharsets.UTF_8)) {
                assertTrue(log.readLine().contains("\"starts\""));
                TimeUnit.MILLISECONDS.sleep(millis);
                signal(process, "TERM");
                StringBuilder said = new StringBuilder();
                for (String line = log.readLine(); line != null; line = log.readLine()) {
                    said.append(line).append('\n');
                }
                assertTrue(process.waitFor(20, TimeUnit.SECONDS));
                assertEquals(TERMINATED, process.exitValue(), said.toString());
                assertTrue(!said.toString().contains("\"ERROR\""), said.toString());
            } finally {
                process.destroyForcibly();
            }
        }
    }
}
