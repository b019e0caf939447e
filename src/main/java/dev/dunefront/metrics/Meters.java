package dev.dunefront.metrics;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MultiGauge;
import io.micrometer.core.instrument.Tags;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.HdrHistogram.Histogram;

/**
 * Metrics of this controller. Recording is cheap and always on. The registry is created at the
 * first scrape, which keeps its cost out of the startup. Guarded by the controller's decision lock.
 */
public final class Meters {
  /** Kinds of requests; the lower-case name is the value of the label {@code kind}. */
  public enum Request {
    SUBMIT,
    POLL,
    CANCEL,
    REPORT
  }

  private static final long MAX_LATENCY_MICROS = 60_000_000;
  private static final double[] QUANTILES = {0.5, 0.95, 0.99, 1.0};

  /** Latencies and refusals of one kind of requests. */
  private static final class RequestStats {
    private final Histogram latencyMicros = new Histogram(MAX_LATENCY_MICROS, 2);
    private long refused;
  }

  private final Map<Request, RequestStats> requestStats = new EnumMap<>(Request.class);
  private final Map<String, IntSupplier> plainGauges = new LinkedHashMap<>();
  private final Map<String, Supplier<List<LabelledValue>>> labelledGauges = new LinkedHashMap<>();
  private final Map<String, MultiGauge> multiGauges = new LinkedHashMap<>();
  private PrometheusMeterRegistry registry;

  /** The value of a gauge for a set of labels. */
  public record LabelledValue(Map<String, String> labels, double value) {}

  /** Adds a gauge with labels. Its values are computed at each scrape and may have other labels. */
  public void labelledGauge(String name, Supplier<List<LabelledValue>> values) {
    labelledGauges.put(name, values);
  }

  /**
   * Adds a gauge with one label, whose values are the lower-case names of the counted constants.
   */
  public <K extends Enum<K>> void countsGauge(String name, String label, Map<K, Integer> counts) {
    labelledGauge(name, () -> labelledValues(label, counts));
  }

  private static <K extends Enum<K>> List<LabelledValue> labelledValues(
      String label, Map<K, Integer> counts) {
    List<LabelledValue> values = new ArrayList<>();
    counts.forEach(
        (key, count) ->
            values.add(
                new LabelledValue(Map.of(label, key.name().toLowerCase(Locale.ROOT)), count)));
    return values;
  }

  /** Adds a gauge without labels, computed at each scrape. */
  public void gauge(String name, IntSupplier value) {
    plainGauges.put(name, value);
  }

  /** Records the response to a request; a status of 500 or more counts as refused. */
  public void recordRequest(Request request, int status, double seconds) {
    RequestStats stats = requestStats.computeIfAbsent(request, r -> new RequestStats());
    stats.latencyMicros.recordValue(
        Math.max(0, Math.min(MAX_LATENCY_MICROS, Math.round(seconds * 1e6))));
    if (status >= 500) {
      stats.refused++;
    }
  }

  /** All metrics in the Prometheus text format. */
  public String scrape() {
    if (registry == null) {
      registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
      plainGauges.forEach((name, value) -> Gauge.builder(name, value::getAsInt).register(registry));
      for (Request r : Request.values()) {
        register(r, requestStats.computeIfAbsent(r, k -> new RequestStats()));
      }
      labelledGauges
          .keySet()
          .forEach(n -> multiGauges.put(n, MultiGauge.builder(n).register(registry)));
    }
    multiGauges.forEach(
        (name, gauge) -> gauge.register(toRows(labelledGauges.get(name).get()), true));
    return registry.scrape();
  }

  private static List<MultiGauge.Row<?>> toRows(List<LabelledValue> values) {
    List<MultiGauge.Row<?>> all = new ArrayList<>();
    for (LabelledValue l : values) {
      Tags tags = Tags.empty();
      for (var e : l.labels.entrySet()) {
        tags = tags.and(e.getKey(), e.getValue());
      }
      all.add(MultiGauge.Row.of(tags, l.value));
    }
    return all;
  }

  private void register(Request r, RequestStats s) {
    String kind = r.name().toLowerCase(Locale.ROOT);
    FunctionCounter.builder("dunefront.requests", s, x -> x.latencyMicros.getTotalCount())
        .tag("kind", kind)
        .register(registry);
    FunctionCounter.builder("dunefront.requests.refused", s, x -> x.refused)
        .tag("kind", kind)
        .register(registry);
    for (double q : QUANTILES) {
      Gauge.builder(
              "dunefront.request.seconds",
              s,
              x -> x.latencyMicros.getValueAtPercentile(q * 100) / 1e6)
          .tag("kind", kind)
          .tag("quantile", Double.toString(q))
          .register(registry);
    }
  }
}
