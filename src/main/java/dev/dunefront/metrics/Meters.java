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
import java.util.Map;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.HdrHistogram.Histogram;

/**
 * What this controller counts. Counting is cheap and always on; the registry is made when somebody
 * first looks, so that a start pays nothing for it. Guarded by the controller's lock.
 */
public final class Meters {
  /** The kinds of requests that are told apart. */
  public enum Request {
    SUBMIT,
    POLL,
    CANCEL,
    REPORT
  }

  private static final long MAX_LATENCY_MICROS = 60_000_000;
  private static final double[] QUANTILES = {0.5, 0.95, 0.99, 1.0};

  private static final class RequestStats {
    private final Histogram latencyMicros = new Histogram(MAX_LATENCY_MICROS, 2);
    private long refused;
  }

  private final Map<Request, RequestStats> requestStats = new EnumMap<>(Request.class);
  private final Map<String, IntSupplier> gauges = new LinkedHashMap<>();
  private final Map<String, Supplier<List<LabelledValue>>> labelledGauges = new LinkedHashMap<>();
  private final Map<String, MultiGauge> multiGauges = new LinkedHashMap<>();
  private PrometheusMeterRegistry registry;

  /** A number for what the labels name. */
  public record LabelledValue(Map<String, String> labels, double value) {}

  /** Adds numbers by label, of which there may be others at each look. */
  public void gauges(String name, Supplier<List<LabelledValue>> values) {
    labelledGauges.put(name, values);
  }

  /** Adds a number that is asked for whenever somebody looks. */
  public void gauge(String name, IntSupplier value) {
    gauges.put(name, value);
  }

  /** Counts a request that has been answered. */
  public void recordRequest(Request request, int status, double seconds) {
    RequestStats s = requestStats.computeIfAbsent(request, r -> new RequestStats());
    s.latencyMicros.recordValue(
        Math.max(0, Math.min(MAX_LATENCY_MICROS, Math.round(seconds * 1e6))));
    if (status >= 500) {
      s.refused++;
    }
  }

  /** All meters as text. */
  public String scrape() {
    if (registry == null) {
      registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
      gauges.forEach((name, value) -> Gauge.builder(name, value::getAsInt).register(registry));
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
    String kind = r.name().toLowerCase(java.util.Locale.ROOT);
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
