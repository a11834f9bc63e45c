package tinworks.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import tinworks.soak.Breach;
import tinworks.soak.Coverage;
import tinworks.soak.Schedule;
import tinworks.soak.SoakDay;
import tinworks.soak.SoakPlan;
import tinworks.soak.Trouble;

/** Plays days of real processes under troubles that overlap. */
@Command(
        name = "soak",
        mixinStandardHelpOptions = true,
        description =
                "Plays days of a whole deployment of real processes on loopback, under troubles that overlap, and judges them.",
        footer = {"", "Exit code 1 where a promise was broken on any day."})
final class SoakCommand implements Callable<Integer> {
    /** The others stand in the day's folder. */
    private static final int SHOWN_OF_RULE = 4;

    private static final int MOST_SEEDS = 10_000;
    private static final int MOST_SECONDS = 3_600;
    private static final int MOST_AT_ONCE = 8;
    private static final int MOST_CORES = 9;
    private static final int MOST_EDGES = 150;
    private static final int MOST_PER_SECOND = 1_000;

    @Spec
    private CommandSpec spec;

    @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "the first seed (${DEFAULT-VALUE})")
    private long seed;

    @Option(names = "--seeds", paramLabel = "N", defaultValue = "1", description = "how many days (${DEFAULT-VALUE})")
    private int seeds;

    @Option(
            names = "--for",
            paramLabel = "SECONDS",
            defaultValue = "32",
            description = "how long each lasts, its start and the calm at its end left out (${DEFAULT-VALUE})")
    private int seconds;

    @Option(
            names = "--at-once",
            paramLabel = "N",
            defaultValue = "1",
            description = "how many are played beside each other (${DEFAULT-VALUE})")
    private int atOnce;

    @Option(names = "--cores", paramLabel = "N", defaultValue = "3", description = "core machines (${DEFAULT-VALUE})")
    private int cores;

    @Option(names = "--edges", paramLabel = "N", defaultValue = "3", description = "edges (${DEFAULT-VALUE})")
    private int edges;

    @Option(
            names = "--rate",
            paramLabel = "N",
            defaultValue = "120",
            description = "requests a second (${DEFAULT-VALUE})")
    private double rate;

    @Option(
            names = "--only",
            split = ",",
            paramLabel = "KIND",
            description = "draw from these troubles alone, such as kill-leader,lose-acks")
    private List<String> only = List.of();

    @Option(names = "--without", split = ",", paramLabel = "KIND", description = "draw none of these")
    private List<String> without = List.of();

    @Option(
            names = "--dense",
            description = "one trouble begins every half second, in place of waves with calm between them")
    private boolean dense;

    @Option(
            names = "--script",
            paramLabel = "FILE",
            description = "play these troubles, a line each, in place of drawn ones")
    private Path script;

    @Option(names = "--keep", paramLabel = "DIR", description = "where logs and scripts of days with a breach go")
    private Path keep;

    private final Coverage coverage = new Coverage();

    @Override
    public Integer call() throws IOException, InterruptedException {
        Arguments.within(spec, "--seeds", seeds, 1, MOST_SEEDS);
        Arguments.within(spec, "--for", seconds, 5, MOST_SECONDS);
        Arguments.within(spec, "--at-once", atOnce, 1, MOST_AT_ONCE);
        Arguments.within(spec, "--cores", cores, 3, MOST_CORES);
        Arguments.within(spec, "--edges", edges, 1, MOST_EDGES);
        Arguments.within(spec, "--rate", rate, 1, MOST_PER_SECOND);
        Set<Trouble.Kind> kinds = kinds();
        ExecutorService days = Executors.newFixedThreadPool(atOnce);
        List<Future<Boolean>> played = new ArrayList<>();
        for (long i = seed; i < seed + seeds; i++) {
            long its = i;
            played.add(days.submit(() -> play(its, kinds)));
        }
        days.shutdown();
        int broken = 0;
        for (Future<Boolean> day : played) {
            broken += isClean(day) ? 0 : 1;
        }
        say(coverage.text());
        say(seeds + " days, " + broken + " with a breach");
        return broken == 0 ? 0 : 1;
    }

    private static boolean isClean(Future<Boolean> day) throws InterruptedException, IOException {
        try {
            return day.get();
        } catch (ExecutionException e) {
            throw new IOException("a day could not be played: " + e.getCause(), e);
        }
    }

    private boolean play(long its, Set<Trouble.Kind> kinds) throws IOException, InterruptedException {
        List<Trouble> troubles = script == null ? draw(its, kinds) : read(script);
        SoakPlan plan = new SoakPlan(its, cores, edges, 4, rate, troubles, seconds, SoakPlan.DEPLOYED, keep);
        SoakDay day = new SoakDay(plan);
        Thread atCtrlC = new Thread(() -> close(day), "end of a day");
        Runtime.getRuntime().addShutdownHook(atCtrlC);
        try (day) {
            SoakDay.Outcome outcome = day.play();
            coverage.add(outcome.coverage());
            StringBuilder said = new StringBuilder()
                    .append("seed ")
                    .append(its)
                    .append(": ")
                    .append(outcome.breaches().size())
                    .append(" breaches; ")
                    .append(outcome.figures());
            Map<String, Integer> ofRule = new HashMap<>();
            for (Breach breach : outcome.breaches()) {
                if (ofRule.merge(breach.rule(), 1, Integer::sum) <= SHOWN_OF_RULE) {
                    said.append("\n    ").append(breach);
                }
            }
            said.append(ofRule.isEmpty() ? "" : "\n    " + ofRule);
            if (outcome.kept() != null) {
                said.append("\n    kept in ").append(outcome.kept());
            }
            say(said.toString());
            return outcome.breaches().isEmpty();
        } finally {
            Runtime.getRuntime().removeShutdownHook(atCtrlC);
        }
    }

    private List<Trouble> draw(long its, Set<Trouble.Kind> kinds) {
        return dense ? Schedule.drawDense(its, seconds, kinds) : Schedule.draw(its, seconds, kinds);
    }

    private synchronized void say(String text) {
        PrintWriter out = spec.commandLine().getOut();
        out.println(text);
        out.flush();
    }

    private Set<Trouble.Kind> kinds() {
        Set<Trouble.Kind> kinds = only.isEmpty() ? Schedule.usual() : EnumSet.noneOf(Trouble.Kind.class);
        only.forEach(word -> kinds.add(kind(word)));
        without.forEach(word -> kinds.remove(kind(word)));
        return kinds;
    }

    private Trouble.Kind kind(String word) {
        try {
            return Trouble.Kind.valueOf(word.toUpperCase(Locale.ROOT).replace('-', '_'));
        } catch (IllegalArgumentException e) {
            throw new ParameterException(spec.commandLine(), "no trouble '" + word + "'", e);
        }
    }

    private static List<Trouble> read(Path file) throws IOException {
        return Files.readAllLines(file).stream()
                .filter(line -> !line.isBlank() && !line.startsWith("#"))
                .map(Trouble::of)
                .toList();
    }

    private static void close(SoakDay day) {
        try {
            day.close();
        } catch (IOException e) {
            System.err.println("tinworks: can't delete a day's folder: " + e.getMessage());
        }
    }
}
