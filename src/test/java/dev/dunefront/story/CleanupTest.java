package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.config.Tunables;
import dev.dunefront.peer.Message;
import dev.dunefront.standin.FakeWorker;
import dev.dunefront.wire.Document;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Records of machines that are gone are removed, and what comes late is not misread then. */
class CleanupTest {
  private static final String DUTY = "w/u/cleanup";
  private static final double KEEP_S = 60;

  private static World world() {
    World w = new World(3);
    w.tunables = Tunables.withOverrides(Map.of("idle_boots", 1000.0, "burial_s", KEEP_S));
    return w;
  }

  /** Deletes a machine by what a user's operator sees as its end: it is silent and listed. */
  private static World withDeadMachine() {
    World w = world();
    w.machine("host-1", "small", "a", "node-0");
    w.start().pass(3);
    w.silent.add("host-1");
    for (int i = 0; i < 90 && !w.cloud.deleted("host-1"); i++) {
      w.pass(1);
    }
    assertTrue(w.cloud.deleted("host-1"));
    w.pass(1);
    assertTrue(w.state.value("w/h/host-1").has("dead"));
    return w;
  }

  @Test
  void aConfirmedEndIsKeptForAWhileAndThenForgotten() {
    World w = withDeadMachine();
    w.pass(KEEP_S - 5);
    assertTrue(w.state.value("w/h/host-1").has("dead"), "late reports may still come");
    w.pass(10);
    assertNull(w.state.value("w/h/host-1"));
  }

  /** Whoever has the duty next goes on; who was replaced removes nothing more. */
  @Test
  void aReplacedHolderRemovesNothingAndItsSuccessorGoesOn() {
    World w = withDeadMachine();
    String before = w.named(DUTY);
    // What it is following now is answered before long; from then on it hears of nothing.
    boolean[] touched = {true};
    w.pass(KEEP_S - 16);
    w.fates =
        (from, path, body) ->
            from.equals(before)
                    && (path.startsWith("/watch") || path.endsWith("/touch") && !touched[0])
                ? World.Fate.LOST
                : World.Fate.ON_TIME;
    w.pass(12);
    touched[0] = false;
    int[] tried = {0};
    w.tap =
        (from, path, body) -> {
          if (from.equals(before) && body.contains("remove=w/h/host-1")) {
            tried[0]++;
            assertTrue(w.state.value("w/h/host-1") != null);
          }
        };
    // Nobody may take it over yet: nothing is to be removed by anybody but the one replaced.
    w.nodes.keySet().stream().filter(n -> !n.equals(before)).forEach(w.refusedByState::add);
    w.nodes.get(before).loseLease();
    w.pass(8);
    assertTrue(tried[0] > 0, "it tries");
    assertTrue(w.state.value("w/h/host-1") != null, "and is refused");
    w.fates = (from, path, body) -> World.Fate.ON_TIME;
    w.refusedByState.clear();
    w.pass(20);
    assertNull(w.state.value("w/h/host-1"), "whoever has the duty goes on");
  }

  /** A report that was held for minutes comes when nothing is known of its machine any more. */
  @Test
  void aReportThatComesAfterAllIsForgottenCostsTimeAndBreaksNoRule() {
    World w = world();
    FakeWorker m = w.machine("host-1", "small", "a", "node-0");
    w.start().pass(3);
    assertEquals(201, w.submit("node-1", World.job("wk-1", 2, 1)).status());
    w.pass(1);
    assertEquals(2, m.running().size());
    byte[] late = m.report();
    w.silent.add("host-1");
    w.pass(90);
    assertTrue(w.cloud.deleted("host-1"));
    FakeWorker other = w.machine("host-2", "small", "a", "node-0");
    w.pass(KEEP_S + 10);
    assertNull(w.state.value("w/h/host-1"));
    assertEquals(2, other.running().size(), "begun anew elsewhere");
    for (String node : List.of("node-0", "node-1", "node-2")) {
      w.ask(node, "POST", "/hello", late);
    }
    w.submit("node-0", World.job("wk-2", 6, 1));
    for (int i = 0; i < 60; i++) {
      w.pass(1);
      other.running().forEach(t -> other.exit(t, "done"));
    }
    assertEquals("done", w.poll("node-0", "wk-1").state());
    assertEquals("done", w.poll("node-0", "wk-2").state(), "what was placed there came back");
    assertEquals(List.of(), w.overlaps);
  }

  /** The machine's own holder is cut off with it while its record goes: it holds it no longer. */
  @Test
  void whoHoldsAMachineWhoseRecordGoesLetsGoOfIt() {
    World w = world();
    FakeWorker m = w.machine("host-1", "small", "a", "node-0");
    w.start().pass(3);
    w.writeState("w/h/host-1", Document.create().put("holder", "node-9#1").put("baton", 7));
    w.pass(20);
    assertNotEquals(null, w.state.value("w/h/host-1"));
    w.removeState("w/h/host-1");
    w.pass(6);
    assertEquals(201, w.submit("node-0", World.job("wk-1", 4, 1)).status());
    w.pass(4);
    assertEquals(4, m.running().size(), "it is held anew, and its room is dealt");
    assertEquals(List.of(), w.overlaps);
  }

  /** Machines taken back without a word, whose records name a holder, are found and forgotten. */
  @Test
  void machinesThatVanishWithoutAWordLeaveNoRecordBehind() {
    World w = world();
    for (int i = 0; i < 12; i++) {
      w.machine("host-" + i, "small", "a", "node-0");
      w.writeState("w/h/host-" + i, Document.create().put("holder", "node-9#1").put("baton", 7));
    }
    w.start().pass(20);
    assertEquals(12, w.state.keys("w/h/").size());
    for (int i = 0; i < 10; i++) {
      w.silent.add("host-" + i);
      w.cloud.reclaim("host-" + i);
    }
    w.pass(90 + KEEP_S);
    assertEquals(List.of("w/h/host-10", "w/h/host-11"), w.state.keys("w/h/"));
  }

  /** A machine without a record is in nobody's books either, once it is surely gone. */
  @Test
  void aMachineThatHasBeenSilentForLongIsNoLongerHeld() {
    World w = world();
    FakeWorker m = w.machine("host-1", "small", "a", "node-0");
    int[] held = {0};
    w.late =
        message -> {
          if (message instanceof Message.ControllerStatus h) {
            held[0] = Math.max(held[0], h.heldMachines());
          }
          return false;
        };
    w.start().pass(5);
    assertEquals(1, held[0]);
    w.silent.add("host-1");
    w.cloud.reclaim("host-1");
    w.pass(12 * World.LEASE_S);
    held[0] = 0;
    w.pass(2);
    assertEquals(0, held[0]);
    w.silent.clear();
    w.pass(5);
    w.submit("node-1", World.job("wk-1", 4, 1));
    w.pass(3);
    assertEquals(4, m.running().size(), "should it come back all the same it is held again");
  }

  private static final int ROUNDS = 40;
  private static final int MACHINES = 50;

  /** Two thousand machines come and go; what is kept does not grow with them. */
  @Test
  void whatIsKeptDoesNotGrowWithTheMachinesThatCameAndWent() {
    World w = new World(3).renting(4, 2);
    w.tunables =
        Tunables.withOverrides(
            Map.of("idle_boots", 0.2, "idle_warm_s", 0.0, "spare", 0.0, "burial_s", KEEP_S));
    w.cloud.capacity(Integer.MAX_VALUE);
    w.start().pass(3);
    int most = 0;
    for (int round = 0; round < ROUNDS; round++) {
      assertEquals(
          201, w.submit("node-" + round % 3, World.job("wk-" + round, MACHINES, 4)).status());
      for (int i = 0; i < 12; i++) {
        w.pass(2);
        w.finishAll();
      }
      if (round >= ROUNDS / 2) {
        most = Math.max(most, w.state.keys("w/").size());
      }
    }
    assertTrue(w.hired() >= ROUNDS * MACHINES * 0.9, w.hired() + " machines were rented");
    assertTrue(most < 10 * MACHINES, most + " keys");
    w.pass(3 * KEEP_S + ROUNDS * MACHINES / 9.0 / 2);
    assertEquals(0, w.workers.size());
    assertEquals(List.of(), w.state.keys("w/h/"), "all is forgotten");
    assertEquals(0, w.state.keys("w/j/").size() + w.state.keys("t/").size());
  }
}
