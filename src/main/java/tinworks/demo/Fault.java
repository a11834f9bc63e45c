package tinworks.demo;

import java.util.Arrays;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * Something that goes wrong at a time.
 *
 * @param atSeconds counted from the start of traffic, 0 or more
 */
public record Fault(double atSeconds, Kind kind) {
    /** What can go wrong. */
    public enum Kind {
        /** The leading core machine's process is killed. */
        KILL_LEADER,
        /** An edge's process is killed. */
        KILL_EDGE,
        /** All processes are killed at once. */
        KILL_ALL,
        /** An edge is asked to end, as for a rolling restart. */
        TERM_EDGE,
        /** A host takes six times as long. */
        SLOW_HOST,
        /** A host drains, and ends. */
        DRAIN_HOST,
        /** A host ends without a word. */
        END_HOST,
        /** The operator sends a new version. */
        CONFIG;

        /** As it is written on the command line. */
        public String word() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }

        /** Reads a word. */
        public static Kind of(String word) {
            return Arrays.stream(values())
                    .filter(kind -> kind.word().equals(word))
                    .findFirst()
                    .orElseThrow(() -> new IllegalArgumentException("no fault '" + word + "'; there are " + words()));
        }

        private static String words() {
            return Arrays.stream(values()).map(Kind::word).collect(Collectors.joining(", "));
        }
    }

    /** Reads {@code SECONDS:KIND}. */
    public static Fault of(String text) {
        String[] parts = text.split(":", 2);
        try {
            double at = Double.parseDouble(parts[0]);
            if (parts.length == 2 && at >= 0) {
                return new Fault(at, Kind.of(parts[1]));
            }
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(
                    "not a fault: '" + text + "', wanted SECONDS:KIND, such as 5:kill-leader", e);
        }
        throw new IllegalArgumentException("not a fault: '" + text + "', wanted SECONDS:KIND, such as 5:kill-leader");
    }
}
