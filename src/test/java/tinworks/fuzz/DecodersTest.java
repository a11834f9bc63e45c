package tinworks.fuzz;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import tinworks.channel.MalformedDataException;
import tinworks.channel.PeerMessageCodec;
import tinworks.config.Configuration;
import tinworks.config.ConfigurationHistory;
import tinworks.config.ConfigurationReader;
import tinworks.config.InvalidConfiguration;
import tinworks.json.Json;
import tinworks.node.BootSettings;
import tinworks.raft.Member;
import tinworks.raft.MemberListCodec;
import tinworks.raft.Voters;

/** Fuzzes the decoders: each either decodes its input or rejects it with its documented exception and a message. */
class DecodersTest {
    private static final String SEED = "20261201";
    private static final int TRIES = 3_000;
    private static final String CONFIGURATION =
            "{\"rev\":7,\"routes\":[{\"name\":\"a\",\"domain\":\"x.example\",\"prefix\":\"/p/\","
                    + "\"type\":\"idem\",\"timeoutMs\":2500,\"targetMs\":600,\"prio\":2,\"split\":[{\"svc\":\"s\",\"weight\":90},"
                    + "{\"svc\":\"t\",\"weight\":10}],\"tries\":2}],\"svcs\":[{\"name\":\"s\",\"check\":\"/h\",\"maxconn\":110},{\"name\":\"t\"}],"
                    + "\"limits\":{\"hdrBytes\":16384,\"bodyMaxBytes\":67108864,\"hdrMs\":3000,\"idleMs\":15000}}";
    private static final String SETTINGS =
            "{\"node\":\"core-1\",\"az\":\"z\",\"ip\":\"10.1.0.9\",\"listen\":{\"ctl\":\"10.1.0.9:8544\"},"
                    + "\"portRange\":[7540,7555],\"seeds\":[\"10.1.0.9:8544\"],\"bootstrap\":true,\"limits\":{\"nofile\":4096},"
                    + "\"datadir\":\"/data\",\"survive\":{\"nodes\":1},\"bounds\":{\"graceS\":6},\"provider\":{\"addr\":\"10.2.0.1:80\"}}";
    private static final List<String> FRAGMENTS = List.of(
            "null",
            "-1",
            "0",
            "1e308",
            "9223372036854775808",
            "\"\"",
            "[]",
            "{}",
            "true",
            "\"s\"",
            "[[[[",
            "}",
            ",",
            "\\u0000",
            "\"\\ud800\"",
            "NaN");

    /** A replacement of some characters of a text by a fragment. */
    record Replacement(int at, int length, String by) {}

    @Provide
    Arbitrary<List<Replacement>> replacements() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, 700),
                        Arbitraries.integers().between(0, 12),
                        Arbitraries.of(FRAGMENTS))
                .as(Replacement::new)
                .list()
                .ofMinSize(1)
                .ofMaxSize(3);
    }

    private static String mutated(String text, List<Replacement> replacements) {
        StringBuilder mutated = new StringBuilder(text);
        for (Replacement replacement : replacements) {
            int at = Math.min(replacement.at(), mutated.length());
            mutated.replace(at, Math.min(at + replacement.length(), mutated.length()), replacement.by());
        }
        return mutated.toString();
    }

    @Property(tries = TRIES, seed = SEED, shrinking = ShrinkingMode.BOUNDED)
    void aConfigurationIsReadOrRejectedWithAMessage(@ForAll("replacements") List<Replacement> replacements) {
        try {
            Configuration read = ConfigurationReader.read(
                    mutated(CONFIGURATION, replacements).getBytes(StandardCharsets.UTF_8));
            assertFalse(read.routes().stream()
                    .anyMatch(route -> route.timeoutMs() <= 0 || !route.prefix().endsWith("/")));
        } catch (InvalidConfiguration e) {
            assertFalse(e.getMessage().isEmpty());
        }
    }

    @Property(tries = TRIES, seed = SEED, shrinking = ShrinkingMode.BOUNDED)
    void anyBytesAreAConfigurationOrAreRejected(@ForAll @Size(max = 200) byte[] bytes) {
        try {
            ConfigurationReader.read(bytes);
        } catch (InvalidConfiguration e) {
            assertFalse(e.getMessage().isEmpty());
        }
    }

    @Property(tries = TRIES, seed = SEED, shrinking = ShrinkingMode.BOUNDED)
    void settingsAreReadOrRejectedWithAMessage(@ForAll("replacements") List<Replacement> replacements) {
        try {
            BootSettings.read(Json.read(mutated(SETTINGS, replacements)));
        } catch (IOException | IllegalArgumentException e) {
            assertFalse(e.getMessage().isEmpty());
        }
    }

    @Property(tries = TRIES, seed = SEED, shrinking = ShrinkingMode.BOUNDED)
    void peerFramesAreDecodedOrRejectedAsMalformed(
            @ForAll @Size(max = 300) byte[] bytes, @ForAll @IntRange(max = 20) int kind) {
        byte[] frame = bytes.clone();
        if (frame.length > 0) {
            // A valid message kind lets more frames get past the first byte.
            frame[0] = (byte) kind;
        }
        try {
            ByteBuffer again = PeerMessageCodec.write(PeerMessageCodec.read(ByteBuffer.wrap(frame)));
            byte[] written = new byte[again.remaining()];
            again.get(written);
            assertEquals(frame.length, written.length);
        } catch (MalformedDataException e) {
            assertFalse(e.getMessage().isEmpty());
        }
    }

    @Provide
    Arbitrary<List<Member>> voters() {
        return Combinators.combine(
                        Arbitraries.longs(),
                        Arbitraries.strings().alpha().numeric().ofMaxLength(40))
                .as(Member::new)
                .list()
                .ofMaxSize(20);
    }

    @Property(tries = 500, seed = SEED)
    void votersSurviveAnEncodingRoundTrip(@ForAll("voters") List<Member> voters) {
        assertEquals(voters, MemberListCodec.decode(MemberListCodec.encode(voters)));
    }

    @Property(tries = 500, seed = SEED)
    void jointVotersSurviveAnEncodingRoundTrip(
            @ForAll("voters") List<Member> current, @ForAll("voters") List<Member> outgoing) {
        Voters voters = new Voters(current, outgoing);
        assertEquals(voters, Voters.decode(voters.encode()));
    }

    @Property(tries = TRIES, seed = SEED, shrinking = ShrinkingMode.BOUNDED)
    void anyBytesAreVotersOrAreRejected(@ForAll @Size(max = 120) byte[] bytes) {
        try {
            assertArrayEquals(bytes, MemberListCodec.encode(MemberListCodec.decode(bytes)));
        } catch (IllegalArgumentException e) {
            assertFalse(e.getMessage().isEmpty());
        }
        try {
            assertArrayEquals(bytes, Voters.decode(bytes).encode());
        } catch (IllegalArgumentException e) {
            assertFalse(e.getMessage().isEmpty());
        }
    }

    @Property(tries = TRIES, seed = SEED, shrinking = ShrinkingMode.BOUNDED)
    void aSavedHistoryIsLoadedOrRejected(
            @ForAll @IntRange(max = 400) int at, @ForAll byte by, @ForAll @IntRange(max = 400) int length) {
        ConfigurationHistory history = new ConfigurationHistory();
        history.apply(ConfigurationHistory.command(0, 3, "{\"rev\":3}".getBytes(StandardCharsets.UTF_8)));
        history.apply(ConfigurationHistory.command(3, 9, "{\"rev\":9}".getBytes(StandardCharsets.UTF_8)));
        byte[] saved = history.save();
        byte[] corrupted = Arrays.copyOf(saved, Math.min(length, saved.length + 4));
        if (at < corrupted.length) {
            corrupted[at] = by;
        }
        ConfigurationHistory loaded = new ConfigurationHistory();
        try {
            loaded.load(corrupted);
        } catch (IllegalArgumentException e) {
            assertFalse(e.getMessage().isEmpty());
        }
    }
}
