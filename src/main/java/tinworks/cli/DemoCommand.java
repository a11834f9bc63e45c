package tinworks.cli;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import tinworks.demo.Changes;
import tinworks.demo.Demo;
import tinworks.demo.Fault;

/** Plays a whole deployment on loopback. */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description =
                "Plays a whole deployment on this machine's loopback addresses: core and edge processes, hosts, clients.",
        footer = {
            "",
            "Faults: kill-leader, kill-edge, kill-all, term-edge, slow-host, drain-host, end-host, config.",
            "Exit code 1 where a request ran twice or against a promise, or none was served; with --changes, where one was not",
            "acknowledged, or the member that is killed in the middle had not caught up within 5 s."
        })
final class DemoCommand implements Callable<Integer> {
    private static final int MOST_MACHINES = 50;
    private static final int MOST_HOSTS = 300;
    private static final int MOST_PER_SECOND = 2_000;
    private static final int MOST_SECONDS = 3_600;
    private static final int MOST_CHANGES = 800_000;
    private static final int MOST_ROUTES = 50_000;

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--for",
            paramLabel = "SECONDS",
            defaultValue = "15",
            description = "how long clients ask (${DEFAULT-VALUE})")
    private int seconds;

    @Option(
            names = "--rate",
            paramLabel = "N",
            defaultValue = "150",
            description = "requests a second (${DEFAULT-VALUE})")
    private double rate;

    @Option(names = "--cores", paramLabel = "N", defaultValue = "3", description = "core machines (${DEFAULT-VALUE})")
    private int cores;

    @Option(names = "--edges", paramLabel = "N", defaultValue = "4", description = "edges (${DEFAULT-VALUE})")
    private int edges;

    @Option(
            names = "--hosts",
            paramLabel = "N",
            defaultValue = "6",
            description = "hosts of each of three services (${DEFAULT-VALUE})")
    private int hosts;

    @Option(
            names = "--seed",
            paramLabel = "N",
            defaultValue = "1",
            description = "of arrivals, work and picks (${DEFAULT-VALUE})")
    private long seed;

    @Option(
            names = "--fault",
            paramLabel = "SECONDS:KIND",
            converter = Arguments.FaultConverter.class,
            description = "something that goes wrong; may be repeated")
    private List<Fault> faults = new ArrayList<>();

    @Option(
            names = "--routes",
            paramLabel = "N",
            defaultValue = "1240",
            description = "with --changes: routes of each configuration (${DEFAULT-VALUE})")
    private int routes;

    @Option(
            names = "--changes",
            paramLabel = "N",
            defaultValue = "0",
            description = "play core machines alone, which take so many whole configurations one on the other")
    private int changes;

    @Option(
            names = "--java-option",
            paramLabel = "OPTION",
            description =
                    "an option of each process of the system, in place of the usual ones; {node} is its machine's name")
    private List<String> javaOptions =
            new ArrayList<>(List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx64m"));

    @Override
    public Integer call() throws IOException, InterruptedException {
        Arguments.within(spec, "--for", seconds, 1, MOST_SECONDS);
        Arguments.within(spec, "--rate", rate, 1, MOST_PER_SECOND);
        Arguments.within(spec, "--cores", cores, 3, MOST_MACHINES);
        Arguments.within(spec, "--edges", edges, 1, MOST_MACHINES);
        Arguments.within(spec, "--hosts", hosts, 2, MOST_HOSTS);
        if (changes > 0) {
            return playChanges();
        }
        Demo demo = new Demo(
                new Demo.Plan(cores, edges, hosts, rate, seconds, seed, faults, javaOptions),
                spec.commandLine().getOut());
        Thread atCtrlC = new Thread(() -> close(demo), "end of the demo");
        Runtime.getRuntime().addShutdownHook(atCtrlC);
        try (demo) {
            return demo.play() ? 0 : 1;
        }
    }

    private int playChanges() throws IOException, InterruptedException {
        Arguments.within(spec, "--changes", changes, 2, MOST_CHANGES);
        Arguments.within(spec, "--routes", routes, 1, MOST_ROUTES);
        Changes played = new Changes(
                new Changes.Plan(cores, routes, changes, javaOptions),
                spec.commandLine().getOut());
        Thread atCtrlC = new Thread(() -> close(played), "end of the demo");
        Runtime.getRuntime().addShutdownHook(atCtrlC);
        try (played) {
            return played.play() ? 0 : 1;
        }
    }

    private static void close(AutoCloseable demo) {
        try {
            demo.close();
        } catch (Exception e) {
            System.err.println("tinworks: can't delete the demo's folder: " + e.getMessage());
        }
    }
}
