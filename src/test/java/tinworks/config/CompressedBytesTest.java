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

/** Deflated bodies are read back whole, and their size is bounded. */
class CompressedBytesTest {
    private static final int MOST = 1 << 20;

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
    void whatWasPackedComesBackAndALongConfigurationIsShort() {
        for (int count : new int[] {0, 1, 14, 60, 1_240}) {
            byte[] whole = routes(count);
            byte[] packed = CompressedBytes.compress(whole);
            assertArrayEquals(whole, CompressedBytes.decompress(packed, MOST));
            assertTrue(
                    count < 1_000 || packed.length * 6 < whole.length,
                    whole.length + " bytes, packed " + packed.length);
        }
        assertEquals(0, CompressedBytes.decompress(CompressedBytes.compress(new byte[0]), MOST).length);
    }

    @Test
    void whatIsCutSpoiltOrTooLongIsRefused() {
        byte[] packed = CompressedBytes.compress(routes(60));
        for (int i = 0; i < packed.length; i++) {
            byte[] cut = Arrays.copyOf(packed, i);
            assertThrows(IllegalArgumentException.class, () -> CompressedBytes.decompress(cut, MOST));
        }
        assertThrows(IllegalArgumentException.class, () -> CompressedBytes.decompress(packed, 100));
        byte[] longer = Arrays.copyOf(packed, packed.length + 1);
        assertThrows(IllegalArgumentException.class, () -> CompressedBytes.decompress(longer, MOST));
        for (int lie : new int[] {-1, 0, 10, MOST}) {
            byte[] lies = packed.clone();
            ByteBuffer.wrap(lies).putInt(lie);
            assertThrows(IllegalArgumentException.class, () -> CompressedBytes.decompress(lies, MOST));
        }
        SplittableRandom random = new SplittableRandom(1);
        byte[] whole = routes(60);
        for (int i = 0; i < 2_000; i++) {
            byte[] spoilt = packed.clone();
            spoilt[random.nextInt(spoilt.length)] ^= (byte) (1 << random.nextInt(8));
            try {
                assertArrayEquals(
                        whole,
                        CompressedBytes.decompress(spoilt, MOST),
                        "its checksum holds, so it is what was packed");
            } catch (IllegalArgumentException e) {
                assertTrue(e.getMessage().startsWith("packed: "));
            }
        }
    }
}
