package tinworks.channel;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tinworks.config.Configuration;
import tinworks.config.Configuration.Limits;
import tinworks.config.Configuration.Route;
import tinworks.config.Configuration.Service;
import tinworks.config.Configuration.Split;
import tinworks.config.ConfigurationChange;
import tinworks.config.ConfigurationChange.Place;
import tinworks.config.SharedValues;

/**
 * The bytes of a configuration and of a change of one, between a core machine that has read the operator's JSON and
 * checked it, and edges, which are spared both. Fields in the order of the records, a service's before the routes';
 * numbers, texts and lists as in {@link PeerMessageCodec}, a weight as the 8 bytes of a double.
 */
public final class ConfigurationCodec {
    private static final Configuration.Type[] TYPES = Configuration.Type.values();
    private static final int LEAST_SERVICE = 3 * Integer.BYTES;
    private static final int LEAST_ROUTE = 6 * Integer.BYTES + 1 + 2 * Long.BYTES;
    private static final int LEAST_SPLIT = Integer.BYTES + Long.BYTES;

    private ConfigurationCodec() {}

    /** Reads a part. */
    private interface Part<T> {
        T read(ByteReader in) throws MalformedDataException;
    }

    /** A whole configuration as bytes. */
    public static byte[] write(Configuration configuration) {
        ByteWriter out = new ByteWriter().eight(configuration.rev());
        writeLimits(out, configuration.limits());
        writeServices(out, configuration.services().values());
        writeRoutes(out, configuration.routes());
        return bytes(out);
    }

    /** A change as bytes. */
    public static byte[] write(ConfigurationChange change) {
        ByteWriter out = new ByteWriter().eight(change.base()).eight(change.rev());
        writeLimits(out, change.limits());
        writeServices(out, change.services());
        writeRoutes(out, change.set());
        out.four(change.goneServices().size());
        change.goneServices().forEach(out::text);
        out.four(change.gone().size());
        change.gone().forEach(place -> out.text(place.domain()).text(place.prefix()));
        return bytes(out);
    }

    /** The configuration that the bytes are, no more and no less. */
    public static Configuration read(byte[] bytes) throws MalformedDataException {
        return whole(bytes, in -> {
            long rev = in.eight();
            Limits limits = readLimits(in);
            Map<String, Service> services = new LinkedHashMap<>();
            for (Service service : readServices(in)) {
                services.put(service.name(), service);
            }
            return new Configuration(rev, readRoutes(in), services, limits);
        });
    }

    /** The change that the bytes are, no more and no less. */
    public static ConfigurationChange readChange(byte[] bytes) throws MalformedDataException {
        return whole(bytes, in -> {
            long base = in.eight();
            long rev = in.eight();
            Limits limits = readLimits(in);
            List<Service> services = readServices(in);
            List<Route> set = readRoutes(in);
            List<String> goneServices = list(in, Integer.BYTES, ConfigurationCodec::text);
            List<Place> gone = list(in, 2 * Integer.BYTES, place -> new Place(text(place), text(place)));
            return new ConfigurationChange(base, rev, set, gone, services, goneServices, limits);
        });
    }

    private static <T> T whole(byte[] bytes, Part<T> part) throws MalformedDataException {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        try {
            T read = part.read(new ByteReader(buffer));
            if (buffer.hasRemaining()) {
                throw new MalformedDataException(buffer.remaining() + " bytes left over");
            }
            return read;
        } catch (BufferUnderflowException e) {
            throw new MalformedDataException("cut short");
        }
    }

    private static byte[] bytes(ByteWriter out) {
        ByteBuffer done = out.done();
        byte[] bytes = new byte[done.remaining()];
        done.get(bytes);
        return bytes;
    }

    private static <T> List<T> list(ByteReader in, int leastBytes, Part<T> part) throws MalformedDataException {
        List<T> list = new ArrayList<>();
        for (int i = in.count(leastBytes); i > 0; i--) {
            list.add(part.read(in));
        }
        return list;
    }

    /** A text of any length: the operator's names are the operator's. */
    private static String text(ByteReader in) throws MalformedDataException {
        return new String(in.bytes(), StandardCharsets.UTF_8);
    }

    private static void writeLimits(ByteWriter out, Limits limits) {
        out.four(limits.hdrBytes())
                .eight(limits.bodyMaxBytes())
                .eight(limits.hdrMs())
                .eight(limits.idleMs());
    }

    private static Limits readLimits(ByteReader in) {
        return new Limits(in.four(), in.eight(), in.eight(), in.eight());
    }

    private static void writeServices(ByteWriter out, Collection<Service> services) {
        out.four(services.size());
        services.forEach(
                service -> out.text(service.name()).text(service.check()).four(service.maxconn()));
    }

    private static List<Service> readServices(ByteReader in) throws MalformedDataException {
        return list(in, LEAST_SERVICE, service -> new Service(text(service), text(service), service.four()));
    }

    private static void writeRoutes(ByteWriter out, List<Route> routes) {
        out.four(routes.size());
        for (Route route : routes) {
            out.text(route.name())
                    .text(route.domain())
                    .text(route.prefix())
                    .one((byte) route.type().ordinal())
                    .eight(route.timeoutMs())
                    .eight(route.targetMs())
                    .four(route.prio())
                    .four(route.split().size());
            route.split().forEach(part -> out.text(part.service()).eight(Double.doubleToLongBits(part.weight())));
            out.four(route.tries());
        }
    }

    private static List<Route> readRoutes(ByteReader in) throws MalformedDataException {
        SharedValues shared = new SharedValues();
        return list(
                in,
                LEAST_ROUTE,
                route -> new Route(
                        text(route),
                        shared.text(text(route)),
                        text(route),
                        route.among(TYPES),
                        route.eight(),
                        route.eight(),
                        route.four(),
                        readSplit(route, shared),
                        route.four()));
    }

    private static List<Split> readSplit(ByteReader in, SharedValues shared) throws MalformedDataException {
        return shared.list(list(
                in, LEAST_SPLIT, part -> new Split(shared.text(text(part)), Double.longBitsToDouble(part.eight()))));
    }
}
