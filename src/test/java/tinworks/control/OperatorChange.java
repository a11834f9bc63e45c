package tinworks.control;

import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A configuration change that an operator sends, and its outcome. Times are milliseconds of the simulator, -1 for
 * never.
 */
final class OperatorChange {
    private static final Pattern REV = Pattern.compile("\"rev\":(\\d+)");
    private static final Pattern NAME = Pattern.compile("\"name\":\"o(\\d+)\"");

    final int number;
    /**
     * The version that the change is based on. Where two changes have the same version, it does not identify the
     * change.
     */
    final long base;

    final long rev;
    final byte[] body;
    final boolean valid;
    long sentAt = -1;
    long acknowledgedAt = -1;
    long refusedAt = -1;
    int refusedWith;
    /** Whether it was refused while its base version was not known to be in force. */
    boolean refusedBeforeBase;

    long inForceAt = -1;
    /** Since when the cluster has been settled and the change due to be acknowledged. */
    long dueSince = -1;

    OperatorChange(int number, OperatorChange basedOn, long rev, boolean valid) {
        this.number = number;
        base = basedOn == null ? 0 : basedOn.rev;
        this.rev = rev;
        this.valid = valid;
        StringBuilder json = new StringBuilder("{\"rev\":" + rev + ",\"routes\":[");
        for (int i = 0; i < 6; i++) {
            json.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"")
                    .append(i == 0 ? "o" + number : "r" + i)
                    .append("\",\"domain\":\"a.example\",\"prefix\":\"/")
                    .append(i)
                    .append("/\",\"type\":\"idem\",\"timeoutMs\":")
                    .append(i == 1 ? 1_000 + number % 100 : 1_200)
                    .append(",\"svc\":\"")
                    .append(valid ? "s" : "none")
                    .append("\"}");
        }
        body = json.append("],\"svcs\":[{\"name\":\"s\"}]}").toString().getBytes(StandardCharsets.UTF_8);
    }

    boolean isSettled() {
        return acknowledgedAt >= 0 || refusedAt >= 0 || refusedBeforeBase;
    }

    /** Returns the version in a body or in an acknowledgement. */
    static long revOf(String json) {
        return group(REV, json);
    }

    /** Returns the number of the change that a body belongs to. */
    static int numberOf(byte[] body) {
        return (int) group(NAME, new String(body, StandardCharsets.UTF_8));
    }

    private static long group(Pattern pattern, String json) {
        Matcher found = pattern.matcher(json);
        if (!found.find()) {
            throw new IllegalArgumentException("not a configuration: " + json);
        }
        return Long.parseLong(found.group(1));
    }

    @Override
    public String toString() {
        return "change " + number + " (" + base + " to " + rev + ")";
    }
}
