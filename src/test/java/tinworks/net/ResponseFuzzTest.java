package tinworks.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;

/** Fuzzes {@link ResponseReader} with corrupted responses that are split into reads at arbitrary offsets. */
class ResponseFuzzTest {
    private static final String SEED = "20261202";
    private static final int MAX_BODY_BYTES = 64;
    private static final List<String> RESPONSES = List.of(
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nOrigin-Seal: a\r\n\r\nfine",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nfi\r\n2\r\nne\r\n0\r\n\r\n",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
    private static final List<String> INSERTIONS = List.of(
            "\r\n",
            "\r",
            "\n",
            "\0",
            ":",
            "HTTP/1.1 200 OK\r\n",
            "Content-Length: 99999\r\n",
            "0\r\n\r\n",
            "ffffffff\r\n",
            "Content-Length: 2\r\n",
            " ",
            "HTTP/1.1 101 Switching Protocols\r\n\r\n");

    /** Records what a reader reports for the bytes received after one request. */
    private static final class RecordingListener implements ResponseReader.Listener {
        private int responses;
        private boolean clean;
        private boolean isInvalid;
        private String body = "";

        private RecordingListener copy() {
            RecordingListener copy = new RecordingListener();
            copy.responses = responses;
            copy.clean = clean;
            copy.isInvalid = isInvalid;
            copy.body = body;
            return copy;
        }

        @Override
        public boolean isAwaitingResponse() {
            return responses == 0 && !isInvalid;
        }

        @Override
        public boolean isHeadRequest() {
            return false;
        }

        @Override
        public HostPool.ResponseMatch match(HttpResponse head) {
            return HostPool.ResponseMatch.THIS_REQUEST;
        }

        @Override
        public void onResponse(
                HttpResponse head, ByteBuf bytes, Reservation reserved, boolean framed, boolean isClean) {
            responses++;
            clean = isClean;
            body = bytes.toString(StandardCharsets.US_ASCII);
        }

        @Override
        public void onInvalidResponse() {
            isInvalid = true;
        }
    }

    /** Reads like a connection, which closes at once after an invalid response or one followed by more bytes. */
    private static RecordingListener read(String bytes, List<Integer> splits) {
        RecordingListener result = new RecordingListener();
        ResponseReader reader = new ResponseReader(result, MAX_BODY_BYTES, new ByteBudget(Long.MAX_VALUE));
        EmbeddedChannel channel = new EmbeddedChannel(reader.decoder(), reader);
        int from = 0;
        for (int i = 0; i <= splits.size() && channel.isOpen() && result.isAwaitingResponse(); i++) {
            int to = i == splits.size() ? bytes.length() : Math.max(from, Math.min(bytes.length(), splits.get(i)));
            channel.writeInbound(Unpooled.copiedBuffer(bytes.substring(from, to), StandardCharsets.ISO_8859_1));
            from = to;
        }
        // Reports after the close do not count.
        RecordingListener before = result.isAwaitingResponse() ? result : result.copy();
        channel.finishAndReleaseAll();
        return before;
    }

    @Provide
    Arbitrary<List<Integer>> splits() {
        return Arbitraries.integers()
                .between(0, 120)
                .list()
                .ofMaxSize(6)
                .map(list -> list.stream().sorted().toList());
    }

    @Provide
    Arbitrary<String> corrupted() {
        return Combinators.combine(
                        Arbitraries.of(RESPONSES),
                        Arbitraries.integers().between(0, 120),
                        Arbitraries.integers().between(0, 6),
                        Arbitraries.of(INSERTIONS))
                .as((response, at, length, insertion) -> new StringBuilder(response)
                        .replace(Math.min(at, response.length()), Math.min(at + length, response.length()), insertion)
                        .toString());
    }

    @Property(tries = 4_000, seed = SEED, shrinking = ShrinkingMode.BOUNDED)
    void reportsAtMostOneResponseAndNoneOverTheLimit(
            @ForAll("corrupted") String bytes, @ForAll("splits") List<Integer> splits) {
        RecordingListener result = read(bytes, splits);
        assertTrue(result.responses <= 1);
        assertFalse(result.responses == 1 && result.isInvalid);
        assertTrue(result.body.length() <= MAX_BODY_BYTES);
    }

    @Property(tries = 1_000, seed = SEED)
    void aValidResponseDoesNotDependOnHowReadsSplitIt(
            @ForAll @IntRange(max = 2) int which, @ForAll("splits") List<Integer> splits) {
        RecordingListener result = read(RESPONSES.get(which), splits);
        assertEquals(1, result.responses);
        assertTrue(result.clean);
        assertEquals(which == 2 ? "" : "fine", result.body);
    }

    @Property(tries = 1_000, seed = SEED)
    void aTruncatedResponseIsNotReported(
            @ForAll @IntRange(max = 1) int which, @ForAll @IntRange(min = 1, max = 30) int missing) {
        String complete = RESPONSES.get(which);
        RecordingListener result = read(complete.substring(0, complete.length() - missing), List.of());
        assertEquals(0, result.responses);
    }
}
