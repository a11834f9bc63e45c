package tinworks.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tinworks.config.Configuration.Split;

/**
 * Interns values that many routes share, so that each is in memory once: domains, service names and lists of splits.
 */
public final class ValueInterner {
    private final Map<String, String> texts = new HashMap<>();
    private final Map<List<Split>, List<Split>> lists = new HashMap<>();

    /** The first string seen that equals this one. */
    public String intern(String text) {
        return texts.computeIfAbsent(text, same -> same);
    }

    /** The first list seen that equals this one. */
    public List<Split> internSplits(List<Split> list) {
        return lists.computeIfAbsent(list, same -> same);
    }
}
