package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.standin.FakeWorker;
import dev.dunefront.wire.Document;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Processes that pause while the clock runs on, and the stale state that they have when they
 * resume.
 */
class ProcessPauseTest {

  /**
   * A placement is recorded for a session of the worker. The claimant learns of the record late,
   * when the worker is in its next session. If the start were carried out there, the later session
   * would count as proof that the attempt has ended, and the task would run twice.
   */
  @Test
  void startRecordedForOneSessionIsNotExecutedInTheNext() {
    World w = new World(2);
    FakeWorker a = w.machine("host-1", "small", "a", "node-0");
    w.start().pass(3);
    assertEquals("node-0", w.holder("host-1"));
    assertEquals(201, w.submit("node-1", World.job("wk-1", 1, 1)).status());
    // The state service accepts the placement, but the response to the claimant is lost.
    w.unanswered = (from, to) -> from.equals("node-1") && to.equals("10.2.0.1:1");
    w.pass(1);
    w.silent.add("host-1");
    w.pass(World.LEASE_S + 2);
    w.silent.clear();
    w.pass(3);
    FakeWorker b = w.machine("host-2", "small", "a", "node-0");
    w.pass(2);
    assertEquals(List.of(), a.starts(), "the start must still be pending here");
    w.unanswered = (from, to) -> false;
    w.pass(10);
    assertEquals(1, a.running().size() + b.running().size());
    assertEquals(1, a.starts().size() + b.starts().size(), "the recorded attempt never started");
    assertEquals(List.of(), w.overlaps);
  }

  /**
   * A controller without a lease has no incarnation, and a hold that it wrote would name no holder.
   */
  @Test
  void controllerWithoutLeaseWritesNoHold() {
    World w = new World(1);
    FakeWorker m = w.machine("host-1", "small", "a", "node-0");
    w.start().pass(3);
    w.submit("node-0", World.job("wk-1", 1, 1));
    w.unanswered = (from, to) -> to.endsWith(":9");
    w.refusedByState.add("node-0");
    w.pass(6);
    w.refusedByState.clear();
    // The lease has ended, and the request for a new one is delayed.
    w.heldPath = "/leases";
    w.pass(8);
    assertNull(w.state.value("w/h/host-1"));
    w.heldPath = null;
    w.unanswered = (from, to) -> false;
    w.pass(8);
    assertEquals(201, w.submit("node-0", World.job("wk-2", 1, 1)).status());
    w.pass(3);
    assertTrue(m.running().contains("wk-2/0"));
  }

  /**
   * A hold without a holder made every report of its machine fail, and the loop of the controller
   * that rents.
   */
  @Test
  void malformedHoldAffectsOneMachineAndIsRepaired() {
    World w = new World(2);
    FakeWorker a = w.machine("host-1", "small", "a", "node-0");
    FakeWorker b = w.machine("host-2", "small", "a", "node-1");
    w.start().pass(3);
    w.writeState("w/h/host-1", Document.create().put("baton", 7));
    w.writeState("w/h/host-2", Document.create().put("holder", 3).put("baton", "no number"));
    w.pass(World.LEASE_S * 2);
    assertEquals(201, w.submit("node-0", World.job("wk-1", 8, 1)).status());
    w.pass(5);
    assertEquals(4, a.running().size());
    assertEquals(4, b.running().size());
    assertEquals(List.of(), w.overlaps);
  }

  /**
   * Most controllers pause, for up to three leases. Their machines move to the others or wait;
   * every controller that resumes first reads what has changed, and no task runs twice or is left
   * behind.
   */
  @Test
  void resumedControllersReadChangesBeforeTheyAct() {
    for (double pauseS = 2; pauseS < 3 * World.LEASE_S; pauseS += 1.7) {
      World w = new World(5);
      w.start().pass(2);
      for (int i = 0; i < 20; i++) {
        w.machine("host-" + i, "small", "a", "node-" + i % 5);
      }
      w.pass(5);
      for (int i = 0; i < 6; i++) {
        w.submit("node-" + i % 5, World.job("wk-" + i, 10, 1));
      }
      w.pass(0.05);
      for (int i = 0; i < 3; i++) {
        w.nodes.get("node-" + i).standStill(pauseS);
      }
      for (int second = 0; second < 90; second++) {
        w.pass(1);
        if (second % 5 == 0) {
          w.finishAll();
        }
      }
      assertEquals(List.of(), w.overlaps, "after " + pauseS + " s");
      for (int i = 0; i < 6; i++) {
        assertEquals("done", w.poll("node-" + i % 5, "wk-" + i).state(), "after " + pauseS + " s");
      }
    }
  }

  /**
   * The state of a controller that resumes may be long out of date: it records nothing and sends no
   * command before it has received the changes from the state service.
   */
  @Test
  void resumedControllerTakesNoActionBeforeItIsCurrent() {
    World w = new World(2);
    FakeWorker m = w.machine("host-1", "small", "a", "node-0");
    w.start().pass(3);
    assertEquals("node-0", w.holder("host-1"));
    assertEquals(201, w.submit("node-0", World.job("wk-1", 8, 1)).status());
    w.pass(1);
    double pauseS = World.LEASE_S * 0.7;
    w.nodes.get("node-0").standStill(pauseS);
    // The report of these exits waits in the controller's sockets; applying it would allocate the
    // room at once.
    m.running().forEach(t -> m.exit(t, "done"));
    w.pass(pauseS - 0.01);
    w.heldBack = (from, to) -> from.equals("node-0");
    w.pass(0.9);
    assertTrue(
        w.heldCalls.stream().anyMatch(c -> c.startsWith("/watch")),
        "the controller requests the changes");
    assertEquals(
        List.of(),
        w.heldCalls.stream().filter(c -> c.contains("wk-1")).toList(),
        "the controller records nothing and sends no command");
    w.heldBack = (from, to) -> false;
    w.deliverHeld();
    w.pass(20);
    m.running().forEach(t -> m.exit(t, "done"));
    w.pass(5);
    assertEquals("done", w.poll("node-0", "wk-1").state());
    assertEquals(8, m.starts().size());
    assertEquals(List.of(), w.overlaps);
  }
}
