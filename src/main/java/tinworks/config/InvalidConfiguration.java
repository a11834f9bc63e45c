package tinworks.config;

/** A configuration that can't be taken. */
public final class InvalidConfiguration extends Exception {
    private static final long serialVersionUID = 1L;

    private final String where;
    private final boolean tooLarge;

    /** {@code where} names the field, as {@code routes[3].timeoutMs}; empty where the whole can't be read. */
    public InvalidConfiguration(String where, String what) {
        this(where, what, false);
    }

    private InvalidConfiguration(String where, String what, boolean tooLarge) {
        super(where.isEmpty() ? what : where + ": " + what);
        this.where = where;
        this.tooLarge = tooLarge;
    }

    /** One of which nothing is wrong but that the machines can't hold it. */
    static InvalidConfiguration tooLarge(long mostBytes) {
        return new InvalidConfiguration(
                "", "takes more than the " + mostBytes + " bytes of memory that a configuration may take", true);
    }

    /** Whether it is only too large. */
    public boolean isTooLarge() {
        return tooLarge;
    }

    /** The field at fault. */
    public String fieldPath() {
        return where;
    }
}
