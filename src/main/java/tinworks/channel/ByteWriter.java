package tinworks.channel;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Big-endian encoder into a buffer that grows as needed. */
final class ByteWriter {
    private ByteBuffer buffer = ByteBuffer.allocate(256);

    private ByteBuffer ensureRemaining(int bytes) {
        if (buffer.remaining() < bytes) {
            buffer = ByteBuffer.allocate(Math.max(2 * buffer.capacity(), buffer.position() + bytes))
                    .put(buffer.flip());
        }
        return buffer;
    }

    ByteWriter writeByte(byte value) {
        ensureRemaining(1).put(value);
        return this;
    }

    ByteWriter writeBoolean(boolean value) {
        return writeByte((byte) (value ? 1 : 0));
    }

    ByteWriter writeShort(short value) {
        ensureRemaining(Short.BYTES).putShort(value);
        return this;
    }

    ByteWriter writeInt(int value) {
        ensureRemaining(Integer.BYTES).putInt(value);
        return this;
    }

    ByteWriter writeLong(long value) {
        ensureRemaining(Long.BYTES).putLong(value);
        return this;
    }

    ByteWriter writeBytes(byte[] value) {
        writeInt(value.length);
        ensureRemaining(value.length).put(value);
        return this;
    }

    ByteWriter writeString(String value) {
        return writeBytes(value.getBytes(StandardCharsets.UTF_8));
    }

    ByteBuffer finish() {
        return buffer.flip();
    }
}
