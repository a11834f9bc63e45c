package tinworks.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tinworks.config.Configuration.Split;

/** What many routes have alike, so that it is in memory once: names of domains and services, and lists of parts. */
public final class ValueInterner {
    private final Map<String, String> texts = new HashMap<>();
    private final Map<List<Split>, List<Split>> lists = new HashMap<>();

    /** The text that is equal to this one and was seen first. */
    public String intern(String text) {
        return texts.computeIfAbsent(text, same -> same);
    }

    /** The list that is equal to this one and was seen first. */
    public List<Split> internSplits(List<Split> list) {
        return lists.computeIfAbsent(list, same -> same);
    }
}
