package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.config.Tunables;
import dev.dunefront.standin.FakeWorker;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Idle machines are returned to the cloud, and no task is placed on a machine whose deletion is
 * pending.
 */
class MachineReturnTest {
  private static SimulatedCluster newCluster() {
    SimulatedCluster cluster = new SimulatedCluster(2);
    // Machines of the simulated cloud boot in 5 s.
    cluster.tunables = Tunables.withOverrides(Map.of("idle_boots", 2.0));
    return cluster;
  }

  /** Advances time until a deletion is sent, and holds the request. */
  private static void awaitAndHoldDeletion(SimulatedCluster cluster) {
    cluster.network.heldPath = "/machines/delete";
    for (int i = 0; i < 100 && cluster.network.heldCount() == 0; i++) {
      cluster.advance(0.25);
    }
    assertTrue(cluster.network.heldCount() > 0, "no deletion was sent");
  }

  @Test
  void onlyIdleMachinesAreReturned() {
    SimulatedCluster cluster = newCluster();
    FakeWorker first = cluster.machines.addMachine("host-1", "small", "a", "node-0");
    cluster.start().advance(2);
    cluster.users.submit("node-0", SimulatedCluster.job("wk-1", 1, 1));
    cluster.advance(1);
    FakeWorker second = cluster.machines.addMachine("host-2", "small", "a", "node-1");
    cluster.advance(8);
    assertFalse(
        cluster.cloud.deleted("host-2"),
        "the machine was returned although another job may arrive at any moment");
    cluster.advance(10);
    assertTrue(cluster.cloud.deleted("host-2"));
    assertEquals(List.of("wk-1/0"), first.running());
    assertEquals(List.of(), second.starts());
    first.exit("wk-1/0", "done");
    cluster.advance(20);
    assertTrue(cluster.cloud.deleted("host-1"));
    assertEquals("done", cluster.users.poll("node-1", "wk-1").jobStatus());
  }

  /** A deletion may take long; the machine accepts no task from before the request is sent. */
  @Test
  void noTaskIsPlacedOnMachineBeingReturned() {
    SimulatedCluster cluster = newCluster();
    FakeWorker first = cluster.machines.addMachine("host-1", "small", "a", "node-0");
    cluster.start().advance(2);
    awaitAndHoldDeletion(cluster);
    cluster.users.submit("node-0", SimulatedCluster.job("wk-1", 1, 1));
    cluster.advance(3);
    assertEquals(
        List.of(), first.starts(), "the machine was still open when the deletion was sent");
    cluster.network.heldPath = null;
    cluster.network.deliverHeld();
    assertTrue(cluster.cloud.deleted("host-1"));
    cluster.machines.addMachine("host-2", "small", "a", "node-1");
    cluster.advance(10);
    assertEquals("running", cluster.users.poll("node-0", "wk-1").jobStatus());
    assertEquals(List.of(), cluster.users.overlappingRuns);
  }

  /**
   * All controllers crash while a deletion is pending. The next holder of the rent duty finds the
   * recorded intent and keeps the machine closed until the cloud has answered, so that no task runs
   * there when the delayed deletion arrives.
   */
  @Test
  void pendingReturnSurvivesRestartOfAllControllers() {
    SimulatedCluster cluster = newCluster();
    FakeWorker first = cluster.machines.addMachine("host-1", "small", "a", "node-0");
    cluster.start().advance(2);
    awaitAndHoldDeletion(cluster);
    cluster.nodes.values().forEach(SimulatedCluster.Node::crash);
    cluster.advance(1);
    cluster.nodes.values().forEach(SimulatedCluster.Node::start);
    cluster.advance(6);
    cluster.users.submit("node-0", SimulatedCluster.job("wk-1", 1, 1));
    cluster.advance(3);
    assertEquals(List.of(), first.starts(), "the machine was reopened after the restart");
    cluster.network.heldPath = null;
    cluster.network.deliverHeld();
    assertEquals(List.of(), cluster.machines.deletedWhileInUse);
    FakeWorker second = cluster.machines.addMachine("host-2", "small", "a", "node-1");
    cluster.advance(8);
    assertEquals(List.of("wk-1/0"), second.running());
    assertEquals(List.of(), cluster.users.overlappingRuns);
  }

  @Test
  void machineReopensWhenDeletionIsGivenUp() {
    SimulatedCluster cluster = newCluster();
    FakeWorker first = cluster.machines.addMachine("host-1", "small", "a", "node-0");
    cluster.start().advance(2);
    cluster.network.dropDelivery = (from, to) -> to.equals("10.2.0.2:1");
    cluster.advance(14);
    cluster.users.submit("node-0", SimulatedCluster.job("wk-1", 1, 1));
    cluster.advance(12);
    assertEquals(List.of("wk-1/0"), first.running());
    cluster.network.dropDelivery = (from, to) -> false;
    cluster.advance(20);
    assertFalse(cluster.cloud.deleted("host-1"));
  }
}
