package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.standin.WorkerStandIn;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * The state service refuses the leading controller alone, another one takes cancellations, then the
 * state service is down for all for longer than cancelled tasks may live, while workers report to
 * the old leader.
 */
class GapTest {
  /** Five controllers, ten machines, jobs of each kind; node-0 claims and holds. */
  private static World world() {
    World w = new World(5);
    w.start().pass(2);
    for (int i = 0; i < 10; i++) {
      w.machine("host-" + i, "small", "a", "node-" + i % 5);
    }
    w.pass(5);
    assertEquals(201, w.submit("node-0", World.job("wk-1", 6, 1)).status());
    assertEquals(201, w.submit("node-0", World.job("wk-2", 12, 1)).status());
    assertEquals(
        201, w.submit("node-0", World.job("wk-3", 3, 1).put("shape", "daemon")).status());
    assertEquals(201, w.submit("node-1", World.job("wk-4", 6, 1)).status());
    w.pass(2);
    return w;
  }

  private static int running(World w, String job) {
    int n = 0;
    for (WorkerStandIn m : w.workers.values()) {
      n += (int) m.running().stream().filter(t -> t.startsWith(job + "/")).count();
    }
    return n;
  }

  /** The users' day, as it is: refused alone for less and for more than a node's lease. */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void whatIsCancelledInTheGapIsGone(
      @ForAll @IntRange(min = 0, max = 3) int leader, @ForAll boolean longerThanItsLease) {
    World w = world();
    String refused = "node-" + leader;
    List<Double> goneAfter = new ArrayList<>();
    for (int round = 0; round < 2; round++) {
      w.refusedByState.add(refused);
      w.pass(longerThanItsLease ? 6 : 0.5);
      for (String id : List.of("wk-1", "wk-3", "wk-4")) {
        w.user("POST", "/v1/jobs/" + id + "/abort", null, id, leader + 1, 60);
        w.cancelled.add(id);
      }
      w.pass(0.2);
      w.state.outage(true);
      double since = w.timers.now();
      for (int i = 0; i < 30; i++) {
        w.pass(1);
        if (running(w, "wk-1") + running(w, "wk-3") + running(w, "wk-4") == 0) {
          goneAfter.add(w.timers.now() - since);
          break;
        }
      }
      assertEquals(round + 1, goneAfter.size(), "its tasks run on in the outage");
      w.pass(30);
      w.state.outage(false);
      w.pass(1);
      w.refusedByState.clear();
      w.pass(15);
      for (String id : List.of("wk-1", "wk-3", "wk-4")) {
        assertEquals("cancelled", w.poll("node-" + leader, id).state());
      }
    }
    assertTrue(running(w, "wk-2") > 0);
    assertEquals(List.of(), w.dayEnds());
  }
}
