package dev.dunefront.metrics;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.IntSupplier;
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

  private static final long MOST_MICROS = 60_000_000;
  private static final double[] QUANTILES = {0.5, 0.95, 0.99, 1.0};

  private static final class Served {
    private final Histogram micros = new Histogram(MOST_MICROS, 2);
    private long refused;
  }

  private final Map<Request, Served> served = new EnumMap<>(Request.class);
  private final Map<String, IntSupplier> gauges = new LinkedHashMap<>();
  private PrometheusMeterRegistry registry;

  /** Adds a number that is asked for whenever somebody looks. */
  public void gauge(String name, IntSupplier value) {
    gauges.put(name, value);
  }

  /** Counts a request that has been answered. */
  public void answered(Request request, int status, double seconds) {
    Served s = served.computeIfAbsent(request, r -> new Served());
    s.micros.recordValue(Math.max(0, Math.min(MOST_MICROS, Math.round(seconds * 1e6))));
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
        register(r, served.computeIfAbsent(r, k -> new Served()));
      }
    }
    return registry.scrape();
  }

  private void register(Request r, Served s) {
    String kind = r.name().toLowerCase(java.util.Locale.ROOT);
    FunctionCounter.builder("dunefront.requests", s, x -> x.micros.getTotalCount())
        .tag("kind", kind)
        .register(registry);
    FunctionCounter.builder("dunefront.requests.refused", s, x -> x.refused)
        .tag("kind", kind)
        .register(registry);
    for (double q : QUANTILES) {
      Gauge.builder(
              "dunefront.request.seconds", s, x -> x.micros.getValueAtPercentile(q * 100) / 1e6)
          .tag("kind", kind)
          .tag("quantile", Double.toString(q))
          .register(registry);
    }
  }
}
