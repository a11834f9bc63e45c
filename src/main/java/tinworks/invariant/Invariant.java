package tinworks.invariant;

import java.util.concurrent.atomic.AtomicLongArray;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The invariants that must hold at all times, whatever fails around this process. Each is checked where it could break,
 * in production as in tests. A violation is counted, exported as a metric, and logged with details. A check does not
 * change the control flow, except where the calling code says so.
 *
 * <p>The counts are per process. Thread-safe.
 */
public enum Invariant {
    /** A request that must not run twice is not retried after an attempt that may have run. */
    RUNS_ONCE,
    /** A "not run" status is sent only if nothing has run, or if running again does no harm. */
    PROMISE_KEPT,
    /** After its final answer a request causes no further attempts and gets no second answer. */
    ONE_ANSWER,
    /** Each request gets its final answer soon after its deadline at the latest. */
    ANSWERED_IN_TIME,
    /** A request is sent to no more hosts than its route's limit of attempts. */
    TRIES_KEPT,
    /** The deadline sent to a host is no longer than the remaining time of the request. */
    DEADLINE_KEPT,
    /** No request is sent to a host that is known to be draining or removed. */
    NOT_TO_DRAINED,
    /** An answer forwarded as a host's success carries the id of the request and the seal of the host. */
    OWN_ANSWER,
    /** The version of the configuration in force in a process only increases. */
    VERSION_RISES,
    /** Committed entries are applied once each and in order, and terms never decrease. */
    APPLIED_IN_ORDER,
    /** A leader never contradicts an entry that a member has committed. */
    COMMITTED_STAYS,
    /** A term has at most one leader. */
    ONE_LEADER,
    /** A version is acknowledged only if the applied state contains it. */
    ACKNOWLEDGED_IS_APPLIED,
    /** A configuration shown is no older than any that this process acknowledged or showed before. */
    SHOWN_IS_NEWEST,
    /** A byte budget stays within its limit, and no more is released than was reserved. */
    WITHIN_BUDGET,
    /** No unexpected exceptions, which are faults of the program. */
    NO_FAULT;

    private static final Logger LOG = LoggerFactory.getLogger(Invariant.class);
    /** The first violations of each invariant are all logged, then the 32nd, the 64th and so on. */
    private static final long ALWAYS_LOGGED = 16;

    /** Violations in this process, indexed by ordinal. */
    private static final AtomicLongArray VIOLATIONS = new AtomicLongArray(values().length);

    /** Counts a violation unless the condition holds; the details are evaluated only then. */
    public void check(boolean holds, Supplier<String> details) {
        if (!holds) {
            recordViolation(details.get());
        }
    }

    /** Counts a violation, and logs it unless it is one of many. */
    public void recordViolation(String details) {
        long count = VIOLATIONS.incrementAndGet(ordinal());
        if (count <= ALWAYS_LOGGED || Long.bitCount(count) == 1) {
            LOG.error("invariant {} violated ({} times): {}", name(), count, details);
        }
    }

    /** Counts an unexpected exception as a violation, with the place that threw it. */
    public void recordException(RuntimeException exception, String activity) {
        StackTraceElement[] trace = exception.getStackTrace();
        recordViolation(activity + ": " + exception + " at " + (trace.length == 0 ? "an unknown location" : trace[0]));
    }

    /** The number of violations since the process started. */
    public long violations() {
        return VIOLATIONS.get(ordinal());
    }
}
