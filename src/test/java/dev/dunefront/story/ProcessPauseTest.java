package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.standin.FakeWorker;
import dev.dunefront.wire.Document;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Controllers that stand still while their clocks run on, and what they believe when they wake. */
class ProcessPauseTest {

  /**
   * A placement is recorded with the worker's session. Its claimant hears of the record late, and
   * by then the worker is in its next session: were the start carried out there, the later session
   * would count as the proof that the attempt is gone, and the task would run twice.
   */
  @Test
  void aStartRecordedForOneSessionIsNotCarriedOutInTheNext() {
    World w = new World(2);
    FakeWorker a = w.machine("host-1", "small", "a", "node-0");
    w.start().pass(3);
    assertEquals("node-0", w.holder("host-1"));
    assertEquals(201, w.submit("node-1", World.job("wk-1", 1, 1)).status());
    // The state service takes the placement, but its claimant does not hear so.
    w.unanswered = (from, to) -> from.equals("node-1") && to.equals("10.2.0.1:1");
    w.pass(1);
    w.silent.add("host-1");
    w.pass(World.LEASE_S + 2);
    w.silent.clear();
    w.pass(3);
    FakeWorker b = w.machine("host-2", "small", "a", "node-0");
    w.pass(2);
    assertEquals(List.of(), a.starts(), "the story is about a start that is still to come");
    w.unanswered = (from, to) -> false;
    w.pass(10);
    assertEquals(1, a.running().size() + b.running().size());
    assertEquals(1, a.starts().size() + b.starts().size(), "the recorded attempt never started");
    assertEquals(List.of(), w.overlaps);
  }

  /** While a controller has no lease it is nobody, and a hold written then would name no holder. */
  @Test
  void aControllerWithoutALeaseWritesNoHold() {
    World w = new World(1);
    FakeWorker m = w.machine("host-1", "small", "a", "node-0");
    w.start().pass(3);
    w.submit("node-0", World.job("wk-1", 1, 1));
    w.unanswered = (from, to) -> to.endsWith(":9");
    w.refusedByState.add("node-0");
    w.pass(6);
    w.refusedByState.clear();
    // The lease has ended, and a new one is long in coming.
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

  /** Such a record, once written, made every report of its machine fail, and its renter's loop. */
  @Test
  void aHoldThatNamesNobodyConcernsOneMachineAndIsRepaired() {
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
   * Most controllers stand still for longer than a lease. Their machines go to the others or wait;
   * whoever wakes first asks what has changed, and nothing runs twice or is left behind.
   */
  @Test
  void controllersThatWakeAskWhatHasChangedBeforeTheyAct() {
    for (double still = 2; still < 3 * World.LEASE_S; still += 1.7) {
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
        w.nodes.get("node-" + i).standStill(still);
      }
      for (int second = 0; second < 90; second++) {
        w.pass(1);
        if (second % 5 == 0) {
          w.finishAll();
        }
      }
      assertEquals(List.of(), w.overlaps, "after " + still + " s");
      for (int i = 0; i < 6; i++) {
        assertEquals("done", w.poll("node-" + i % 5, "wk-" + i).state(), "after " + still + " s");
      }
    }
  }

  /**
   * What a woken controller believed of its jobs and machines may be long untrue: it records
   * nothing and orders nothing before the state service has told it what has changed.
   */
  @Test
  void aWokenControllerActsOnNothingBeforeItIsCurrent() {
    World w = new World(2);
    FakeWorker m = w.machine("host-1", "small", "a", "node-0");
    w.start().pass(3);
    assertEquals("node-0", w.holder("host-1"));
    assertEquals(201, w.submit("node-0", World.job("wk-1", 8, 1)).status());
    w.pass(1);
    double still = World.LEASE_S * 0.7;
    w.nodes.get("node-0").standStill(still);
    // The report of this waits in the controller's sockets; it would deal the room at once.
    m.running().forEach(t -> m.exit(t, "done"));
    w.pass(still - 0.01);
    w.heldBack = (from, to) -> from.equals("node-0");
    w.pass(0.9);
    assertTrue(w.heldCalls.stream().anyMatch(c -> c.startsWith("/watch")), "it asks");
    assertEquals(
        List.of(),
        w.heldCalls.stream().filter(c -> c.contains("wk-1")).toList(),
        "it records and orders nothing");
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
