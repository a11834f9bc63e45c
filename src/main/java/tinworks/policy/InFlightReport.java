package tinworks.policy;

import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tinworks.policy.LoadBalancerState.Server;

/**
 * Encodes and decodes the message by which a gateway reports its requests in flight at each server to the other
 * gateways: one byte for the format version, then for each server four bytes for its id and one byte for the count. It
 * makes no decisions.
 */
final class InFlightReport {
    private static final byte FORMAT_VERSION = 1;
    private static final int ENTRY_BYTES = Integer.BYTES + 1;
    private static final int MAX_BYTES = 256;
    private static final int MAX_COUNT = 255;

    private InFlightReport() {}

    /** Code of a server id in a message. Servers with equal codes are counted as one. */
    static int code(String id) {
        return id.hashCode();
    }

    static byte[] write(List<Server> servers) {
        ByteBuffer message = ByteBuffer.allocate(MAX_BYTES);
        message.put(FORMAT_VERSION);
        for (Server s : servers) {
            if (s.inFlight > 0 && message.remaining() >= ENTRY_BYTES) {
                message.putInt(code(s.info.id())).put((byte) Math.min(MAX_COUNT, s.inFlight));
            }
        }
        byte[] bytes = new byte[message.position()];
        message.flip().get(bytes);
        return bytes;
    }

    /** Decodes the counts of the known servers; empty for a message of another format. */
    static Map<Server, Integer> read(byte[] bytes, Map<Integer, Server> byCode) {
        Map<Server, Integer> counts = new LinkedHashMap<>();
        if (bytes.length == 0 || bytes[0] != FORMAT_VERSION || (bytes.length - 1) % ENTRY_BYTES != 0) {
            return counts;
        }
        ByteBuffer message = ByteBuffer.wrap(bytes, 1, bytes.length - 1);
        while (message.hasRemaining()) {
            Server s = byCode.get(message.getInt());
            int count = Byte.toUnsignedInt(message.get());
            if (s != null) {
                counts.merge(s, count, Integer::sum);
            }
        }
        return counts;
    }
}
