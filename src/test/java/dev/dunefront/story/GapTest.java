package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.dunefront.peer.Message;
import dev.dunefront.standin.FakeWorker;
import dev.dunefront.wire.Document;
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
  /** Five controllers and ten machines. */
  private static World world() {
    World w = new World(5);
    w.start().pass(2);
    for (int i = 0; i < 10; i++) {
      w.machine("host-" + i, "small", "a", "node-" + i % 5);
    }
    w.pass(5);
    return w;
  }

  /** An array and a service that node-0 claims, an array that node-1 does, and one left alone. */
  private static List<String> jobs(World w, int round) {
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      String id = "wk-" + round + i;
      Document job = World.job(id, 6, 1).put("shape", i == 1 ? "daemon" : "sweep");
      assertEquals(201, w.submit(i == 2 ? "node-1" : "node-0", job).status());
      ids.add(id);
    }
    w.pass(2);
    return ids;
  }

  /** The users' day, as it is: refused alone for less and for more than a node's lease. */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void whatIsCancelledInTheGapIsGone(
      @ForAll @IntRange(min = 0, max = 3) int leader,
      @ForAll boolean longerThanItsLease,
      @ForAll boolean longerThanTheyMayLive) {
    World w = world();
    String refused = "node-" + leader;
    for (int round = 1; round <= 2; round++) {
      List<String> ids = jobs(w, round);
      List<String> toEnd = ids.subList(0, 3);
      w.refusedByState.add(refused);
      w.pass(longerThanItsLease ? 6 : 0.5);
      for (String id : toEnd) {
        w.cancelled.add(id);
        w.user("POST", "/v1/jobs/" + id + "/abort", null, id, leader + 1, 60);
      }
      w.pass(0.2);
      w.state.outage(true);
      w.pass(6);
      for (String id : toEnd) {
        assertEquals(0, w.running(id), id + " runs on in the outage");
      }
      w.pass(longerThanTheyMayLive ? 24 : 2);
      w.state.outage(false);
      w.pass(1);
      w.refusedByState.clear();
      w.pass(15);
      for (String id : toEnd) {
        assertEquals("cancelled", w.poll(refused, id).state());
      }
      assertEquals(6, w.running(ids.get(3)), "what nobody cancelled runs on");
      w.finishAll();
      w.pass(4);
    }
    assertEquals(List.of(), w.dayEnds());
  }

  /**
   * A job comes and goes while a controller's replica stands still, and it hears of the
   * cancellation, but not of the end. It must not go on telling that the job is to end, also while
   * an older cancellation rightly waits, for a machine that cannot be asked.
   */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void aWordIsForgottenThoughNobodyTellsOfTheEnd(@ForAll boolean anOlderWaits) {
    World w = new World(5);
    w.start().pass(4);
    if (anOlderWaits) {
      w.machine("host-1", "small", "a", "node-0");
      w.pass(5);
      assertEquals(201, w.submit("node-0", World.job("wk-2", 1, 4)).status());
      w.pass(2);
      assertEquals(1, w.running("wk-2"));
      // It hears no order, and its reports keep its lease alive: so its task is not gone.
      w.fates = (from, path, body) -> path.equals("/orders") ? World.Fate.LOST : World.Fate.ON_TIME;
      assertEquals(503, w.cancel("node-1", "wk-2").status());
      w.pass(4);
    }
    w.refusedByState.add("node-4");
    w.late = message -> message instanceof Message.JobEnded;
    assertEquals(201, w.submit("node-0", World.job("wk-1", 6, 1)).status());
    w.pass(2);
    w.cancel("node-1", "wk-1");
    w.pass(2);
    assertEquals("cancelled", w.poll("node-0", "wk-1").state());
    // By then the watch that was open is given up, and with it what it would have brought.
    w.pass(15);
    int older = anOlderWaits ? 1 : 0;
    assertEquals(older + 1, waiting(w, "node-4"));
    w.refusedByState.clear();
    w.pass(20);
    assertEquals(older, waiting(w, "node-4"));
  }

  private static int waiting(World w, String node) {
    String name = "dunefront_cancellations_waiting ";
    String text = w.nodes.get(node).metrics();
    int at = text.indexOf("\n" + name) + 1 + name.length();
    return (int) Double.parseDouble(text.substring(at, text.indexOf('\n', at)));
  }

  /** What keeps the old leader from stopping what it holds. */
  enum Hindrance {
    /**
     * The word of the cancellation is lost on its way to it, and the stops that follow; its links
     * are made anew, and the claimant is gone.
     */
    THE_WORD_IS_LOST,
    /** An order of it had no answer, and a token cannot be raised without the state service. */
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
    FakeWorker m = w.machine("host-1", "small", "a", "node-0");
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
      w.late = message -> message instanceof Message.StartTask;
    }
    assertEquals(201, w.submit(others.get(0), World.job("wk-1", 3, 1)).status());
    w.pass(0.7);
    if (what == Hindrance.THE_MACHINE_IS_CUT_OFF) {
      w.lost = (from, to) -> from.equals("host-1:9") || to.equals("host-1:9");
      w.timers.after(4, () -> w.lost = (from, to) -> false);
    }
    if (what == Hindrance.THE_WORD_IS_LOST) {
      w.late =
          message -> message instanceof Message.JobCancelled || message instanceof Message.StopTask;
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
