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
  private static World newCluster() {
    World cluster = new World(2);
    // Machines of the simulated cloud boot in 5 s.
    cluster.tunables = Tunables.withOverrides(Map.of("idle_boots", 2.0));
    return cluster;
  }

  /** Advances time until a deletion is sent, and holds the request. */
  private static void awaitAndHoldDeletion(World cluster) {
    cluster.heldPath = "/machines/delete";
    for (int i = 0; i < 100 && cluster.heldCount() == 0; i++) {
      cluster.pass(0.25);
    }
    assertTrue(cluster.heldCount() > 0, "no deletion was sent");
  }

  @Test
  void onlyIdleMachinesAreReturned() {
    World cluster = newCluster();
    FakeWorker first = cluster.machine("host-1", "small", "a", "node-0");
    cluster.start().pass(2);
    cluster.submit("node-0", World.job("wk-1", 1, 1));
    cluster.pass(1);
    FakeWorker second = cluster.machine("host-2", "small", "a", "node-1");
    cluster.pass(8);
    assertFalse(
        cluster.cloud.deleted("host-2"),
        "the machine was returned although another job may arrive at any moment");
    cluster.pass(10);
    assertTrue(cluster.cloud.deleted("host-2"));
    assertEquals(List.of("wk-1/0"), first.running());
    assertEquals(List.of(), second.starts());
    first.exit("wk-1/0", "done");
    cluster.pass(20);
    assertTrue(cluster.cloud.deleted("host-1"));
    assertEquals("done", cluster.poll("node-1", "wk-1").state());
  }

  /** A deletion may take long; the machine accepts no task from before the request is sent. */
  @Test
  void noTaskIsPlacedOnMachineBeingReturned() {
    World cluster = newCluster();
    FakeWorker first = cluster.machine("host-1", "small", "a", "node-0");
    cluster.start().pass(2);
    awaitAndHoldDeletion(cluster);
    cluster.submit("node-0", World.job("wk-1", 1, 1));
    cluster.pass(3);
    assertEquals(
        List.of(), first.starts(), "the machine was still open when the deletion was sent");
    cluster.heldPath = null;
    cluster.deliverHeld();
    assertTrue(cluster.cloud.deleted("host-1"));
    cluster.machine("host-2", "small", "a", "node-1");
    cluster.pass(10);
    assertEquals("running", cluster.poll("node-0", "wk-1").state());
    assertEquals(List.of(), cluster.overlaps);
  }

  /**
   * All controllers crash while a deletion is pending. The next holder of the rent duty finds the
   * recorded intent and keeps the machine closed until the cloud has answered, so that no task runs
   * there when the delayed deletion arrives.
   */
  @Test
  void pendingReturnSurvivesRestartOfAllControllers() {
    World cluster = newCluster();
    FakeWorker first = cluster.machine("host-1", "small", "a", "node-0");
    cluster.start().pass(2);
    awaitAndHoldDeletion(cluster);
    cluster.nodes.values().forEach(World.Node::crash);
    cluster.pass(1);
    cluster.nodes.values().forEach(World.Node::start);
    cluster.pass(6);
    cluster.submit("node-0", World.job("wk-1", 1, 1));
    cluster.pass(3);
    assertEquals(List.of(), first.starts(), "the machine was reopened after the restart");
    cluster.heldPath = null;
    cluster.deliverHeld();
    assertEquals(List.of(), cluster.misused);
    FakeWorker second = cluster.machine("host-2", "small", "a", "node-1");
    cluster.pass(8);
    assertEquals(List.of("wk-1/0"), second.running());
    assertEquals(List.of(), cluster.overlaps);
  }

  @Test
  void machineReopensWhenDeletionIsGivenUp() {
    World cluster = newCluster();
    FakeWorker first = cluster.machine("host-1", "small", "a", "node-0");
    cluster.start().pass(2);
    cluster.lost = (from, to) -> to.equals("10.2.0.2:1");
    cluster.pass(14);
    cluster.submit("node-0", World.job("wk-1", 1, 1));
    cluster.pass(12);
    assertEquals(List.of("wk-1/0"), first.running());
    cluster.lost = (from, to) -> false;
    cluster.pass(20);
    assertFalse(cluster.cloud.deleted("host-1"));
  }
}
