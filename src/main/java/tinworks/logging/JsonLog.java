package tinworks.logging;

import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.util.concurrent.TimeUnit;
import org.slf4j.Marker;
import org.slf4j.event.Level;
import org.slf4j.helpers.LegacyAbstractLogger;
import org.slf4j.helpers.MessageFormatter;

/**
 * Writes one line of JSON to standard error for each record, through a {@link LogWriter}. Small on purpose: the
 * runtime's own logging and its formats cost a start on a part of a core as much as reading the settings.
 */
public final class JsonLog extends LegacyAbstractLogger {
    private static final long serialVersionUID = 1L;
    private static final int FIRST_PRINTED = 0x20;
    private static final String HEX = "0123456789abcdef";

    private static final LogWriter WRITER = new LogWriter("log", () -> System.err, JsonLog::droppedLine);

    private static volatile String node = "";
    private static volatile int least = Level.INFO.toInt();

    private final String part;

    JsonLog(String name) {
        this.name = name;
        part = name.substring(name.lastIndexOf('.') + 1);
    }

    /** From now on each line names this node, and what is below the level is left out. */
    public static void install(String itsNode, Level level) {
        node = itsNode;
        least = level.toInt();
    }

    /** Waits until all lines so far have been written, or for so long: at the end of a process. */
    public static void flush(long millis) {
        WRITER.flush(millis);
    }

    /** How many lines were dropped since the process started, as nobody read the log. */
    public static long dropped() {
        return WRITER.dropped();
    }

    private static String droppedLine(long lines) {
        String said = lines + " lines were dropped: nobody read the log";
        return line(System.currentTimeMillis(), Level.WARN, node, "JsonLog", said, null);
    }

    /** One record as a line; {@code thrown} may be null. */
    static String line(long epochMillis, Level level, String node, String part, String said, Throwable thrown) {
        StringBuilder line = new StringBuilder(160).append("{\"at\":\"");
        time(line, epochMillis);
        line.append("\",\"level\":\"").append(level).append("\",\"node\":");
        quote(line, node);
        quote(line.append(",\"part\":"), part);
        quote(line.append(",\"said\":"), said);
        if (thrown != null) {
            quote(line.append(",\"thrown\":"), thrown.toString());
        }
        return line.append("}\n").toString();
    }

    /** In UTC, to the millisecond. By hand: the library's formats cost a cold start ten milliseconds. */
    private static void time(StringBuilder line, long epochMillis) {
        long second = TimeUnit.SECONDS.toMillis(1);
        LocalDateTime t = LocalDateTime.ofEpochSecond(Math.floorDiv(epochMillis, second), 0, ZoneOffset.UTC);
        digits(line, t.getYear(), 4).append('-');
        digits(line, t.getMonthValue(), 2).append('-');
        digits(line, t.getDayOfMonth(), 2).append('T');
        digits(line, t.getHour(), 2).append(':');
        digits(line, t.getMinute(), 2).append(':');
        digits(line, t.getSecond(), 2).append('.');
        digits(line, (int) Math.floorMod(epochMillis, second), 3).append('Z');
    }

    private static StringBuilder digits(StringBuilder line, int value, int count) {
        String text = Integer.toString(value);
        for (int i = text.length(); i < count; i++) {
            line.append('0');
        }
        return line.append(text);
    }

    private static void quote(StringBuilder line, String text) {
        line.append('"');
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '"' || c == '\\') {
                line.append('\\').append(c);
            } else if (c < FIRST_PRINTED) {
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
        String said = arguments == null ? pattern : MessageFormatter.basicArrayFormat(pattern, arguments);
        WRITER.write(line(System.currentTimeMillis(), level, node, part, String.valueOf(said), thrown));
    }

    @Override
    protected String getFullyQualifiedCallerName() {
        return null;
    }

    private static boolean logs(Level level) {
        return level.toInt() >= least;
    }

    @Override
    public boolean isTraceEnabled() {
        return logs(Level.TRACE);
    }

    @Override
    public boolean isDebugEnabled() {
        return logs(Level.DEBUG);
    }

    @Override
    public boolean isInfoEnabled() {
        return logs(Level.INFO);
    }

    @Override
    public boolean isWarnEnabled() {
        return logs(Level.WARN);
    }

    @Override
    public boolean isErrorEnabled() {
        return logs(Level.ERROR);
    }
}
