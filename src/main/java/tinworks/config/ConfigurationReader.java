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
 * Parses and validates a configuration in the operator's JSON. Unknown fields are ignored. It does not check whether
 * the version may follow the one in force; {@link ConfigurationHistory} does.
 */
public final class ConfigurationReader {
    private static final int MAX_ENTRIES = 100_000;
    private static final String SERVICES = "svcs";
    private static final String ROUTES = "routes";
    private static final String REV = "rev";
    private static final String LIMITS = "limits";

    private ConfigurationReader() {}

    /** Reads a configuration. Throws an {@link InvalidConfiguration} with the field at fault and the reason. */
    public static Configuration read(byte[] json) throws InvalidConfiguration {
        return read(new ByteArrayInputStream(json));
    }

    /** As {@link #read(byte[])}, from a stream that is parsed incrementally and not held in memory. */
    public static Configuration read(InputStream json) throws InvalidConfiguration {
        return read(json, Long.MAX_VALUE);
    }

    /**
     * The same, but rejects a configuration as too large, without holding it, if its
     * {@link ConfigurationMemoryEstimate} exceeds the limit.
     */
    public static Configuration read(InputStream json, long maxMemoryBytes) throws InvalidConfiguration {
        Builder builder = new Builder(maxMemoryBytes);
        boolean isObject;
        try {
            // An explicit decoder rejects what is not UTF-8; the library would guess other encodings.
            isObject = Json.read(new InputStreamReader(json, StandardCharsets.UTF_8.newDecoder()), builder);
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
        return builder.build();
    }

    /**
     * Collects what has been parsed. Errors are thrown only at the end, because field paths mean nothing in a text that
     * turns out not to be valid JSON.
     */
    private static final class Builder implements Json.Handler {
        private final Map<String, Object> fields = new HashMap<>();
        private final ValueInterner interner = new ValueInterner();
        /** Indexes of the routes that name a single service instead of a split. */
        private final BitSet singleService = new BitSet();

        private Map<String, Service> services;
        private List<Route> routes;
        private Set<ConfigurationChange.RouteKey> routeKeys;
        private InvalidConfiguration servicesError;
        private InvalidConfiguration routesError;
        private final long maxMemoryBytes;
        private long memoryBytes;
        private String array = "";

        Builder(long maxMemoryBytes) {
            this.maxMemoryBytes = maxMemoryBytes;
        }

        @Override
        public void field(String name, Json value) {
            discardPrevious(name);
            if (name.equals(REV) || name.equals(LIMITS)) {
                fields.put(name, value.value());
            }
        }

        @Override
        public void array(String name) {
            discardPrevious(name);
            array = name;
            if (name.equals(SERVICES)) {
                services = new LinkedHashMap<>();
            } else if (name.equals(ROUTES)) {
                routes = new ArrayList<>();
                routeKeys = new HashSet<>();
                singleService.clear();
            } else if (name.equals(REV) || name.equals(LIMITS)) {
                fields.put(name, List.of());
            }
        }

        /** Of duplicate fields the last one counts. */
        private void discardPrevious(String name) {
            fields.remove(name);
            if (name.equals(SERVICES)) {
                services = null;
                servicesError = null;
            } else if (name.equals(ROUTES)) {
                routes = null;
                routesError = null;
            }
        }

        @Override
        public void entry(Json entry) {
            if (array.equals(SERVICES) && servicesError == null) {
                try {
                    addService(entry);
                } catch (InvalidConfiguration e) {
                    servicesError = e;
                }
            } else if (array.equals(ROUTES) && routesError == null) {
                try {
                    addRoute(entry);
                } catch (InvalidConfiguration e) {
                    routesError = e;
                }
            }
        }

        /** Drops what was read once the limit is exceeded, so that a rejected configuration is not held in memory. */
        private void addMemoryBytes(long added) throws InvalidConfiguration {
            memoryBytes += added;
            if (memoryBytes > maxMemoryBytes) {
                routes = new ArrayList<>();
                services = new LinkedHashMap<>();
                routeKeys = new HashSet<>();
                servicesError = InvalidConfiguration.tooLarge(maxMemoryBytes);
                throw servicesError;
            }
        }

        private void addService(Json entry) throws InvalidConfiguration {
            if (services.size() == MAX_ENTRIES) {
                throw tooManyEntries(SERVICES);
            }
            String path = SERVICES + "[" + services.size() + "].";
            Service service = service(entry, path);
            addMemoryBytes(ConfigurationMemoryEstimate.of(service));
            if (services.put(service.name(), service) != null) {
                throw new InvalidConfiguration(path + "name", "a second service '" + service.name() + "'");
            }
        }

        private void addRoute(Json entry) throws InvalidConfiguration {
            if (routes.size() == MAX_ENTRIES) {
                routes.clear();
                throw tooManyEntries(ROUTES);
            }
            String path = ROUTES + "[" + routes.size() + "].";
            Route route = route(entry, path, interner);
            addMemoryBytes(ConfigurationMemoryEstimate.of(route));
            singleService.set(routes.size(), entry.field("split").value() == null);
            routes.add(route);
            if (!routeKeys.add(ConfigurationChange.RouteKey.of(route))) {
                throw new InvalidConfiguration(path + "prefix", "another route has this domain and prefix");
            }
        }

        Configuration build() throws InvalidConfiguration {
            Json root = new Json(fields);
            long rev = wholeNumber(root, "", REV, 1, Long.MAX_VALUE, null);
            if (servicesError != null && servicesError.isTooLarge()) {
                throw servicesError;
            }
            requireArray(services, SERVICES, servicesError);
            requireArray(routes, ROUTES, null);
            checkServiceReferences();
            if (routesError != null) {
                throw routesError;
            }
            return new Configuration(rev, routes, services, limits(root.field(LIMITS)));
        }

        private static void requireArray(Object array, String name, InvalidConfiguration error)
                throws InvalidConfiguration {
            if (array == null) {
                throw new InvalidConfiguration(name, "wanted an array");
            }
            if (error != null) {
                throw error;
            }
        }

        /** Runs after parsing, because routes may precede the services that they name. */
        private void checkServiceReferences() throws InvalidConfiguration {
            for (int i = 0; i < routes.size(); i++) {
                List<Split> split = routes.get(i).split();
                for (int part = 0; part < split.size(); part++) {
                    String service = split.get(part).service();
                    if (!services.containsKey(service)) {
                        String where = singleService.get(i) ? "svc" : "split[" + part + "].svc";
                        throw new InvalidConfiguration(
                                ROUTES + "[" + i + "]." + where, "no service '" + service + "' in svcs");
                    }
                }
            }
        }
    }

    private static InvalidConfiguration tooManyEntries(String name) {
        return new InvalidConfiguration(name, "more than " + MAX_ENTRIES + " entries");
    }

    private static Service service(Json entry, String path) throws InvalidConfiguration {
        String name = text(entry, path, "name");
        String check = entry.field("check").value() == null ? "/" : text(entry, path, "check");
        String proto = entry.field("proto").text();
        if (!proto.isEmpty() && !proto.equals("h1")) {
            throw new InvalidConfiguration(path + "proto", "only h1 is spoken, not '" + proto + "'");
        }
        if (entry.field("tls").isTrue()) {
            throw new InvalidConfiguration(path + "tls", "TLS to hosts is not spoken");
        }
        return new Service(
                name, check, (int) wholeNumber(entry, path, "maxconn", 1, Integer.MAX_VALUE, (long) Integer.MAX_VALUE));
    }

    private static Route route(Json entry, String path, ValueInterner interner) throws InvalidConfiguration {
        String name = text(entry, path, "name");
        String domain = interner.intern(text(entry, path, "domain").toLowerCase(Locale.ROOT));
        String prefix = text(entry, path, "prefix");
        if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
            throw new InvalidConfiguration(path + "prefix", "wanted a slash at both ends of '" + prefix + "'");
        }
        String typeName = text(entry, path, "type");
        Configuration.Type type = switch (typeName) {
            case "idem" -> Configuration.Type.IDEM;
            case "mutating" -> Configuration.Type.MUTATING;
            default -> throw new InvalidConfiguration(path + "type", "wanted idem or mutating, not '" + typeName + "'");
        };
        long timeout = wholeNumber(entry, path, "timeoutMs", 1, Integer.MAX_VALUE, null);
        long target = wholeNumber(entry, path, "targetMs", 1, Integer.MAX_VALUE, timeout);
        int prio = (int) wholeNumber(entry, path, "prio", 0, 1_000, 0L);
        int maxAttempts = (int) wholeNumber(entry, path, "tries", 1, 32, 1L);
        return new Route(name, domain, prefix, type, timeout, target, prio, split(entry, path, interner), maxAttempts);
    }

    private static List<Split> split(Json entry, String path, ValueInterner interner) throws InvalidConfiguration {
        if (entry.field("split").value() == null) {
            return interner.internSplits(List.of(new Split(interner.intern(text(entry, path, "svc")), 1)));
        }
        if (!entry.field("split").isArray()) {
            throw new InvalidConfiguration(path + "split", "wanted an array");
        }
        List<Split> parts = new ArrayList<>();
        double sum = 0;
        int i = 0;
        for (Json part : entry.field("split").entries()) {
            String splitPath = path + "split[" + i++ + "].";
            double weight = part.field("weight").number(Double.NaN).doubleValue();
            if (!(weight >= 0 && weight < 1e12)) {
                throw new InvalidConfiguration(splitPath + "weight", "wanted a number that isn't below 0");
            }
            parts.add(new Split(interner.intern(text(part, splitPath, "svc")), weight));
            sum += weight;
        }
        if (sum <= 0) {
            throw new InvalidConfiguration(path + "split", "the weights sum to 0");
        }
        return interner.internSplits(List.copyOf(parts));
    }

    private static Limits limits(Json entry) throws InvalidConfiguration {
        Limits defaults = Limits.DEFAULTS;
        return new Limits(
                (int) wholeNumber(entry, "limits.", "hdrBytes", 256, 1 << 20, (long) defaults.hdrBytes()),
                wholeNumber(entry, "limits.", "bodyMaxBytes", 0, Long.MAX_VALUE, defaults.bodyMaxBytes()),
                wholeNumber(entry, "limits.", "hdrMs", 1, Integer.MAX_VALUE, defaults.hdrMs()),
                wholeNumber(entry, "limits.", "idleMs", 1, Integer.MAX_VALUE, defaults.idleMs()));
    }

    private static String text(Json entry, String path, String name) throws InvalidConfiguration {
        Json field = entry.field(name);
        if (!field.isText() || field.text().isEmpty()) {
            throw new InvalidConfiguration(path + name, field.value() == null ? "is missing" : "wanted a text");
        }
        return field.text();
    }

    private static long wholeNumber(Json entry, String path, String name, long min, long max, Long defaultValue)
            throws InvalidConfiguration {
        Json field = entry.field(name);
        if (field.value() == null && defaultValue != null) {
            return defaultValue;
        }
        boolean isWhole = field.value() instanceof Integer || field.value() instanceof Long;
        long value = isWhole ? field.number(0).longValue() : 0;
        if (!isWhole || value < min || value > max) {
            throw new InvalidConfiguration(
                    path + name,
                    field.value() == null
                            ? "is missing"
                            : "wanted a whole number from " + min + " to " + max + ", not " + field.text());
        }
        return value;
    }
}
