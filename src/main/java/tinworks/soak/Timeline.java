package tinworks.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * When which machine was in trouble, to judge the rules that bind machines in touch alone. Times are milliseconds of
 * the day. Safe for use by several threads.
 */
final class Timeline {
    /** A machine is in touch again so long after its last trouble, and the core's. */
    static final long CONTACT_MILLIS = 4_000;

    private static final String CORE = "core";

    /** A span of trouble; one that lasts ends at {@link Long#MAX_VALUE}. */
    private record Span(long from, long to) {}

    private final Map<String, List<Span>> spans = new HashMap<>();
    private final Map<String, List<Span>> planned = new HashMap<>();

    /** Planned work on a machine, which excuses less than trouble does: until when it is over, or for good. */
    synchronized void planned(String machine, long from, long to) {
        planned.computeIfAbsent(machine, name -> new ArrayList<>()).add(new Span(from, to));
    }

    /** A machine is in trouble from now on. */
    synchronized void begins(String machine, long at) {
        of(machine).add(new Span(at, Long.MAX_VALUE));
    }

    /** All trouble of a machine that lasts is over. */
    synchronized void ends(String machine, long at) {
        of(machine).replaceAll(span -> span.to == Long.MAX_VALUE ? new Span(span.from, at) : span);
    }

    /** A machine is in trouble between two times, whatever else begins or ends meanwhile. */
    synchronized void lasts(String machine, long from, long to) {
        of(machine).add(new Span(from, to));
    }

    /** A machine had trouble in this moment. */
    synchronized void strikes(String machine, long at) {
        of(machine).add(new Span(at, at));
    }

    private List<Span> of(String machine) {
        return spans.computeIfAbsent(machine.startsWith(CORE) ? CORE : machine, name -> new ArrayList<>());
    }

    /** Whether the machine itself had trouble, planned work left out, between two times. */
    synchronized boolean troubled(String machine, long from, long to) {
        return of(machine).stream().anyMatch(span -> span.from <= to && span.to >= from);
    }

    /**
     * Whether an answer may be late: where its edge was in trouble, or was told to end or started again, shortly before
     * or in the span. Trouble of the core alone excuses no delay.
     */
    synchronized boolean excusesDelay(String edge, long from, long to) {
        long since = from - CONTACT_MILLIS;
        return troubled(edge, since, to) || isPlanned(edge, since, to);
    }

    private boolean isPlanned(String edge, long since, long to) {
        return planned.getOrDefault(edge, List.of()).stream().anyMatch(span -> span.from <= to && span.to >= since);
    }

    /** Whether an edge was in touch throughout a span: neither it nor the core had trouble shortly before or in it. */
    synchronized boolean inTouch(String edge, long from, long to) {
        long since = from - CONTACT_MILLIS;
        return !troubled(edge, since, to) && !troubled(CORE, since, to) && !isPlanned(edge, since, to);
    }

    /** Whether the core was settled throughout a span. */
    synchronized boolean settled(long from, long to) {
        return !troubled(CORE, from - CONTACT_MILLIS, to);
    }
}
