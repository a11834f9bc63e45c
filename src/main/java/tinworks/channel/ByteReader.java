package tinworks.channel;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Reads with every length checked against what is there, before anything is made of that size. */
record ByteReader(ByteBuffer buffer) {
    private static final int LONGEST_TEXT = 4_096;

    byte one() {
        return buffer.get();
    }

    boolean flag() throws MalformedDataException {
        byte value = buffer.get();
        if (value != 0 && value != 1) {
            throw new MalformedDataException("a flag of " + value);
        }
        return value == 1;
    }

    short two() {
        return buffer.getShort();
    }

    int four() {
        return buffer.getInt();
    }

    long eight() {
        return buffer.getLong();
    }

    <T> T among(T[] values) throws MalformedDataException {
        int at = buffer.get();
        if (at < 0 || at >= values.length) {
            throw new MalformedDataException("no value of number " + at);
        }
        return values[at];
    }

    /** A count of things that take so many bytes each at least. */
    int count(int leastBytes) throws MalformedDataException {
        int count = buffer.getInt();
        if (count < 0 || count > buffer.remaining() / leastBytes) {
            throw new MalformedDataException("a count of " + count);
        }
        return count;
    }

    byte[] bytes() throws MalformedDataException {
        byte[] value = new byte[count(1)];
        buffer.get(value);
        return value;
    }

    String text() throws MalformedDataException {
        byte[] value = bytes();
        if (value.length > LONGEST_TEXT) {
            throw new MalformedDataException("a text of " + value.length + " bytes");
        }
        return new String(value, StandardCharsets.UTF_8);
    }
}
