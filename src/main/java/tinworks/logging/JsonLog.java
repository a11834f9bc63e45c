package tinworks.logging;

import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.util.concurrent.TimeUnit;
import org.slf4j.Marker;
import org.slf4j.event.Level;
import org.slf4j.helpers.LegacyAbstractLogger;
import org.slf4j.helpers.MessageFormatter;

/**
 * An SLF4J logger that writes one line of JSON to standard error for each record, through a {@link LogWriter}. Kept
 * small: java.util.logging and its formatters take as long as reading the settings when a process starts on a fraction
 * of a core.
 */
public final class JsonLog extends LegacyAbstractLogger {
    private static final long serialVersionUID = 1L;
    private static final int FIRST_PRINTABLE = 0x20;
    private static final String HEX = "0123456789abcdef";

    private static final LogWriter WRITER = new LogWriter("log", () -> System.err, JsonLog::droppedLine);

    private static volatile String node = "";
    private static volatile int minLevel = Level.INFO.toInt();

    private final String component;

    JsonLog(String name) {
        this.name = name;
        component = name.substring(name.lastIndexOf('.') + 1);
    }

    /** Sets the node name of all following lines, and the lowest level that is logged. */
    public static void install(String nodeName, Level level) {
        node = nodeName;
        minLevel = level.toInt();
    }

    /** Waits until all lines are written or the timeout has passed; called before the process exits. */
    public static void flush(long timeoutMillis) {
        WRITER.flush(timeoutMillis);
    }

    /** The number of lines dropped since the process started because the log was not read. */
    public static long dropped() {
        return WRITER.dropped();
    }

    private static String droppedLine(long lines) {
        String message = lines + " log lines were dropped because the log was not read";
        return formatLine(System.currentTimeMillis(), Level.WARN, node, "JsonLog", message, null);
    }

    /** Formats one record as a line; {@code thrown} may be null. */
    static String formatLine(
            long epochMillis, Level level, String node, String component, String message, Throwable thrown) {
        StringBuilder line = new StringBuilder(160).append("{\"at\":\"");
        appendTime(line, epochMillis);
        line.append("\",\"level\":\"").append(level).append("\",\"node\":");
        appendQuoted(line, node);
        appendQuoted(line.append(",\"part\":"), component);
        appendQuoted(line.append(",\"said\":"), message);
        if (thrown != null) {
            appendQuoted(line.append(",\"thrown\":"), thrown.toString());
        }
        return line.append("}\n").toString();
    }

    /** Appends a UTC time in milliseconds. Formatted by hand: java.time's formatters add 10 ms to a cold start. */
    private static void appendTime(StringBuilder line, long epochMillis) {
        long millisPerSecond = TimeUnit.SECONDS.toMillis(1);
        LocalDateTime t = LocalDateTime.ofEpochSecond(Math.floorDiv(epochMillis, millisPerSecond), 0, ZoneOffset.UTC);
        appendDigits(line, t.getYear(), 4).append('-');
        appendDigits(line, t.getMonthValue(), 2).append('-');
        appendDigits(line, t.getDayOfMonth(), 2).append('T');
        appendDigits(line, t.getHour(), 2).append(':');
        appendDigits(line, t.getMinute(), 2).append(':');
        appendDigits(line, t.getSecond(), 2).append('.');
        appendDigits(line, (int) Math.floorMod(epochMillis, millisPerSecond), 3).append('Z');
    }

    private static StringBuilder appendDigits(StringBuilder line, int value, int count) {
        String text = Integer.toString(value);
        for (int i = text.length(); i < count; i++) {
            line.append('0');
        }
        return line.append(text);
    }

    private static void appendQuoted(StringBuilder line, String text) {
        line.append('"');
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '"' || c == '\\') {
                line.append('\\').append(c);
            } else if (c < FIRST_PRINTABLE) {
                line.append("\\u00").append(HEX.charAt(c >> 4)).append(HEX.charAt(c & 0xf));
            } else {
                line.append(c);
            }
        }
        line.append('"');
    }

    @Override
    protected void handleNormalizedLoggingCall(
            Level level, Marker marker, String pattern, Object[] arguments, Throwable thrown) {
        String message = arguments == null ? pattern : MessageFormatter.basicArrayFormat(pattern, arguments);
        WRITER.write(formatLine(System.currentTimeMillis(), level, node, component, String.valueOf(message), thrown));
    }

    @Override
    protected String getFullyQualifiedCallerName() {
        return null;
    }

    private static boolean isEnabled(Level level) {
        return level.toInt() >= minLevel;
    }

    @Override
    public boolean isTraceEnabled() {
        return isEnabled(Level.TRACE);
    }

    @Override
    public boolean isDebugEnabled() {
        return isEnabled(Level.DEBUG);
    }

    @Override
    public boolean isInfoEnabled() {
        return isEnabled(Level.INFO);
    }

    @Override
    public boolean isWarnEnabled() {
        return isEnabled(Level.WARN);
    }

    @Override
    public boolean isErrorEnabled() {
        return isEnabled(Level.ERROR);
    }
}
