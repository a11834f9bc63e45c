package tinworks.invariant;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import tinworks.metrics.MetricsPage;
import tinworks.net.ByteBudget;

/** Violations are counted and shown; what holds is not looked at twice. */
@BreaksInvariants({Invariant.NO_FAULT, Invariant.WITHIN_BUDGET})
class InvariantTest {
    @Test
    void aViolationIsCountedAndShown() {
        long before = Invariant.NO_FAULT.violations();
        Invariant.NO_FAULT.check(true, () -> {
            throw new IllegalStateException("asked for though it holds");
        });
        assertEquals(before, Invariant.NO_FAULT.violations());
        Invariant.NO_FAULT.check(false, () -> "made by a test");
        assertEquals(before + 1, Invariant.NO_FAULT.violations());
        String page = new String(new MetricsPage().invariantViolations().text(), StandardCharsets.UTF_8);
        String line = "tinworks_invariant_violations_total{invariant=\"no_fault\"} " + (before + 1);
        assertTrue(page.contains(line), page);
        assertEquals(
                Invariant.values().length,
                page.lines().filter(l -> l.startsWith("tinworks_")).count());
    }

    @Test
    void aBudgetThatGetsBackMoreThanItGaveIsNoticed() {
        ByteBudget budget = new ByteBudget(10);
        long before = Invariant.WITHIN_BUDGET.violations();
        assertTrue(budget.tryReserve(4));
        budget.release(4);
        assertEquals(before, Invariant.WITHIN_BUDGET.violations());
        budget.release(1);
        assertEquals(before + 1, Invariant.WITHIN_BUDGET.violations());
    }
}
