package dev.dunefront.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.dunefront.claim.Takeover.UnownedJob;
import dev.dunefront.wire.Priority;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Which lapsed claims a controller takes when. */
class TakeoverTest {
  private static final double WAIT_S = Takeover.RANK_WAIT_S;

  private static UnownedJob unowned(String id, Priority priority, long stamp, String... before) {
    return new UnownedJob(id, priority, stamp, false, 10, List.of(before));
  }

  @Test
  void takesHighestPriorityThenOldestFirst() {
    List<UnownedJob> all =
        List.of(
            unowned("a", Priority.NORMAL, 1),
            unowned("b", Priority.HIGH, 9),
            unowned("c", Priority.HIGH, 5),
            unowned("d", Priority.CRITICAL, 7));
    assertEquals(List.of("d", "c", "b", "a"), Takeover.claimable(all, Map.of(), 10));
  }

  @Test
  void waitsOncePerPreferredNode() {
    List<UnownedJob> all =
        List.of(
            unowned("mine", Priority.NORMAL, 1),
            unowned("next", Priority.NORMAL, 2, "x"),
            unowned("last", Priority.NORMAL, 3, "x", "y"));
    assertEquals(List.of("mine"), Takeover.claimable(all, Map.of(), 10));
    assertEquals(List.of("mine", "next"), Takeover.claimable(all, Map.of(), 10 + WAIT_S * 1.01));
    assertEquals(3, Takeover.claimable(all, Map.of(), 10 + WAIT_S * 2.01).size());
  }

  /** Otherwise all take what others are about to take, and every such write is lost. */
  @Test
  void waitsWhilePreferredNodesMakeProgress() {
    List<UnownedJob> all = List.of(unowned("next", Priority.NORMAL, 2, "x"));
    assertEquals(List.of(), Takeover.claimable(all, Map.of("x", 11.0), 11 + WAIT_S * 0.9));
    assertEquals(List.of("next"), Takeover.claimable(all, Map.of("x", 11.0), 11 + WAIT_S * 1.01));
    assertEquals(List.of("next"), Takeover.claimable(all, Map.of("z", 11.0), 11), "not before it");
  }

  /** Those before it may have no share left for it, and go on taking other jobs for ever. */
  @Test
  void neverClaimedJobIgnoresProgressOfPreferredNodes() {
    UnownedJob fresh = new UnownedJob("new", Priority.NORMAL, 2, true, 10, List.of("x"));
    assertEquals(
        List.of("new"), Takeover.claimable(List.of(fresh), Map.of("x", 11.0), 10 + WAIT_S * 1.01));
  }
}
