package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.standin.FakeWorker;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Faults in large fleets: a thousand machines, various layouts of zones, and partitions whose
 * packets are held and delivered afterwards.
 */
class FleetFaultTest {
  private static final int MACHINES = 1000;
  private static final String TEAM_WITH_LIMIT_TOML =
      "[[facts.teams]]\nname = \"t\"\ncpus = 100.0\ncpus_max = 50000.0\n";

  private static List<String> runningTasksInZone(SimulatedCluster cluster, String zone) {
    return cluster.machines.workers.values().stream()
        .filter(m -> cluster.machines.zoneOf(m).equals(zone))
        .flatMap(m -> m.running().stream())
        .toList();
  }

  /**
   * Completes all tasks every few seconds until all jobs are done, and returns the seconds that
   * this took. Fails after {@code timeoutS} seconds.
   */
  private static int awaitJobsDoneS(SimulatedCluster cluster, int jobs, int timeoutS) {
    for (int second = 0; second < timeoutS; second++) {
      cluster.advance(1);
      if (second % 4 == 3) {
        cluster.machines.completeAllTasks();
      }
      boolean allDone = true;
      for (int i = 0; i < jobs && allDone; i++) {
        SimulatedUsers.ApiResponse response =
            cluster.users.poll("node-" + i % cluster.nodes.size(), "wk-" + i);
        allDone =
            response != null && response.status() == 200 && response.jobStatus().equals("done");
      }
      if (allDone) {
        return second;
      }
    }
    throw new AssertionError("not all jobs are done after " + timeoutS + " s");
  }

  /**
   * Inside a partitioned zone leases are renewed and tasks continue; outside, no task is placed
   * again that may still run inside. When the partition heals, the held packets of all machines
   * arrive at once.
   */
  @Test
  void partitionedZoneLosesNoTask() {
    for (double partitionS :
        new double[] {
          3,
          SimulatedCluster.LEASE_S / 2,
          SimulatedCluster.LEASE_S * 1.5,
          SimulatedCluster.LEASE_S * 4
        }) {
      SimulatedCluster cluster =
          new SimulatedCluster(List.of("a", "a", "b", "b"), SimulatedCluster.ONE_TEAM);
      cluster.start().advance(2);
      for (int i = 0; i < 20; i++) {
        cluster.machines.addMachine("host-" + i, "small", i % 2 == 0 ? "a" : "b", "node-" + i % 4);
      }
      cluster.advance(6);
      for (int i = 0; i < 8; i++) {
        assertEquals(
            201,
            cluster.users.submit("node-" + i % 4, SimulatedCluster.job("wk-" + i, 14, 1)).status());
      }
      cluster.advance(1.5);
      List<String> inside = runningTasksInZone(cluster, "b");
      assertTrue(inside.size() > 10, inside + " run in the partitioned zone");
      cluster.network.partitionZone("b");
      cluster.advance(partitionS);
      List<String> runningAfter = runningTasksInZone(cluster, "b");
      assertTrue(
          runningAfter.containsAll(inside),
          "tasks in the zone ended during a partition of " + partitionS + " s");
      assertEquals(
          List.of(), cluster.users.overlappingRuns, "during a partition of " + partitionS + " s");
      cluster.network.healPartition();
      awaitJobsDoneS(cluster, 8, 60);
      assertEquals(
          List.of(), cluster.users.overlappingRuns, "after a partition of " + partitionS + " s");
    }
  }

  /**
   * All jobs run to their end also where zones have controllers and no machines, or machines and no
   * controller.
   */
  @Test
  void anyLayoutOfZonesAndControllersRunsAllJobs() {
    for (List<String> zones :
        List.of(
            List.of("a", "a"),
            List.of("a", "b", "c"),
            List.of("a", "a", "b", "c", "d"),
            List.of("c", "c", "d"),
            List.of("a", "b", "c", "d", "a", "b", "c", "d", "a"))) {
      SimulatedCluster cluster = new SimulatedCluster(zones, SimulatedCluster.ONE_TEAM);
      cluster.start().advance(2);
      for (int i = 0; i < 24; i++) {
        cluster.machines.addMachine(
            "host-" + i, "small", i % 3 == 0 ? "a" : "b", "node-" + i % zones.size());
      }
      cluster.advance(6);
      for (int i = 0; i < 6; i++) {
        assertEquals(
            201,
            cluster
                .users
                .submit("node-" + i % zones.size(), SimulatedCluster.job("wk-" + i, 16, 1))
                .status());
      }
      cluster.advance(3);
      assertEquals(
          96, cluster.machines.runningCount(), "not all tasks run with controllers in " + zones);
      cluster.nodes.get("node-0").crash();
      cluster.advance(3);
      cluster.nodes.get("node-0").start();
      awaitJobsDoneS(cluster, 6, 40);
      assertEquals(List.of(), cluster.users.overlappingRuns, zones.toString());
    }
  }

  /**
   * With a thousand machines, most controllers pause, then all crash at once and restart. No lease
   * expires and no task is started again.
   */
  @Test
  void thousandMachinesKeepTasksThroughPausesAndCrashOfAllControllers() {
    SimulatedCluster cluster = new SimulatedCluster(5, TEAM_WITH_LIMIT_TOML);
    cluster.start().advance(2);
    for (int i = 0; i < MACHINES; i++) {
      cluster.machines.addMachine("host-" + i, "small", "a", "node-" + i % 5);
    }
    cluster.advance(8);
    for (int i = 0; i < 6; i++) {
      assertEquals(
          201,
          cluster.users.submit("node-" + i % 5, SimulatedCluster.job("wk-" + i, 100, 1)).status());
    }
    cluster.advance(3);
    assertEquals(600, cluster.machines.runningCount());
    for (int i = 0; i < 3; i++) {
      cluster.nodes.get("node-" + i).pause(SimulatedCluster.LEASE_S / 2);
    }
    cluster.advance(SimulatedCluster.LEASE_S / 2 + 3);
    assertEquals(600, cluster.machines.runningCount(), "a lease expired");
    cluster.nodes.values().forEach(SimulatedCluster.Node::crash);
    cluster.advance(3);
    cluster.nodes.values().forEach(SimulatedCluster.Node::start);
    cluster.advance(SimulatedCluster.LEASE_S);
    assertEquals(600, cluster.machines.runningCount(), "a lease expired");
    for (FakeWorker m : cluster.machines.workers.values()) {
      assertEquals(m.running().size(), m.starts().size(), "a task was started again");
    }
    awaitJobsDoneS(cluster, 6, 20);
    assertEquals(List.of(), cluster.users.overlappingRuns);
  }

  /**
   * With a thousand machines, a third of a zone receives nothing while, three times, all
   * controllers crash and restart after a fifth of a second.
   */
  @Test
  void thirdOfZoneIsInboundBlockedWhileAllControllersRestart() {
    SimulatedCluster cluster =
        new SimulatedCluster(List.of("a", "a", "a", "b", "b"), TEAM_WITH_LIMIT_TOML);
    cluster.start().advance(2);
    for (int i = 0; i < MACHINES; i++) {
      cluster.machines.addMachine("host-" + i, "small", i % 5 < 3 ? "a" : "b", "node-" + i % 5);
    }
    cluster.advance(8);
    for (int i = 0; i < 10; i++) {
      assertEquals(
          201,
          cluster.users.submit("node-" + i % 5, SimulatedCluster.job("wk-" + i, 120, 1)).status());
    }
    cluster.advance(5);
    assertEquals(1200, cluster.machines.runningCount());
    int holdWritesBefore = cluster.stateService.writes("w/h/");
    int blockedMachines = 0;
    for (int i = 0; i < MACHINES; i += 5) {
      cluster.machines.inboundBlockedHosts.add("host-" + i);
      blockedMachines++;
    }
    cluster.advance(4);
    for (int round = 0; round < 3; round++) {
      cluster.nodes.values().forEach(SimulatedCluster.Node::crash);
      cluster.advance(0.2);
      cluster.nodes.values().forEach(SimulatedCluster.Node::start);
      cluster.advance(4);
    }
    cluster.advance(SimulatedCluster.LEASE_S);
    int written = cluster.stateService.writes("w/h/") - holdWritesBefore;
    assertTrue(
        written <= 2 * blockedMachines,
        written + " holds written for " + blockedMachines + " machines that receive nothing");
    cluster.machines.inboundBlockedHosts.clear();
    cluster.advance(2 * SimulatedCluster.LEASE_S);
    assertEquals(1200, cluster.machines.runningCount(), "lost tasks do not run again");
    assertEquals(List.of(), cluster.users.drainAndCheck());
  }
}
