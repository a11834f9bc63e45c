package tinworks.json;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses network addresses of the form {@code 10.1.0.18:8080}. */
public final class Address {
    private static final int OCTETS = 4;
    private static final int MAX_OCTET_DIGITS = 3;
    private static final int MAX_OCTET = 255;

    private Address() {}

    /**
     * Parses a numeric IPv4 address and port, and throws an {@link IllegalArgumentException} for anything else. Host
     * names are rejected: a lookup would block the calling thread, and the platform has no names.
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        byte[] octets = octets(text.substring(0, Math.max(0, colon)));
        if (octets == null) {
            throw new IllegalArgumentException("not an address: '" + text + "'");
        }
        try {
            return new InetSocketAddress(InetAddress.getByAddress(octets), port(text.substring(colon + 1)));
        } catch (IllegalArgumentException | UnknownHostException e) {
            throw new IllegalArgumentException("not an address: '" + text + "'", e);
        }
    }

    /** Whether {@link #parse} accepts the text. */
    public static boolean isValid(String text) {
        try {
            parse(text);
            return true;
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    /** Parses an address by name or number. May block on a name lookup, so it must not be called on an event loop. */
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

    /** The four bytes of an IPv4 address in dotted form, or null if the text is not one. */
    private static byte[] octets(String text) {
        String[] parts = text.split("\\.", -1);
        if (parts.length != OCTETS) {
            return null;
        }
        byte[] octets = new byte[OCTETS];
        for (int i = 0; i < OCTETS; i++) {
            int value = octet(parts[i]);
            if (value < 0) {
                return null;
            }
            octets[i] = (byte) value;
        }
        return octets;
    }

    private static int octet(String text) {
        if (text.isEmpty() || text.length() > MAX_OCTET_DIGITS) {
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
        return value <= MAX_OCTET ? value : -1;
    }
}
