package tinworks.config;

/** Broken on purpose: the versions that were taken are forgotten soon, and refused when they come again. */
public final class ShortDeduplicationWindow {
    private static final int MOST = 4;

    private ShortDeduplicationWindow() {}

    /** A history that knows nothing yet. */
    public static ConfigurationHistory newHistory() {
        return new ConfigurationHistory(new Forgetful());
    }

    private static final class Forgetful extends AcceptedVersions {
        Forgetful() {
            super(MOST);
        }

        @Override
        long forgotten() {
            return 0;
        }
    }
}
