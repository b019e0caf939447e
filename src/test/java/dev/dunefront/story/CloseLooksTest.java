package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.dunefront.peer.Message;
import dev.dunefront.standin.FakeWorker;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Users ask at all nodes within milliseconds, and repeat the submission, after a job was accepted,
 * ended or confirmed as cancelled; some cancel at once. No node then answers something older.
 */
class CloseLooksTest {
  /** What goes on meanwhile. */
  enum Trouble {
    NONE,
    SLOW_STATE,
    ONE_NODE_IS_REFUSED,
    A_NODE_BEGINS,
    WATCHES_ARE_LOST,
    WATCHES_ARE_LATE,
    ANSWERS_ARE_LOST,
    NOBODY_TELLS_OF_ENDS
  }

  private static void strike(World w, Trouble trouble) {
    int[] n = {0};
    switch (trouble) {
      case NONE -> {}
      case SLOW_STATE -> {
        double[] slow = {0, 0.05, 0.4, 0.9, 0.02};
        w.stateSlowS = () -> slow[n[0]++ % slow.length];
      }
      case ONE_NODE_IS_REFUSED -> {
        w.refusedByState.add("node-1");
        w.timers.after(2.5, () -> w.refusedByState.clear());
      }
      case A_NODE_BEGINS -> {
        w.nodes.get("node-1").crash();
        w.timers.after(0.3, () -> w.nodes.get("node-1").start());
      }
      case WATCHES_ARE_LOST ->
          w.fates =
              (from, path, body) ->
                  path.startsWith("/watch") && n[0]++ % 2 == 0
                      ? World.Fate.UNANSWERED
                      : World.Fate.ON_TIME;
      case WATCHES_ARE_LATE -> {
        w.lateS = 1.5;
        w.fates =
            (from, path, body) ->
                path.startsWith("/watch") && n[0]++ % 3 != 0
                    ? World.Fate.TWICE
                    : World.Fate.ON_TIME;
      }
      case ANSWERS_ARE_LOST ->
          w.fates =
              (from, path, body) ->
                  path.equals("/txn") && n[0]++ % 4 == 1
                      ? World.Fate.UNANSWERED
                      : World.Fate.ON_TIME;
      case NOBODY_TELLS_OF_ENDS -> w.late = message -> message instanceof Message.JobEnded;
    }
  }

  private static void calm(World w) {
    w.fates = (from, path, body) -> World.Fate.ON_TIME;
    w.stateSlowS = () -> 0;
    w.late = message -> false;
    w.refusedByState.clear();
    w.pass(4);
  }

  private static void assertState(World w, String id, String state) {
    for (String node : w.nodes.keySet()) {
      assertEquals(state, w.poll(node, id).state(), id + " at " + node);
      assertEquals(state, w.submit(node, World.job(id, 2, 1)).state(), id + " at " + node);
    }
  }

  /** Cancelled so many milliseconds after the acceptance was told, at another node. */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void cancelledRightAfterTheAcceptance(
      @ForAll Trouble trouble, @ForAll @IntRange(max = 5) int when) {
    World w = World.of(4);
    Crowd users = new Crowd(w);
    strike(w, trouble);
    users.submit(World.job("wk-1", 2, 1), 0);
    users.submit(World.job("wk-2", 2, 1).put("shape", "daemon"), 2);
    for (int i = 0; i < 3000 && w.accepted.size() < 2; i++) {
      w.pass(0.002);
    }
    w.pass(new double[] {0, 0.003, 0.01, 0.05, 0.4, 1.1}[when]);
    users.cancel("wk-1", 1);
    users.cancel("wk-2", 0);
    w.pass(20);
    calm(w);
    assertState(w, "wk-1", "cancelled");
    assertState(w, "wk-2", "cancelled");
    assertEquals(List.of(), w.dayEnds());
  }

  /**
   * A cancellation, a question or a repeated submission meets the end of the last task: the job is
   * done or cancelled, one of them, and the same for all for ever.
   */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void cancelledAsItsLastTaskEnds(
      @ForAll Trouble trouble, @ForAll @IntRange(min = -4, max = 4) int when) {
    World w = World.of(4);
    Crowd users = new Crowd(w);
    users.submit(World.job("wk-1", 2, 1), 0);
    w.pass(1.5);
    w.workers.values().forEach(m -> m.exit("wk-1/0", "done"));
    w.pass(3);
    strike(w, trouble);
    w.pass(0.4);
    double apartS = when * when * 0.03;
    if (when < 0) {
      users.cancel("wk-1", 1);
      w.pass(apartS);
    }
    end(w, "wk-1/1");
    if (when >= 0) {
      w.pass(apartS);
      users.cancel("wk-1", 1);
    }
    w.user("POST", "/v1/jobs", World.job("wk-1", 2, 1), "wk-1", 2, 40);
    w.pass(16);
    calm(w);
    assertState(w, "wk-1", w.poll("node-0", "wk-1").state());
    assertEquals(List.of(), w.dayEnds());
  }

  private static void end(World w, String task) {
    for (FakeWorker m : w.workers.values()) {
      m.exit(task, "done");
    }
  }

  /** Done, as all nodes see it, with nobody who cancels. */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void askedAsItEnds(@ForAll Trouble trouble) {
    World w = World.of(4);
    Crowd users = new Crowd(w);
    users.submit(World.job("wk-1", 2, 1), 0);
    w.pass(1.5);
    strike(w, trouble);
    w.pass(0.4);
    end(w, "wk-1/0");
    w.pass(0.7);
    end(w, "wk-1/1");
    users.look("wk-1", 9);
    w.pass(9);
    calm(w);
    assertState(w, "wk-1", "done");
    assertEquals(List.of(), w.dayEnds());
  }
}
