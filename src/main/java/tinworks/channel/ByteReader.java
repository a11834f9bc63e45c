package tinworks.channel;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Big-endian decoder that checks every length against the remaining bytes before it allocates memory of that size. */
record ByteReader(ByteBuffer buffer) {
    private static final int MAX_STRING_BYTES = 4_096;

    byte readByte() {
        return buffer.get();
    }

    boolean readBoolean() throws MalformedDataException {
        byte value = buffer.get();
        if (value != 0 && value != 1) {
            throw new MalformedDataException("invalid boolean: " + value);
        }
        return value == 1;
    }

    short readShort() {
        return buffer.getShort();
    }

    int readInt() {
        return buffer.getInt();
    }

    long readLong() {
        return buffer.getLong();
    }

    <T> T readConstant(T[] values) throws MalformedDataException {
        int ordinal = buffer.get();
        if (ordinal < 0 || ordinal >= values.length) {
            throw new MalformedDataException("unknown enum ordinal: " + ordinal);
        }
        return values[ordinal];
    }

    /** Reads the count of a list whose elements take at least {@code minElementBytes} each. */
    int readCount(int minElementBytes) throws MalformedDataException {
        int count = buffer.getInt();
        if (count < 0 || count > buffer.remaining() / minElementBytes) {
            throw new MalformedDataException("invalid count: " + count);
        }
        return count;
    }

    byte[] readBytes() throws MalformedDataException {
        byte[] value = new byte[readCount(1)];
        buffer.get(value);
        return value;
    }

    String readString() throws MalformedDataException {
        byte[] value = readBytes();
        if (value.length > MAX_STRING_BYTES) {
            throw new MalformedDataException("string too long: " + value.length + " bytes");
        }
        return new String(value, StandardCharsets.UTF_8);
    }
}
