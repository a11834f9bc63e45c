package tinworks;

import java.io.IOException;
import tinworks.control.Core;
import tinworks.edge.Edge;
import tinworks.net.Server;
import tinworks.node.NodeProcess;
import tinworks.sim.Wire;

/**
 * The command line: {@code edge} and {@code core} are the system's processes, {@code serve} is the gateway of the
 * earlier protocol, {@code simhost} speaks the simulator's wire on standard input and output.
 */
public final class Main {
    private static final int EXIT_BAD_INPUT = 1;
    private static final int EXIT_BAD_USAGE = 2;

    private Main() { }

    /** Runs what the one argument names. */
    public static void main(String[] args) {
        String verb = args.length == 1 ? args[0] : "";
        try {
            switch (verb) {
                case "edge" -> Edge.run(NodeProcess.start(System.getenv()));
                case "core" -> Core.run(NodeProcess.start(System.getenv()));
                case "serve" -> Server.serve(System.getenv());
                case "simhost" -> new Wire(System.in, System.out).run();
                default -> {
                    System.err.println("usage: java -jar tinworks.jar edge | core | serve | simhost");
                    System.err.println("  edge      be an edge gateway of the system, as the file in TINWORKS_BOOT says");
                    System.err.println("  core      be a core machine of the system, as the file in TINWORKS_BOOT says");
                    System.err.println("  serve     be the gateway that the LB_ variables describe");
                    System.err.println("  simhost   decide for the gateways on standard input, on the lbsim wire");
                    System.exit(EXIT_BAD_USAGE);
                }
            }
        } catch (Wire.MalformedInput | IllegalArgumentException e) {
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
