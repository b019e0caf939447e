package dev.dunefront.metrics;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What an operator reads. */
class MetersTest {

  @Test
  void whatWasCountedBeforeTheFirstLookIsShown() {
    Meters meters = new Meters();
    int[] held = {3};
    meters.gauge("dunefront.machines.held", () -> held[0]);
    meters.answered(Meters.Request.POLL, 200, 0.010);
    meters.answered(Meters.Request.POLL, 503, 0.020);
    String text = meters.scrape();
    assertTrue(text.contains("dunefront_machines_held 3.0"), text);
    assertTrue(text.contains("dunefront_requests_total{kind=\"poll\"} 2.0"), text);
    assertTrue(text.contains("dunefront_requests_refused_total{kind=\"poll\"} 1.0"), text);
    held[0] = 4;
    meters.answered(Meters.Request.POLL, 200, 0.010);
    text = meters.scrape();
    assertTrue(text.contains("dunefront_machines_held 4.0"), text);
    assertTrue(text.contains("dunefront_requests_total{kind=\"poll\"} 3.0"), text);
  }
}
