package tinworks.net;

import java.util.List;
import tinworks.policy.LoadBalancerApi.LoadReport;

/** Parses the load report that hosts send in a response header, such as {@code tps=140,load_share=0.62,err_ps=0.5}. */
final class LoadReportParser {
    /** No field of a plausible report is greater. */
    private static final double MAX_VALUE = 1e9;

    private LoadReportParser() {}

    /**
     * Parses a report, or returns null if there is none that is valid; reports are hints, so a missing one does no
     * harm. Rejects a report with a value that is not a number, infinite, negative or implausibly large, and two
     * reports in one response.
     */
    static LoadReport parse(List<String> headers) {
        if (headers.size() != 1) {
            return null;
        }
        double[] values = {Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN};
        for (String part : headers.get(0).split(",")) {
            int equals = part.indexOf('=');
            if (equals < 0) {
                return null;
            }
            int field = fieldIndex(part.substring(0, equals).trim());
            double value = parseNumber(part.substring(equals + 1).trim());
            if (!(value >= 0 && value <= MAX_VALUE)) {
                return null;
            }
            if (field >= 0) {
                values[field] = value;
            }
        }
        return new LoadReport(values[0], values[1], values[2], values[3], values[4], values[5]);
    }

    private static double parseNumber(String text) {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }

    /** Accepts the field names on the wire and those that settings may use. */
    private static int fieldIndex(String name) {
        return switch (name) {
            case "qps", "tps" -> 0;
            case "util", "load_share" -> 1;
            case "eps", "err_ps" -> 2;
            case "inflight", "concurrent" -> 3;
            case "queue", "depth" -> 4;
            case "latency_ms", "mean_ms" -> 5;
            default -> -1;
        };
    }
}
