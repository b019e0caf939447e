package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Controllers that die with hundreds of open jobs and machines, under a fleet's budget. */
class ReclaimTest {
  private static final int JOBS = 300;
  private static final int MACHINES = 300;
  private static final int TASKS = 6;

  /** A controller's lease, and what besides may pass until all is claimed. */
  private static final double BOUND_S = 4 + 2;

  private static World fleet() {
    World w = new World(5);
    w.writeRps = 90;
    w.rps = 250;
    w.start().pass(2);
    for (int i = 0; i < MACHINES; i++) {
      w.machine("host-" + i, "large", "a", "node-" + i % 5);
    }
    w.pass(6);
    for (int i = 0; i < JOBS; i++) {
      String urgency = i % 5 == 0 ? "high" : "normal";
      Document job = World.job("wk-" + i, TASKS, 1).put("urgency", urgency);
      assertEquals(201, w.submit("node-" + i % 5, job).status());
    }
    w.pass(12);
    assertEquals(JOBS * TASKS, w.running());
    return w;
  }

  /** Jobs of an urgency whose claimant is down. */
  private static long orphans(World w, String urgency) {
    return w.state.keys("w/j/").stream().filter(k -> orphan(w, k, urgency)).count();
  }

  private static boolean orphan(World w, String key, String urgency) {
    try {
      Document d = w.state.value(key);
      String claim = d.textOr("claim", "");
      String node = claim.substring(0, Math.max(0, claim.lastIndexOf('#')));
      return d.document("spec").text("urgency").equals(urgency)
          && (!w.nodes.containsKey(node) || !w.nodes.get(node).up());
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  /** Waits until all jobs have a claimant that lives, and says how long that took. */
  private static double untilClaimed(World w, double mostS) {
    double since = w.timers.now();
    long normal = orphans(w, "normal");
    while (orphans(w, "high") + orphans(w, "normal") > 0) {
      if (w.timers.now() - since > mostS) {
        throw new AssertionError(
            orphans(w, "high") + " and " + orphans(w, "normal") + " left after " + mostS + " s");
      }
      w.pass(0.05);
      // Each survivor has a batch of its own under way, and the last urgent one may be mixed.
      if (orphans(w, "high") > 12 * 3) {
        assertEquals(normal, orphans(w, "normal"), "urgent ones first");
      }
    }
    return w.timers.now() - since;
  }

  @Test
  void twoOfFiveDieAndTheirJobsAreTakenInTheOrderOfNeedWithoutAWriteInVain() {
    World w = fleet();
    int wasted = w.state.failedTxnOps();
    int written = w.state.writes("w/j/");
    w.nodes.get("node-0").crash();
    w.nodes.get("node-1").crash();
    double took = untilClaimed(w, 30);
    assertTrue(took < BOUND_S, "claimed after " + took + " s");
    w.pass(3);
    int claims = w.state.writes("w/j/") - written;
    assertEquals(JOBS * 2 / 5, claims, "each was written once");
    assertTrue(
        w.state.failedTxnOps() - wasted <= 12,
        w.state.failedTxnOps() - wasted + " changes in vain");
    w.pass(2 * World.LEASE_S);
    assertEquals(JOBS * TASKS, w.running(), "nothing that ran was lost");
    assertEquals(List.of(), w.overlaps);
  }

  /** One more dies while it reclaims; what it had and what it had just taken go to the others. */
  @Test
  void oneMoreDiesWhileItReclaims() {
    World w = fleet();
    w.nodes.get("node-0").crash();
    w.nodes.get("node-1").crash();
    while (orphans(w, "normal") + orphans(w, "high") == JOBS * 2 / 5) {
      w.pass(0.05);
    }
    w.nodes.get("node-2").crash();
    double took = untilClaimed(w, 30);
    assertTrue(took < BOUND_S + 1, "claimed after " + took + " s");
    w.pass(3 * World.LEASE_S);
    assertEquals(JOBS * TASKS, w.running(), "nothing that ran was lost");
    w.finishAll();
    w.pass(15);
    assertEquals(0, w.running());
    assertEquals(0, w.state.keys("w/j/").size(), "all are done");
    assertEquals(List.of(), w.overlaps);
  }
}
