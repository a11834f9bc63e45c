package tinworks.config;

/** A configuration that can't be taken. */
public final class InvalidConfiguration extends Exception {
    private static final long serialVersionUID = 1L;

    private final String where;

    /** {@code where} names the field, as {@code routes[3].timeoutMs}; empty where the whole can't be read. */
    public InvalidConfiguration(String where, String what) {
        super(where.isEmpty() ? what : where + ": " + what);
        this.where = where;
    }

    /** The field at fault. */
    public String where() {
        return where;
    }
}
