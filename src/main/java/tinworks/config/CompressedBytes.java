package tinworks.config;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import java.util.zip.InflaterInputStream;

/**
 * Long texts on narrow links: the length of the whole (4 bytes), then its bytes, deflated where the length is above
 * {@link #MAX_UNCOMPRESSED_BYTES}.
 */
public final class CompressedBytes {
    private static final int CHUNK = 8_192;
    /** What takes a few packets at most travels as it is: to inflate it takes an edge longer than to receive it. */
    static final int MAX_UNCOMPRESSED_BYTES = 4_096;

    private CompressedBytes() {}

    /** Packs bytes; a configuration of many routes comes to about a tenth. */
    public static byte[] compress(byte[] whole) {
        return compress(ByteBuffer.wrap(whole));
    }

    /** Packs what is left in buffers one after the other, and leaves them as they were. */
    public static byte[] compress(ByteBuffer... parts) {
        int length = 0;
        for (ByteBuffer part : parts) {
            length += part.remaining();
        }
        if (length <= MAX_UNCOMPRESSED_BYTES) {
            ByteBuffer plain = ByteBuffer.allocate(Integer.BYTES + length).putInt(length);
            for (ByteBuffer part : parts) {
                plain.put(part.duplicate());
            }
            return plain.array();
        }
        Deflater deflater = new Deflater();
        try {
            ByteArrayOutputStream out = new ByteArrayOutputStream(length / 8 + CHUNK);
            out.writeBytes(ByteBuffer.allocate(Integer.BYTES).putInt(length).array());
            byte[] chunk = new byte[CHUNK];
            for (ByteBuffer part : parts) {
                deflater.setInput(part.duplicate());
                while (!deflater.needsInput()) {
                    out.write(chunk, 0, deflater.deflate(chunk));
                }
            }
            deflater.finish();
            while (!deflater.finished()) {
                out.write(chunk, 0, deflater.deflate(chunk));
            }
            return out.toByteArray();
        } finally {
            deflater.end();
        }
    }

    /** The length that packed bytes say the whole has, or -1 where they are too short to say it. */
    public static int uncompressedLength(byte[] packed) {
        return packed.length < Integer.BYTES ? -1 : ByteBuffer.wrap(packed).getInt();
    }

    /**
     * The whole as a stream, so that it need never be in memory at once. What is cut short or spoilt is an
     * {@link java.io.IOException} at its place; whoever reads bounds how much.
     */
    public static InputStream decompressingStream(byte[] packed) {
        int length = uncompressedLength(packed);
        InputStream rest = new ByteArrayInputStream(packed, Integer.BYTES, Math.max(0, packed.length - Integer.BYTES));
        return length <= MAX_UNCOMPRESSED_BYTES ? rest : new InflaterInputStream(rest);
    }

    /** Unpacks at most so many bytes; what is longer, cut short or spoilt is an {@link IllegalArgumentException}. */
    public static byte[] decompress(byte[] packed, int most) {
        int length = uncompressedLength(packed);
        if (length < 0 || length > most) {
            throw new IllegalArgumentException("packed: a length of " + length);
        }
        if (length <= MAX_UNCOMPRESSED_BYTES) {
            if (packed.length - Integer.BYTES != length) {
                throw new IllegalArgumentException(
                        "packed: " + (packed.length - Integer.BYTES) + " of " + length + " bytes");
            }
            return Arrays.copyOfRange(packed, Integer.BYTES, packed.length);
        }
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(packed, Integer.BYTES, packed.length - Integer.BYTES);
            // In chunks, so that a length that lies costs no memory.
            byte[] whole = new byte[Math.min(length, CHUNK)];
            int at = 0;
            while (!inflater.finished() && at < length) {
                whole = at < whole.length ? whole : Arrays.copyOf(whole, Math.min(length, 2 * whole.length));
                int read = inflater.inflate(whole, at, whole.length - at);
                if (read == 0 && (inflater.needsInput() || inflater.needsDictionary())) {
                    break;
                }
                at += read;
            }
            // The end of the stream may stand behind its last byte.
            boolean ended =
                    inflater.finished() || (at == length && inflater.inflate(new byte[1]) == 0 && inflater.finished());
            if (!ended || at != length || inflater.getRemaining() > 0) {
                throw new IllegalArgumentException("packed: " + at + " of " + length + " bytes");
            }
            return whole.length == length ? whole : Arrays.copyOf(whole, length);
        } catch (DataFormatException e) {
            throw new IllegalArgumentException("packed: " + e.getMessage(), e);
        } finally {
            inflater.end();
        }
    }
}
