package tinworks.invariant;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.extension.AfterAllCallback;
import org.junit.jupiter.api.extension.BeforeAllCallback;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.ExtensionContext.Namespace;

/**
 * A JUnit extension that fails every test class in which an invariant was violated, even if its tests pass. Registered
 * for all classes under {@code META-INF/services}.
 */
public final class InvariantCheck implements BeforeAllCallback, AfterAllCallback {
    private static final Namespace STORE = Namespace.create(InvariantCheck.class);

    /** The violation counts before a class's first test. */
    private record Before(Map<Invariant, Long> counts) {}

    @Override
    public void beforeAll(ExtensionContext context) {
        context.getStore(STORE)
                .put(context.getRequiredTestClass(), new Before(counts(EnumSet.noneOf(Invariant.class))));
    }

    @Override
    public void afterAll(ExtensionContext context) {
        Class<?> tests = context.getRequiredTestClass();
        Set<Invariant> allowed = EnumSet.noneOf(Invariant.class);
        for (Class<?> each = tests; each != null; each = each.getEnclosingClass()) {
            BreaksInvariants breaks = each.getAnnotation(BreaksInvariants.class);
            allowed.addAll(breaks == null ? Set.of() : Arrays.asList(breaks.value()));
        }
        Map<Invariant, Long> before =
                context.getStore(STORE).get(tests, Before.class).counts();
        allowed.forEach(before::remove);
        assertEquals(before, counts(allowed), "invariant violations in " + context.getDisplayName());
    }

    private static Map<Invariant, Long> counts(Set<Invariant> excluded) {
        Map<Invariant, Long> counts = new EnumMap<>(Invariant.class);
        for (Invariant invariant : Invariant.values()) {
            if (!excluded.contains(invariant)) {
                counts.put(invariant, invariant.violations());
            }
        }
        return counts;
    }
}
