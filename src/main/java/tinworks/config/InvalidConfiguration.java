package tinworks.config;

/** Thrown for a configuration that is rejected, with the field at fault. Its message is shown to the operator. */
public final class InvalidConfiguration extends Exception {
    private static final long serialVersionUID = 1L;

    private final String fieldPath;
    private final boolean tooLarge;

    /** {@code fieldPath} names the field, as {@code routes[3].timeoutMs}; empty if the text cannot be parsed. */
    public InvalidConfiguration(String fieldPath, String reason) {
        this(fieldPath, reason, false);
    }

    private InvalidConfiguration(String fieldPath, String reason, boolean tooLarge) {
        super(fieldPath.isEmpty() ? reason : fieldPath + ": " + reason);
        this.fieldPath = fieldPath;
        this.tooLarge = tooLarge;
    }

    /** For a configuration that takes more memory than a node can hold. */
    static InvalidConfiguration tooLarge(long maxBytes) {
        return new InvalidConfiguration(
                "", "takes more than the " + maxBytes + " bytes of memory that a configuration may take", true);
    }

    /** Whether the configuration was rejected for its size alone. */
    public boolean isTooLarge() {
        return tooLarge;
    }

    /** The path of the field at fault, empty if there is none. */
    public String fieldPath() {
        return fieldPath;
    }
}
