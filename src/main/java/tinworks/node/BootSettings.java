package tinworks.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import tinworks.json.Address;
import tinworks.json.Json;

/**
 * What the platform tells a process: the file that {@code TINWORKS_BOOT} names, checked. Fields that it doesn't know
 * are passed over.
 *
 * @param node the machine's name
 * @param zone where it stands
 * @param http where clients connect, or null where none do
 * @param readyz where the platform asks whether it is ready, or null
 * @param ctl where the operator calls, or null
 * @param inner where the system's own processes connect
 * @param seeds inner addresses of core machines
 * @param bootstrap whether the whole system starts for the first time
 * @param descriptors how many it may hold, those for files left out
 * @param dataDir its disk, or null where it has none
 * @param losses how many counted machines may be lost at a time
 * @param graceMillis from SIGTERM to SIGKILL
 * @param provider where the platform keeps the list of hosts
 * @param advertised where others reach the inner address, {@code ip:port}: behind a translation of addresses it is
 *     another one than that listened at
 */
public record BootSettings(
        String node,
        String zone,
        InetSocketAddress http,
        InetSocketAddress readyz,
        InetSocketAddress ctl,
        InetSocketAddress inner,
        List<String> seeds,
        boolean bootstrap,
        int descriptors,
        Path dataDir,
        int losses,
        long graceMillis,
        InetSocketAddress provider,
        String advertised) {
    /** The variable that names the file. */
    public static final String VARIABLE = "TINWORKS_BOOT";

    private static final int FILE_DESCRIPTORS = 200;
    private static final int LEAST_DESCRIPTORS = 64;

    /** Keeps its own list. */
    public BootSettings {
        seeds = List.copyOf(seeds);
    }

    /** Settings of a process that others reach where it listens. */
    public BootSettings(
            String node,
            String zone,
            InetSocketAddress http,
            InetSocketAddress readyz,
            InetSocketAddress ctl,
            InetSocketAddress inner,
            List<String> seeds,
            boolean bootstrap,
            int descriptors,
            Path dataDir,
            int losses,
            long graceMillis,
            InetSocketAddress provider) {
        this(
                node,
                zone,
                http,
                readyz,
                ctl,
                inner,
                seeds,
                bootstrap,
                descriptors,
                dataDir,
                losses,
                graceMillis,
                provider,
                text(inner));
    }

    /**
     * The text of the file that the environment names; one that can't be read is an {@link IllegalArgumentException}.
     */
    public static String text(Map<String, String> environment) {
        String file = environment.get(VARIABLE);
        if (file == null || file.isEmpty()) {
            throw new IllegalArgumentException(VARIABLE + " is not set");
        }
        try {
            return Files.readString(Path.of(file));
        } catch (IOException e) {
            throw unreadable(file, e);
        }
    }

    /** Reads the file that the environment names, text and all. */
    public static BootSettings read(Map<String, String> environment) {
        return read(environment, text(environment));
    }

    /** Reads that text; what is wrong ends as an {@link IllegalArgumentException} of one line. */
    public static BootSettings read(Map<String, String> environment, String text) {
        String file = environment.get(VARIABLE);
        try {
            return read(Json.read(text));
        } catch (IOException e) {
            throw unreadable(file, e);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(file + ": " + e.getMessage(), e);
        }
    }

    private static IllegalArgumentException unreadable(String file, IOException e) {
        return new IllegalArgumentException(
                "can't read " + file + ": " + e.getMessage().lines().findFirst().orElse(""), e);
    }

    /** Reads the file's text. */
    public static BootSettings read(Json json) {
        if (!json.isObject()) {
            throw new IllegalArgumentException("not a JSON object");
        }
        List<Json> range = json.field("portRange").entries();
        if (range.size() != 2) {
            throw new IllegalArgumentException("portRange: wanted two ports");
        }
        int port = (int) whole(range.get(0), "portRange[0]", 1, 65_535);
        String ip = text(json, "", "ip");
        List<String> seeds = new ArrayList<>();
        for (Json seed : json.field("seeds").entries()) {
            seeds.add(address(seed.text(), "seeds").getHostString() + ":" + port);
        }
        Json listen = json.field("listen");
        Json limits = json.field("limits");
        long files = limits.field("nofile").value() == null
                ? 1_024
                : whole(
                        limits.field("nofile"),
                        "limits.nofile",
                        FILE_DESCRIPTORS + LEAST_DESCRIPTORS,
                        Integer.MAX_VALUE);
        Json provider = json.field("provider").field("addr");
        return new BootSettings(
                text(json, "", "node"),
                text(json, "", "az"),
                optional(listen, "http"),
                optional(listen, "readyz"),
                optional(listen, "ctl"),
                new InetSocketAddress(ip, port),
                seeds,
                json.field("bootstrap").isTrue(),
                (int) files - FILE_DESCRIPTORS,
                dataDir(json.field("datadir").text()),
                (int) whole(json.field("survive").field("nodes"), "survive.nodes", 0, 100),
                1_000 * whole(json.field("bounds").field("graceS"), "bounds.graceS", 1, 3_600),
                address(provider.text(), "provider.addr"),
                advertised(json.field("advertise"), ip, port));
    }

    private static Path dataDir(String path) {
        return path.isEmpty() ? null : Path.of(path);
    }

    private static String advertised(Json field, String ip, int port) {
        return field.value() == null ? ip + ":" + port : text(address(field.text(), "advertise"));
    }

    private static String text(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }

    /** Where others reach the inner address, as text. */
    public String innerAddress() {
        return advertised;
    }

    private static InetSocketAddress optional(Json listen, String name) {
        return listen.field(name).value() == null
                ? null
                : address(listen.field(name).text(), "listen." + name);
    }

    private static String text(Json json, String at, String name) {
        Json field = json.field(name);
        if (!field.isText() || field.text().isEmpty()) {
            throw new IllegalArgumentException(
                    at + name + ": " + (field.value() == null ? "is missing" : "wanted a text"));
        }
        return field.text();
    }

    private static long whole(Json field, String name, long least, long most) {
        boolean isWhole = field.value() instanceof Integer || field.value() instanceof Long;
        long value = isWhole ? field.number(0).longValue() : 0;
        if (!isWhole || value < least || value > most) {
            throw new IllegalArgumentException(name + ": wanted a whole number from " + least + " to " + most
                    + (field.value() == null ? ", is missing" : ", not " + field.text()));
        }
        return value;
    }

    private static InetSocketAddress address(String text, String name) {
        try {
            return Address.parse(text);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(name + ": " + e.getMessage(), e);
        }
    }
}
