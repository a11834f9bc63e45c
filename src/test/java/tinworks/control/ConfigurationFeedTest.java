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

/** What edges are told of the configuration: changes that lead to the very same, in bytes of the change's own size. */
class ConfigurationFeedTest {
    private static final int MOST = 8 << 20;

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

    private Configuration take(byte[] json) throws Exception {
        Configuration read = ConfigurationReader.read(json);
        assertEquals(
                ConfigurationHistory.Verdict.ACCEPTED,
                history.apply(ConfigurationHistory.command(history.rev(), read.rev(), json)));
        feed.follow(history);
        return read;
    }

    /** Routes in any order: by their places they are the same. */
    private static void assertSame(Configuration wanted, Configuration is) {
        assertEquals(wanted.rev(), is.rev());
        assertEquals(wanted.routes().size(), is.routes().size());
        assertEquals(new HashSet<>(wanted.routes()), new HashSet<>(is.routes()));
        assertEquals(wanted.services(), is.services());
        assertEquals(wanted.limits(), is.limits());
    }

    private static Configuration taught(Configuration held, PeerMessage told) throws MalformedDataException {
        if (told instanceof PeerMessage.ConfigurationBody body) {
            return ConfigurationCodec.read(CompressedBytes.decompress(body.compressed(), MOST));
        }
        PeerMessage.ConfigurationChanged changed = assertInstanceOf(PeerMessage.ConfigurationChanged.class, told);
        return ConfigurationCodec.readChange(CompressedBytes.decompress(changed.compressed(), MOST))
                .applyTo(held);
    }

    @Test
    void whoeverHoldsAnOlderVersionComesToTheNewest() throws Exception {
        SplittableRandom random = new SplittableRandom(11);
        List<Configuration> all = new ArrayList<>();
        assertNull(feed.since(0), "nothing to tell yet");
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
            all.add(take(json(i * 3L, routes, services, 15_000 + random.nextInt(2))));
        }
        Configuration newest = all.get(all.size() - 1);
        int byChange = 0;
        for (Configuration held : all.subList(0, all.size() - 1)) {
            PeerMessage told = feed.since(held.rev());
            byChange += told instanceof PeerMessage.ConfigurationChanged ? 1 : 0;
            assertSame(newest, taught(held, told));
        }
        assertEquals(16, byChange);
        assertSame(newest, taught(null, feed.since(0)));
        assertNull(feed.since(newest.rev()));
        assertNull(feed.since(newest.rev() + 1), "this core machine is behind");
    }

    /** Held in CI: a changed route costs its own size, however many there are. */
    @Test
    void oneChangedRouteOfManyIsUnderAKilobyte() throws Exception {
        for (int count : new int[] {10, 1_400, 10_000}) {
            List<String> routes = new ArrayList<>();
            for (int n = 0; n < count; n++) {
                routes.add(route(n, 2_000, "s0"));
            }
            List<String> services = List.of(service("s0", 1), service("fixed", 1));
            long rev = history.rev() + 1;
            Configuration before = take(json(rev, routes, services, 1_000));
            routes.set(3, route(3, 2_001, "s0"));
            Configuration after = take(json(rev + 1, routes, services, 1_000));
            PeerMessage.ConfigurationChanged told =
                    assertInstanceOf(PeerMessage.ConfigurationChanged.class, feed.since(rev));
            assertTrue(told.compressed().length < 300, told.compressed().length + " bytes for one of " + count);
            assertSame(after, taught(before, told));
            assertThrows(IllegalArgumentException.class, () -> taught(after, told), "it builds on another version");
        }
    }

    /** Each version changes every route: as changes they would be as long as the whole, sixteen times over. */
    @Test
    void changesOfEverythingAreKeptWithinABoundOfBytes() throws Exception {
        List<String> services = List.of(service("s0", 1), service("fixed", 1));
        for (int version = 1; version <= 20; version++) {
            List<String> routes = new ArrayList<>();
            for (int n = 0; n < 1_000; n++) {
                routes.add(route(n, 2_000 + version, "s0"));
            }
            take(json(version, routes, services, 1_000));
        }
        assertTrue(feed.retainedChanges() > 0 && feed.retainedChanges() < 16, feed.retainedChanges() + " changes");
        assertInstanceOf(PeerMessage.ConfigurationBody.class, feed.since(5));
        assertInstanceOf(PeerMessage.ConfigurationChanged.class, feed.since(19));
    }

    @Test
    void bytesThatAreCutOrSpoiltAreRefusedWithoutHarm() throws Exception {
        take(json(1, List.of(route(1, 2_000, "s0")), List.of(service("s0", 1), service("fixed", 1)), 1_000));
        byte[] whole = ConfigurationCodec.write(ConfigurationReader.read(history.body()));
        for (int i = 0; i < whole.length; i++) {
            byte[] cut = Arrays.copyOf(whole, i);
            assertThrows(MalformedDataException.class, () -> ConfigurationCodec.read(cut));
        }
        byte[] longer = Arrays.copyOf(whole, whole.length + 1);
        assertThrows(MalformedDataException.class, () -> ConfigurationCodec.read(longer));
        SplittableRandom random = new SplittableRandom(3);
        int refused = 0;
        for (int i = 0; i < 5_000; i++) {
            byte[] spoilt = whole.clone();
            spoilt[random.nextInt(spoilt.length)] = (byte) random.nextInt(256);
            try {
                ConfigurationCodec.read(spoilt);
            } catch (MalformedDataException e) {
                refused++;
            }
        }
        assertTrue(refused > 500, refused + " of 5,000 were refused");
    }
}
