package tinworks.control;

import java.util.ArrayList;
import java.util.List;
import tinworks.control.SimulatedDay.Settings;

/** Shrinks a failing day to fewer faults that still break the same rule. */
final class DayShrinker {
    private DayShrinker() {}

    /** Simulates a day and returns the rule that it breaks, null for none. */
    static String brokenRule(Settings settings) {
        try {
            SimulatedDay.simulate(settings);
            return null;
        } catch (HistoryChecker.RuleViolation e) {
            return e.rule();
        }
    }

    /**
     * Returns the day without the faults that the failure does not need: first halves are removed, then ever smaller
     * groups down to single faults.
     */
    static Settings shrink(Settings settings, String rule) {
        Settings smallest = settings;
        if (rule.equals(brokenRule(smallest.with(SimulatedDay.Closing.NONE)))) {
            smallest = smallest.with(SimulatedDay.Closing.NONE);
        }
        for (int groupSize = Math.max(1, smallest.faults().size() / 2); groupSize >= 1; groupSize /= 2) {
            for (int from = 0; from < smallest.faults().size(); ) {
                List<InjectedFault> candidate = new ArrayList<>(smallest.faults());
                candidate
                        .subList(from, Math.min(candidate.size(), from + groupSize))
                        .clear();
                if (rule.equals(brokenRule(smallest.with(candidate)))) {
                    smallest = smallest.with(candidate);
                } else {
                    from += groupSize;
                }
            }
        }
        return smallest;
    }

    /** Formats a failure: the broken rule, the seed, and the script of the shrunk day. */
    static String report(Settings settings, HistoryChecker.RuleViolation violation) {
        Settings smallest = shrink(settings, violation.rule());
        String outcome;
        try {
            SimulatedDay.simulate(smallest);
            outcome = "no rule broken";
        } catch (HistoryChecker.RuleViolation e) {
            outcome = e.getMessage();
        }
        return "# seed " + settings.seed() + ": " + violation.getMessage() + "\n# shrunk from "
                + settings.faults().size() + " faults: " + outcome + "\n" + DayScript.write(smallest) + "\n";
    }

    /** Formats a failure and the script of the whole day. */
    static String reportUnshrunk(Settings settings, HistoryChecker.RuleViolation violation) {
        return "# seed " + settings.seed() + ": " + violation.getMessage() + "\n" + DayScript.write(settings) + "\n";
    }
}
