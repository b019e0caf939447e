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

  private static List<String> runningTasksInZone(World cluster, String zone) {
    return cluster.workers.values().stream()
        .filter(m -> cluster.zoneOf(m).equals(zone))
        .flatMap(m -> m.running().stream())
        .toList();
  }

  /**
   * Completes all tasks every few seconds until all jobs are done, and returns the seconds that
   * this took. Fails after {@code timeoutS} seconds.
   */
  private static int awaitJobsDoneS(World cluster, int jobs, int timeoutS) {
    for (int second = 0; second < timeoutS; second++) {
      cluster.pass(1);
      if (second % 4 == 3) {
        cluster.finishAll();
      }
      boolean allDone = true;
      for (int i = 0; i < jobs && allDone; i++) {
        World.Said response = cluster.poll("node-" + i % cluster.nodes.size(), "wk-" + i);
        allDone = response != null && response.status() == 200 && response.state().equals("done");
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
        new double[] {3, World.LEASE_S / 2, World.LEASE_S * 1.5, World.LEASE_S * 4}) {
      World cluster = new World(List.of("a", "a", "b", "b"), World.ONE_TEAM);
      cluster.start().pass(2);
      for (int i = 0; i < 20; i++) {
        cluster.machine("host-" + i, "small", i % 2 == 0 ? "a" : "b", "node-" + i % 4);
      }
      cluster.pass(6);
      for (int i = 0; i < 8; i++) {
        assertEquals(201, cluster.submit("node-" + i % 4, World.job("wk-" + i, 14, 1)).status());
      }
      cluster.pass(1.5);
      List<String> inside = runningTasksInZone(cluster, "b");
      assertTrue(inside.size() > 10, inside + " run in the partitioned zone");
      cluster.cut("b");
      cluster.pass(partitionS);
      List<String> runningAfter = runningTasksInZone(cluster, "b");
      assertTrue(
          runningAfter.containsAll(inside),
          "tasks in the zone ended during a partition of " + partitionS + " s");
      assertEquals(List.of(), cluster.overlaps, "during a partition of " + partitionS + " s");
      cluster.heal();
      awaitJobsDoneS(cluster, 8, 60);
      assertEquals(List.of(), cluster.overlaps, "after a partition of " + partitionS + " s");
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
      World cluster = new World(zones, World.ONE_TEAM);
      cluster.start().pass(2);
      for (int i = 0; i < 24; i++) {
        cluster.machine("host-" + i, "small", i % 3 == 0 ? "a" : "b", "node-" + i % zones.size());
      }
      cluster.pass(6);
      for (int i = 0; i < 6; i++) {
        assertEquals(
            201, cluster.submit("node-" + i % zones.size(), World.job("wk-" + i, 16, 1)).status());
      }
      cluster.pass(3);
      assertEquals(96, cluster.running(), "not all tasks run with controllers in " + zones);
      cluster.nodes.get("node-0").crash();
      cluster.pass(3);
      cluster.nodes.get("node-0").start();
      awaitJobsDoneS(cluster, 6, 40);
      assertEquals(List.of(), cluster.overlaps, zones.toString());
    }
  }

  /**
   * With a thousand machines, most controllers pause, then all crash at once and restart. No lease
   * expires and no task is started again.
   */
  @Test
  void thousandMachinesKeepTasksThroughPausesAndCrashOfAllControllers() {
    World cluster = new World(5, TEAM_WITH_LIMIT_TOML);
    cluster.start().pass(2);
    for (int i = 0; i < MACHINES; i++) {
      cluster.machine("host-" + i, "small", "a", "node-" + i % 5);
    }
    cluster.pass(8);
    for (int i = 0; i < 6; i++) {
      assertEquals(201, cluster.submit("node-" + i % 5, World.job("wk-" + i, 100, 1)).status());
    }
    cluster.pass(3);
    assertEquals(600, cluster.running());
    for (int i = 0; i < 3; i++) {
      cluster.nodes.get("node-" + i).standStill(World.LEASE_S / 2);
    }
    cluster.pass(World.LEASE_S / 2 + 3);
    assertEquals(600, cluster.running(), "a lease expired");
    cluster.nodes.values().forEach(World.Node::crash);
    cluster.pass(3);
    cluster.nodes.values().forEach(World.Node::start);
    cluster.pass(World.LEASE_S);
    assertEquals(600, cluster.running(), "a lease expired");
    for (FakeWorker m : cluster.workers.values()) {
      assertEquals(m.running().size(), m.starts().size(), "a task was started again");
    }
    awaitJobsDoneS(cluster, 6, 20);
    assertEquals(List.of(), cluster.overlaps);
  }

  /**
   * With a thousand machines, a third of a zone receives nothing while, three times, all
   * controllers crash and restart after a fifth of a second.
   */
  @Test
  void thirdOfZoneIsInboundBlockedWhileAllControllersRestart() {
    World cluster = new World(List.of("a", "a", "a", "b", "b"), TEAM_WITH_LIMIT_TOML);
    cluster.start().pass(2);
    for (int i = 0; i < MACHINES; i++) {
      cluster.machine("host-" + i, "small", i % 5 < 3 ? "a" : "b", "node-" + i % 5);
    }
    cluster.pass(8);
    for (int i = 0; i < 10; i++) {
      assertEquals(201, cluster.submit("node-" + i % 5, World.job("wk-" + i, 120, 1)).status());
    }
    cluster.pass(5);
    assertEquals(1200, cluster.running());
    int holdWritesBefore = cluster.state.writes("w/h/");
    int blockedMachines = 0;
    for (int i = 0; i < MACHINES; i += 5) {
      cluster.deaf.add("host-" + i);
      blockedMachines++;
    }
    cluster.pass(4);
    for (int round = 0; round < 3; round++) {
      cluster.nodes.values().forEach(World.Node::crash);
      cluster.pass(0.2);
      cluster.nodes.values().forEach(World.Node::start);
      cluster.pass(4);
    }
    cluster.pass(World.LEASE_S);
    int written = cluster.state.writes("w/h/") - holdWritesBefore;
    assertTrue(
        written <= 2 * blockedMachines,
        written + " holds written for " + blockedMachines + " machines that receive nothing");
    cluster.deaf.clear();
    cluster.pass(2 * World.LEASE_S);
    assertEquals(1200, cluster.running(), "lost tasks do not run again");
    assertEquals(List.of(), cluster.dayEnds());
  }
}
