package tinworks.control;

import java.util.ArrayList;
import java.util.List;
import tinworks.control.SimulatedDay.Settings;

/** Finds fewer troubles that break the same rule. */
final class Shrink {
    private Shrink() {}

    /** The rule that a day breaks, null where it breaks none. */
    static String broken(Settings settings) {
        try {
            SimulatedDay.play(settings);
            return null;
        } catch (HistoryCheck.Broken e) {
            return e.rule();
        }
    }

    /** The day without what it doesn't need to break the rule: first halves are left out, then single troubles. */
    static Settings shrunk(Settings settings, String rule) {
        Settings least = settings;
        if (rule.equals(broken(least.with(SimulatedDay.Closing.NONE)))) {
            least = least.with(SimulatedDay.Closing.NONE);
        }
        for (int part = Math.max(1, least.troubles().size() / 2); part >= 1; part /= 2) {
            for (int from = 0; from < least.troubles().size(); ) {
                List<Trouble> fewer = new ArrayList<>(least.troubles());
                fewer.subList(from, Math.min(fewer.size(), from + part)).clear();
                if (rule.equals(broken(least.with(fewer)))) {
                    least = least.with(fewer);
                } else {
                    from += part;
                }
            }
        }
        return least;
    }

    /** A failure for people: what was broken, the seed, and the script of the fewest troubles. */
    static String report(Settings settings, HistoryCheck.Broken broken) {
        Settings least = shrunk(settings, broken.rule());
        String again;
        try {
            SimulatedDay.play(least);
            again = "not broken again";
        } catch (HistoryCheck.Broken e) {
            again = e.getMessage();
        }
        return "# seed " + settings.seed() + ": " + broken.getMessage() + "\n# shrunk from "
                + settings.troubles().size() + " troubles: " + again + "\n" + DayScript.write(least) + "\n";
    }

    /** A failure and the script of its whole day. */
    static String unshrunk(Settings settings, HistoryCheck.Broken broken) {
        return "# seed " + settings.seed() + ": " + broken.getMessage() + "\n" + DayScript.write(settings) + "\n";
    }
}
