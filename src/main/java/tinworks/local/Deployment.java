package tinworks.local;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * Where the machines of a deployment on loopback stand, and what the platform tells each of them.
 *
 * @param cores core machines, 1 or more
 * @param ctl the port at which all of them serve the operator
 * @param inner the port at which the system's own processes connect
 * @param descriptors how many a process may hold
 * @param relayed whether processes reach core machines at {@link #relayIp}, where the caller passes bytes on
 */
public record Deployment(int cores, int ctl, int inner, int descriptors, InetSocketAddress platform, boolean relayed) {
    /** Where the first core machine listens. */
    public static final String FIRST_CORE_IP = coreIp(0);

    private static final String CORE = "core-";
    private static final int FIRST_CORE = 11;
    private static final int MOST_SEEDS = 3;

    /** One whose processes reach each other directly. */
    public Deployment(int cores, int ctl, int inner, int descriptors, InetSocketAddress platform) {
        this(cores, ctl, inner, descriptors, platform, false);
    }

    /** Where a core machine listens. */
    public static String coreIp(int i) {
        return "127.0.0." + (FIRST_CORE + i);
    }

    /** Where a core machine is reached by others if connections are relayed. */
    public static String relayIp(int i) {
        return "127.0.1." + (FIRST_CORE + i);
    }

    /** The addresses at which core machines serve the operator. */
    public List<String> operated() {
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < cores; i++) {
            addresses.add(coreIp(i) + ":" + ctl);
        }
        return addresses;
    }

    /** The addresses at which the first core machines take connections of the system's own processes. */
    public List<String> innerSeeds() {
        return seeds(inner);
    }

    private List<String> seeds(int port) {
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < Math.min(MOST_SEEDS, cores); i++) {
            addresses.add((relayed ? relayIp(i) : coreIp(i)) + ":" + port);
        }
        return addresses;
    }

    /**
     * Starts a core machine. As the platform does, it says of the first start alone that the whole system starts for
     * the first time.
     */
    public void startCore(Machines machines, int i) throws IOException {
        String name = CORE + i;
        start(
                machines,
                name,
                "core",
                coreIp(i),
                "\"ctl\":\"" + coreIp(i) + ":" + ctl + "\"",
                "\"" + machines.disk(name) + "\"",
                i);
    }

    /** Starts a machine that listens at these addresses besides, and whose disk, as JSON, is this one. */
    public void start(Machines machines, String name, String role, String ip, String listen, String disk, int number)
            throws IOException {
        machines.start(
                name,
                role,
                settings(name, ip, listen, disk, number, true),
                settings(name, ip, listen, disk, number, false));
    }

    private String settings(String node, String ip, String listen, String disk, int number, boolean bootstrap) {
        return "{\"node\":\"" + node + "\",\"az\":\"zone-" + number % 2 + "\",\"ip\":\"" + ip + "\",\"listen\":{"
                + listen
                + "},\"portRange\":[" + inner + "," + inner + "],\"seeds\":[\""
                + String.join("\",\"", seeds(ctl)) + "\"],\"bootstrap\":" + bootstrap + advertise(node, number)
                + ",\"limits\":{\"nofile\":" + descriptors + "},\"datadir\":" + disk
                + ",\"survive\":{\"nodes\":1},\"bounds\":{\"graceS\":6},\"provider\":{\"addr\":\"127.0.0.1:"
                + platform.getPort()
                + "\"}}";
    }

    private String advertise(String node, int number) {
        return relayed && node.startsWith(CORE) ? ",\"advertise\":\"" + relayIp(number) + ":" + inner + "\"" : "";
    }
}
