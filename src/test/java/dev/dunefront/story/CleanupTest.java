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

/**
 * Records of machines that are gone are removed after a retention time, and messages that arrive
 * later are not misinterpreted.
 */
class CleanupTest {
  private static final String CLEANUP_DUTY_KEY = "w/u/cleanup";
  private static final double RECORD_RETENTION_S = 60;

  private static SimulatedCluster newCluster() {
    SimulatedCluster cluster = new SimulatedCluster(3);
    cluster.tunables =
        Tunables.withOverrides(Map.of("idle_boots", 1000.0, "burial_s", RECORD_RETENTION_S));
    return cluster;
  }

  /**
   * Returns a cluster in which a machine has been deleted because it is unreachable while the cloud
   * still lists it.
   */
  private static SimulatedCluster clusterWithDeletedMachine() {
    SimulatedCluster cluster = newCluster();
    cluster.machines.addMachine("host-1", "small", "a", "node-0");
    cluster.start().advance(3);
    cluster.machines.isolatedHosts.add("host-1");
    for (int i = 0; i < 90 && !cluster.cloud.deleted("host-1"); i++) {
      cluster.advance(1);
    }
    assertTrue(cluster.cloud.deleted("host-1"));
    cluster.advance(1);
    assertTrue(cluster.stateService.value("w/h/host-1").has("dead"));
    return cluster;
  }

  @Test
  void deletedMachineRecordIsRemovedAfterRetention() {
    SimulatedCluster cluster = clusterWithDeletedMachine();
    cluster.advance(RECORD_RETENTION_S - 5);
    assertTrue(
        cluster.stateService.value("w/h/host-1").has("dead"),
        "the record was removed while delayed reports may still arrive");
    cluster.advance(10);
    assertNull(cluster.stateService.value("w/h/host-1"));
  }

  /**
   * A controller that has lost the cleanup duty removes nothing more, and the next holder of the
   * duty continues the removal.
   */
  @Test
  void replacedDutyHolderRemovesNothingAndSuccessorContinues() {
    SimulatedCluster cluster = clusterWithDeletedMachine();
    String replacedNode = cluster.recordedNode(CLEANUP_DUTY_KEY);
    // Its open watches are answered soon; from then on it receives no more updates.
    boolean[] renewalsPass = {true};
    cluster.advance(RECORD_RETENTION_S - 16);
    cluster.network.deliveryPolicy =
        (from, path, body) ->
            from.equals(replacedNode)
                    && (path.startsWith("/watch") || path.endsWith("/touch") && !renewalsPass[0])
                ? SimulatedNetwork.Delivery.DROPPED
                : SimulatedNetwork.Delivery.ON_TIME;
    cluster.advance(12);
    renewalsPass[0] = false;
    int[] removalAttempts = {0};
    cluster.network.requestListener =
        (from, path, body) -> {
          if (from.equals(replacedNode) && body.contains("remove=w/h/host-1")) {
            removalAttempts[0]++;
            assertTrue(cluster.stateService.value("w/h/host-1") != null);
          }
        };
    // No other controller can take the duty over yet, so only the replaced holder can attempt the
    // removal.
    cluster.nodes.keySet().stream()
        .filter(n -> !n.equals(replacedNode))
        .forEach(cluster.network.refusedByStateService::add);
    cluster.nodes.get(replacedNode).expireLease();
    cluster.advance(8);
    assertTrue(removalAttempts[0] > 0, "the replaced holder made no attempt to remove the record");
    assertTrue(cluster.stateService.value("w/h/host-1") != null, "the removal was not refused");
    cluster.network.deliverOnTime();
    cluster.network.refusedByStateService.clear();
    cluster.advance(20);
    assertNull(
        cluster.stateService.value("w/h/host-1"),
        "the next holder of the duty did not remove the record");
  }

  /**
   * A report that was delayed for minutes arrives when no record of its machine exists any more. It
   * may delay tasks, but must not cause a task to run twice.
   */
  @Test
  void reportAfterRecordRemovalCausesNoDuplicateRun() {
    SimulatedCluster cluster = newCluster();
    FakeWorker m = cluster.machines.addMachine("host-1", "small", "a", "node-0");
    cluster.start().advance(3);
    assertEquals(201, cluster.users.submit("node-1", SimulatedCluster.job("wk-1", 2, 1)).status());
    cluster.advance(1);
    assertEquals(2, m.running().size());
    byte[] delayedReport = m.report();
    cluster.machines.isolatedHosts.add("host-1");
    cluster.advance(90);
    assertTrue(cluster.cloud.deleted("host-1"));
    FakeWorker otherWorker = cluster.machines.addMachine("host-2", "small", "a", "node-0");
    cluster.advance(RECORD_RETENTION_S + 10);
    assertNull(cluster.stateService.value("w/h/host-1"));
    assertEquals(
        2, otherWorker.running().size(), "the tasks were not restarted on the other machine");
    for (String node : List.of("node-0", "node-1", "node-2")) {
      cluster.users.request(node, "POST", "/hello", delayedReport);
    }
    cluster.users.submit("node-0", SimulatedCluster.job("wk-2", 6, 1));
    for (int i = 0; i < 60; i++) {
      cluster.advance(1);
      otherWorker.running().forEach(t -> otherWorker.exit(t, "done"));
    }
    assertEquals("done", cluster.users.poll("node-0", "wk-1").jobStatus());
    assertEquals(
        "done",
        cluster.users.poll("node-0", "wk-2").jobStatus(),
        "tasks placed on the deleted machine did not run elsewhere");
    assertEquals(List.of(), cluster.users.overlappingRuns);
  }

  /**
   * A holder that is partitioned together with its machine while the record of the machine is
   * removed no longer holds the machine.
   */
  @Test
  void holderReleasesMachineWhoseRecordIsRemoved() {
    SimulatedCluster cluster = newCluster();
    FakeWorker m = cluster.machines.addMachine("host-1", "small", "a", "node-0");
    cluster.start().advance(3);
    cluster.writeState("w/h/host-1", Document.create().put("holder", "node-9#1").put("baton", 7));
    cluster.advance(20);
    assertNotEquals(null, cluster.stateService.value("w/h/host-1"));
    cluster.removeState("w/h/host-1");
    cluster.advance(6);
    assertEquals(201, cluster.users.submit("node-0", SimulatedCluster.job("wk-1", 4, 1)).status());
    cluster.advance(4);
    assertEquals(4, m.running().size(), "the machine is not held again, or its room is not used");
    assertEquals(List.of(), cluster.users.overlappingRuns);
  }

  /**
   * Machines that the cloud reclaims without notice, and whose records name a holder, are detected
   * and their records removed.
   */
  @Test
  void recordsOfReclaimedMachinesAreRemoved() {
    SimulatedCluster cluster = newCluster();
    for (int i = 0; i < 12; i++) {
      cluster.machines.addMachine("host-" + i, "small", "a", "node-0");
      cluster.writeState(
          "w/h/host-" + i, Document.create().put("holder", "node-9#1").put("baton", 7));
    }
    cluster.start().advance(20);
    assertEquals(12, cluster.stateService.keys("w/h/").size());
    for (int i = 0; i < 10; i++) {
      cluster.machines.isolatedHosts.add("host-" + i);
      cluster.cloud.reclaim("host-" + i);
    }
    cluster.advance(90 + RECORD_RETENTION_S);
    assertEquals(List.of("w/h/host-10", "w/h/host-11"), cluster.stateService.keys("w/h/"));
  }

  /**
   * A machine without a record is no longer held by any controller either, once it is certainly
   * gone.
   */
  @Test
  void longSilentMachineIsNoLongerHeld() {
    SimulatedCluster cluster = newCluster();
    FakeWorker m = cluster.machines.addMachine("host-1", "small", "a", "node-0");
    int[] maxHeld = {0};
    cluster.network.holdPeerMessage =
        message -> {
          if (message instanceof Message.ControllerStatus status) {
            maxHeld[0] = Math.max(maxHeld[0], status.heldMachines());
          }
          return false;
        };
    cluster.start().advance(5);
    assertEquals(1, maxHeld[0]);
    cluster.machines.isolatedHosts.add("host-1");
    cluster.cloud.reclaim("host-1");
    cluster.advance(12 * SimulatedCluster.LEASE_S);
    maxHeld[0] = 0;
    cluster.advance(2);
    assertEquals(0, maxHeld[0]);
    cluster.machines.isolatedHosts.clear();
    cluster.advance(5);
    cluster.users.submit("node-1", SimulatedCluster.job("wk-1", 4, 1));
    cluster.advance(3);
    assertEquals(4, m.running().size(), "a machine that reports again is not held again");
  }

  private static final int RENTAL_ROUNDS = 40;
  private static final int MACHINES_PER_ROUND = 50;

  /**
   * Two thousand machines are rented and returned; the number of stored records does not grow with
   * them.
   */
  @Test
  void storedRecordsDoNotGrowWithMachineTurnover() {
    SimulatedCluster cluster = new SimulatedCluster(3).withRentingDelays(4, 2);
    cluster.tunables =
        Tunables.withOverrides(
            Map.of(
                "idle_boots",
                0.2,
                "idle_warm_s",
                0.0,
                "spare",
                0.0,
                "burial_s",
                RECORD_RETENTION_S));
    cluster.cloud.capacity(Integer.MAX_VALUE);
    cluster.start().advance(3);
    int maxKeys = 0;
    for (int round = 0; round < RENTAL_ROUNDS; round++) {
      assertEquals(
          201,
          cluster
              .users
              .submit(
                  "node-" + round % 3, SimulatedCluster.job("wk-" + round, MACHINES_PER_ROUND, 4))
              .status());
      for (int i = 0; i < 12; i++) {
        cluster.advance(2);
        cluster.machines.completeAllTasks();
      }
      if (round >= RENTAL_ROUNDS / 2) {
        maxKeys = Math.max(maxKeys, cluster.stateService.keys("w/").size());
      }
    }
    assertTrue(
        cluster.machines.rentedCount() >= RENTAL_ROUNDS * MACHINES_PER_ROUND * 0.9,
        cluster.machines.rentedCount() + " machines were rented");
    assertTrue(maxKeys < 10 * MACHINES_PER_ROUND, maxKeys + " keys");
    cluster.advance(3 * RECORD_RETENTION_S + RENTAL_ROUNDS * MACHINES_PER_ROUND / 9.0 / 2);
    assertEquals(0, cluster.machines.workers.size());
    assertEquals(List.of(), cluster.stateService.keys("w/h/"), "machine records are left");
    assertEquals(
        0, cluster.stateService.keys("w/j/").size() + cluster.stateService.keys("t/").size());
  }
}
