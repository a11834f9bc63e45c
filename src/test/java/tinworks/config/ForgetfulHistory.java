package tinworks.config;

/** Broken on purpose: the versions that were taken are forgotten soon, and refused when they come again. */
public final class ForgetfulHistory {
    private static final int MOST = 4;

    private ForgetfulHistory() {}

    /** A history that knows nothing yet. */
    public static ConfigurationHistory make() {
        return new ConfigurationHistory(new Forgetful());
    }

    private static final class Forgetful extends TakenVersions {
        Forgetful() {
            super(MOST);
        }

        @Override
        long forgotten() {
            return 0;
        }
    }
}
