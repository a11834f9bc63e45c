package tinworks.logging;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.slf4j.ILoggerFactory;
import org.slf4j.IMarkerFactory;
import org.slf4j.helpers.BasicMarkerFactory;
import org.slf4j.helpers.NOPMDCAdapter;
import org.slf4j.spi.MDCAdapter;
import org.slf4j.spi.SLF4JServiceProvider;

/** What SLF4J finds by its name, or by the property {@code slf4j.provider}. */
public final class JsonLogProvider implements SLF4JServiceProvider {
    private final Map<String, JsonLog> logs = new ConcurrentHashMap<>();
    private final IMarkerFactory markers = new BasicMarkerFactory();
    private final MDCAdapter context = new NOPMDCAdapter();

    /** For SLF4J. */
    public JsonLogProvider() {
        // Nothing is made before it is asked for.
    }

    @Override
    public ILoggerFactory getLoggerFactory() {
        return name -> logs.computeIfAbsent(name, JsonLog::new);
    }

    @Override
    public IMarkerFactory getMarkerFactory() {
        return markers;
    }

    @Override
    public MDCAdapter getMDCAdapter() {
        return context;
    }

    @Override
    public String getRequestedApiVersion() {
        return "2.0.99";
    }

    @Override
    public void initialize() {
        // All is there.
    }
}
