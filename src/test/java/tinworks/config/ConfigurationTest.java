package tinworks.config;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tinworks.config.ConfigurationHistory.Verdict;

/** Parsing, validation and history of the operator's configuration. */
class ConfigurationTest {
    private static final String VALID =
            "{'rev':7,'routes':[{'name':'a','domain':'X.example','prefix':'/p/','type':'idem',"
                    + "'timeoutMs':1200,'targetMs':300,'prio':2,'split':[{'svc':'s','weight':90},{'svc':'t','weight':0}],'tries':2},"
                    + "{'name':'b','domain':'y.example','prefix':'/q/','type':'mutating','timeoutMs':1500,'svc':'t'}],"
                    + "'svcs':[{'name':'s','check':'/healthz','maxconn':120,'proto':'h1','tls':false},{'name':'t'}]}";

    private static Configuration read(String json) throws InvalidConfiguration {
        return ConfigurationReader.read(json.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void readsAValidConfiguration() throws InvalidConfiguration {
        Configuration read = read(VALID);
        assertEquals(7, read.rev());
        assertEquals("x.example", read.routes().get(0).domain());
        assertEquals(Configuration.Type.MUTATING, read.routes().get(1).type());
        assertEquals(1, read.routes().get(1).maxAttempts());
        assertEquals(Configuration.Limits.DEFAULTS, read.limits());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "'rev':7          | 'rev':0            | rev",
                "'svc':'t'}]      | 'svc':'u'}]        | routes[1].svc",
                "'weight':90      | 'weight':0         | routes[0].split",
                "'weight':90      | 'weight':-1        | routes[0].split[0].weight",
                "'timeoutMs':1500 | 'timeoutMs':0      | routes[1].timeoutMs",
                "'timeoutMs':1500 | 'timeoutMs':'soon' | routes[1].timeoutMs",
                "y.example        | x.EXAMPLE          | ",
                "'prefix':'/q/'   | 'prefix':'q'       | routes[1].prefix",
                "'type':'idem'    | 'type':'odd'       | routes[0].type",
                "{'name':'t'}     | {'name':'s'}       | svcs[1].name",
                "{'name':'t'}     | {'name':'u'}       | routes[0].split[1].svc",
                "'tries':2        | 'tries':0          | routes[0].tries",
                "'svcs':[         | 'svcs':5,'odd':[   | svcs",
            })
    void reportsThePathOfAnInvalidField(String quotedFrom, String quotedTo, String where) throws InvalidConfiguration {
        String changed = VALID.replace(quotedFrom.trim(), quotedTo.trim());
        if (where == null) {
            read(changed);
            InvalidConfiguration e =
                    assertThrows(InvalidConfiguration.class, () -> read(changed.replace("/q/", "/p/")));
            assertEquals("routes[1].prefix", e.fieldPath());
        } else {
            assertEquals(
                    where,
                    assertThrows(InvalidConfiguration.class, () -> read(changed))
                            .fieldPath());
        }
    }

    @Test
    void truncatedOrCorruptTextThrowsOnlyInvalidConfiguration() {
        SplittableRandom random = new SplittableRandom(1);
        byte[] bytes = VALID.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
        for (int i = 0; i < bytes.length; i++) {
            byte[] truncated = java.util.Arrays.copyOf(bytes, i);
            assertThrows(InvalidConfiguration.class, () -> ConfigurationReader.read(truncated));
        }
        for (int i = 0; i < 20_000; i++) {
            byte[] corrupt = bytes.clone();
            for (int flips = 1 + random.nextInt(4); flips > 0; flips--) {
                corrupt[random.nextInt(corrupt.length)] = (byte) random.nextInt(256);
            }
            try {
                ConfigurationReader.read(corrupt);
            } catch (InvalidConfiguration e) {
                assertEquals(false, e.getMessage().isEmpty());
            }
        }
    }

    @Test
    void theLastOfDuplicateFieldsCounts() throws InvalidConfiguration {
        assertEquals(
                9,
                read(VALID.replace("{'rev':7,", "{'rev':'x','routes':[5],'svcs':[{}],'rev':8,")
                                .replace("'svcs'", "'rev':9,'svcs'"))
                        .rev());
        assertEquals(
                "routes",
                assertThrows(
                                InvalidConfiguration.class,
                                () -> read(VALID.replace("]}]}", "]}],'routes':5}")
                                        .replace("'t'}]}", "'t'}],'routes':5}")))
                        .fieldPath());
    }

    /** The body is returned unchanged, and the command is as small as the compressed body. */
    @Test
    void aLongConfigurationIsStoredCompressedAndReturnedAsSent() {
        StringBuilder text = new StringBuilder("{\"rev\":4,\"routes\":[");
        for (int i = 0; i < 3_000; i++) {
            text.append("{\"name\":\"r-")
                    .append(Integer.toString(i * 7919, 36))
                    .append("\",\"type\":\"idem\",\"timeoutMs\":2500},\n");
        }
        byte[] sent = text.toString().getBytes(StandardCharsets.UTF_8);
        byte[] command = ConfigurationHistory.command(0, 4, sent);
        assertTrue(command.length * 6 < sent.length, command.length + " of " + sent.length);
        assertEquals(0, ConfigurationHistory.base(command));
        assertEquals(4, ConfigurationHistory.rev(command));
        ConfigurationHistory history = new ConfigurationHistory();
        assertEquals(Verdict.ACCEPTED, history.apply(command));
        assertArrayEquals(sent, history.body());
        assertTrue(history.save().length < command.length + 100);
    }

    private static byte[] command(long base, long rev, String body) {
        return ConfigurationHistory.command(base, rev, body.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void oneOfTwoChangesOnTheSameBaseWinsAndItsRetryIsRecognized() {
        ConfigurationHistory history = new ConfigurationHistory();
        assertEquals(Verdict.ACCEPTED, history.apply(command(0, 2, "first")));
        assertEquals(Verdict.ACCEPTED, history.apply(command(2, 5, "one")));
        assertEquals(Verdict.CONFLICT, history.apply(command(2, 6, "other")));
        assertEquals(Verdict.VERSION_NOT_INCREASED, history.apply(command(5, 4, "lower")));
        assertEquals(Verdict.ACCEPTED, history.apply(command(5, 9, "next")));
        assertEquals(Verdict.ACCEPTED, history.apply(command(2, 5, "one")), "a retry of an accepted change");
        assertEquals(
                Verdict.CONFLICT, history.apply(command(2, 5, "forged")), "another body under an accepted version");
        assertEquals(9, history.rev());
        ConfigurationHistory copy = new ConfigurationHistory();
        copy.load(history.save());
        assertEquals(9, copy.rev());
        assertArrayEquals("next".getBytes(StandardCharsets.UTF_8), copy.body());
        assertEquals(Verdict.ACCEPTED, copy.apply(command(2, 5, "one")));
        assertThrows(IllegalArgumentException.class, () -> copy.load(new byte[] {1, 2, 3}));
    }

    /** Applies a chain of versions with uneven steps and distinct bodies; returns the last version. */
    private static long applyChain(ConfigurationHistory history, int count) {
        for (int i = 1; i <= count; i++) {
            assertEquals(
                    Verdict.ACCEPTED, history.apply(command(history.rev(), history.rev() + 1 + i % 3, "body " + i)));
        }
        return history.rev();
    }

    /** Passes the commands of {@link #applyChain} to the consumer, in order. */
    private static void forEachCommandOfChain(int count, BiConsumer<Integer, byte[]> consumer) {
        long rev = 0;
        for (int i = 1; i <= count; i++) {
            long base = rev;
            rev += 1 + i % 3;
            consumer.accept(i, command(base, rev, "body " + i));
        }
    }

    private static int rejectedRetriesOfADay(ConfigurationHistory history) {
        int day = 4_600;
        applyChain(history, day);
        int[] rejected = {0};
        forEachCommandOfChain(day, (i, command) -> rejected[0] += history.apply(command) == Verdict.ACCEPTED ? 0 : 1);
        return rejected[0];
    }

    @Test
    void aRetryIsRecognizedAfterADayOfChanges() {
        assertEquals(0, rejectedRetriesOfADay(new ConfigurationHistory()));
        assertEquals(
                4_600 - 256,
                rejectedRetriesOfADay(new ConfigurationHistory(new AcceptedVersions(256))),
                "with too short a deduplication window");
    }

    @Test
    void aRetryOutsideTheDeduplicationWindowIsNeitherRejectedNorAcknowledgedAlsoAfterASnapshot() {
        ConfigurationHistory history = new ConfigurationHistory();
        int count = 10_000;
        long last = applyChain(history, count);
        ConfigurationHistory copy = new ConfigurationHistory();
        copy.load(history.save());
        assertEquals(last, copy.rev());
        int[] known = {0};
        forEachCommandOfChain(count, (i, command) -> {
            Verdict verdict = copy.apply(command);
            assertEquals(i > count - 8_192 ? Verdict.ACCEPTED : Verdict.OUTSIDE_WINDOW, verdict, "change " + i);
            known[0] += verdict == Verdict.ACCEPTED ? 1 : 0;
        });
        assertEquals(8_192, known[0]);
        assertEquals(
                Verdict.OUTSIDE_WINDOW, copy.apply(command(1, 3, "never accepted")), "unknown whether it was accepted");
        assertEquals(Verdict.CONFLICT, copy.apply(command(last - 9, last - 3, "never accepted")));
        assertEquals(
                Verdict.VERSION_NOT_INCREASED, copy.apply(command(last, 3, "lower")), "it cannot have been accepted");
        assertEquals(Verdict.VERSION_NOT_INCREASED, copy.apply(command(3, 3, "lower")));
        assertEquals(last, copy.rev());
        // The largest size of a snapshot without the configuration itself.
        assertEquals(25 + 8_192 * 24, history.save().length - history.compressedBody().length);
    }

    @Test
    void anotherBodyUnderAnAcceptedVersionIsAnotherChange() {
        ConfigurationHistory history = new ConfigurationHistory();
        applyChain(history, 3);
        byte[] other = command(0, 2, "another's");
        assertEquals(Verdict.CONFLICT, history.apply(other));
        ConfigurationHistory byNumber = new ConfigurationHistory(new AcceptedVersions() {
            @Override
            boolean contains(long rev, byte[] digest) {
                return rev <= 7;
            }
        });
        applyChain(byNumber, 3);
        assertEquals(Verdict.ACCEPTED, byNumber.apply(other), "matched by its version alone, it would be confirmed");
    }

    @Test
    void aConfigurationAboveTheMemoryLimitIsRejectedAsTooLarge() throws Exception {
        StringBuilder json = new StringBuilder("{\"rev\":1,\"svcs\":[{\"name\":\"s\"}],\"routes\":[");
        for (int i = 0; i < 1_000; i++) {
            json.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"r\",\"domain\":\"d\",\"prefix\":\"/")
                    .append(i)
                    .append("/\",\"type\":\"idem\",\"timeoutMs\":9,\"svc\":\"s\"}");
        }
        byte[] bytes = json.append("]}").toString().getBytes(StandardCharsets.UTF_8);
        long weight = ConfigurationMemoryEstimate.of(ConfigurationReader.read(bytes));
        assertEquals(
                1_000,
                ConfigurationReader.read(new ByteArrayInputStream(bytes), weight)
                        .routes()
                        .size());
        InvalidConfiguration rejected = assertThrows(
                InvalidConfiguration.class,
                () -> ConfigurationReader.read(new ByteArrayInputStream(bytes), weight - 1));
        assertTrue(rejected.isTooLarge(), rejected.getMessage());
        InvalidConfiguration invalid =
                assertThrows(InvalidConfiguration.class, () -> read("{'rev':0,'routes':[],'svcs':[]}"));
        assertFalse(invalid.isTooLarge());
    }
}
