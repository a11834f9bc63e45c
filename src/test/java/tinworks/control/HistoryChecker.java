package tinworks.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Checks the history of a day for linearizability. The versions in force, which are those that a node has applied, a
 * reader was shown or an operator was acknowledged, must form one chain in which each is based on the one before. No
 * refused change is on it, and a reader is never shown a version older than one that was acknowledged or shown before
 * its request.
 */
final class HistoryChecker {
    /** Thrown when a rule is broken; the message starts with the name of the rule and a colon. */
    static final class RuleViolation extends AssertionError {
        private static final long serialVersionUID = 1L;

        RuleViolation(String message) {
            super(message);
        }

        String rule() {
            return getMessage().split(":", 2)[0];
        }
    }

    final List<OperatorChange> changes = new ArrayList<>();
    private final TreeMap<Long, OperatorChange> inForceByRev = new TreeMap<>();
    private final Map<Long, OperatorChange> inForceByBase = new HashMap<>();
    private final TreeMap<Long, Long> shownRevs = new TreeMap<>();
    /** The highest acknowledged version by the time of its acknowledgement; both increase. */
    private final TreeMap<Long, Long> acknowledgedRevs = new TreeMap<>();

    int acknowledged;
    int refused;
    int reads;

    OperatorChange change(int number) {
        return changes.get(number);
    }

    /** Returns the newest version that is known to be in force, null before the first. */
    OperatorChange newest() {
        return inForceByRev.isEmpty() ? null : inForceByRev.lastEntry().getValue();
    }

    /** Returns the highest version acknowledged up to a time, 0 for none. */
    long acknowledgedBy(long millis) {
        Map.Entry<Long, Long> found = acknowledgedRevs.floorEntry(millis);
        return found == null ? 0 : found.getValue();
    }

    /** Records that a node, reader or operator takes this version as committed. */
    void recordInForce(OperatorChange change, String where, long now) {
        if (change.inForceAt >= 0) {
            return;
        }
        change.inForceAt = now;
        if (!change.valid) {
            throw new RuleViolation("REFUSED IN FORCE: " + where + " has the invalid " + change);
        }
        if (change.refusedAt >= 0) {
            throw new RuleViolation(
                    "REFUSED IN FORCE: " + where + " has " + change + ", which was refused with " + change.refusedWith);
        }
        OperatorChange sameRev = inForceByRev.putIfAbsent(change.rev, change);
        if (sameRev != null) {
            throw new RuleViolation(
                    "TWO OF ONE NUMBER: " + where + " has " + change + ", but " + sameRev + " was in force");
        }
        OperatorChange sameBase = inForceByBase.putIfAbsent(change.base, change);
        if (sameBase != null) {
            throw new RuleViolation(
                    "TWO ON ONE BASE: " + where + " has " + change + ", but " + sameBase + " was in force");
        }
        Map.Entry<Long, OperatorChange> previous = inForceByRev.lowerEntry(change.rev);
        if (previous != null && previous.getKey() > change.base) {
            throw new RuleViolation(
                    "CHAIN: " + where + " has " + change + ", which is not based on " + previous.getValue());
        }
        Map.Entry<Long, OperatorChange> next = inForceByRev.higherEntry(change.rev);
        if (next != null && next.getValue().base < change.rev) {
            throw new RuleViolation(
                    "CHAIN: " + where + " has " + change + ", which " + next.getValue() + " is not based on");
        }
    }

    /** Records that a change was answered with 200. */
    void recordAcknowledged(OperatorChange change, long confirmedRev, long now) {
        if (confirmedRev != change.rev) {
            throw new RuleViolation("NUMBER: " + change + " was acknowledged as version " + confirmedRev);
        }
        recordInForce(change, "the operator's acknowledgement", now);
        if (change.acknowledgedAt < 0) {
            change.acknowledgedAt = now;
            acknowledged++;
            acknowledgedRevs.put(now, Math.max(change.rev, acknowledgedBy(now)));
        }
    }

    /** Records that an attempt of a change got a definite answer other than 200. */
    void recordRefused(OperatorChange change, int status, long attemptedAt, long now) {
        if (change.inForceAt >= 0) {
            throw new RuleViolation("TAKEN AND REFUSED: " + change + " is in force, and was refused with " + status);
        }
        OperatorChange base = inForceByRev.get(change.base);
        if (change.base > 0 && (base == null || base.inForceAt >= attemptedAt)) {
            // It may have arrived before its base version; an earlier attempt that is still in flight may yet
            // be accepted.
            change.refusedBeforeBase = true;
            return;
        }
        boolean superseded = !change.valid
                || change.rev <= change.base
                || !inForceByRev.tailMap(change.base, false).isEmpty();
        if (!superseded) {
            throw new RuleViolation("PROPER ORDER REFUSED: " + change + " with " + status
                    + ", though nothing newer than its base is in force");
        }
        if (change.refusedAt < 0) {
            change.refusedAt = now;
            change.refusedWith = status;
            refused++;
        }
    }

    /**
     * Records that a reader that sent its request at {@code requestedAt} was shown the version of a change, null for
     * none.
     */
    void recordShown(OperatorChange change, long requestedAt, String where, long now) {
        reads++;
        long rev = change == null ? 0 : change.rev;
        long newestKnown = Math.max(acknowledgedBy(requestedAt - 1), shownBy(requestedAt - 1));
        if (rev < newestKnown) {
            throw new RuleViolation("OLD SHOWN: " + where + " showed " + rev + " to a reader that asked after "
                    + newestKnown + " was known");
        }
        if (change != null) {
            recordInForce(change, "the response of " + where, now);
        }
        shownRevs.put(now, Math.max(rev, shownBy(now)));
    }

    private long shownBy(long millis) {
        Map.Entry<Long, Long> found = shownRevs.floorEntry(millis);
        return found == null ? 0 : found.getValue();
    }
}
