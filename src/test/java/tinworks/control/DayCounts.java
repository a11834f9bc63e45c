package tinworks.control;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import tinworks.control.SimulatedDay.Result;
import tinworks.control.SimulatedDay.Settings;

/**
 * Simulates days and sums up their results. It is thread-safe, and a day that breaks a rule does not stop the others.
 */
final class DayCounts {
    /** Limits the work: shrinking simulates a day dozens of times. */
    private static final int MAX_SHRUNK = 20;

    private final Map<InjectedFault.Kind, Integer> faults = new EnumMap<>(InjectedFault.Kind.class);
    /** The seeds of failed days by the rule that was broken. */
    private final Map<String, List<Long>> seedsByRule = new TreeMap<>();

    private final List<String> reports = new ArrayList<>();
    private long days;
    private long events;
    private long changes;
    private long acknowledged;
    private long refused;
    private long attempts;
    private long resends;
    private long races;
    private long reads;

    /** Simulates one day. */
    void simulate(Settings day) {
        try {
            passed(SimulatedDay.simulate(day));
        } catch (HistoryChecker.RuleViolation e) {
            boolean shrinks = failed(day.seed(), e.rule());
            report(shrinks ? DayShrinker.report(day, e) : DayShrinker.reportUnshrunk(day, e));
        }
    }

    private synchronized void passed(Result day) {
        days++;
        events += day.events();
        changes += day.changes();
        acknowledged += day.acknowledged();
        refused += day.refused();
        attempts += day.attempts();
        resends += day.resends();
        races += day.races();
        reads += day.reads();
        day.faults().forEach((kind, n) -> faults.merge(kind, n, Integer::sum));
    }

    /** Counts a failure; returns whether it is to be shrunk. */
    private synchronized boolean failed(long seed, String rule) {
        days++;
        seedsByRule.computeIfAbsent(rule, r -> new ArrayList<>()).add(seed);
        return failures() <= MAX_SHRUNK;
    }

    private synchronized void report(String text) {
        reports.add(text);
    }

    /** Returns the number of days that broke a rule. */
    synchronized int failures() {
        return seedsByRule.values().stream().mapToInt(List::size).sum();
    }

    /** Returns the report of each failure with its script. */
    synchronized List<String> reports() {
        return List.copyOf(reports);
    }

    /** Returns the seeds of the failed days by rule. */
    synchronized String failuresByRule() {
        return seedsByRule.toString();
    }

    @Override
    public synchronized String toString() {
        return days + " days, " + events + " events, " + changes + " changes in " + attempts + " attempts: "
                + acknowledged
                + " acknowledged, " + refused + " refused; " + races + " races, " + resends + " resends, " + reads
                + " reads; faults " + faults;
    }
}
