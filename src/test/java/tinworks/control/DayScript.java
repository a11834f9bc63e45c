package tinworks.control;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import tinworks.control.SimulatedDay.Closing;
import tinworks.control.SimulatedDay.Settings;

/**
 * The text form of a day, which keeps the day reproducible when the random draws of {@link Settings#of} change:
 * comments after {@code #}, a line of settings as {@code name=value}, and a line for each fault. {@code seeds} may list
 * several seeds, each of which makes a separate day.
 */
final class DayScript {
    private static final String COMMENT = "#";

    private DayScript() {}

    /** Returns the text of a day, without its {@link Mutation}. */
    static String write(Settings day) {
        String settings = "seeds=" + day.seed() + " machines=" + day.machines() + " losses=" + day.losses() + " edges="
                + day.edges() + " applyMillis=" + day.applyMillis() + " onFiles=" + day.onFiles() + " syncMicros="
                + day.syncMicros() + " pauseMillis=" + day.pauseMillis() + " millis=" + day.millis() + " closing="
                + day.closing();
        return Stream.concat(Stream.of(settings), day.faults().stream().map(InjectedFault::toString))
                .collect(Collectors.joining("\n"));
    }

    /** Reads the days of a text, one for each seed. */
    static List<Settings> read(String text) {
        List<String> lines = text.lines()
                .filter(line -> !line.isBlank() && !line.startsWith(COMMENT))
                .toList();
        Map<String, String> values = Arrays.stream(lines.get(0).split("\\s+"))
                .map(pair -> pair.split("=", 2))
                .collect(Collectors.toMap(pair -> pair[0], pair -> pair[1]));
        List<InjectedFault> faults =
                lines.stream().skip(1).map(InjectedFault::parse).toList();
        return Arrays.stream(values.get("seeds").split(","))
                .map(seed -> day(Long.parseLong(seed), values, faults))
                .toList();
    }

    private static Settings day(long seed, Map<String, String> values, List<InjectedFault> faults) {
        Function<String, Long> number = name -> Long.valueOf(values.get(name));
        return new Settings(
                seed,
                number.apply("machines").intValue(),
                number.apply("losses").intValue(),
                number.apply("edges").intValue(),
                number.apply("applyMillis"),
                Boolean.parseBoolean(values.get("onFiles")),
                number.apply("syncMicros"),
                number.apply("pauseMillis"),
                number.apply("millis"),
                faults,
                Closing.valueOf(values.get("closing")),
                Mutation.NONE);
    }
}
