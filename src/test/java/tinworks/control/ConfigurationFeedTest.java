package tinworks.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import tinworks.channel.ConfigurationCodec;
import tinworks.channel.MalformedDataException;
import tinworks.channel.PeerMessage;
import tinworks.config.CompressedBytes;
import tinworks.config.Configuration;
import tinworks.config.ConfigurationHistory;
import tinworks.config.ConfigurationReader;

/** Configuration messages for edges: changes lead to the same configuration and are as small as the change itself. */
class ConfigurationFeedTest {
    private static final int MAX_BYTES = 8 << 20;

    private final ConfigurationHistory history = new ConfigurationHistory();
    private final ConfigurationFeed feed = new ConfigurationFeed();

    private static String service(String name, int maxconn) {
        return "{\"name\":\"" + name + "\",\"check\":\"/healthz\",\"maxconn\":" + maxconn + "}";
    }

    private static String route(int number, int timeout, String service) {
        return "{\"name\":\"r-" + number + "\",\"domain\":\"jepu" + number % 9 + ".example\",\"prefix\":\"/lepu/"
                + number
                + "/\",\"type\":\"idem\",\"timeoutMs\":" + timeout
                + ",\"targetMs\":600,\"prio\":2,\"split\":[{\"svc\":\"" + service
                + "\",\"weight\":90},{\"svc\":\"fixed\",\"weight\":10.5}],\"tries\":2}";
    }

    private static byte[] json(long rev, List<String> routes, List<String> services, int idleMs) {
        return ("{\"rev\":" + rev + ",\"routes\":[" + String.join(",", routes) + "],\"svcs\":["
                        + String.join(",", services) + "],\"limits\":{\"idleMs\":" + idleMs + "}}")
                .getBytes(StandardCharsets.UTF_8);
    }

    private Configuration commit(byte[] json) throws Exception {
        Configuration read = ConfigurationReader.read(json);
        assertEquals(
                ConfigurationHistory.Verdict.ACCEPTED,
                history.apply(ConfigurationHistory.command(history.rev(), read.rev(), json)));
        feed.follow(history);
        return read;
    }

    /** Compares routes without regard to their order. */
    private static void assertSame(Configuration expected, Configuration actual) {
        assertEquals(expected.rev(), actual.rev());
        assertEquals(expected.routes().size(), actual.routes().size());
        assertEquals(new HashSet<>(expected.routes()), new HashSet<>(actual.routes()));
        assertEquals(expected.services(), actual.services());
        assertEquals(expected.limits(), actual.limits());
    }

    private static Configuration received(Configuration held, PeerMessage message) throws MalformedDataException {
        if (message instanceof PeerMessage.ConfigurationBody body) {
            return ConfigurationCodec.read(CompressedBytes.decompress(body.compressed(), MAX_BYTES));
        }
        PeerMessage.ConfigurationChanged changed = assertInstanceOf(PeerMessage.ConfigurationChanged.class, message);
        return ConfigurationCodec.readChange(CompressedBytes.decompress(changed.compressed(), MAX_BYTES))
                .applyTo(held);
    }

    @Test
    void anEdgeWithAnyOlderVersionReachesTheNewest() throws Exception {
        SplittableRandom random = new SplittableRandom(11);
        List<Configuration> all = new ArrayList<>();
        assertNull(feed.since(0), "there is no configuration yet");
        for (int i = 1; i <= 40; i++) {
            List<String> services = new ArrayList<>(List.of(service("fixed", 9)));
            for (int n = 0; n < 4; n++) {
                if (n == 0 || random.nextInt(3) > 0) {
                    services.add(service("s" + n, 100 + random.nextInt(2)));
                }
            }
            List<String> routes = new ArrayList<>();
            for (int n = 0; n < 30; n++) {
                if (random.nextInt(4) > 0) {
                    routes.add(route(n, 2_000 + random.nextInt(2), "s0"));
                }
            }
            all.add(commit(json(i * 3L, routes, services, 15_000 + random.nextInt(2))));
        }
        Configuration newest = all.get(all.size() - 1);
        int fromChanges = 0;
        for (Configuration held : all.subList(0, all.size() - 1)) {
            PeerMessage message = feed.since(held.rev());
            fromChanges += message instanceof PeerMessage.ConfigurationChanged ? 1 : 0;
            assertSame(newest, received(held, message));
        }
        assertEquals(16, fromChanges);
        assertSame(newest, received(null, feed.since(0)));
        assertNull(feed.since(newest.rev()));
        assertNull(feed.since(newest.rev() + 1), "the edge is ahead of this core node");
    }

    /** A changed route costs its own size, however many routes there are. */
    @Test
    void changingOneOfManyRoutesTakesLessThan300Bytes() throws Exception {
        for (int count : new int[] {10, 1_400, 10_000}) {
            List<String> routes = new ArrayList<>();
            for (int n = 0; n < count; n++) {
                routes.add(route(n, 2_000, "s0"));
            }
            List<String> services = List.of(service("s0", 1), service("fixed", 1));
            long rev = history.rev() + 1;
            Configuration before = commit(json(rev, routes, services, 1_000));
            routes.set(3, route(3, 2_001, "s0"));
            Configuration after = commit(json(rev + 1, routes, services, 1_000));
            PeerMessage.ConfigurationChanged message =
                    assertInstanceOf(PeerMessage.ConfigurationChanged.class, feed.since(rev));
            assertTrue(message.compressed().length < 300, message.compressed().length + " bytes for one of " + count);
            assertSame(after, received(before, message));
            assertThrows(
                    IllegalArgumentException.class,
                    () -> received(after, message),
                    "the change is based on another version");
        }
    }

    /**
     * If each version changes every route, sixteen retained changes would take sixteen times the full configuration.
     */
    @Test
    void retainedChangesStayWithinTheirByteLimit() throws Exception {
        List<String> services = List.of(service("s0", 1), service("fixed", 1));
        for (int version = 1; version <= 20; version++) {
            List<String> routes = new ArrayList<>();
            for (int n = 0; n < 1_000; n++) {
                routes.add(route(n, 2_000 + version, "s0"));
            }
            commit(json(version, routes, services, 1_000));
        }
        assertTrue(feed.retainedChanges() > 0 && feed.retainedChanges() < 16, feed.retainedChanges() + " changes");
        assertInstanceOf(PeerMessage.ConfigurationBody.class, feed.since(5));
        assertInstanceOf(PeerMessage.ConfigurationChanged.class, feed.since(19));
    }

    @Test
    void truncatedOrCorruptedBytesAreRejected() throws Exception {
        commit(json(1, List.of(route(1, 2_000, "s0")), List.of(service("s0", 1), service("fixed", 1)), 1_000));
        byte[] whole = ConfigurationCodec.write(ConfigurationReader.read(history.body()));
        for (int i = 0; i < whole.length; i++) {
            byte[] truncated = Arrays.copyOf(whole, i);
            assertThrows(MalformedDataException.class, () -> ConfigurationCodec.read(truncated));
        }
        byte[] longer = Arrays.copyOf(whole, whole.length + 1);
        assertThrows(MalformedDataException.class, () -> ConfigurationCodec.read(longer));
        SplittableRandom random = new SplittableRandom(3);
        int rejected = 0;
        for (int i = 0; i < 5_000; i++) {
            byte[] corrupted = whole.clone();
            corrupted[random.nextInt(corrupted.length)] = (byte) random.nextInt(256);
            try {
                ConfigurationCodec.read(corrupted);
            } catch (MalformedDataException e) {
                rejected++;
            }
        }
        assertTrue(rejected > 500, rejected + " of 5,000 were rejected");
    }
}
