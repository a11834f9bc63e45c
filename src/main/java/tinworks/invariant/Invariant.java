package tinworks.invariant;

import java.util.concurrent.atomic.AtomicLongArray;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What must hold at all times, whatever goes wrong around this process. Each is checked where it could break, in
 * production as in tests; a violation is counted, shown among the metrics, and logged with what was seen. A check never
 * changes what happens next, but where its place says so.
 *
 * <p>The counts are the process's. Safe for use by several threads.
 */
public enum Invariant {
    /** A request that must not run twice isn't sent again behind an attempt that may have run. */
    RUNS_ONCE,
    /** A status that says "not run" is told only where nothing has run, or a further run does no harm. */
    PROMISE_KEPT,
    /** Nothing is sent for a request that has its final answer, and it gets no second one. */
    ONE_ANSWER,
    /** Each request has its final answer soon after its time is over. */
    ANSWERED_IN_TIME,
    /** A request goes to no more hosts than its route's tries. */
    TRIES_KEPT,
    /** A host is told no more time than its request has left. */
    DEADLINE_KEPT,
    /** No request goes to a host that is known to drain or to be gone. */
    NOT_TO_DRAINED,
    /** What is passed on as a host's success bears the request's own id and the host's seal. */
    OWN_ANSWER,
    /** The version of the configuration in force at a process only rises. */
    VERSION_RISES,
    /** Committed entries are applied each once, in their order, and terms never fall. */
    APPLIED_IN_ORDER,
    /** What is committed at one member is never contradicted by a leader. */
    COMMITTED_STAYS,
    /** There is one leader in a term. */
    ONE_LEADER,
    /** A version is acknowledged only where it is in the applied state. */
    ACKNOWLEDGED_IS_APPLIED,
    /** A configuration that is shown is no older than one that was acknowledged or shown here before. */
    SHOWN_IS_NEWEST,
    /** What is bounded in bytes stays within its bound, and nothing is given back that was not taken. */
    WITHIN_BUDGET,
    /** The program's own faults: exceptions that no code expects. */
    NO_FAULT;

    private static final Logger LOG = LoggerFactory.getLogger(Invariant.class);
    /** Of each invariant so many violations are logged, and then the 32nd, the 64th and so on. */
    private static final long LOGGED_EACH = 16;

    /** By the position of each invariant; of this process. */
    private static final AtomicLongArray VIOLATIONS = new AtomicLongArray(values().length);

    /** Counts a violation where this doesn't hold; what was seen is asked for then alone. */
    public void check(boolean holds, Supplier<String> seen) {
        if (!holds) {
            recordViolation(seen.get());
        }
    }

    /** Counts a violation. */
    public void recordViolation(String seen) {
        long count = VIOLATIONS.incrementAndGet(ordinal());
        if (count <= LOGGED_EACH || Long.bitCount(count) == 1) {
            LOG.error("invariant {} violated ({} times): {}", name(), count, seen);
        }
    }

    /** Counts a violation by a fault of the program, and says where it came from. */
    public void recordException(RuntimeException fault, String doing) {
        StackTraceElement[] trace = fault.getStackTrace();
        recordViolation(doing + ": " + fault + " at " + (trace.length == 0 ? "an unknown place" : trace[0]));
    }

    /** How often it was violated since the process started. */
    public long violations() {
        return VIOLATIONS.get(ordinal());
    }
}
