package tinworks.metrics;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.CounterSnapshot.CounterDataPointSnapshot;
import io.prometheus.metrics.model.snapshots.GaugeSnapshot;
import io.prometheus.metrics.model.snapshots.GaugeSnapshot.GaugeDataPointSnapshot;
import io.prometheus.metrics.model.snapshots.Labels;
import io.prometheus.metrics.model.snapshots.MetricSnapshot;
import io.prometheus.metrics.model.snapshots.MetricSnapshots;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/** Collects figures at one moment and writes them as one page. Names come without the prefix that all share. */
public final class MetricsPage {
    /** The page's {@code Content-Type}. */
    public static final String CONTENT_TYPE = PrometheusTextFormatWriter.CONTENT_TYPE;
    private static final String PREFIX = "tinworks_";

    private final Map<String, String> helps = new TreeMap<>();
    private final Map<String, Map<Labels, Double>> counters = new LinkedHashMap<>();
    private final Map<String, Map<Labels, Double>> gauges = new LinkedHashMap<>();

    /** A count that only rises while the process lives; labels are names and values in turn. */
    public MetricsPage counter(String name, String help, double value, String... labels) {
        helps.put(name, help);
        counters.computeIfAbsent(name, n -> new LinkedHashMap<>()).put(Labels.of(labels), value);
        return this;
    }

    /** A figure that rises and falls; labels are names and values in turn. */
    public MetricsPage gauge(String name, String help, double value, String... labels) {
        helps.put(name, help);
        gauges.computeIfAbsent(name, n -> new LinkedHashMap<>()).put(Labels.of(labels), value);
        return this;
    }

    /** The page, in UTF-8. */
    public byte[] text() {
        MetricSnapshots.Builder all = MetricSnapshots.builder();
        counters.forEach((name, points) -> all.metricSnapshot(counter(name, points)));
        gauges.forEach((name, points) -> all.metricSnapshot(gauge(name, points)));
        ByteArrayOutputStream out = new ByteArrayOutputStream(4_096);
        try {
            PrometheusTextFormatWriter.create().write(out, all.build());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }

    private MetricSnapshot counter(String name, Map<Labels, Double> points) {
        CounterSnapshot.Builder built = CounterSnapshot.builder().name(PREFIX + name).help(helps.get(name));
        points.forEach((labels, value) -> built.dataPoint(CounterDataPointSnapshot.builder().labels(labels).value(value).build()));
        return built.build();
    }

    private MetricSnapshot gauge(String name, Map<Labels, Double> points) {
        GaugeSnapshot.Builder built = GaugeSnapshot.builder().name(PREFIX + name).help(helps.get(name));
        points.forEach((labels, value) -> built.dataPoint(GaugeDataPointSnapshot.builder().labels(labels).value(value).build()));
        return built.build();
    }
}
