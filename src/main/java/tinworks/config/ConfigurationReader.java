package tinworks.config;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
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
import tinworks.json.Json;

/**
 * Reads a configuration from the operator's JSON. Fields that it doesn't know are passed over. Whether the version may
 * follow the one in force is the {@link ConfigurationHistory}'s to say.
 */
public final class ConfigurationReader {
    private static final int MOST_ROUTES = 100_000;
    private static final String SERVICES = "svcs";
    private static final String ROUTES = "routes";
    private static final String REV = "rev";
    private static final String LIMITS = "limits";

    private ConfigurationReader() {}

    /** The configuration, or why it can't be taken and where. */
    public static Configuration read(byte[] json) throws InvalidConfiguration {
        return read(new ByteArrayInputStream(json));
    }

    /** As {@link #read(byte[])}, from a stream that is read once and never held whole. */
    public static Configuration read(InputStream json) throws InvalidConfiguration {
        return read(json, Long.MAX_VALUE);
    }

    /**
     * The same; one of a higher {@link ConfigurationMemoryEstimate} is refused as too large, and not held while it is
     * read.
     */
    public static Configuration read(InputStream json, long mostWeight) throws InvalidConfiguration {
        Parts parts = new Parts(mostWeight);
        boolean isObject;
        try {
            // By a decoder of its own, which refuses what isn't UTF-8; the library would guess at other encodings.
            isObject = Json.read(new InputStreamReader(json, StandardCharsets.UTF_8.newDecoder()), parts);
        } catch (CharacterCodingException e) {
            throw new InvalidConfiguration("", "not UTF-8");
        } catch (IOException e) {
            throw new InvalidConfiguration(
                    "",
                    "can't be read as JSON: "
                            + e.getMessage().lines().findFirst().orElse(""));
        }
        if (!isObject) {
            throw new InvalidConfiguration("", "not a JSON object");
        }
        return parts.configuration();
    }

    /**
     * What has been read so far. Faults wait until the end: a text that isn't JSON throughout has no places to name.
     */
    private static final class Parts implements Json.Handler {
        private final Map<String, Object> fields = new HashMap<>();
        private final ValueInterner shared = new ValueInterner();
        /** The routes that name one service and no split. */
        private final BitSet plain = new BitSet();

        private Map<String, Service> services;
        private List<Route> routes;
        private Set<ConfigurationChange.RouteKey> places;
        private InvalidConfiguration servicesFault;
        private InvalidConfiguration routesFault;
        private final long mostWeight;
        private long weight;
        private String array = "";

        Parts(long mostWeight) {
            this.mostWeight = mostWeight;
        }

        @Override
        public void field(String name, Json value) {
            forget(name);
            if (name.equals(REV) || name.equals(LIMITS)) {
                fields.put(name, value.value());
            }
        }

        @Override
        public void array(String name) {
            forget(name);
            array = name;
            if (name.equals(SERVICES)) {
                services = new LinkedHashMap<>();
            } else if (name.equals(ROUTES)) {
                routes = new ArrayList<>();
                places = new HashSet<>();
                plain.clear();
            } else if (name.equals(REV) || name.equals(LIMITS)) {
                fields.put(name, List.of());
            }
        }

        /** Of a field that stands there twice the last one counts. */
        private void forget(String name) {
            fields.remove(name);
            if (name.equals(SERVICES)) {
                services = null;
                servicesFault = null;
            } else if (name.equals(ROUTES)) {
                routes = null;
                routesFault = null;
            }
        }

        @Override
        public void entry(Json entry) {
            if (array.equals(SERVICES) && servicesFault == null) {
                try {
                    takeService(entry);
                } catch (InvalidConfiguration e) {
                    servicesFault = e;
                }
            } else if (array.equals(ROUTES) && routesFault == null) {
                try {
                    takeRoute(entry);
                } catch (InvalidConfiguration e) {
                    routesFault = e;
                }
            }
        }

        /** Guards against holding what is refused in the end. */
        private void weigh(long more) throws InvalidConfiguration {
            weight += more;
            if (weight > mostWeight) {
                routes = new ArrayList<>();
                services = new LinkedHashMap<>();
                places = new HashSet<>();
                servicesFault = InvalidConfiguration.tooLarge(mostWeight);
                throw servicesFault;
            }
        }

        private void takeService(Json entry) throws InvalidConfiguration {
            if (services.size() == MOST_ROUTES) {
                throw tooMany(SERVICES);
            }
            String at = SERVICES + "[" + services.size() + "].";
            Service service = service(entry, at);
            weigh(ConfigurationMemoryEstimate.of(service));
            if (services.put(service.name(), service) != null) {
                throw new InvalidConfiguration(at + "name", "a second service '" + service.name() + "'");
            }
        }

        private void takeRoute(Json entry) throws InvalidConfiguration {
            if (routes.size() == MOST_ROUTES) {
                routes.clear();
                throw tooMany(ROUTES);
            }
            String at = ROUTES + "[" + routes.size() + "].";
            Route route = route(entry, at, shared);
            weigh(ConfigurationMemoryEstimate.of(route));
            plain.set(routes.size(), entry.field("split").value() == null);
            routes.add(route);
            if (!places.add(ConfigurationChange.RouteKey.of(route))) {
                throw new InvalidConfiguration(at + "prefix", "another route has this domain and prefix");
            }
        }

        Configuration configuration() throws InvalidConfiguration {
            Json root = new Json(fields);
            long rev = whole(root, "", REV, 1, Long.MAX_VALUE, null);
            if (servicesFault != null && servicesFault.isTooLarge()) {
                throw servicesFault;
            }
            requireArray(services, SERVICES, servicesFault);
            requireArray(routes, ROUTES, null);
            checkServices();
            if (routesFault != null) {
                throw routesFault;
            }
            return new Configuration(rev, routes, services, limits(root.field(LIMITS)));
        }

        private static void requireArray(Object array, String name, InvalidConfiguration fault)
                throws InvalidConfiguration {
            if (array == null) {
                throw new InvalidConfiguration(name, "wanted an array");
            }
            if (fault != null) {
                throw fault;
            }
        }

        /** Routes may stand before the services that they name. */
        private void checkServices() throws InvalidConfiguration {
            for (int i = 0; i < routes.size(); i++) {
                List<Split> split = routes.get(i).split();
                for (int part = 0; part < split.size(); part++) {
                    String service = split.get(part).service();
                    if (!services.containsKey(service)) {
                        String where = plain.get(i) ? "svc" : "split[" + part + "].svc";
                        throw new InvalidConfiguration(
                                ROUTES + "[" + i + "]." + where, "no service '" + service + "' in svcs");
                    }
                }
            }
        }
    }

    private static InvalidConfiguration tooMany(String name) {
        return new InvalidConfiguration(name, "more than " + MOST_ROUTES + " entries");
    }

    private static Service service(Json entry, String at) throws InvalidConfiguration {
        String name = text(entry, at, "name");
        String check = entry.field("check").value() == null ? "/" : text(entry, at, "check");
        String proto = entry.field("proto").text();
        if (!proto.isEmpty() && !proto.equals("h1")) {
            throw new InvalidConfiguration(at + "proto", "only h1 is spoken, not '" + proto + "'");
        }
        if (entry.field("tls").isTrue()) {
            throw new InvalidConfiguration(at + "tls", "TLS to hosts is not spoken");
        }
        return new Service(
                name, check, (int) whole(entry, at, "maxconn", 1, Integer.MAX_VALUE, (long) Integer.MAX_VALUE));
    }

    private static Route route(Json entry, String at, ValueInterner shared) throws InvalidConfiguration {
        String name = text(entry, at, "name");
        String domain = shared.intern(text(entry, at, "domain").toLowerCase(Locale.ROOT));
        String prefix = text(entry, at, "prefix");
        if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
            throw new InvalidConfiguration(at + "prefix", "wanted a slash at both ends of '" + prefix + "'");
        }
        String typeName = text(entry, at, "type");
        Configuration.Type type = switch (typeName) {
            case "idem" -> Configuration.Type.IDEM;
            case "mutating" -> Configuration.Type.MUTATING;
            default -> throw new InvalidConfiguration(at + "type", "wanted idem or mutating, not '" + typeName + "'");
        };
        long timeout = whole(entry, at, "timeoutMs", 1, Integer.MAX_VALUE, null);
        long target = whole(entry, at, "targetMs", 1, Integer.MAX_VALUE, timeout);
        int prio = (int) whole(entry, at, "prio", 0, 1_000, 0L);
        int tries = (int) whole(entry, at, "tries", 1, 32, 1L);
        return new Route(name, domain, prefix, type, timeout, target, prio, split(entry, at, shared), tries);
    }

    private static List<Split> split(Json entry, String at, ValueInterner shared) throws InvalidConfiguration {
        if (entry.field("split").value() == null) {
            return shared.internSplits(List.of(new Split(shared.intern(text(entry, at, "svc")), 1)));
        }
        if (!entry.field("split").isArray()) {
            throw new InvalidConfiguration(at + "split", "wanted an array");
        }
        List<Split> parts = new ArrayList<>();
        double sum = 0;
        int i = 0;
        for (Json part : entry.field("split").entries()) {
            String here = at + "split[" + i++ + "].";
            double weight = part.field("weight").number(Double.NaN).doubleValue();
            if (!(weight >= 0 && weight < 1e12)) {
                throw new InvalidConfiguration(here + "weight", "wanted a number that isn't below 0");
            }
            parts.add(new Split(shared.intern(text(part, here, "svc")), weight));
            sum += weight;
        }
        if (sum <= 0) {
            throw new InvalidConfiguration(at + "split", "the weights sum to 0");
        }
        return shared.internSplits(List.copyOf(parts));
    }

    private static Limits limits(Json entry) throws InvalidConfiguration {
        Limits usual = Limits.DEFAULTS;
        return new Limits(
                (int) whole(entry, "limits.", "hdrBytes", 256, 1 << 20, (long) usual.hdrBytes()),
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
            throw new InvalidConfiguration(
                    at + name,
                    field.value() == null
                            ? "is missing"
                            : "wanted a whole number from " + least + " to " + most + ", not " + field.text());
        }
        return value;
    }
}
