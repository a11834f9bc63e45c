package tinworks.channel;

/** Thrown when bytes from a peer cannot be decoded. */
public final class MalformedDataException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedDataException(String message) {
        super(message);
    }
}
