package tinworks.config;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Compressed bytes round-trip, and their decompressed size is bounded. */
class CompressedBytesTest {
    private static final int MAX_BYTES = 1 << 20;

    private static byte[] routes(int count) {
        StringBuilder json = new StringBuilder("{\"rev\":7,\"routes\":[");
        SplittableRandom random = new SplittableRandom(2);
        for (int i = 0; i < count; i++) {
            json.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"r-")
                    .append(Long.toString(random.nextLong(1L << 32), 36))
                    .append("\",\"domain\":\"jepu9.example\",\"prefix\":\"/")
                    .append(Long.toString(random.nextLong(1L << 30), 36))
                    .append(
                            "/\",\"type\":\"idem\",\"timeoutMs\":2500,\"targetMs\":600,\"prio\":2,\"svc\":\"huvo11a\",\"tries\":2}");
        }
        return json.append("]}").toString().getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void roundTripsAndCompressesALongConfiguration() {
        for (int count : new int[] {0, 1, 14, 60, 1_240}) {
            byte[] bytes = routes(count);
            byte[] compressed = CompressedBytes.compress(bytes);
            assertArrayEquals(bytes, CompressedBytes.decompress(compressed, MAX_BYTES));
            assertTrue(
                    count < 1_000 || compressed.length * 6 < bytes.length,
                    bytes.length + " bytes, compressed " + compressed.length);
        }
        assertEquals(0, CompressedBytes.decompress(CompressedBytes.compress(new byte[0]), MAX_BYTES).length);
    }

    @Test
    void rejectsTruncatedCorruptOrOversizedInput() {
        byte[] compressed = CompressedBytes.compress(routes(60));
        for (int i = 0; i < compressed.length; i++) {
            byte[] truncated = Arrays.copyOf(compressed, i);
            assertThrows(IllegalArgumentException.class, () -> CompressedBytes.decompress(truncated, MAX_BYTES));
        }
        assertThrows(IllegalArgumentException.class, () -> CompressedBytes.decompress(compressed, 100));
        byte[] longer = Arrays.copyOf(compressed, compressed.length + 1);
        assertThrows(IllegalArgumentException.class, () -> CompressedBytes.decompress(longer, MAX_BYTES));
        for (int length : new int[] {-1, 0, 10, MAX_BYTES}) {
            byte[] wrongLength = compressed.clone();
            ByteBuffer.wrap(wrongLength).putInt(length);
            assertThrows(IllegalArgumentException.class, () -> CompressedBytes.decompress(wrongLength, MAX_BYTES));
        }
        SplittableRandom random = new SplittableRandom(1);
        byte[] bytes = routes(60);
        for (int i = 0; i < 2_000; i++) {
            byte[] corrupt = compressed.clone();
            corrupt[random.nextInt(corrupt.length)] ^= (byte) (1 << random.nextInt(8));
            try {
                assertArrayEquals(
                        bytes,
                        CompressedBytes.decompress(corrupt, MAX_BYTES),
                        "accepted with a valid checksum, but the bytes differ");
            } catch (IllegalArgumentException e) {
                assertTrue(e.getMessage().startsWith("packed: "));
            }
        }
    }
}
