package tinworks.channel;

/** Bytes that are not what they should be. */
public final class MalformedDataException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedDataException(String what) {
        super(what);
    }
}
