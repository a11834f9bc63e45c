package tinworks.cli;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import tinworks.load.LoadClients;
import tinworks.load.RequestKind;
import tinworks.load.Results;
import tinworks.net.ClosingEventLoopGroup;
import tinworks.node.NodeProcess;

/** Sends requests at times fixed beforehand, and reports how they were answered. */
@Command(
        name = "load",
        mixinStandardHelpOptions = true,
        description =
                "Sends requests of one route to gateways in an open loop: when one is due does not depend on earlier answers.",
        footer = {"", "Times count from when a request was due. Exit code 1 where none was served."})
final class LoadCommand implements Callable<Integer> {
    private static final int MOST_PER_SECOND = 5_000;
    private static final int MOST_SECONDS = 3_600;
    private static final int MOST_MILLIS = 60_000;
    private static final double[] PERCENTILES = {50, 90, 99, 99.9, 100};

    @Spec
    private CommandSpec spec;

    @Parameters(
            paramLabel = "ADDRESS",
            arity = "1..*",
            converter = Arguments.AddressConverter.class,
            description = "a gateway's http address, ip:port")
    private List<InetSocketAddress> gateways;

    @Option(names = "--host", paramLabel = "NAME", required = true, description = "the Host that requests ask for")
    private String host;

    @Option(
            names = "--prefix",
            paramLabel = "PATH",
            required = true,
            description = "what paths begin with; begins and ends with /")
    private String prefix;

    @Option(names = "--once", description = "requests may run once at most: POST, tried again after a promise alone")
    private boolean once;

    @Option(
            names = "--rate",
            paramLabel = "N",
            defaultValue = "50",
            description = "requests a second (${DEFAULT-VALUE})")
    private double rate;

    @Option(
            names = "--for",
            paramLabel = "SECONDS",
            defaultValue = "10",
            description = "how long it sends (${DEFAULT-VALUE})")
    private int seconds;

    @Option(
            names = "--warm-up",
            paramLabel = "SECONDS",
            defaultValue = "0",
            description = "sent before, not counted (${DEFAULT-VALUE})")
    private int warmUp;

    @Option(
            names = "--aim",
            paramLabel = "MS",
            defaultValue = "500",
            description = "an answer in time (${DEFAULT-VALUE})")
    private long aim;

    @Option(
            names = "--deadline",
            paramLabel = "MS",
            defaultValue = "3000",
            description = "how long a client waits (${DEFAULT-VALUE})")
    private long deadline;

    @Option(
            names = "--seed",
            paramLabel = "N",
            defaultValue = "1",
            description = "of arrivals and picks (${DEFAULT-VALUE})")
    private long seed;

    @Option(names = "--json", paramLabel = "FILE", description = "writes the figures there too")
    private Path json;

    @Option(names = "--csv", paramLabel = "FILE", description = "writes a line a second there")
    private Path csv;

    @Override
    public Integer call() throws IOException, InterruptedException {
        Arguments.within(spec, "--rate", rate, 0.1, MOST_PER_SECOND);
        Arguments.within(spec, "--for", seconds, 1, MOST_SECONDS);
        Arguments.within(spec, "--warm-up", warmUp, 0, MOST_SECONDS);
        Arguments.within(spec, "--aim", (double) aim, 1, MOST_MILLIS);
        Arguments.within(spec, "--deadline", (double) deadline, 1, MOST_MILLIS);
        if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
            throw new ParameterException(
                    spec.commandLine(), "--prefix: wanted a path that begins and ends with /, not " + prefix);
        }
        ClosingEventLoopGroup group = new ClosingEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            if (warmUp > 0) {
                play(group.next(), warmUp, null);
            }
            return report(play(group.next(), seconds, csv)) ? 0 : 1;
        } finally {
            group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).await(1_000);
        }
    }

    private Results play(EventLoop loop, int length, Path lines) throws IOException, InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        RequestKind kind = new RequestKind("load", host, prefix, once, rate, aim, deadline);
        LoadClients clients =
                NodeProcess.call(loop, () -> new LoadClients(loop, List.of(kind), seed, LoadClients.Watcher.NOBODY));
        NodeProcess.run(loop, () -> {
            clients.gateways(gateways);
            clients.start(TimeUnit.SECONDS.toMillis(length));
        });
        List<String> rows = new ArrayList<>(List.of("second,sent,served,in_aim,refused,failed,open,p50_ms,p99_ms"));
        long began = System.nanoTime();
        long last = began + TimeUnit.SECONDS.toNanos(length) + TimeUnit.MILLISECONDS.toNanos(deadline);
        for (int second = 1; System.nanoTime() < last; second++) {
            long wait = began + TimeUnit.SECONDS.toNanos(second) - System.nanoTime();
            TimeUnit.NANOSECONDS.sleep(Math.max(0, wait));
            int open = NodeProcess.call(loop, clients::open);
            Results so = NodeProcess.call(loop, clients::all);
            rows.add(String.format(
                    Locale.ROOT,
                    "%d,%d,%d,%d,%d,%d,%d,%.3f,%.3f",
                    second,
                    so.sentInAll(),
                    so.servedInAll(),
                    so.servedInAim(),
                    so.refusedInAll(),
                    so.failedInAll(),
                    open,
                    so.percentileMillis(50),
                    so.percentileMillis(99)));
            out.printf(
                    Locale.ROOT,
                    "%4d s: %d sent, %d served, %d open%n",
                    second,
                    so.sentInAll(),
                    so.servedInAll(),
                    open);
            out.flush();
            if (second >= length && open == 0) {
                break;
            }
        }
        if (lines != null) {
            Files.write(lines, rows);
        }
        return NodeProcess.call(loop, clients::all);
    }

    private boolean report(Results results) throws IOException {
        PrintWriter out = spec.commandLine().getOut();
        StringBuilder figures = new StringBuilder(String.format(
                Locale.ROOT,
                "{\"rate\":%s,\"seconds\":%d,\"seed\":%d,\"sent\":%d,\"served\":%d,\"inAim\":%d,\"refused\":%d,\"failed\":%d,\"ms\":{",
                rate,
                seconds,
                seed,
                results.sentInAll(),
                results.servedInAll(),
                results.servedInAim(),
                results.refusedInAll(),
                results.failedInAll()));
        out.printf(
                Locale.ROOT,
                "sent %d, served %d, within %d ms %d, refused %d, failed %d%n",
                results.sentInAll(),
                results.servedInAll(),
                aim,
                results.servedInAim(),
                results.refusedInAll(),
                results.failedInAll());
        String separator = "";
        for (double percentile : PERCENTILES) {
            out.printf(Locale.ROOT, "p%-5s %9.3f ms%n", percentile, results.percentileMillis(percentile));
            figures.append(separator)
                    .append(String.format(
                            Locale.ROOT, "\"p%s\":%.3f", percentile, results.percentileMillis(percentile)));
            separator = ",";
        }
        out.flush();
        if (json != null) {
            Files.writeString(json, figures.append("}}\n"));
        }
        return results.servedInAll() > 0;
    }
}
