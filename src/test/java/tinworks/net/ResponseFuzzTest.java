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

/** Answers spoilt and cut into reads at any place. */
class ResponseFuzzTest {
    private static final String SEED = "20261202";
    private static final int LARGEST = 64;
    private static final List<String> ANSWERS = List.of(
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nOrigin-Seal: a\r\n\r\nfine",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nfi\r\n2\r\nne\r\n0\r\n\r\n",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
    private static final List<String> PIECES = List.of(
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

    /** What a reader said of the bytes of one request's answer. */
    private static final class Heard implements ResponseReader.Listener {
        private int answered;
        private boolean clean;
        private boolean isSpoilt;
        private String body = "";

        private Heard copy() {
            Heard copy = new Heard();
            copy.answered = answered;
            copy.clean = clean;
            copy.isSpoilt = isSpoilt;
            copy.body = body;
            return copy;
        }

        @Override
        public boolean isAwaitingResponse() {
            return answered == 0 && !isSpoilt;
        }

        @Override
        public boolean isHeadRequest() {
            return false;
        }

        @Override
        public HostPool.ResponseMatch ownerOf(HttpResponse head) {
            return HostPool.ResponseMatch.THIS_REQUEST;
        }

        @Override
        public void onResponse(
                HttpResponse head, ByteBuf bytes, Reservation reserved, boolean framed, boolean nothingBehind) {
            answered++;
            clean = nothingBehind;
            body = bytes.toString(StandardCharsets.US_ASCII);
        }

        @Override
        public void onInvalidResponse() {
            isSpoilt = true;
        }
    }

    /** Reads on as a connection does: it is closed at once after a spoilt answer or one with something behind it. */
    private static Heard hear(String bytes, List<Integer> cuts) {
        Heard heard = new Heard();
        ResponseReader reader = new ResponseReader(heard, LARGEST, new ByteBudget(Long.MAX_VALUE));
        EmbeddedChannel channel = new EmbeddedChannel(reader.decoder(), reader);
        int from = 0;
        for (int i = 0; i <= cuts.size() && channel.isOpen() && heard.isAwaitingResponse(); i++) {
            int to = i == cuts.size() ? bytes.length() : Math.max(from, Math.min(bytes.length(), cuts.get(i)));
            channel.writeInbound(Unpooled.copiedBuffer(bytes.substring(from, to), StandardCharsets.ISO_8859_1));
            from = to;
        }
        // What comes out after that concerns nobody.
        Heard before = heard.isAwaitingResponse() ? heard : heard.copy();
        channel.finishAndReleaseAll();
        return before;
    }

    @Provide
    Arbitrary<List<Integer>> cuts() {
        return Arbitraries.integers()
                .between(0, 120)
                .list()
                .ofMaxSize(6)
                .map(list -> list.stream().sorted().toList());
    }

    @Provide
    Arbitrary<String> spoilt() {
        return Combinators.combine(
                        Arbitraries.of(ANSWERS),
                        Arbitraries.integers().between(0, 120),
                        Arbitraries.integers().between(0, 6),
                        Arbitraries.of(PIECES))
                .as((answer, at, length, by) -> new StringBuilder(answer)
                        .replace(Math.min(at, answer.length()), Math.min(at + length, answer.length()), by)
                        .toString());
    }

    @Property(tries = 4_000, seed = SEED, shrinking = ShrinkingMode.BOUNDED)
    void atMostOneAnswerComesOutAndNoneThatIsTooLong(
            @ForAll("spoilt") String bytes, @ForAll("cuts") List<Integer> cuts) {
        Heard heard = hear(bytes, cuts);
        assertTrue(heard.answered <= 1);
        assertFalse(heard.answered == 1 && heard.isSpoilt);
        assertTrue(heard.body.length() <= LARGEST);
    }

    @Property(tries = 1_000, seed = SEED)
    void aGoodAnswerIsTheSameHoweverItsReadsFall(
            @ForAll @IntRange(max = 2) int which, @ForAll("cuts") List<Integer> cuts) {
        Heard heard = hear(ANSWERS.get(which), cuts);
        assertEquals(1, heard.answered);
        assertTrue(heard.clean);
        assertEquals(which == 2 ? "" : "fine", heard.body);
    }

    @Property(tries = 1_000, seed = SEED)
    void whatIsCutShortIsNoAnswer(
            @ForAll @IntRange(max = 1) int which, @ForAll @IntRange(min = 1, max = 30) int missing) {
        String whole = ANSWERS.get(which);
        Heard heard = hear(whole.substring(0, whole.length() - missing), List.of());
        assertEquals(0, heard.answered);
    }
}
