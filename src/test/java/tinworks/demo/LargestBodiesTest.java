package tinworks.demo;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import tinworks.config.ConfigurationMemoryEstimate;
import tinworks.config.ConfigurationReader;
import tinworks.config.InvalidConfiguration;
import tinworks.json.Json;
import tinworks.local.FreePorts;
import tinworks.local.Machines;
import tinworks.local.Operator;

/**
 * Real core machines on the heap of the deployment, and operators who send the longest bodies, and the largest
 * configurations that may be taken, all at once.
 */
class LargestBodiesTest {
    private static final int LONGEST = 8 << 20;
    /** What fills the memory that a configuration may take on that heap nearly: 0.4 of it. */
    private static final int MOST_ROUTES = 22_000;

    private static final long LEAST_WEIGHT = 17_000_000;
    private static final long MOST_WEIGHT = 19_000_000;
    private static final List<String> OPTIONS = List.of(
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xmx48m",
            "-Xmn2m",
            "-Xss256k",
            "-XX:MaxDirectMemorySize=48m",
            "-XX:+ExitOnOutOfMemoryError");

    @TempDir
    private Path folder;

    /** As many routes as there is room for in a body. */
    private static byte[] longest(long rev) {
        return routes(rev, Integer.MAX_VALUE);
    }

    /** As many as there is room for in the memory of an edge. */
    private static byte[] largest(long rev) throws InvalidConfiguration {
        byte[] body = routes(rev, MOST_ROUTES);
        long weight = ConfigurationMemoryEstimate.of(ConfigurationReader.read(body));
        assertTrue(weight > LEAST_WEIGHT && weight < MOST_WEIGHT, "a weight of " + weight);
        return body;
    }

    private static byte[] routes(long rev, int most) {
        StringBuilder text = new StringBuilder(LONGEST)
                .append("{\"rev\":")
                .append(rev)
                .append(",\"svcs\":[{\"name\":\"huvo\"}],\"routes\":[");
        for (int i = 0; i < most && text.length() < LONGEST - 400; i++) {
            text.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"r-")
                    .append(Integer.toString(i * 7_919, 36))
                    .append("\",\"domain\":\"jepu")
                    .append(i % 97)
                    .append(".example\",\"prefix\":\"/lepu")
                    .append(Integer.toString(i * 104_729, 36))
                    .append(
                            "/\",\"type\":\"idem\",\"timeoutMs\":2500,\"targetMs\":600,\"prio\":2,\"svc\":\"huvo\",\"tries\":2}");
        }
        return text.append("]}").toString().getBytes(StandardCharsets.UTF_8);
    }

    private static String settings(int core, int ctl, int inner, Path disk) {
        String ip = "127.0.0." + (21 + core);
        String seeds = String.join(
                ",",
                Stream.of(21, 22, 23)
                        .map(last -> "\"127.0.0." + last + ":" + ctl + "\"")
                        .toList());
        return "{\"node\":\"core-" + core + "\",\"az\":\"z\",\"ip\":\"" + ip + "\",\"listen\":{\"ctl\":\"" + ip + ":"
                + ctl + "\"},\"portRange\":["
                + inner + "," + inner + "],\"seeds\":[" + seeds
                + "],\"bootstrap\":true,\"limits\":{\"nofile\":4096},\"datadir\":\"" + disk
                + "\",\"survive\":{\"nodes\":1},\"bounds\":{\"graceS\":6},\"provider\":{\"addr\":\"127.0.0.1:1\"}}";
    }

    @Test
    @Timeout(value = 200, unit = TimeUnit.SECONDS)
    void eightOfTheLongestAtOnceEndNoProcessAndTheLargestAllowedIsTaken() throws Exception {
        List<Integer> ports = FreePorts.at("127.0.0.21", 2);
        Operator operator = new Operator(Stream.of(21, 22, 23)
                .map(last -> "127.0.0." + last + ":" + ports.get(0))
                .toList());
        HttpClient client =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        try (Machines machines = new Machines(folder, OPTIONS)) {
            for (int i = 0; i < 3; i++) {
                String settings = settings(i, ports.get(0), ports.get(1), machines.disk("core-" + i));
                machines.start("core-" + i, "core", settings, settings);
            }
            byte[] first = "{\"rev\":1,\"routes\":[],\"svcs\":[]}".getBytes(StandardCharsets.UTF_8);
            assertTrue(operator.replace(0, first, 0, 30_000) > 0);
            byte[] longest = longest(2);
            assertTrue(longest.length > LONGEST - 1_000 && longest.length <= LONGEST, longest.length + " bytes");
            Set<Integer> told = eightAtOnce(client, ports.get(0), longest);
            assertTrue(Set.of(0, 413, 503).containsAll(told), "no edge could hold it: " + told);
            assertTrue(told.contains(503), "what there is no room for is told so");
            assertEquals(413, alone(client, ports.get(0), longest));
            byte[] largest = largest(2);
            told = eightAtOnce(client, ports.get(0), largest);
            assertTrue(Set.of(0, 200, 503).containsAll(told), told.toString());
            assertTrue(operator.replace(1, largest, 0, 60_000) > 0, "sent again it is taken, or was already");
            assertTrue(operator.replace(2, largest(3), 1, 60_000) > 0, "and so is the next one");
            assertEquals(0, machines.restarts());
            machines.kill("core-2");
            long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
            while (machines.restarts() == 0
                    || !Json.read(operator.status(2).orElse("{}"))
                            .field("rev")
                            .text()
                            .equals("3")) {
                assertTrue(System.nanoTime() < until, "started anew it has not read its store, or not caught up");
                TimeUnit.MILLISECONDS.sleep(20);
            }
            assertEquals(1, machines.restarts());
        }
    }

    private static HttpRequest call(int port, byte[] body) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.21:" + port + "/-/config/replace"))
                .header("Base-Rev", "1")
                .timeout(Duration.ofSeconds(20))
                .POST(HttpRequest.BodyPublishers.ofByteArray(body))
                .build();
    }

    /** What the calls of three rounds were told; 0 where there was no answer. */
    private static Set<Integer> eightAtOnce(HttpClient client, int port, byte[] body) {
        Set<Integer> told = new HashSet<>();
        for (int round = 0; round < 3; round++) {
            List<CompletableFuture<Integer>> calls = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                calls.add(client.sendAsync(call(port, body), HttpResponse.BodyHandlers.ofString())
                        .handle((answer, lost) -> lost != null ? 0 : answer.statusCode()));
            }
            calls.forEach(each -> told.add(each.join()));
        }
        System.out.println("answers to " + body.length + " bytes, eight at a time: " + told);
        return told;
    }

    private static int alone(HttpClient client, int port, byte[] body) throws Exception {
        return client.send(call(port, body), HttpResponse.BodyHandlers.ofString())
                .statusCode();
    }
}
