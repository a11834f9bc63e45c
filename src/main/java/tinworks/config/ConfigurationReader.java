package tinworks.config;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import tinworks.config.Configuration.Limits;
import tinworks.config.Configuration.Route;
import tinworks.config.Configuration.Service;
import tinworks.config.Configuration.Split;
import tinworks.config.Configuration.Type;
import tinworks.json.Json;

/**
 * Reads a configuration from the operator's JSON. Fields that it doesn't know are passed over. Whether the version
 * may follow the one in force is the {@link ConfigurationHistory}'s to say.
 */
public final class ConfigurationReader {
    private static final int MOST_ROUTES = 100_000;

    private ConfigurationReader() { }

    /** The configuration, or why it can't be taken and where. */
    public static Configuration read(byte[] json) throws InvalidConfiguration {
        Json root = parse(json);
        if (!root.isObject()) {
            throw new InvalidConfiguration("", "not a JSON object");
        }
        long rev = whole(root, "", "rev", 1, Long.MAX_VALUE, null);
        Map<String, Service> services = services(array(root, "svcs"));
        List<Route> routes = routes(array(root, "routes"), services);
        return new Configuration(rev, routes, services, limits(root.field("limits")));
    }

    private static Json parse(byte[] json) throws InvalidConfiguration {
        try {
            String text = StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(json)).toString();
            return Json.read(text);
        } catch (CharacterCodingException e) {
            throw new InvalidConfiguration("", "not UTF-8");
        } catch (IOException e) {
            throw new InvalidConfiguration("", "can't be read as JSON: " + e.getMessage().lines().findFirst().orElse(""));
        }
    }

    private static List<Json> array(Json root, String name) throws InvalidConfiguration {
        Json field = root.field(name);
        if (!field.isArray()) {
            throw new InvalidConfiguration(name, "wanted an array");
        }
        if (field.entries().size() > MOST_ROUTES) {
            throw new InvalidConfiguration(name, "more than " + MOST_ROUTES + " entries");
        }
        return field.entries();
    }

    private static Map<String, Service> services(List<Json> entries) throws InvalidConfiguration {
        Map<String, Service> services = new LinkedHashMap<>();
        for (int i = 0; i < entries.size(); i++) {
            String at = "svcs[" + i + "].";
            Json entry = entries.get(i);
            String name = text(entry, at, "name");
            String check = entry.field("check").value() == null ? "/" : text(entry, at, "check");
            String proto = entry.field("proto").text();
            if (!proto.isEmpty() && !proto.equals("h1")) {
                throw new InvalidConfiguration(at + "proto", "only h1 is spoken, not '" + proto + "'");
            }
            if (entry.field("tls").isTrue()) {
                throw new InvalidConfiguration(at + "tls", "TLS to hosts is not spoken");
            }
            int maxconn = (int) whole(entry, at, "maxconn", 1, Integer.MAX_VALUE, (long) Integer.MAX_VALUE);
            if (services.put(name, new Service(name, check, maxconn)) != null) {
                throw new InvalidConfiguration(at + "name", "a second service '" + name + "'");
            }
        }
        return services;
    }

    private static List<Route> routes(List<Json> entries, Map<String, Service> services) throws InvalidConfiguration {
        List<Route> routes = new ArrayList<>();
        Set<String> places = new HashSet<>();
        for (int i = 0; i < entries.size(); i++) {
            String at = "routes[" + i + "].";
            Route route = route(entries.get(i), at, services);
            if (!places.add(route.domain() + ' ' + route.prefix())) {
                throw new InvalidConfiguration(at + "prefix", "another route has this domain and prefix");
            }
            routes.add(route);
        }
        return routes;
    }

    private static Route route(Json entry, String at, Map<String, Service> services) throws InvalidConfiguration {
        String name = text(entry, at, "name");
        String domain = text(entry, at, "domain").toLowerCase(Locale.ROOT);
        String prefix = text(entry, at, "prefix");
        if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
            throw new InvalidConfiguration(at + "prefix", "wanted a slash at both ends of '" + prefix + "'");
        }
        String typeName = text(entry, at, "type");
        Type type = switch (typeName) {
            case "idem" -> Type.IDEM;
            case "mutating" -> Type.MUTATING;
            default -> throw new InvalidConfiguration(at + "type", "wanted idem or mutating, not '" + typeName + "'");
        };
        long timeout = whole(entry, at, "timeoutMs", 1, Integer.MAX_VALUE, null);
        long target = whole(entry, at, "targetMs", 1, Integer.MAX_VALUE, timeout);
        int prio = (int) whole(entry, at, "prio", 0, 1_000, 0L);
        int tries = (int) whole(entry, at, "tries", 1, 32, 1L);
        return new Route(name, domain, prefix, type, timeout, target, prio, split(entry, at, services), tries);
    }

    private static List<Split> split(Json entry, String at, Map<String, Service> services) throws InvalidConfiguration {
        List<Split> parts = new ArrayList<>();
        if (entry.field("split").value() == null) {
            parts.add(new Split(known(text(entry, at, "svc"), at + "svc", services), 1));
            return parts;
        }
        if (!entry.field("split").isArray()) {
            throw new InvalidConfiguration(at + "split", "wanted an array");
        }
        double sum = 0;
        int i = 0;
        for (Json part : entry.field("split").entries()) {
            String here = at + "split[" + i++ + "].";
            double weight = part.field("weight").number(Double.NaN).doubleValue();
            if (!(weight >= 0 && weight < 1e12)) {
                throw new InvalidConfiguration(here + "weight", "wanted a number that isn't below 0");
            }
            parts.add(new Split(known(text(part, here, "svc"), here + "svc", services), weight));
            sum += weight;
        }
        if (sum <= 0) {
            throw new InvalidConfiguration(at + "split", "the weights sum to 0");
        }
        return parts;
    }

    private static String known(String service, String at, Map<String, Service> services) throws InvalidConfiguration {
        if (!services.containsKey(service)) {
            throw new InvalidConfiguration(at, "no service '" + service + "' in svcs");
        }
        return service;
    }

    private static Limits limits(Json entry) throws InvalidConfiguration {
        Limits usual = Limits.USUAL;
        return new Limits((int) whole(entry, "limits.", "hdrBytes", 256, 1 << 20, (long) usual.hdrBytes()),
                whole(entry, "limits.", "bodyMaxBytes", 0, Long.MAX_VALUE, usual.bodyMaxBytes()),
                whole(entry, "limits.", "hdrMs", 1, Integer.MAX_VALUE, usual.hdrMs()),
                whole(entry, "limits.", "idleMs", 1, Integer.MAX_VALUE, usual.idleMs()));
    }

    private static String text(Json entry, String at, String name) throws InvalidConfiguration {
        Json field = entry.field(name);
        if (!field.isText() || field.text().isEmpty()) {
            throw new InvalidConfiguration(at + name, field.value() == null ? "is missing" : "wanted a text");
        }
        return field.text();
    }

    private static long whole(Json entry, String at, String name, long least, long most, Long absent)
            throws InvalidConfiguration {
        Json field = entry.field(name);
        if (field.value() == null && absent != null) {
            return absent;
        }
        boolean isWhole = field.value() instanceof Integer || field.value() instanceof Long;
        long value = isWhole ? field.number(0).longValue() : 0;
        if (!isWhole || value < least || value > most) {
            throw new InvalidConfiguration(at + name, field.value() == null ? "is missing"
                    : "wanted a whole number from " + least + " to " + most + ", not " + field.text());
        }
        return value;
    }
}
