package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.peer.Message;
import dev.dunefront.standin.WorkerStandIn;
import java.util.ArrayList;
import java.util.List;
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
    assertEquals(201, w.submit("node-0", World.job("wk-3", 3, 1).put("shape", "daemon")).status());
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

  /** What keeps the old leader from stopping what it holds. */
  enum Hindrance {
    /**
     * The word of the cancellation is lost on its way to it, and the stops that follow; its links
     * are made anew, and the claimant is gone.
     */
    THE_WORD_IS_LOST,
    /** An order of it had no answer, and a baton cannot be raised without the state service. */
    A_MACHINE_IS_IN_DOUBT,
    /** The start of a task comes after the word, from a claimant that is gone by then. */
    A_START_COMES_LATE,
    /** The machine hears and is heard only later on. */
    THE_MACHINE_IS_CUT_OFF
  }

  /**
   * The old leader is node-0; node-1 claims the job, node-2 is asked to cancel it. Whatever hinders
   * the leader, nothing of the job is on its machines when half of the outage is over.
   */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void whateverHindersTheOldLeaderItsTasksAreGone(@ForAll Hindrance what) {
    World w = new World(5);
    w.start().pass(2);
    WorkerStandIn m = w.machine("host-1", "small", "a", "node-0");
    w.pass(5);
    String leader = w.holder("host-1");
    List<String> others = new ArrayList<>(w.nodes.keySet());
    others.remove(leader);
    w.refusedByState.add(leader);
    if (what == Hindrance.A_MACHINE_IS_IN_DOUBT) {
      w.fates =
          (from, path, body) ->
              body.contains("verb=run") ? World.Fate.UNANSWERED : World.Fate.ON_TIME;
    }
    if (what == Hindrance.A_START_COMES_LATE) {
      w.late = message -> message instanceof Message.Start;
    }
    assertEquals(201, w.submit(others.get(0), World.job("wk-1", 3, 1)).status());
    w.pass(0.7);
    if (what == Hindrance.THE_MACHINE_IS_CUT_OFF) {
      w.lost = (from, to) -> from.equals("host-1:9") || to.equals("host-1:9");
      w.timers.after(4, () -> w.lost = (from, to) -> false);
    }
    if (what == Hindrance.THE_WORD_IS_LOST) {
      w.late = message -> message instanceof Message.Cancelled || message instanceof Message.Stop;
    }
    assertEquals(503, w.cancel(others.get(1), "wk-1").status());
    w.state.outage(true);
    if (what == Hindrance.THE_WORD_IS_LOST) {
      w.nodes.get(others.get(0)).crash();
      w.timers.after(
          3,
          () -> {
            w.late = message -> false;
            w.linksBack(leader);
          });
    }
    if (what == Hindrance.A_START_COMES_LATE) {
      w.nodes.get(others.get(0)).crash();
      w.pass(1);
      w.deliverHeld();
      w.late = message -> false;
    }
    w.pass(12);
    assertEquals(List.of(), m.running());
    w.pass(20);
    w.state.outage(false);
    w.refusedByState.clear();
    w.fates = (from, path, body) -> World.Fate.ON_TIME;
    if (!w.nodes.get(others.get(0)).up()) {
      w.nodes.get(others.get(0)).start();
    }
    w.pass(20);
    assertEquals("cancelled", w.poll(others.get(1), "wk-1").state());
    assertEquals(List.of(), w.dayEnds());
  }
}
