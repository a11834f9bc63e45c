package tinworks.cli;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import tinworks.config.Configuration;
import tinworks.config.ConfigurationHistory;
import tinworks.config.ConfigurationReader;
import tinworks.config.InvalidConfiguration;
import tinworks.node.BootSettings;
import tinworks.raft.Entry;
import tinworks.raft.Member;
import tinworks.raft.PersistentState;
import tinworks.store.CoreStore;

/** Commands that check files, ask running machines, and read a core machine's disk. */
@Command(
        name = "tinworks",
        mixinStandardHelpOptions = true,
        version = "tinworks 0.1.0",
        description = "An API gateway: edges carry the traffic, core machines keep the configuration.",
        footer = {
            "",
            "Started by the platform, each without options:",
            "  edge      be an edge gateway, as the file in TINWORKS_BOOT says",
            "  core      be a core machine, as the file in TINWORKS_BOOT says",
            "  serve     be a gateway of the earlier protocol, as the LB_ variables say",
            "  simhost   decide for the gateways on standard input, on the lbsim wire"
        },
        subcommands = {
            CommandLineTool.Check.class,
            CommandLineTool.Status.class,
            CommandLineTool.State.class,
            CommandLineTool.Schema.class,
            DemoCommand.class,
            LoadCommand.class,
            SoakCommand.class,
            HollowCommand.class
        })
public final class CommandLineTool {
    private static final int OK = 0;
    private static final int BAD_INPUT = 1;

    /** Runs a command and returns the exit code: 0, 1 for input at fault, 2 for a command that is none. */
    public static int run(PrintWriter out, PrintWriter err, String... args) {
        CommandLine line = new CommandLine(new CommandLineTool()).setOut(out).setErr(err);
        return args.length == 0 ? usage(line) : line.execute(args);
    }

    private static int usage(CommandLine line) {
        line.usage(line.getErr());
        return line.getCommandSpec().exitCodeOnInvalidInput();
    }

    private static int complain(CommandSpec spec, String what) {
        spec.commandLine().getErr().println("tinworks: " + what);
        spec.commandLine().getErr().flush();
        return BAD_INPUT;
    }

    private static void say(CommandSpec spec, String line) {
        spec.commandLine().getOut().println(line);
        spec.commandLine().getOut().flush();
    }

    /** Checks files. */
    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description =
                    "Checks an operator's configuration or a process's settings file, and names the field at fault.")
    static final class Check implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(paramLabel = "FILE", description = "a JSON file of either kind")
        private Path file;

        @Override
        public Integer call() {
            try {
                byte[] bytes = Files.readAllBytes(file);
                String text = new String(bytes, StandardCharsets.UTF_8);
                if (text.contains("\"portRange\"")) {
                    BootSettings settings = BootSettings.read(Map.of(BootSettings.VARIABLE, file.toString()));
                    say(spec, "settings of " + settings.node() + ": in order");
                } else {
                    Configuration read = ConfigurationReader.read(bytes);
                    say(
                            spec,
                            "configuration " + read.rev() + ": " + read.routes().size() + " routes, "
                                    + read.services().size() + " services, in order");
                }
                return OK;
            } catch (IOException e) {
                return complain(spec, "can't read " + file + ": " + e);
            } catch (InvalidConfiguration e) {
                return complain(spec, file + ": " + e.getMessage());
            } catch (IllegalArgumentException e) {
                return complain(spec, e.getMessage());
            }
        }
    }

    /** Prints what a configuration has to look like. */
    @Command(
            name = "schema",
            mixinStandardHelpOptions = true,
            description = "Prints the JSON Schema of the operator's configuration.")
    static final class Schema implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException {
            try (InputStream in = ConfigurationReader.class.getResourceAsStream("configuration.schema.json")) {
                say(spec, new String(in.readAllBytes(), StandardCharsets.UTF_8).trim());
                return OK;
            }
        }
    }

    /** Asks core machines how they are. */
    @Command(
            name = "status",
            mixinStandardHelpOptions = true,
            description = "Asks core machines for their state, one line each.")
    static final class Status implements Callable<Integer> {
        private static final Duration PATIENCE = Duration.ofSeconds(2);

        @Spec
        private CommandSpec spec;

        @Parameters(paramLabel = "ADDRESS", arity = "1..*", description = "a core machine's ctl address, ip:port")
        private List<String> addresses;

        @Override
        public Integer call() throws InterruptedException {
            HttpClient client = HttpClient.newBuilder().connectTimeout(PATIENCE).build();
            int silent = 0;
            for (String address : addresses) {
                try {
                    HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + "/-/status"))
                            .timeout(PATIENCE)
                            .build();
                    say(
                            spec,
                            address + " "
                                    + client.send(request, HttpResponse.BodyHandlers.ofString())
                                            .body()
                                            .trim());
                } catch (IOException | IllegalArgumentException e) {
                    silent++;
                    complain(spec, address + ": no answer: " + e.getMessage());
                }
            }
            return silent == 0 ? OK : BAD_INPUT;
        }
    }

    /** Reads the disk of a core machine that is stopped. */
    @Command(
            name = "state",
            mixinStandardHelpOptions = true,
            description = "Reads the disk of a core machine that is stopped.",
            subcommands = {State.Verify.class, State.Export.class})
    static final class State implements Runnable {
        @Spec
        private CommandSpec spec;

        @Override
        public void run() {
            spec.commandLine().usage(spec.commandLine().getErr());
        }

        private static PersistentState load(Path folder) throws IOException, CoreStore.CorruptStoreException {
            if (!Files.isDirectory(folder)) {
                throw new IOException("no folder " + folder);
            }
            try (CoreStore store = CoreStore.open(folder)) {
                return store.load();
            }
        }

        /** The configuration that the snapshot and the entries on the disk come to, committed or not. */
        private static ConfigurationHistory history(PersistentState stored) {
            ConfigurationHistory history = new ConfigurationHistory();
            if (stored.snapshot().index() > 0) {
                history.load(stored.snapshot().state());
            }
            stored.entries().stream()
                    .filter(e -> e.kind() == Entry.Kind.COMMAND)
                    .forEach(e -> history.apply(e.body()));
            return history;
        }

        /** Reads the disk that it is given; one that can't be read is told in a line. */
        abstract static class Reading implements Callable<Integer> {
            @Spec
            private CommandSpec spec;

            @Parameters(paramLabel = "DATADIR", description = "the machine's data folder, or a copy of it")
            private Path folder;

            @Override
            public final Integer call() {
                try {
                    return read(spec, load(folder));
                } catch (CoreStore.CorruptStoreException | IOException e) {
                    return complain(spec, e.getMessage());
                }
            }

            abstract int read(CommandSpec at, PersistentState stored);
        }

        /** Checks a stopped core machine's store. */
        @Command(
                name = "verify",
                mixinStandardHelpOptions = true,
                description = "Checks every record's checksum and order.")
        static final class Verify extends Reading {
            @Override
            int read(CommandSpec at, PersistentState stored) {
                say(
                        at,
                        "term " + stored.hardState().term() + ", snapshot at "
                                + stored.snapshot().index() + ", "
                                + stored.entries().size() + " entries, configuration "
                                + history(stored).rev());
                for (Member member : stored.snapshot().members()) {
                    say(
                            at,
                            "voter in the snapshot: " + HexFormat.of().toHexDigits(member.id()) + " at "
                                    + member.address());
                }
                return OK;
            }
        }

        /** Prints the configuration that a stopped core machine's store holds. */
        @Command(
                name = "export",
                mixinStandardHelpOptions = true,
                description =
                        "Prints the newest configuration on the disk as it was sent; it may not have been acknowledged.")
        static final class Export extends Reading {
            @Override
            int read(CommandSpec at, PersistentState stored) {
                ConfigurationHistory history = history(stored);
                if (history.rev() == 0) {
                    return complain(at, "no configuration on this disk");
                }
                say(at, new String(history.body(), StandardCharsets.UTF_8));
                return OK;
            }
        }
    }
}
