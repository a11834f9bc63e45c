package tinworks.channel;

/** Bytes that are not what they should be. */
public final class Malformed extends Exception {
    private static final long serialVersionUID = 1L;

    Malformed(String what) {
        super(what);
    }
}
