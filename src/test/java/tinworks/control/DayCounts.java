package tinworks.control;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import tinworks.control.SimulatedDay.Result;
import tinworks.control.SimulatedDay.Settings;

/** Plays days and counts what they came to; may be shared by threads. A day that breaks a rule ends no other. */
final class DayCounts {
    /** Each day that is shrunk is played dozens of times. */
    private static final int MOST_SHRUNK = 20;

    private final Map<Trouble.Kind, Integer> troubles = new EnumMap<>(Trouble.Kind.class);
    /** Seeds by the rule that their days broke. */
    private final Map<String, List<Long>> broken = new TreeMap<>();

    private final List<String> reports = new ArrayList<>();
    private long days;
    private long events;
    private long orders;
    private long acknowledged;
    private long refused;
    private long tries;
    private long repeats;
    private long races;
    private long shows;

    /** Plays one day. */
    void play(Settings day) {
        try {
            passed(SimulatedDay.play(day));
        } catch (HistoryCheck.Broken e) {
            boolean shrinks = failed(day.seed(), e.rule());
            report(shrinks ? Shrink.report(day, e) : Shrink.unshrunk(day, e));
        }
    }

    private synchronized void passed(Result day) {
        days++;
        events += day.events();
        orders += day.orders();
        acknowledged += day.acknowledged();
        refused += day.refused();
        tries += day.tries();
        repeats += day.repeats();
        races += day.races();
        shows += day.shows();
        day.troubles().forEach((kind, n) -> troubles.merge(kind, n, Integer::sum));
    }

    /** Counts a failure; true where there are few enough of them for it to be shrunk. */
    private synchronized boolean failed(long seed, String rule) {
        days++;
        broken.computeIfAbsent(rule, r -> new ArrayList<>()).add(seed);
        return failures() <= MOST_SHRUNK;
    }

    private synchronized void report(String text) {
        reports.add(text);
    }

    /** How many days broke a rule. */
    synchronized int failures() {
        return broken.values().stream().mapToInt(List::size).sum();
    }

    /** Each failure with its script. */
    synchronized List<String> reports() {
        return List.copyOf(reports);
    }

    /** The seeds of the days that failed, by the rule. */
    synchronized String failuresByRule() {
        return broken.toString();
    }

    @Override
    public synchronized String toString() {
        return days + " days, " + events + " events, " + orders + " orders in " + tries + " tries: " + acknowledged
                + " acknowledged, " + refused + " refused; " + races + " races, " + repeats + " repeats, " + shows
                + " shows; troubles " + troubles;
    }
}
