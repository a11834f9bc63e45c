package tinworks.node;

import java.time.Instant;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** One line of JSON for each record of the log. */
public final class JsonLines extends Formatter {
    private static final int FIRST_PRINTED = 0x20;

    private final String node;

    private JsonLines(String node) {
        this.node = node;
    }

    /** From now on the whole process logs to standard error in this form. */
    public static void install(String node, Level level) {
        Logger root = Logger.getLogger("");
        for (Handler old : root.getHandlers()) {
            root.removeHandler(old);
        }
        Handler console = new ConsoleHandler();
        console.setFormatter(new JsonLines(node));
        console.setLevel(level);
        root.addHandler(console);
        root.setLevel(level);
    }

    @Override
    public String format(LogRecord record) {
        StringBuilder line = new StringBuilder(160).append("{\"at\":\"").append(Instant.ofEpochMilli(record.getMillis()))
                .append("\",\"level\":\"").append(record.getLevel().getName()).append("\",\"node\":");
        quote(line, node);
        String logger = String.valueOf(record.getLoggerName());
        quote(line.append(",\"part\":"), logger.substring(logger.lastIndexOf('.') + 1));
        quote(line.append(",\"said\":"), formatMessage(record));
        if (record.getThrown() != null) {
            quote(line.append(",\"thrown\":"), record.getThrown().toString());
        }
        return line.append("}\n").toString();
    }

    private static void quote(StringBuilder line, String text) {
        line.append('"');
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '"' || c == '\\') {
                line.append('\\').append(c);
            } else if (c < FIRST_PRINTED) {
                line.append(String.format("\\u%04x", (int) c));
            } else {
                line.append(c);
            }
        }
        line.append('"');
    }
}
