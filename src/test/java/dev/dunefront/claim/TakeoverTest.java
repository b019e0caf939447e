package dev.dunefront.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.dunefront.claim.Takeover.UnownedJob;
import dev.dunefront.wire.Priority;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Which jobs without a live claim a controller claims, and when. */
class TakeoverTest {
  private static final double WAIT_S = Takeover.RANK_WAIT_S;

  private static UnownedJob unowned(
      String id, Priority priority, long revision, String... preferredNodes) {
    return new UnownedJob(id, priority, revision, false, 10, List.of(preferredNodes));
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

  /**
   * Guards against wasted writes: without the wait, nodes would claim jobs that a preferred node is
   * about to claim, and each such write would fail.
   */
  @Test
  void waitsWhilePreferredNodesMakeProgress() {
    List<UnownedJob> all = List.of(unowned("next", Priority.NORMAL, 2, "x"));
    assertEquals(List.of(), Takeover.claimable(all, Map.of("x", 11.0), 11 + WAIT_S * 0.9));
    assertEquals(List.of("next"), Takeover.claimable(all, Map.of("x", 11.0), 11 + WAIT_S * 1.01));
    assertEquals(
        List.of("next"),
        Takeover.claimable(all, Map.of("z", 11.0), 11),
        "node z does not precede this one");
  }

  /**
   * Guards against starvation: the preferred nodes may have no share left for the job and keep
   * claiming other jobs forever.
   */
  @Test
  void neverClaimedJobIgnoresProgressOfPreferredNodes() {
    UnownedJob neverClaimed = new UnownedJob("new", Priority.NORMAL, 2, true, 10, List.of("x"));
    assertEquals(
        List.of("new"),
        Takeover.claimable(List.of(neverClaimed), Map.of("x", 11.0), 10 + WAIT_S * 1.01));
  }
}
