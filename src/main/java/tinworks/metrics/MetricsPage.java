package tinworks.metrics;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.CounterSnapshot.CounterDataPointSnapshot;
import io.prometheus.metrics.model.snapshots.GaugeSnapshot;
import io.prometheus.metrics.model.snapshots.GaugeSnapshot.GaugeDataPointSnapshot;
import io.prometheus.metrics.model.snapshots.Labels;
import io.prometheus.metrics.model.snapshots.MetricSnapshots;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import tinworks.invariant.Invariant;
import tinworks.logging.JsonLog;

/** Builds one page of metrics from current values. Names are given without the common prefix. */
public final class MetricsPage {
    /** The page's {@code Content-Type}. */
    public static final String CONTENT_TYPE = PrometheusTextFormatWriter.CONTENT_TYPE;

    private static final String PREFIX = "tinworks_";

    private final Map<String, CounterSnapshot.Builder> counters = new LinkedHashMap<>();
    private final Map<String, GaugeSnapshot.Builder> gauges = new LinkedHashMap<>();

    /** Adds a counter, which never decreases in the process's lifetime; labels alternate names and values. */
    public MetricsPage counter(String name, String help, double value, String... labels) {
        counters.computeIfAbsent(
                        name, n -> CounterSnapshot.builder().name(PREFIX + n).help(help))
                .dataPoint(CounterDataPointSnapshot.builder()
                        .labels(Labels.of(labels))
                        .value(value)
                        .build());
        return this;
    }

    /** Adds a gauge, which may rise and fall; labels alternate names and values. */
    public MetricsPage gauge(String name, String help, double value, String... labels) {
        gauges.computeIfAbsent(
                        name, n -> GaugeSnapshot.builder().name(PREFIX + n).help(help))
                .dataPoint(GaugeDataPointSnapshot.builder()
                        .labels(Labels.of(labels))
                        .value(value)
                        .build());
        return this;
    }

    /** Adds the violation counter of each invariant, including those at 0. */
    public MetricsPage invariantViolations() {
        for (Invariant invariant : Invariant.values()) {
            counter(
                    "invariant_violations",
                    "Promises that were found broken; anything above 0 is a fault of the program",
                    (double) invariant.violations(),
                    "invariant",
                    invariant.name().toLowerCase(Locale.ROOT));
        }
        return this;
    }

    /** Adds the counter of dropped log lines. */
    public MetricsPage droppedLogLines() {
        return counter("log_lines_dropped", "Lines of the log that found no room, as nobody read it", (double)
                JsonLog.dropped());
    }

    /** The page as UTF-8 bytes. */
    public byte[] text() {
        MetricSnapshots.Builder all = MetricSnapshots.builder();
        counters.values().forEach(counter -> all.metricSnapshot(counter.build()));
        gauges.values().forEach(gauge -> all.metricSnapshot(gauge.build()));
        ByteArrayOutputStream out = new ByteArrayOutputStream(4_096);
        try {
            PrometheusTextFormatWriter.create().write(out, all.build());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }
}
