package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.standin.FakeWorker;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import dev.dunefront.wire.TaskId;
import dev.dunefront.wire.WorkerCommand;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Losses of machines and zones, and links that are slow or pass messages in one direction only. */
class ZoneAndLinkFaultTest {
  private static SimulatedCluster startCluster() {
    SimulatedCluster cluster =
        new SimulatedCluster(List.of("a", "a", "b"), SimulatedCluster.ONE_TEAM);
    cluster.start().advance(2);
    for (int i = 0; i < 8; i++) {
      cluster.machines.addMachine(
          "host-" + i, "small", i % 2 == 0 ? "a" : "b", i % 2 == 0 ? "node-0" : "node-2");
    }
    cluster.advance(6);
    return cluster;
  }

  private static long zoneCount(SimulatedCluster cluster, String job) {
    return cluster.machines.workers.values().stream()
        .filter(m -> SimulatedMachines.runningCount(m, job) > 0)
        .map(cluster.machines::zoneOf)
        .distinct()
        .count();
  }

  /**
   * Reports of workers are lost while direct commands still reach them. A direct command does not
   * renew the lease: tasks end when it expires and only then run elsewhere, and a job that is
   * cancelled meanwhile is stopped at once.
   */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void directCommandsDoNotRenewLeaseOfWorkerWhoseReportsAreLost(
      @ForAll boolean controllerCrashes, @ForAll boolean beyondLease) {
    SimulatedCluster cluster = startCluster();
    assertEquals(201, cluster.users.submit("node-0", SimulatedCluster.job("wk-1", 12, 1)).status());
    assertEquals(201, cluster.users.submit("node-1", SimulatedCluster.job("wk-2", 4, 1)).status());
    cluster.advance(3);
    assertEquals(16, cluster.machines.runningCount());
    cluster.network.dropDelivery =
        (from, to) -> from.startsWith("host-") && to.startsWith("node-") && reportsAreLost(from);
    cluster.clock.after(
        beyondLease ? 25 : SimulatedCluster.LEASE_S - 2,
        () -> cluster.network.dropDelivery = (from, to) -> false);
    cluster.advance(1);
    RedundantClients users = new RedundantClients(cluster);
    users.cancel("wk-2", 1);
    if (controllerCrashes) {
      cluster.advance(0.3);
      cluster.nodes.get("node-0").crash();
      cluster.clock.after(2, () -> cluster.nodes.get("node-0").start());
    }
    cluster.advance(2);
    if (!controllerCrashes) {
      assertEquals(
          0,
          cluster.machines.runningCount("wk-2"),
          "the tasks are not stopped by a direct command");
    }
    cluster.advance(2.5 * SimulatedCluster.LEASE_S);
    assertEquals(
        12, cluster.machines.runningCount("wk-1"), "the tasks do not run on the other machines");
    assertEquals("cancelled", cluster.users.poll("node-2", "wk-2").jobStatus());
    cluster.advance(10);
    assertEquals(List.of(), cluster.users.drainAndCheck());
  }

  private static boolean reportsAreLost(String endpoint) {
    return endpoint.startsWith("host-0") || endpoint.startsWith("host-1");
  }

  /** The placement constraint of a job. */
  enum PlacementConstraint {
    NAMED_ZONE,
    ARRAY_IN_SAME_ZONE,
    SERVICE_IN_SAME_ZONE,
    SPREAD_OVER_ZONES
  }

  /** The fault of a machine that runs tasks of the job. */
  enum WorkerFault {
    PARTITIONED_FOR_GOOD,
    PARTITIONED_BEYOND_LEASE,
    RESTARTED,
    HUNG_BEYOND_LEASE
  }

  /**
   * Jobs that are constrained to a given zone, to any single zone or to a spread over zones lose
   * machines. They must keep to their constraint, also while lost tasks may still run on the lost
   * machine.
   */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void constrainedJobsStayInPlaceAfterWorkerFaults(
      @ForAll PlacementConstraint constraint,
      @ForAll WorkerFault fault,
      @ForAll boolean controllerCrashes) {
    SimulatedCluster cluster = startCluster();
    Document job = SimulatedCluster.job("wk-1", 6, 1);
    switch (constraint) {
      case NAMED_ZONE -> job.put("site", "b");
      case ARRAY_IN_SAME_ZONE -> job.put("same_place", true);
      case SERVICE_IN_SAME_ZONE -> job.put("same_place", true).put("shape", "daemon");
      case SPREAD_OVER_ZONES -> job.put("apart", true);
    }
    assertEquals(201, cluster.users.submit("node-0", job).status());
    cluster.advance(3);
    assertEquals(6, cluster.machines.runningCount("wk-1"));
    List<FakeWorker> faultyWorkers =
        cluster.machines.workers.values().stream()
            .filter(m -> !m.running().isEmpty())
            .limit(1)
            .toList();
    for (FakeWorker m : faultyWorkers) {
      switch (fault) {
        case PARTITIONED_FOR_GOOD -> cluster.machines.isolatedHosts.add(m.host());
        case PARTITIONED_BEYOND_LEASE -> {
          cluster.machines.isolatedHosts.add(m.host());
          cluster.clock.after(
              SimulatedCluster.LEASE_S + 3, () -> cluster.machines.isolatedHosts.remove(m.host()));
        }
        case RESTARTED -> m.restart();
        case HUNG_BEYOND_LEASE -> cluster.machines.hang(m.host(), SimulatedCluster.LEASE_S + 3);
      }
    }
    if (controllerCrashes) {
      cluster.nodes.get("node-0").crash();
      cluster.clock.after(1, () -> cluster.nodes.get("node-0").start());
    }
    for (int i = 0; i < 250; i++) {
      cluster.advance(0.1);
      long zones = zoneCount(cluster, "wk-1");
      assertTrue(
          zones <= (constraint == PlacementConstraint.SPREAD_OVER_ZONES ? 2 : 1),
          "tasks run in " + zones + " zones");
      if (constraint == PlacementConstraint.SPREAD_OVER_ZONES) {
        assertTrue(
            runningInZone(cluster, "a") <= 3 && runningInZone(cluster, "b") <= 3,
            "more than half of the tasks run in one zone");
      }
    }
    assertEquals(6, cluster.machines.runningCount("wk-1"));
    if (constraint == PlacementConstraint.NAMED_ZONE) {
      assertEquals(6, runningInZone(cluster, "b"));
    }
    assertEquals(List.of(), cluster.users.drainAndCheck());
  }

  private static int runningInZone(SimulatedCluster cluster, String zone) {
    return cluster.machines.workers.values().stream()
        .filter(m -> cluster.machines.zoneOf(m).equals(zone))
        .mapToInt(m -> SimulatedMachines.runningCount(m, "wk-1"))
        .sum();
  }

  /** A zone with workers and a controller is partitioned for longer than the lease. */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void zoneWithControllerIsPartitioned(
      @ForAll boolean cancelJob, @ForAll @IntRange(max = 2) int crashChoice) {
    SimulatedCluster cluster = startCluster();
    assertEquals(201, cluster.users.submit("node-0", SimulatedCluster.job("wk-1", 12, 1)).status());
    assertEquals(201, cluster.users.submit("node-2", SimulatedCluster.job("wk-2", 12, 1)).status());
    cluster.advance(3);
    assertEquals(24, cluster.machines.runningCount());
    cluster.network.partitionZone("b");
    cluster.advance(2);
    RedundantClients users = new RedundantClients(cluster);
    if (cancelJob) {
      cluster.users.cancelRequestedJobs.add("wk-1");
      cluster.users.requestWithRetries("POST", "/v1/jobs/wk-1/abort", null, "wk-1", 0, 40);
      cluster.users.requestWithRetries("POST", "/v1/jobs/wk-1/abort", null, "wk-1", 1, 40);
    }
    if (crashChoice > 0) {
      cluster.nodes.get("node-" + (crashChoice - 1)).crash();
      cluster.clock.after(3, () -> cluster.nodes.get("node-" + (crashChoice - 1)).start());
    }
    cluster.advance(2.5 * SimulatedCluster.LEASE_S);
    cluster.network.healPartition();
    cluster.advance(12);
    users.pollFor("wk-1", 5);
    cluster.advance(8);
    if (cancelJob) {
      assertEquals("cancelled", cluster.users.poll("node-2", "wk-1").jobStatus());
    }
    assertEquals(cancelJob ? 12 : 24, cluster.machines.runningCount());
    assertEquals(List.of(), cluster.users.drainAndCheck());
  }

  /**
   * Urgent and other jobs need more room than there is, and requests to the state service are slow.
   */
  @Example
  void urgentTasksStartDespiteOverloadAndSlowStateService() {
    SimulatedCluster cluster = startCluster();
    int[] requestCount = {0};
    double[] delaysS = {0.3, 0.05, 0.6, 0.1, 0.9};
    cluster.network.stateServiceDelayS = () -> delaysS[requestCount[0]++ % delaysS.length];
    for (int i = 0; i < 10; i++) {
      cluster.users.requestWithRetries(
          "POST", "/v1/jobs", SimulatedCluster.job("wk-" + i, 12, 1), "wk-" + i, i, 40);
    }
    cluster.advance(20);
    assertEquals(32, cluster.machines.runningCount(), "not all room is used");
    for (int i = 10; i < 14; i++) {
      Document job =
          SimulatedCluster.job("wk-" + i, 4, 1).put("urgency", i % 2 == 0 ? "high" : "critical");
      cluster.users.requestWithRetries("POST", "/v1/jobs", job, "wk-" + i, i, 40);
    }
    cluster.advance(3);
    for (int i = 0; i < 6; i++) {
      cluster
          .machines
          .workers
          .values()
          .forEach(m -> m.running().stream().limit(1).forEach(t -> m.exit(t, "done")));
      cluster.advance(6);
    }
    for (int i = 10; i < 14; i++) {
      String id = "wk-" + i + "/";
      assertTrue(
          cluster.machines.workers.values().stream()
              .anyMatch(m -> m.starts().stream().anyMatch(s -> s.startsWith(id))),
          id + " is urgent and has not started");
    }
    cluster.network.stateServiceDelayS = () -> 0;
    assertEquals(List.of(), cluster.users.drainAndCheck());
  }

  /** Verifies that the placement check detects tasks that violate the constraints of their jobs. */
  @Example
  void placementCheckDetectsViolations() throws MalformedMessageException {
    Map<String, Document> specs = new HashMap<>();
    PlacementCheck check = new PlacementCheck(specs);
    specs.put("wk-1", SimulatedCluster.job("wk-1", 4, 1).put("site", "b"));
    specs.put("wk-2", SimulatedCluster.job("wk-2", 4, 1).put("same_place", true));
    specs.put("wk-3", SimulatedCluster.job("wk-3", 4, 1).put("apart", true));
    specs.put("wk-4", SimulatedCluster.job("wk-4", 4, 1).put("flavors", List.of("large")));
    FakeWorker inZoneA = new FakeWorker("host-1", "host-1:9", "small", "a");
    FakeWorker inZoneB = new FakeWorker("host-2", "host-2:9", "small", "b");
    startTasks(inZoneA, "wk-2", 0);
    startTasks(inZoneA, "wk-3", 0, 1);
    startTasks(inZoneB, "wk-3", 2, 3);
    startTasks(inZoneB, "wk-1", 0);
    check.check(List.of(inZoneA, inZoneB));
    assertEquals(List.of(), check.violations);
    startTasks(inZoneA, "wk-1", 1);
    startTasks(inZoneB, "wk-2", 1);
    startTasks(inZoneA, "wk-3", 2);
    startTasks(inZoneA, "wk-4", 0);
    check.check(List.of(inZoneA, inZoneB));
    assertEquals(4, check.violations.size(), check.violations.toString());
  }

  private static void startTasks(FakeWorker m, String job, int... numbers)
      throws MalformedMessageException {
    List<WorkerCommand> orders = new ArrayList<>();
    for (int n : numbers) {
      orders.add(new WorkerCommand.Run(new TaskId(job, n), 1));
    }
    assertEquals(200, m.handleCommands(WorkerCommand.directRequest(1, 1, orders)).status());
  }
}
