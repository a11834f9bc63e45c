package tinworks.invariant;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * Marks a test class that violates invariants deliberately: it removes safeguards and verifies that the violation is
 * detected, or it tests the checks themselves. Other test classes must not violate any.
 */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.TYPE)
public @interface BreaksInvariants {
    /** The invariants that may be violated; all others must still hold. */
    Invariant[] value();
}
