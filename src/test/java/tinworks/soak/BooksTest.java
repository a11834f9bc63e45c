package tinworks.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import tinworks.policy.LoadBalancerApi.Outcome;
import tinworks.soak.Books.Sent;

/** The books notice each breach that they are for, and excuse what the rules excuse. */
class BooksTest {
    private static final String EDGE = "127.0.0.101:8080";
    private static final byte[] BODY = "body".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] OTHER = "other".getBytes(StandardCharsets.US_ASCII);

    private final Timeline timeline = new Timeline();
    private final Books books = new Books(timeline);

    @BeforeEach
    void send() {
        books.allows("/book/", "book");
        books.sent("a-1", new Sent(EDGE, true, true, "POST", "/book/a", BODY, 1_000));
    }

    private void runs() {
        books.arrived("a-1", "h", Long.MAX_VALUE);
        books.ran("a-1", "h", "book", "POST", "/book/a", BODY);
    }

    private void broken(String... rules) {
        assertEquals(List.of(rules), books.breaches().stream().map(Breach::rule).toList(), books.breaches()::toString);
    }

    @Test
    void aRunThatIsAnsweredAsItWasBreaksNothing() {
        runs();
        books.answers("a-1", 200, BODY);
        books.answered("a-1", 200, "seal-200-h-a-1", BODY);
        broken();
    }

    @Test
    void anotherBodyNoSealAndAStatusUnderAnothersSeal() {
        runs();
        books.answers("a-1", 200, BODY);
        books.answered("a-1", 200, "seal-200-h-a-1", OTHER);
        books.answered("a-1", 200, null, BODY);
        books.answered("a-1", 500, "seal-200-h-a-1", BODY);
        broken("MIXED", "MIXED", "MIXED");
    }

    @Test
    void aSecondRunAnotherPathAnotherServiceAndWhatNobodySent() {
        runs();
        runs();
        books.sent("b-1", new Sent(EDGE, false, true, "GET", "/book/b", BODY, 1_000));
        books.ran("b-1", "h", "book", "GET", "/book/c", BODY);
        books.ran("b-1", "h", "lookup", "GET", "/book/b", BODY);
        books.ran("c-1", "h", "book", "GET", "/book/c", BODY);
        broken("TWICE", "UNASKED", "ROUTE", "UNASKED");
    }

    @Test
    void aPromiseBeforeOrAfterARun() {
        books.answered("a-1", 503, null, BODY);
        runs();
        books.answered("a-1", 429, null, BODY);
        broken("REFUSED", "REFUSED");
    }

    @Test
    void aConnectionClosedUnderARequestButNotInTrouble() {
        runs();
        books.ended("a-1", Outcome.RESET, null);
        broken("LOST");
        timeline.strikes(EDGE, books.now());
        books.ended("a-1", Outcome.RESET, null);
        broken("LOST");
    }

    @Test
    void aRefusalOfWhatIsAllowedAndNoAnswerAtAll() {
        books.answered("a-1", 404, null, BODY);
        books.ended("a-1", Outcome.TIMED_OUT, null);
        broken("DENIED", "LATE");
    }

    /** A host gets requests for a client that has left: at an edge in touch alone, and a few may cross its leave. */
    @Test
    void workForAClientThatHasLeft() throws InterruptedException {
        for (int i = 0; i < 5; i++) {
            books.sent("l" + i + "-1", new Sent(EDGE, false, false, "GET", "/book/l", BODY, 1_000));
            books.left("l" + i + "-1");
        }
        assertEquals(1, books.open(EDGE), "the one that was sent first");
        TimeUnit.MILLISECONDS.sleep(Books.GONE_MILLIS + 20);
        long now = books.now();
        timeline.planned("127.0.0.102:8080", now, now);
        for (int i = 0; i < 5; i++) {
            books.arrived("l" + i + "-1", "h", Long.MAX_VALUE);
        }
        broken("GONE", "GONE");
        timeline.planned(EDGE, now, now);
        books.arrived("l0-1", "h", Long.MAX_VALUE);
        broken("GONE", "GONE");
    }

    @Test
    void troublesThatOverlapEndEachAtItsOwnTime() {
        timeline.lasts(EDGE, 10_000, 20_000);
        timeline.lasts(EDGE, 11_000, 12_000);
        timeline.begins("core-1", 30_000);
        timeline.lasts("core-1", 31_000, 40_000);
        timeline.ends("core-1", 32_000);
        assertEquals(
                List.of(true, false, true),
                List.of(
                        timeline.troubled(EDGE, 15_000, 15_000),
                        timeline.troubled(EDGE, 20_001, 21_000),
                        timeline.troubled("core-1", 39_000, 39_000)));
    }

    @Test
    void plannedWorkLeavesAnEdgeOutOfTouchAndExcusesNothingElse() {
        timeline.planned(EDGE, 10_000, 12_000);
        assertEquals(
                List.of(false, true, false),
                List.of(
                        timeline.inTouch(EDGE, 15_000, 15_100),
                        timeline.inTouch(EDGE, 16_100, 16_200),
                        timeline.troubled(EDGE, 0, 20_000)));
        timeline.begins("core-1", 20_000);
        timeline.ends("core-1", 21_000);
        assertEquals(List.of(false, true), List.of(timeline.settled(24_900, 24_950), timeline.settled(25_100, 25_200)));
    }
}
