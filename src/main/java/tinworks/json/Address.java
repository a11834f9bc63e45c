package tinworks.json;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Addresses as texts of the form {@code 10.1.0.18:8080}. */
public final class Address {
    private static final int PARTS = 4;
    private static final int LONGEST_PART = 3;
    private static final int MOST_IN_PART = 255;

    private Address() {}

    /**
     * The address by number, IPv4; a text that is none is an {@link IllegalArgumentException}. A name is none: looking
     * it up would hold up the thread that asks, and on the platform there are no names.
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        byte[] number = number(text.substring(0, Math.max(0, colon)));
        if (number == null) {
            throw new IllegalArgumentException("not an address: '" + text + "'");
        }
        try {
            return new InetSocketAddress(InetAddress.getByAddress(number), port(text.substring(colon + 1)));
        } catch (IllegalArgumentException | UnknownHostException e) {
            throw new IllegalArgumentException("not an address: '" + text + "'", e);
        }
    }

    /** Whether the text is an address that {@link #parse} takes. */
    public static boolean isValid(String text) {
        try {
            parse(text);
            return true;
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    /** The address, by name or number. May look the name up, and wait for that: not for event loops. */
    public static InetSocketAddress resolve(String text) {
        int colon = text.lastIndexOf(':');
        try {
            return new InetSocketAddress(text.substring(0, Math.max(0, colon)), port(text.substring(colon + 1)));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("not an address: '" + text + "'", e);
        }
    }

    private static int port(String text) {
        return Integer.parseInt(text);
    }

    /** The four bytes of an IPv4 number, or null where the text is none. */
    private static byte[] number(String text) {
        String[] parts = text.split("\\.", -1);
        if (parts.length != PARTS) {
            return null;
        }
        byte[] number = new byte[PARTS];
        for (int i = 0; i < PARTS; i++) {
            int value = part(parts[i]);
            if (value < 0) {
                return null;
            }
            number[i] = (byte) value;
        }
        return number;
    }

    private static int part(String text) {
        if (text.isEmpty() || text.length() > LONGEST_PART) {
            return -1;
        }
        int value = 0;
        for (int i = 0; i < text.length(); i++) {
            char digit = text.charAt(i);
            if (digit < '0' || digit > '9') {
                return -1;
            }
            value = value * 10 + digit - '0';
        }
        return value <= MOST_IN_PART ? value : -1;
    }
}
