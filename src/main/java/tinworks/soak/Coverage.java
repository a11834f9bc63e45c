package tinworks.soak;

import java.util.EnumMap;
import java.util.Map;
import java.util.StringJoiner;
import tinworks.soak.Trouble.Kind;

/**
 * Which kinds of trouble struck, how often, and how many requests were open where they did: a day that breaks nothing
 * shows nothing of a kind that never struck, or that struck where no traffic was. Safe for use by several threads.
 */
public final class Coverage {
    /** How often a kind struck, and how many requests were open then, all times together. */
    private record Strikes(int times, long open) {
        Strikes and(Strikes more) {
            return new Strikes(times + more.times, open + more.open);
        }
    }

    private final Map<Kind, Strikes> strikes = new EnumMap<>(Kind.class);

    /** Nothing has struck yet. */
    public Coverage() {
        // As the map.
    }

    /** A trouble of this kind strikes now, beside so many open requests. */
    synchronized void struck(Kind kind, int open) {
        strikes.merge(kind, new Strikes(1, open), Strikes::and);
    }

    /** Adds what another day has shown. */
    public synchronized void add(Coverage other) {
        other.copy().forEach((kind, more) -> strikes.merge(kind, more, Strikes::and));
    }

    private synchronized Map<Kind, Strikes> copy() {
        return new EnumMap<>(strikes);
    }

    /** How often a kind struck. */
    synchronized int times(Kind kind) {
        Strikes its = strikes.get(kind);
        return its == null ? 0 : its.times;
    }

    /** A line that names each kind, how often it struck and beside how many open requests, and which never did. */
    public synchronized String text() {
        StringJoiner struck = new StringJoiner(", ");
        StringJoiner never = new StringJoiner(", ");
        for (Kind kind : Kind.values()) {
            Strikes its = strikes.get(kind);
            if (its == null) {
                never.add(kind.word());
            } else {
                struck.add(kind.word() + " " + its.times + " (" + its.open + " open)");
            }
        }
        return "struck: " + struck + "; never: " + never;
    }
}
