package tinworks.control;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import tinworks.control.SimulatedDay.Settings;

/**
 * Simulates random days of the control plane. {@code -Dtinworks.simulation.days=N} sets their number, and
 * {@code -Dtinworks.simulation.seed} the first seed. All days are run; then the test prints a line of totals, and each
 * failure shrunk to few faults, in the form that {@link DayScript} reads.
 */
@ExtendWith(SuppressedLogs.class)
class SimulationTest {
    private static final int DAYS = Integer.getInteger("tinworks.simulation.days", 3_000);
    private static final long FIRST_SEED = Long.getLong("tinworks.simulation.seed", 1);
    private static final int MAX_THREADS = 8;

    @Test
    void daysFromSeedsBreakNoRule() throws Exception {
        DayCounts counts = new DayCounts();
        long began = System.nanoTime();
        simulateAll(counts);
        long seconds = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - began);
        System.out.println("seeds " + FIRST_SEED + " to " + (FIRST_SEED + DAYS - 1) + ": " + counts + " in " + seconds
                + " s, " + counts.failures() + " failures " + counts.failuresByRule());
        counts.reports().forEach(System.out::println);
        Assertions.assertEquals(0, counts.failures(), () -> "days that broke a rule: " + counts.failuresByRule());
    }

    private static void simulateAll(DayCounts counts) throws Exception {
        int processors = Runtime.getRuntime().availableProcessors();
        ExecutorService threads = Executors.newFixedThreadPool(Math.min(MAX_THREADS, processors));
        try {
            List<Future<?>> days = new ArrayList<>();
            for (int i = 0; i < DAYS; i++) {
                Settings day = Settings.of(FIRST_SEED + i);
                days.add(threads.submit(() -> counts.simulate(day)));
            }
            for (Future<?> day : days) {
                day.get();
            }
        } finally {
            threads.shutdownNow();
        }
    }
}
