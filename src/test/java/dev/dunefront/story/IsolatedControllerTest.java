package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.standin.FakeWorker;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * A controller that is cut off from the state service and from the other controllers, but not from
 * its workers.
 */
class IsolatedControllerTest {
  private static final String STATE_SERVICE = "10.2.0.1:1";

  private static SimulatedCluster world(List<String> zones) {
    SimulatedCluster w = new SimulatedCluster(zones, SimulatedCluster.ONE_TEAM);
    w.start().advance(2);
    for (int i = 0; i < 12; i++) {
      w.machines.addMachine(
          "host-" + i, "small", zones.get(i % zones.size()), "node-" + i % zones.size());
    }
    w.advance(6);
    return w;
  }

  /**
   * Drops all messages of a controller except those to and from workers and users; its links become
   * silent.
   */
  private static void isolate(SimulatedCluster w, String node) {
    w.network.dropDelivery = SimulatedNetwork.isolatedFromPeersAndState(node);
    // The response to an open watch is lost as well.
    w.network.dropResponse = (from, to) -> from.equals(node) && to.equals(STATE_SERVICE);
    w.clock.after(5, () -> w.network.timeOutLinks(node));
  }

  private static long countMachinesHeldBy(SimulatedCluster w, String node) {
    return w.machines.workers.values().stream()
        .filter(m -> w.machines.holderOf(m.host()).equals(node))
        .count();
  }

  /**
   * An isolated controller would renew its workers' leases for ever: no other controller could
   * prove that their tasks had ended, and no exit there would be recorded. So its workers must move
   * to other controllers.
   */
  @Test
  void workersMoveToOtherControllersWithoutLosingTasks() {
    SimulatedCluster w = world(List.of("a", "a", "a"));
    for (int i = 0; i < 3; i++) {
      assertEquals(
          201, w.users.submit("node-" + i, SimulatedCluster.job("wk-" + i, 10, 1)).status());
    }
    w.advance(3);
    assertEquals(30, w.machines.runningCount());
    assertTrue(countMachinesHeldBy(w, "node-0") > 0);
    isolate(w, "node-0");
    w.advance(6);
    assertEquals(
        503,
        w.users.request("node-0", "GET", "/up", new byte[0]).status(),
        "the health check sends users to other controllers");
    assertEquals(
        503,
        w.users.submit("node-0", SimulatedCluster.job("wk-9", 1, 1)).status(),
        "submissions are refused at once");
    w.advance(30);
    assertEquals(0, countMachinesHeldBy(w, "node-0"));
    assertEquals(30, w.machines.runningCount(), "no lease expired");
    w.machines.completeAllTasks();
    w.advance(6);
    for (int i = 0; i < 3; i++) {
      assertEquals(
          "done", w.users.poll("node-1", "wk-" + i).jobStatus(), "the ends of tasks are recorded");
    }
    int starts = w.machines.workers.values().stream().mapToInt(m -> m.starts().size()).sum();
    assertEquals(30, starts, "no task ran again");
    w.network.dropDelivery = (from, to) -> false;
    w.network.dropResponse = (from, to) -> false;
    w.network.reconnectLinks("node-0");
    w.advance(8);
    assertEquals(200, w.users.request("node-0", "GET", "/up", new byte[0]).status());
    assertEquals(List.of(), w.users.drainAndCheck());
  }

  /**
   * Behind a zone partition the controller is in the same position, but its workers cannot reach
   * any other controller. They must return to it and stay.
   */
  @Test
  void workersBehindZonePartitionReturnAndStay() {
    SimulatedCluster w = world(List.of("a", "b", "b"));
    assertEquals(201, w.users.submit("node-1", SimulatedCluster.job("wk-1", 40, 1)).status());
    w.advance(3);
    int before =
        w.machines.workers.values().stream()
            .filter(m -> w.machines.zoneOf(m).equals("a"))
            .mapToInt(m -> m.running().size())
            .sum();
    assertTrue(before > 0);
    w.network.partitionZone("a");
    w.advance(6 * SimulatedCluster.LEASE_S);
    int after =
        w.machines.workers.values().stream()
            .filter(m -> w.machines.zoneOf(m).equals("a"))
            .mapToInt(m -> m.running().size())
            .sum();
    assertTrue(
        before - after <= 4, "only the tasks of the machine that was released first are lost");
    w.network.healPartition();
    w.advance(4);
    assertEquals(List.of(), w.users.drainAndCheck());
  }

  /**
   * Another controller takes a machine that reported to it once and then returned to its old
   * holder, which cannot know and renews the lease under the old token. A command of the new holder
   * would show the worker the new token: the worker would reject the old holder's responses and
   * lose all its tasks. And if the lease were counted from that one report, it would be considered
   * expired at once.
   */
  @Test
  void machineThatReturnsToItsOldHolderKeepsItsTasks() {
    SimulatedCluster w = new SimulatedCluster(List.of("a", "a", "a"), SimulatedCluster.ONE_TEAM);
    w.start().advance(2);
    FakeWorker m = w.machines.addMachine("host-1", "small", "a", "node-0");
    w.advance(6);
    String oldHolder = w.machines.holderOf("host-1");
    String other = oldHolder.equals("node-1") ? "node-2" : "node-1";
    assertEquals(201, w.users.submit(other, SimulatedCluster.job("wk-1", 2, 1)).status());
    assertEquals(201, w.users.submit(other, SimulatedCluster.job("wk-2", 2, 1)).status());
    w.advance(2);
    assertEquals(4, m.running().size());
    // An idle machine is released first, so this one stays for a while.
    for (int i = 3;
        w.machines.workers.values().stream()
                .filter(x -> oldHolder.equals(w.machines.holderOf(x.host())))
                .count()
            < 2;
        i++) {
      w.machines.addMachine("host-" + i, "small", "a", oldHolder);
      w.advance(2);
    }
    isolate(w, oldHolder);
    for (int i = 0; i < 60 && !other.equals(recordedHolder(w)); i++) {
      w.advance(0.25);
      w.machines.deliverReport(other, m.report());
    }
    assertEquals(other, recordedHolder(w), "the machine reported once and was taken");
    w.machines.addMachine("host-2", "small", "a", other);
    w.advance(1.1 * SimulatedCluster.LEASE_S);
    assertEquals(oldHolder, w.machines.holderOf("host-1"));
    w.users.cancel(other, "wk-2");
    w.advance(1);
    assertEquals(2, SimulatedMachines.runningCount(m, "wk-1"), "the job keeps running");
    w.advance(SimulatedCluster.LEASE_S);
    assertEquals(
        2, SimulatedMachines.runningCount(m, "wk-1"), "the job is not lost after another lease");
    assertEquals(List.of(), w.users.overlappingRuns);
    w.network.dropDelivery = (from, to) -> false;
    w.network.dropResponse = (from, to) -> false;
    w.network.reconnectLinks(oldHolder);
    w.advance(4);
    assertEquals(List.of(), w.users.drainAndCheck());
  }

  private static String recordedHolder(SimulatedCluster w) {
    try {
      Document hold = w.stateService.value("w/h/host-1");
      String holder = hold == null ? "#" : hold.text("holder");
      return holder.substring(0, holder.indexOf('#'));
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  /**
   * The state service refuses the controller, whose links to the others are down. To the controller
   * this looks like an outage for all, since only the others could inform it otherwise. If it
   * waited for the end of that outage, it would keep its workers until the others return their
   * machines as silent.
   */
  @Test
  void workersMoveWhenStateServiceRefusesTheirController() {
    SimulatedCluster w = world(List.of("a", "a", "a"));
    assertEquals(201, w.users.submit("node-0", SimulatedCluster.job("wk-0", 14, 1)).status());
    w.advance(3);
    w.network.refusedByStateService.add("node-0");
    w.network.dropDelivery = SimulatedNetwork.isolatedFromPeers("node-0");
    w.clock.after(5, () -> w.network.timeOutLinks("node-0"));
    w.advance(36);
    assertEquals(0, countMachinesHeldBy(w, "node-0"));
    assertEquals(12, w.machines.workers.size(), "no machine was returned as silent");
    int starts = w.machines.workers.values().stream().mapToInt(m -> m.starts().size()).sum();
    assertEquals(14, starts, "no task ran again");
    w.network.dropDelivery = (from, to) -> false;
    w.network.refusedByStateService.clear();
    w.network.reconnectLinks("node-0");
    w.advance(4);
    assertEquals(List.of(), w.users.drainAndCheck());
  }

  /** The controller reconnects when some, none or all of its machines have moved. */
  @Test
  void isolatedControllerReconnectsAfterAnyDuration() {
    for (double cutS : new double[] {2, 5, 8, 14, 18, 22, 60, 120}) {
      SimulatedCluster w = world(List.of("a", "a", "a"));
      assertEquals(201, w.users.submit("node-0", SimulatedCluster.job("wk-0", 14, 1)).status());
      assertEquals(201, w.users.submit("node-1", SimulatedCluster.job("wk-1", 14, 1)).status());
      w.advance(3);
      isolate(w, "node-0");
      w.advance(cutS);
      w.network.dropDelivery = (from, to) -> false;
      w.network.dropResponse = (from, to) -> false;
      w.network.reconnectLinks("node-0");
      w.advance(1);
      assertNotEquals(0, w.machines.runningCount());
      assertEquals(List.of(), w.users.drainAndCheck(), "cut for " + cutS + " s");
    }
  }

  /**
   * An outage of the state service that affects all controllers is no reason to release workers.
   */
  @Test
  void workersStayDuringGeneralStateServiceOutage() {
    SimulatedCluster w = world(List.of("a", "a", "a"));
    long held = countMachinesHeldBy(w, "node-0");
    w.network.dropDelivery = (from, to) -> to.equals(STATE_SERVICE);
    w.advance(8 * SimulatedCluster.LEASE_S);
    assertEquals(held, countMachinesHeldBy(w, "node-0"));
    w.network.dropDelivery = (from, to) -> false;
    w.advance(5);
    assertEquals(201, w.users.submit("node-0", SimulatedCluster.job("wk-0", 14, 1)).status());
    assertEquals(List.of(), w.users.drainAndCheck());
  }
}
