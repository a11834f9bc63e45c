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
 * Length-prefixed bytes for slow links: the uncompressed length (4 bytes), then the bytes, compressed with DEFLATE if
 * the length is above {@link #MAX_UNCOMPRESSED_BYTES}.
 */
public final class CompressedBytes {
    private static final int CHUNK_BYTES = 8_192;
    /** A few packets at most; up to this length an edge takes longer to inflate bytes than to receive them. */
    static final int MAX_UNCOMPRESSED_BYTES = 4_096;

    private CompressedBytes() {}

    /** Compresses bytes; a configuration with many routes shrinks to about a tenth. */
    public static byte[] compress(byte[] bytes) {
        return compress(ByteBuffer.wrap(bytes));
    }

    /** Compresses the remaining bytes of the buffers in order; their positions do not change. */
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
            ByteArrayOutputStream out = new ByteArrayOutputStream(length / 8 + CHUNK_BYTES);
            out.writeBytes(ByteBuffer.allocate(Integer.BYTES).putInt(length).array());
            byte[] chunk = new byte[CHUNK_BYTES];
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

    /** The uncompressed length that the prefix states, or -1 if the bytes are too short to hold one. */
    public static int uncompressedLength(byte[] compressed) {
        return compressed.length < Integer.BYTES
                ? -1
                : ByteBuffer.wrap(compressed).getInt();
    }

    /**
     * A stream of the uncompressed bytes, so that they need not be in memory at once. Truncated or corrupt input throws
     * an {@link java.io.IOException} while it is read. The caller limits how much it reads.
     */
    public static InputStream decompressingStream(byte[] compressed) {
        int length = uncompressedLength(compressed);
        InputStream rest =
                new ByteArrayInputStream(compressed, Integer.BYTES, Math.max(0, compressed.length - Integer.BYTES));
        return length <= MAX_UNCOMPRESSED_BYTES ? rest : new InflaterInputStream(rest);
    }

    /**
     * Decompresses at most {@code maxBytes}. Longer, truncated or corrupt input throws an
     * {@link IllegalArgumentException}.
     */
    public static byte[] decompress(byte[] compressed, int maxBytes) {
        int length = uncompressedLength(compressed);
        if (length < 0 || length > maxBytes) {
            throw new IllegalArgumentException("packed: invalid length " + length);
        }
        if (length <= MAX_UNCOMPRESSED_BYTES) {
            if (compressed.length - Integer.BYTES != length) {
                throw new IllegalArgumentException(
                        "packed: " + (compressed.length - Integer.BYTES) + " of " + length + " bytes");
            }
            return Arrays.copyOfRange(compressed, Integer.BYTES, compressed.length);
        }
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(compressed, Integer.BYTES, compressed.length - Integer.BYTES);
            // The buffer grows with the data, so that a false length does not allocate memory.
            byte[] bytes = new byte[Math.min(length, CHUNK_BYTES)];
            int offset = 0;
            while (!inflater.finished() && offset < length) {
                bytes = offset < bytes.length ? bytes : Arrays.copyOf(bytes, Math.min(length, 2 * bytes.length));
                int read = inflater.inflate(bytes, offset, bytes.length - offset);
                if (read == 0 && (inflater.needsInput() || inflater.needsDictionary())) {
                    break;
                }
                offset += read;
            }
            // The end-of-stream marker may follow the last byte.
            boolean ended = inflater.finished()
                    || (offset == length && inflater.inflate(new byte[1]) == 0 && inflater.finished());
            if (!ended || offset != length || inflater.getRemaining() > 0) {
                throw new IllegalArgumentException("packed: " + offset + " of " + length + " bytes");
            }
            return bytes.length == length ? bytes : Arrays.copyOf(bytes, length);
        } catch (DataFormatException e) {
            throw new IllegalArgumentException("packed: " + e.getMessage(), e);
        } finally {
            inflater.end();
        }
    }
}
