package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.BiPredicate;
import org.junit.jupiter.api.Test;

/**
 * What the operators' on-call met: controllers that are silent, stand still, or are cut off in
 * parts, for seconds to minutes, alone and twice in a row. After each the day ends well: nothing is
 * forgotten, all runs, nothing runs twice.
 */
class OnCallTest {
  private static final String STATE = "10.2.0.1:1";

  private static World world() {
    World w = World.of(9);
    for (int i = 0; i < 6; i++) {
      assertEquals(201, w.submit("node-" + i % 3, World.job("wk-" + i, 5, 1)).status());
    }
    w.pass(2);
    assertEquals(30, w.running());
    return w;
  }

  /** Work comes and ends meanwhile, at the controllers that are well. */
  private static void passBusily(World w, double seconds) {
    int n = w.accepted.size();
    for (double s = 0; s < seconds; s += 4) {
      w.submit("node-" + (1 + n % 2), World.job("wk-1" + n++, 3, 1));
      w.pass(Math.min(4, seconds - s));
      w.finishAll();
    }
  }

  /** Shorter and longer than the node lease, the workers' lease and the bound of a cancellation. */
  @Test
  void aControllerThatStandsStillOnceAndTwice() {
    for (double still : new double[] {2, 7, 10, 25, 30}) {
      for (boolean twice : new boolean[] {false, true}) {
        World w = world();
        w.cancel("node-1", "wk-5");
        w.nodes.get("node-0").standStill(still);
        passBusily(w, still + 0.5);
        if (twice) {
          w.nodes.get("node-0").standStill(still);
          passBusily(w, still + 1);
        }
        assertEquals(List.of(), w.dayEnds(), still + " s, twice: " + twice);
        assertEquals("cancelled", w.poll("node-0", "wk-5").state());
      }
    }
  }

  /** In the middle of a step: as it renews its lease, writes a placement, or asks a worker. */
  @Test
  void aControllerThatStandsStillInTheMiddleOfAStep() {
    for (String step : List.of("/touch", "put=t/", "/orders", "put=w/h/", "put=u/rent")) {
      World w = world().renting(5, 4);
      boolean[] struck = {false};
      w.fates =
          (from, path, body) -> {
            if (!struck[0]
                && from.equals("node-0")
                && (path.endsWith(step) || body.contains(step))) {
              struck[0] = true;
              w.timers.after(0.001, () -> w.nodes.get("node-0").standStill(11));
            }
            return World.Fate.ON_TIME;
          };
      w.submit("node-0", World.job("wk-20", 30, 1));
      passBusily(w, 24);
      w.fates = (from, path, body) -> World.Fate.ON_TIME;
      assertEquals(List.of(), w.dayEnds(), "in the middle of " + step);
    }
  }

  /** No network, no state service, no workers; packets lost, and held and delivered at the end. */
  @Test
  void aControllerThatIsCutOffInParts() {
    BiPredicate<String, String> state = (from, to) -> from.equals("node-0") && to.equals(STATE);
    BiPredicate<String, String> workers =
        (from, to) ->
            from.equals("node-0") && to.startsWith("host-")
                || to.equals("node-0") && from.startsWith("host-");
    BiPredicate<String, String> peers =
        (from, to) ->
            from.equals("node-0") && to.startsWith("node-")
                || to.equals("node-0") && from.startsWith("node-");
    List<BiPredicate<String, String>> cuts =
        List.of(state, workers, state.or(workers).or(peers), peers, state.or(peers));
    for (int kind = 0; kind < cuts.size(); kind++) {
      for (double cutS : new double[] {5, 20, 60}) {
        for (boolean held : new boolean[] {false, true}) {
          World w = world();
          BiPredicate<String, String> cut = cuts.get(kind);
          if (held) {
            w.heldBack = (from, to) -> cut.test(from, to) && !to.startsWith("node-");
            w.lost = (from, to) -> cut.test(from, to) && to.startsWith("node-");
          } else {
            w.lost = cut;
          }
          w.unanswered = cut.and(state);
          w.timers.after(5, () -> w.linksSilent("node-0"));
          passBusily(w, cutS);
          if (kind == 0 && cutS > 10) {
            assertEquals(503, w.ask("node-0", "GET", "/up", new byte[0]).status());
          }
          w.heldBack = (from, to) -> false;
          w.lost = (from, to) -> false;
          w.unanswered = (from, to) -> false;
          w.deliverHeld();
          w.linksBack("node-0");
          w.pass(2);
          assertEquals(
              List.of(), w.dayEnds(), "cut " + kind + " for " + cutS + " s, held: " + held);
          assertEquals(200, w.ask("node-0", "GET", "/up", new byte[0]).status());
        }
      }
    }
  }

  /** Users of a controller that has lost the state service alone are told so at once. */
  @Test
  void whoLosesTheStateServiceAloneSaysSoAtOnce() {
    World w = world();
    w.lost = (from, to) -> from.equals("node-0") && to.equals(STATE);
    w.unanswered = (from, to) -> from.equals("node-0") && to.equals(STATE);
    w.pass(4);
    double asked = w.timers.now();
    assertEquals(503, w.submit("node-0", World.job("wk-9", 1, 1)).status());
    double took = w.timers.now() - asked;
    assertEquals(503, w.ask("node-0", "GET", "/up", new byte[0]).status());
    asked = w.timers.now();
    assertEquals(201, w.submit("node-1", World.job("wk-9", 1, 1)).status());
    assertTrue(took <= w.timers.now() - asked + 0.01, "no later than who is served");
  }

  /** Silent for a minute and a half, and back with all that it believed. */
  @Test
  void theBusiestControllerIsSilentForNinetySeconds() {
    World w = world().renting(5, 4);
    World.Node node = w.nodes.get(w.named("w/u/rent"));
    node.standStill(90);
    for (int i = 0; i < 10; i++) {
      String other = node.name.equals("node-1") ? "node-2" : "node-1";
      w.submit(other, World.job("wk-5" + i, 2, 1));
      w.pass(9);
      w.finishAll();
    }
    w.pass(3);
    assertEquals(List.of(), w.dayEnds());
    assertEquals(List.of(), w.misused);
  }
}
