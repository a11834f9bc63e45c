package tinworks.config;

/**
 * A deliberately faulty history for mutation tests: evicts accepted versions early and then rejects retries of them.
 */
public final class ShortDeduplicationWindow {
    private static final int MAX_VERSIONS = 4;

    private ShortDeduplicationWindow() {}

    /** Creates an empty history. */
    public static ConfigurationHistory newHistory() {
        return new ConfigurationHistory(new ShortWindow());
    }

    private static final class ShortWindow extends AcceptedVersions {
        ShortWindow() {
            super(MAX_VERSIONS);
        }

        @Override
        long highestEvicted() {
            return 0;
        }
    }
}
