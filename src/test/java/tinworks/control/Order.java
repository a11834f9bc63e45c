package tinworks.control;

import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A change of the configuration that an operator sends, and what came of it. Times are the world's milliseconds, -1 for
 * never.
 */
final class Order {
    private static final Pattern REV = Pattern.compile("\"rev\":(\\d+)");
    private static final Pattern NAME = Pattern.compile("\"name\":\"o(\\d+)\"");

    final int number;
    /** The number of the version that it builds on; of two orders under one number it can't tell which. */
    final long base;

    final long rev;
    final byte[] body;
    final boolean valid;
    long sentAt = -1;
    long ackedAt = -1;
    long refusedAt = -1;
    int refusedWith;
    /** Refused while the one that it builds on wasn't in force. */
    boolean early;

    long inForceAt = -1;
    /** Since when it could have been acknowledged in one calm stretch. */
    long owedSince = -1;

    Order(int number, Order basedOn, long rev, boolean valid) {
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

    boolean ended() {
        return ackedAt >= 0 || refusedAt >= 0 || early;
    }

    /** The number of the version in a body, or in an acknowledgement. */
    static long revOf(String json) {
        return group(REV, json);
    }

    /** Which order a body is of. */
    static int numberOf(byte[] body) {
        return (int) group(NAME, new String(body, StandardCharsets.UTF_8));
    }

    private static long group(Pattern pattern, String json) {
        Matcher found = pattern.matcher(json);
        if (!found.find()) {
            throw new IllegalArgumentException("not a version of the configuration: " + json);
        }
        return Long.parseLong(found.group(1));
    }

    @Override
    public String toString() {
        return "order " + number + " (" + base + " to " + rev + ")";
    }
}
