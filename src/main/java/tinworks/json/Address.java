package tinworks.json;

import java.net.InetSocketAddress;

/** Addresses as texts of the form {@code 10.1.0.18:8080}. */
public final class Address {
    private Address() {}

    /** The address; a text that is none is an {@link IllegalArgumentException}. */
    public static InetSocketAddress read(String text) {
        int colon = text.lastIndexOf(':');
        try {
            return new InetSocketAddress(
                    text.substring(0, Math.max(0, colon)), Integer.parseInt(text.substring(colon + 1)));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("not an address: '" + text + "'", e);
        }
    }
}
