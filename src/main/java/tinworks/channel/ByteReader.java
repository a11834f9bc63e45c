package tinworks.channel;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Reads with every length checked against what is there, before anything is made of that size. */
record ByteReader(ByteBuffer buffer) {
    private static final int MAX_STRING_BYTES = 4_096;

    byte readByte() {
        return buffer.get();
    }

    boolean readBoolean() throws MalformedDataException {
        byte value = buffer.get();
        if (value != 0 && value != 1) {
            throw new MalformedDataException("a flag of " + value);
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
        int at = buffer.get();
        if (at < 0 || at >= values.length) {
            throw new MalformedDataException("no value of number " + at);
        }
        return values[at];
    }

    /** A count of things that take so many bytes each at least. */
    int readCount(int leastBytes) throws MalformedDataException {
        int count = buffer.getInt();
        if (count < 0 || count > buffer.remaining() / leastBytes) {
            throw new MalformedDataException("a count of " + count);
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
            throw new MalformedDataException("a text of " + value.length + " bytes");
        }
        return new String(value, StandardCharsets.UTF_8);
    }
}
