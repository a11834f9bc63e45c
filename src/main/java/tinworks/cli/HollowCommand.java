package tinworks.cli;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import tinworks.demo.Hollow;

/** Puts the links of many edges on core machines, and reports what each costs. */
@Command(
        name = "hollow",
        mixinStandardHelpOptions = true,
        description =
                "Starts core machines on this machine's loopback addresses and puts the links of many edges, without clients and "
                        + "hosts, on them: what they cost at rest, at changes and after restarts.",
        footer = {"", "Exit code 1 where an edge did not come to hold all that it should."})
final class HollowCommand implements Callable<Integer> {
    private static final int MOST_EDGES = 6_000;
    private static final int MOST_REAL = 50;
    private static final int MOST_CORES = 9;
    private static final int MOST_ROUTES = 20_000;
    private static final int MOST_HOSTS = 60_000;
    private static final int MOST_SECONDS = 3_600;
    private static final int MOST_CHANGES = 1_000;

    @Spec
    private CommandSpec spec;

    @Option(names = "--edges", paramLabel = "N", defaultValue = "300", description = "hollow edges (${DEFAULT-VALUE})")
    private int edges;

    @Option(
            names = "--real",
            paramLabel = "N",
            defaultValue = "0",
            description = "processes of edges beside them (${DEFAULT-VALUE})")
    private int realEdges;

    @Option(names = "--cores", paramLabel = "N", defaultValue = "3", description = "core machines (${DEFAULT-VALUE})")
    private int cores;

    @Option(
            names = "--routes",
            paramLabel = "N",
            defaultValue = "1240",
            description = "routes in force (${DEFAULT-VALUE})")
    private int routes;

    @Option(
            names = "--hosts",
            paramLabel = "N",
            defaultValue = "200",
            description = "hosts on the platform's list (${DEFAULT-VALUE})")
    private int hosts;

    @Option(
            names = "--for",
            paramLabel = "SECONDS",
            defaultValue = "10",
            description = "how long it rests, and how long one host a second is replaced (${DEFAULT-VALUE})")
    private int seconds;

    @Option(
            names = "--changes",
            paramLabel = "N",
            defaultValue = "3",
            description = "how many times one host, and then one route, is changed (${DEFAULT-VALUE})")
    private int changes;

    @Option(names = "--restarts", description = "kills one core machine in the end, and then all")
    private boolean restarts;

    @Option(
            names = "--java-option",
            paramLabel = "OPTION",
            description =
                    "an option of each process of the system, in place of the usual ones; {node} is its machine's name")
    private List<String> javaOptions =
            new ArrayList<>(List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx48m"));

    @Override
    public Integer call() throws IOException, InterruptedException {
        Arguments.within(spec, "--edges", edges, 1, MOST_EDGES);
        Arguments.within(spec, "--real", realEdges, 0, MOST_REAL);
        Arguments.within(spec, "--cores", cores, 3, MOST_CORES);
        Arguments.within(spec, "--routes", routes, 2, MOST_ROUTES);
        Arguments.within(spec, "--hosts", hosts, 1, MOST_HOSTS);
        Arguments.within(spec, "--for", seconds, 1, MOST_SECONDS);
        Arguments.within(spec, "--changes", changes, 0, MOST_CHANGES);
        Hollow hollow = new Hollow(
                new Hollow.Plan(cores, edges, realEdges, routes, hosts, seconds, changes, restarts, javaOptions),
                spec.commandLine().getOut());
        Thread atCtrlC = new Thread(() -> close(hollow), "end of the play");
        Runtime.getRuntime().addShutdownHook(atCtrlC);
        try (hollow) {
            return hollow.play() ? 0 : 1;
        }
    }

    private static void close(Hollow hollow) {
        try {
            hollow.close();
        } catch (IOException e) {
            System.err.println("tinworks: can't delete the play's folder: " + e.getMessage());
        }
    }
}
