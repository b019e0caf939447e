package dev.dunefront.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Parts of a common rate. */
class FairShareTest {
  private final FairShare share = new FairShare(40, 4);

  @Test
  void unusedShareIsDistributedToOthers() {
    double busy = share.allocate(100, List.of(0.0, 0.0, 0.0));
    double quiet = share.allocate(0, List.of(100.0, 0.0, 0.0));
    assertTrue(busy > 30, "the busy one has nearly all");
    assertTrue(busy + 3 * quiet <= 40.001, "and the sum stays within the rate");
    assertEquals(
        10, share.allocate(100, List.of(100.0, 100.0, 100.0)), 0.001, "equal parts for equals");
    assertEquals(40, share.allocate(100, List.of()), 0.001, "the last one living has all");
  }

  @Test
  void equalShareIsGuaranteedUnderContention() {
    assertEquals(10, share.allocate(20, List.of(1000.0, 1000.0, 1000.0)), 0.001);
    double small = share.allocate(3, List.of(1000.0, 1000.0, 1000.0));
    assertTrue(small >= 3 && small < 10);
  }
}
