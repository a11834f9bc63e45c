package tinworks;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import tinworks.cli.CommandLineTool;
import tinworks.control.Core;
import tinworks.edge.Edge;
import tinworks.net.GatewayProcess;
import tinworks.node.NodeProcess;
import tinworks.sim.MalformedInput;
import tinworks.sim.SimulatorAdapter;

/**
 * The command line: {@code edge} and {@code core} are the system's processes, {@code serve} is the gateway of the
 * earlier protocol, {@code simhost} speaks the simulator's wire on standard input and output. All else is
 * {@link CommandLineTool}'s.
 */
public final class Main {
    private static final int EXIT_BAD_INPUT = 1;

    private Main() {}

    /** Runs what the one argument names. */
    public static void main(String[] args) {
        String verb = args.length == 1 ? args[0] : "";
        try {
            switch (verb) {
                case "edge" -> Edge.run(NodeProcess.start(System.getenv()));
                case "core" -> Core.run(NodeProcess.start(System.getenv()));
                case "serve" -> GatewayProcess.start(System.getenv());
                case "simhost" -> new SimulatorAdapter(System.in, System.out).run();
                // Not at the platform's commands: the library that reads arguments costs a start too much.
                default ->
                    System.exit(CommandLineTool.run(
                            new PrintWriter(System.out, true, StandardCharsets.UTF_8),
                            new PrintWriter(System.err, true, StandardCharsets.UTF_8),
                            args));
            }
        } catch (MalformedInput | IllegalArgumentException e) {
            fail(e.getMessage());
        } catch (IOException e) {
            fail("cannot read or write the wire: " + e.getMessage());
        }
    }

    private static void fail(String line) {
        System.err.println("tinworks: " + line);
        System.exit(EXIT_BAD_INPUT);
    }
}
