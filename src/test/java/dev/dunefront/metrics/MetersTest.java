package dev.dunefront.metrics;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What an operator reads. */
class MetersTest {

  @Test
  void countsFromBeforeTheFirstScrapeAreExported() {
    Meters meters = new Meters();
    int[] held = {3};
    meters.gauge("dunefront.machines.held", () -> held[0]);
    meters.recordRequest(Meters.Request.POLL, 200, 0.010);
    meters.recordRequest(Meters.Request.POLL, 503, 0.020);
    String text = meters.scrape();
    assertTrue(text.contains("dunefront_machines_held 3.0"), text);
    assertTrue(text.contains("dunefront_requests_total{kind=\"poll\"} 2.0"), text);
    assertTrue(text.contains("dunefront_requests_refused_total{kind=\"poll\"} 1.0"), text);
    held[0] = 4;
    meters.recordRequest(Meters.Request.POLL, 200, 0.010);
    text = meters.scrape();
    assertTrue(text.contains("dunefront_machines_held 4.0"), text);
    assertTrue(text.contains("dunefront_requests_total{kind=\"poll\"} 3.0"), text);
  }

  @Test
  void labelledValuesAppearAndDisappear() {
    Meters meters = new Meters();
    List<Meters.LabelledValue> now = new ArrayList<>();
    meters.gauges("dunefront.jobs.unbegun.seconds", () -> List.copyOf(now));
    now.add(new Meters.LabelledValue(Map.of("class", "train", "team", "vision"), 7));
    String line = "dunefront_jobs_unbegun_seconds{class=\"train\",team=\"vision\"} ";
    assertTrue(meters.scrape().contains(line + "7.0"), meters.scrape());
    now.set(0, new Meters.LabelledValue(Map.of("class", "train", "team", "vision"), 9));
    assertTrue(meters.scrape().contains(line + "9.0"), meters.scrape());
    now.clear();
    assertFalse(meters.scrape().contains(line), meters.scrape());
  }
}
