package tinworks.net;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tinworks.json.Address;
import tinworks.json.Json;
import tinworks.policy.LoadBalancerApi.Settings;
import tinworks.policy.SettingsReader;

/**
 * The configuration of a gateway at its start, from the environment and the JSON file that it names.
 *
 * @param maxDescriptors the maximum number of file descriptors of the process
 * @param connectTimeoutNanos the connect timeout to hosts
 * @param hostIdleTimeoutNanos the longest time that a host keeps an idle connection open
 * @param knownHosts the host list to use until discovery responds
 * @param peers the addresses of the other gateways, or null if there are none
 */
record GatewayConfig(
        SocketAddress listen,
        SocketAddress discovery,
        long seed,
        int maxDescriptors,
        long connectTimeoutNanos,
        long hostIdleTimeoutNanos,
        Settings settings,
        EndpointList knownHosts,
        Peers.Addresses peers) {
    private static final int DEFAULT_MAX_DESCRIPTORS = 1024;

    /**
     * Reads the environment and the file; throws {@link IllegalArgumentException} with a one-line message if either is
     * invalid.
     */
    static GatewayConfig read(Map<String, String> environment) {
        return read(
                readFile(environment),
                Address.resolve(variable(environment, "LB_LISTEN")),
                Address.resolve(variable(environment, "LB_DISCOVERY")));
    }

    /** Reads the discovery address from the file, not the environment: the one setting that a reload may change. */
    static SocketAddress readDiscovery(Map<String, String> environment) {
        Json address = readFile(environment).field("discovery");
        if (!address.isText()) {
            throw new IllegalArgumentException("the configuration has no discovery address");
        }
        return Address.resolve(address.text());
    }

    private static Json readFile(Map<String, String> environment) {
        String path = variable(environment, "LB_CONFIG");
        try {
            return Json.read(Files.readString(Path.of(path)));
        } catch (IOException e) {
            throw new IllegalArgumentException(
                    "cannot read LB_CONFIG " + path + ": "
                            + e.getMessage().lines().findFirst().orElse(""),
                    e);
        }
    }

    static GatewayConfig read(Json json, SocketAddress listen, SocketAddress discovery) {
        Map<String, String> pairs = new HashMap<>();
        flatten("", json.field("settings"), pairs);
        SettingsReader settings = new SettingsReader(pairs);
        return new GatewayConfig(
                listen,
                discovery,
                parseSeed(json.field("seed").text()),
                json.field("limits")
                        .field("sockets")
                        .number(DEFAULT_MAX_DESCRIPTORS)
                        .intValue(),
                settings.number("allowed.dial_timeout_ns"),
                settings.number("allowed.conn_idle_ns"),
                settings.read(),
                readKnownHosts(json.field("known")),
                Peers.Addresses.read(json));
    }

    /** A gateway that has never received a list starts with an empty one. */
    private static EndpointList readKnownHosts(Json json) {
        return json.value() == null ? new EndpointList(0, true, List.of()) : EndpointList.read(json);
    }

    private static long parseSeed(String hex) {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("seed is not a hexadecimal number: '" + hex + "'", e);
        }
    }

    /** Flattens nested settings to pairs of path and value, the form that the simulator uses. */
    private static void flatten(String path, Json json, Map<String, String> pairs) {
        if (json.isObject()) {
            json.fields()
                    .forEach((name, value) ->
                            flatten(path.isEmpty() ? name.toString() : path + "." + name, new Json(value), pairs));
        } else if (json.isArray()) {
            List<Json> entries = json.entries();
            pairs.put(path + ".count", String.valueOf(entries.size()));
            for (int i = 0; i < entries.size(); i++) {
                flatten(path + "." + i, entries.get(i), pairs);
            }
        } else if (json.value() != null) {
            pairs.put(path, json.text());
        }
    }

    private static String variable(Map<String, String> environment, String name) {
        String value = environment.get(name);
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException("environment variable " + name + " is not set");
        }
        return value;
    }
}
