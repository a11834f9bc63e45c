package tinworks.control;

import org.junit.jupiter.api.extension.AfterAllCallback;
import org.junit.jupiter.api.extension.BeforeAllCallback;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.slf4j.event.Level;
import tinworks.logging.JsonLog;

/** Suppresses log lines below ERROR while tests run many simulated days. */
final class SuppressedLogs implements BeforeAllCallback, AfterAllCallback {
    @Override
    public void beforeAll(ExtensionContext context) {
        JsonLog.install("", Level.ERROR);
    }

    @Override
    public void afterAll(ExtensionContext context) {
        JsonLog.install("", Level.INFO);
    }
}
