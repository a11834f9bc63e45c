package tinworks.invariant;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import tinworks.metrics.MetricsPage;
import tinworks.net.ByteBudget;

/** Violations are counted and exported; details are evaluated only for a violation. */
@BreaksInvariants({Invariant.NO_FAULT, Invariant.WITHIN_BUDGET})
class InvariantTest {
    @Test
    void aViolationIsCountedAndExported() {
        long before = Invariant.NO_FAULT.violations();
        Invariant.NO_FAULT.check(true, () -> {
            throw new IllegalStateException("details evaluated although the invariant holds");
        });
        assertEquals(before, Invariant.NO_FAULT.violations());
        Invariant.NO_FAULT.check(false, () -> "violated by a test");
        assertEquals(before + 1, Invariant.NO_FAULT.violations());
        String page = new String(new MetricsPage().invariantViolations().text(), StandardCharsets.UTF_8);
        String line = "tinworks_invariant_violations_total{invariant=\"no_fault\"} " + (before + 1);
        assertTrue(page.contains(line), page);
        assertEquals(
                Invariant.values().length,
                page.lines().filter(l -> l.startsWith("tinworks_")).count());
    }

    @Test
    void releasingMoreThanWasReservedIsDetected() {
        ByteBudget budget = new ByteBudget(10);
        long before = Invariant.WITHIN_BUDGET.violations();
        assertTrue(budget.tryReserve(4));
        budget.release(4);
        assertEquals(before, Invariant.WITHIN_BUDGET.violations());
        budget.release(1);
        assertEquals(before + 1, Invariant.WITHIN_BUDGET.violations());
    }
}
