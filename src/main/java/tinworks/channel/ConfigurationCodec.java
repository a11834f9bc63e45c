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
import tinworks.config.ConfigurationChange.RouteKey;
import tinworks.config.ValueInterner;

/**
 * Encodes and decodes configurations and configuration changes. A core node parses and validates the operator's JSON,
 * so that edges need do neither. Fields are in the order of the records, services before routes; numbers, strings and
 * lists are encoded as in {@link PeerMessageCodec}, a weight as the 8 bytes of a double.
 */
public final class ConfigurationCodec {
    private static final Configuration.Type[] ROUTE_TYPES = Configuration.Type.values();
    private static final int MIN_SERVICE_BYTES = 3 * Integer.BYTES;
    private static final int MIN_ROUTE_BYTES = 6 * Integer.BYTES + 1 + 2 * Long.BYTES;
    private static final int MIN_SPLIT_BYTES = Integer.BYTES + Long.BYTES;

    private ConfigurationCodec() {}

    /** Reads one value from the input. */
    private interface Decoder<T> {
        T read(ByteReader in) throws MalformedDataException;
    }

    /** Encodes a whole configuration. */
    public static byte[] write(Configuration configuration) {
        ByteWriter out = new ByteWriter().writeLong(configuration.rev());
        writeLimits(out, configuration.limits());
        writeServices(out, configuration.services().values());
        writeRoutes(out, configuration.routes());
        return toBytes(out);
    }

    /** Encodes a configuration change. */
    public static byte[] write(ConfigurationChange change) {
        ByteWriter out = new ByteWriter().writeLong(change.base()).writeLong(change.rev());
        writeLimits(out, change.limits());
        writeServices(out, change.changedServices());
        writeRoutes(out, change.changedRoutes());
        out.writeInt(change.removedServices().size());
        change.removedServices().forEach(out::writeString);
        out.writeInt(change.removedRoutes().size());
        change.removedRoutes().forEach(key -> out.writeString(key.domain()).writeString(key.prefix()));
        return toBytes(out);
    }

    /** Decodes a configuration; bytes that are missing or left over are an error. */
    public static Configuration read(byte[] bytes) throws MalformedDataException {
        return decodeFully(bytes, in -> {
            long rev = in.readLong();
            Limits limits = readLimits(in);
            Map<String, Service> services = new LinkedHashMap<>();
            for (Service service : readServices(in)) {
                services.put(service.name(), service);
            }
            return new Configuration(rev, readRoutes(in), services, limits);
        });
    }

    /** Decodes a configuration change; bytes that are missing or left over are an error. */
    public static ConfigurationChange readChange(byte[] bytes) throws MalformedDataException {
        return decodeFully(bytes, in -> {
            long base = in.readLong();
            long rev = in.readLong();
            Limits limits = readLimits(in);
            List<Service> changedServices = readServices(in);
            List<Route> changedRoutes = readRoutes(in);
            List<String> removedServices = readList(in, Integer.BYTES, ConfigurationCodec::readString);
            List<RouteKey> removedRoutes =
                    readList(in, 2 * Integer.BYTES, key -> new RouteKey(readString(key), readString(key)));
            return new ConfigurationChange(
                    base, rev, changedRoutes, removedRoutes, changedServices, removedServices, limits);
        });
    }

    private static <T> T decodeFully(byte[] bytes, Decoder<T> decoder) throws MalformedDataException {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        try {
            T value = decoder.read(new ByteReader(buffer));
            if (buffer.hasRemaining()) {
                throw new MalformedDataException(buffer.remaining() + " unexpected bytes after the end");
            }
            return value;
        } catch (BufferUnderflowException e) {
            throw new MalformedDataException("unexpected end of data");
        }
    }

    private static byte[] toBytes(ByteWriter out) {
        ByteBuffer encoded = out.finish();
        byte[] bytes = new byte[encoded.remaining()];
        encoded.get(bytes);
        return bytes;
    }

    private static <T> List<T> readList(ByteReader in, int minElementBytes, Decoder<T> decoder)
            throws MalformedDataException {
        List<T> list = new ArrayList<>();
        for (int i = in.readCount(minElementBytes); i > 0; i--) {
            list.add(decoder.read(in));
        }
        return list;
    }

    /** Reads a string of any length: the names in a configuration have no limit of their own here. */
    private static String readString(ByteReader in) throws MalformedDataException {
        return new String(in.readBytes(), StandardCharsets.UTF_8);
    }

    private static void writeLimits(ByteWriter out, Limits limits) {
        out.writeInt(limits.hdrBytes())
                .writeLong(limits.bodyMaxBytes())
                .writeLong(limits.hdrMs())
                .writeLong(limits.idleMs());
    }

    private static Limits readLimits(ByteReader in) {
        return new Limits(in.readInt(), in.readLong(), in.readLong(), in.readLong());
    }

    private static void writeServices(ByteWriter out, Collection<Service> services) {
        out.writeInt(services.size());
        services.forEach(service ->
                out.writeString(service.name()).writeString(service.check()).writeInt(service.maxconn()));
    }

    private static List<Service> readServices(ByteReader in) throws MalformedDataException {
        return readList(
                in,
                MIN_SERVICE_BYTES,
                service -> new Service(readString(service), readString(service), service.readInt()));
    }

    private static void writeRoutes(ByteWriter out, List<Route> routes) {
        out.writeInt(routes.size());
        for (Route route : routes) {
            out.writeString(route.name())
                    .writeString(route.domain())
                    .writeString(route.prefix())
                    .writeByte((byte) route.type().ordinal())
                    .writeLong(route.timeoutMs())
                    .writeLong(route.targetMs())
                    .writeInt(route.prio())
                    .writeInt(route.split().size());
            route.split()
                    .forEach(split ->
                            out.writeString(split.service()).writeLong(Double.doubleToLongBits(split.weight())));
            out.writeInt(route.maxAttempts());
        }
    }

    private static List<Route> readRoutes(ByteReader in) throws MalformedDataException {
        ValueInterner interner = new ValueInterner();
        return readList(
                in,
                MIN_ROUTE_BYTES,
                route -> new Route(
                        readString(route),
                        interner.intern(readString(route)),
                        readString(route),
                        route.readConstant(ROUTE_TYPES),
                        route.readLong(),
                        route.readLong(),
                        route.readInt(),
                        readSplit(route, interner),
                        route.readInt()));
    }

    private static List<Split> readSplit(ByteReader in, ValueInterner interner) throws MalformedDataException {
        return interner.internSplits(readList(
                in,
                MIN_SPLIT_BYTES,
                split -> new Split(interner.intern(readString(split)), Double.longBitsToDouble(split.readLong()))));
    }
}
