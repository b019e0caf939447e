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
    SimulatedCluster w = new SimulatedCluster(2);
    FakeWorker a = w.machines.addMachine("host-1", "small", "a", "node-0");
    w.start().advance(3);
    assertEquals("node-0", w.machines.holderOf("host-1"));
    assertEquals(201, w.users.submit("node-1", SimulatedCluster.job("wk-1", 1, 1)).status());
    // The state service accepts the placement, but the response to the claimant is lost.
    w.network.dropResponse = (from, to) -> from.equals("node-1") && to.equals("10.2.0.1:1");
    w.advance(1);
    w.machines.isolatedHosts.add("host-1");
    w.advance(SimulatedCluster.LEASE_S + 2);
    w.machines.isolatedHosts.clear();
    w.advance(3);
    FakeWorker b = w.machines.addMachine("host-2", "small", "a", "node-0");
    w.advance(2);
    assertEquals(List.of(), a.starts(), "the start must still be pending here");
    w.network.dropResponse = (from, to) -> false;
    w.advance(10);
    assertEquals(1, a.running().size() + b.running().size());
    assertEquals(1, a.starts().size() + b.starts().size(), "the recorded attempt never started");
    assertEquals(List.of(), w.users.overlappingRuns);
  }

  /**
   * A controller without a lease has no incarnation, and a hold that it wrote would name no holder.
   */
  @Test
  void controllerWithoutLeaseWritesNoHold() {
    SimulatedCluster w = new SimulatedCluster(1);
    FakeWorker m = w.machines.addMachine("host-1", "small", "a", "node-0");
    w.start().advance(3);
    w.users.submit("node-0", SimulatedCluster.job("wk-1", 1, 1));
    w.network.dropResponse = (from, to) -> to.endsWith(":9");
    w.network.refusedByStateService.add("node-0");
    w.advance(6);
    w.network.refusedByStateService.clear();
    // The lease has ended, and the request for a new one is delayed.
    w.network.heldPath = "/leases";
    w.advance(8);
    assertNull(w.stateService.value("w/h/host-1"));
    w.network.heldPath = null;
    w.network.dropResponse = (from, to) -> false;
    w.advance(8);
    assertEquals(201, w.users.submit("node-0", SimulatedCluster.job("wk-2", 1, 1)).status());
    w.advance(3);
    assertTrue(m.running().contains("wk-2/0"));
  }

  /**
   * A hold without a holder made every report of its machine fail, and the loop of the controller
   * that rents.
   */
  @Test
  void malformedHoldAffectsOneMachineAndIsRepaired() {
    SimulatedCluster w = new SimulatedCluster(2);
    FakeWorker a = w.machines.addMachine("host-1", "small", "a", "node-0");
    FakeWorker b = w.machines.addMachine("host-2", "small", "a", "node-1");
    w.start().advance(3);
    w.writeState("w/h/host-1", Document.create().put("baton", 7));
    w.writeState("w/h/host-2", Document.create().put("holder", 3).put("baton", "no number"));
    w.advance(SimulatedCluster.LEASE_S * 2);
    assertEquals(201, w.users.submit("node-0", SimulatedCluster.job("wk-1", 8, 1)).status());
    w.advance(5);
    assertEquals(4, a.running().size());
    assertEquals(4, b.running().size());
    assertEquals(List.of(), w.users.overlappingRuns);
  }

  /**
   * Most controllers pause, for up to three leases. Their machines move to the others or wait;
   * every controller that resumes first reads what has changed, and no task runs twice or is left
   * behind.
   */
  @Test
  void resumedControllersReadChangesBeforeTheyAct() {
    for (double pauseS = 2; pauseS < 3 * SimulatedCluster.LEASE_S; pauseS += 1.7) {
      SimulatedCluster w = new SimulatedCluster(5);
      w.start().advance(2);
      for (int i = 0; i < 20; i++) {
        w.machines.addMachine("host-" + i, "small", "a", "node-" + i % 5);
      }
      w.advance(5);
      for (int i = 0; i < 6; i++) {
        w.users.submit("node-" + i % 5, SimulatedCluster.job("wk-" + i, 10, 1));
      }
      w.advance(0.05);
      for (int i = 0; i < 3; i++) {
        w.nodes.get("node-" + i).pause(pauseS);
      }
      for (int second = 0; second < 90; second++) {
        w.advance(1);
        if (second % 5 == 0) {
          w.machines.completeAllTasks();
        }
      }
      assertEquals(List.of(), w.users.overlappingRuns, "after " + pauseS + " s");
      for (int i = 0; i < 6; i++) {
        assertEquals(
            "done", w.users.poll("node-" + i % 5, "wk-" + i).jobStatus(), "after " + pauseS + " s");
      }
    }
  }

  /**
   * The state of a controller that resumes may be long out of date: it records nothing and sends no
   * command before it has received the changes from the state service.
   */
  @Test
  void resumedControllerTakesNoActionBeforeItIsCurrent() {
    SimulatedCluster w = new SimulatedCluster(2);
    FakeWorker m = w.machines.addMachine("host-1", "small", "a", "node-0");
    w.start().advance(3);
    assertEquals("node-0", w.machines.holderOf("host-1"));
    assertEquals(201, w.users.submit("node-0", SimulatedCluster.job("wk-1", 8, 1)).status());
    w.advance(1);
    double pauseS = SimulatedCluster.LEASE_S * 0.7;
    w.nodes.get("node-0").pause(pauseS);
    // The report of these exits waits in the controller's sockets; applying it would allocate the
    // room at once.
    m.running().forEach(t -> m.exit(t, "done"));
    w.advance(pauseS - 0.01);
    w.network.holdRequest = (from, to) -> from.equals("node-0");
    w.advance(0.9);
    assertTrue(
        w.network.heldRequests.stream().anyMatch(c -> c.startsWith("/watch")),
        "the controller requests the changes");
    assertEquals(
        List.of(),
        w.network.heldRequests.stream().filter(c -> c.contains("wk-1")).toList(),
        "the controller records nothing and sends no command");
    w.network.holdRequest = (from, to) -> false;
    w.network.deliverHeld();
    w.advance(20);
    m.running().forEach(t -> m.exit(t, "done"));
    w.advance(5);
    assertEquals("done", w.users.poll("node-0", "wk-1").jobStatus());
    assertEquals(8, m.starts().size());
    assertEquals(List.of(), w.users.overlappingRuns);
  }
}
