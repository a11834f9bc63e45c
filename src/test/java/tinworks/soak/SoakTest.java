package tinworks.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The short form of the soak: real processes, two waves of troubles that overlap, and nothing broken. */
class SoakTest {
    private static final long SECONDS = 21;

    @ParameterizedTest
    @ValueSource(longs = {1, 4})
    @Timeout(value = 150, unit = TimeUnit.SECONDS)
    void aDayOfOverlappingTroublesBreaksNothing(long seed) throws Exception {
        breaksNothing(seed, 2, SECONDS, Schedule.draw(seed, SECONDS, Schedule.usual()));
    }

    /** Series of signals, restarts and changes overlap, beside clients that use each connection until it is closed. */
    @ParameterizedTest
    @ValueSource(longs = {503, 511})
    @Timeout(value = 150, unit = TimeUnit.SECONDS)
    void aDenseDayOfSeriesThatOverlapBreaksNothing(long seed) throws Exception {
        breaksNothing(seed, 3, SECONDS, Schedule.drawDense(seed, SECONDS, Schedule.usual()));
    }

    /**
     * Hundreds of connections each hold a head of thousands of the shortest headers. The edge ended with code 3, three
     * times in ten seconds, and 203 requests of others with it.
     */
    @Test
    @Timeout(value = 100, unit = TimeUnit.SECONDS)
    void headsOfManyShortHeadersEndNoEdgeAndHoldUpNobody() throws Exception {
        breaksNothing(
                14,
                1,
                8,
                List.of(
                        new Trouble(Trouble.Kind.LONG_HEADS, 300, 5_000, 0),
                        new Trouble(Trouble.Kind.LONG_HEADS, 700, 5_000, 1)));
    }

    /** Dozens of clients send long bodies at the same time: others are served, and no process ends. */
    @Test
    @Timeout(value = 100, unit = TimeUnit.SECONDS)
    void longBodiesOfManyClientsEndNoEdgeAndHoldUpNobody() throws Exception {
        List<Trouble> troubles = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            troubles.add(new Trouble(Trouble.Kind.LONG_BODIES, 300 + 400 * i, 4_000, i));
        }
        breaksNothing(11, 1, 7, troubles);
    }

    /** Dozens of clients ask for long answers and don't read them: the same. */
    @Test
    @Timeout(value = 100, unit = TimeUnit.SECONDS)
    void longAnswersThatNobodyReadsEndNoEdgeAndHoldUpNobody() throws Exception {
        List<Trouble> troubles = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            troubles.add(new Trouble(Trouble.Kind.SLOW_READERS, 300 + 400 * i, 4_000, i));
        }
        breaksNothing(12, 1, 7, troubles);
    }

    /** What an operator is told to be in force, every edge can hold. */
    @Test
    @Timeout(value = 100, unit = TimeUnit.SECONDS)
    void anOrderOfNearlyAsManyRoutesAsFitEndsNoEdge() throws Exception {
        breaksNothing(13, 2, 12, List.of(new Trouble(Trouble.Kind.HUGE_ORDERS, 300, 8_000, 0)));
    }

    private static void breaksNothing(long seed, int edges, long seconds, List<Trouble> troubles) throws Exception {
        Path keep = Path.of("target", "soak");
        try (SoakDay day =
                new SoakDay(new SoakPlan(seed, 3, edges, 3, 80, troubles, seconds, SoakPlan.DEPLOYED, keep))) {
            SoakDay.Outcome outcome = day.play();
            for (Trouble trouble : troubles) {
                assertTrue(outcome.coverage().times(trouble.kind()) > 0, trouble.toString());
            }
            System.out.println("soak, seed " + seed + ": " + outcome.figures());
            assertEquals(List.of(), outcome.breaches(), () -> "logs and script: " + outcome.kept());
            assertTrue(outcome.figures().contains("told 200"), outcome.figures());
        }
    }

    @Test
    void aScheduleIsItsSeedsAloneAndReadsBackAsItIsWritten() {
        List<Trouble> drawn = Schedule.draw(7, 60, Schedule.usual());
        assertEquals(drawn, Schedule.draw(7, 60, Schedule.usual()));
        assertTrue(drawn.size() >= 10, drawn.toString());
        List<Trouble> dense = Schedule.drawDense(7, 60, Schedule.usual());
        assertEquals(dense, Schedule.drawDense(7, 60, Schedule.usual()));
        assertTrue(dense.size() >= 60, dense.toString());
        assertEquals(drawn, drawn.stream().map(t -> Trouble.of(t.toString())).toList());
        assertTrue(
                drawn.stream().filter(t -> t.kind() == Trouble.Kind.LOSE_DISK).count() <= 1);
        for (String wrong : List.of("", "kill-core", "kill-core at x for 0 target 1", "no-such at 1 for 0 target 1")) {
            assertThrows(IllegalArgumentException.class, () -> Trouble.of(wrong), wrong);
        }
    }
}
