package tinworks.channel;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** The bytes of what one process says to another, big-endian, in a buffer that grows. */
final class ByteWriter {
    private ByteBuffer buffer = ByteBuffer.allocate(256);

    private ByteBuffer room(int bytes) {
        if (buffer.remaining() < bytes) {
            buffer = ByteBuffer.allocate(Math.max(2 * buffer.capacity(), buffer.position() + bytes))
                    .put(buffer.flip());
        }
        return buffer;
    }

    ByteWriter one(byte value) {
        room(1).put(value);
        return this;
    }

    ByteWriter flag(boolean value) {
        return one((byte) (value ? 1 : 0));
    }

    ByteWriter two(short value) {
        room(Short.BYTES).putShort(value);
        return this;
    }

    ByteWriter four(int value) {
        room(Integer.BYTES).putInt(value);
        return this;
    }

    ByteWriter eight(long value) {
        room(Long.BYTES).putLong(value);
        return this;
    }

    ByteWriter bytes(byte[] value) {
        four(value.length);
        room(value.length).put(value);
        return this;
    }

    ByteWriter text(String value) {
        return bytes(value.getBytes(StandardCharsets.UTF_8));
    }

    ByteBuffer done() {
        return buffer.flip();
    }
}
