package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.standin.FakeWorker;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Controllers that restart or take over: they meet old reports, new machines, outages of the state
 * service, and further restarts in quick succession.
 */
class ControllerRestartTest {
  private static SimulatedCluster world() {
    SimulatedCluster w = SimulatedCluster.withTeamLimit(3, 24);
    w.start().advance(2);
    for (int i = 0; i < 6; i++) {
      w.machines.addMachine("host-" + i, "small", "a", "node-" + i % 3);
    }
    w.advance(5);
    return w;
  }

  /** When the old reports were created. */
  enum ReportTime {
    BEFORE_ANY_TASK_RAN,
    WHILE_TASKS_RAN,
    IN_AN_EARLIER_SESSION,
    BEFORE_THE_WORKER_RESTARTED
  }

  /** What has happened to the machines while no controller was up. */
  enum MachineChange {
    NONE,
    TASKS_ENDED,
    SESSION_ENDED,
    MACHINES_SILENT,
    REPORTS_LOST
  }

  /**
   * Old reports of all machines reach every controller just after it has restarted and knows no
   * machine, before or after the machines' current reports, repeatedly. They must not change which
   * tasks count as running.
   */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void oldReportsAfterControllerRestartChangeNothing(
      @ForAll ReportTime reportTime,
      @ForAll MachineChange change,
      @ForAll boolean all,
      @ForAll @IntRange(max = 2) int delay)
      throws Exception {
    SimulatedCluster w = world();
    RedundantClients users = new RedundantClients(w);
    List<FakeWorker> machines = List.copyOf(w.machines.workers.values());
    List<byte[]> reports = new ArrayList<>();
    if (reportTime == ReportTime.BEFORE_ANY_TASK_RAN) {
      machines.forEach(m -> reports.add(m.report()));
    }
    for (int i = 0; i < 4; i++) {
      users.submit(SimulatedCluster.job("wk-" + i, 5, 1), i);
    }
    w.advance(3);
    if (reportTime != ReportTime.BEFORE_ANY_TASK_RAN) {
      machines.forEach(m -> reports.add(m.report()));
    }
    if (reportTime == ReportTime.IN_AN_EARLIER_SESSION) {
      machines.forEach(FakeWorker::newSession);
      w.advance(5);
    } else if (reportTime == ReportTime.BEFORE_THE_WORKER_RESTARTED) {
      machines.forEach(FakeWorker::restart);
      w.advance(5);
    }
    users.cancel("wk-0", 1);
    w.advance(0.01);
    List<SimulatedCluster.Node> restarted = new ArrayList<>(w.nodes.values());
    if (!all) {
      restarted.remove(2);
    }
    restarted.forEach(SimulatedCluster.Node::crash);
    switch (change) {
      case NONE -> {}
      case TASKS_ENDED -> w.machines.completeAllTasks();
      case SESSION_ENDED -> machines.forEach(FakeWorker::newSession);
      case MACHINES_SILENT -> {
        machines.forEach(m -> w.machines.isolatedHosts.add(m.host()));
        w.clock.after(12, w.machines.isolatedHosts::clear);
      }
      case REPORTS_LOST -> {
        w.network.dropDelivery = (from, to) -> from.startsWith("host-");
        w.clock.after(12, () -> w.network.dropDelivery = (from, to) -> false);
      }
    }
    w.advance(1);
    restarted.forEach(SimulatedCluster.Node::start);
    w.advance(new double[] {0.2, 0.6, 2.5}[delay]);
    for (int i = 0; i < 3; i++) {
      w.nodes.keySet().forEach(n -> reports.forEach(r -> w.machines.deliverReport(n, r)));
      w.advance(1.7);
    }
    w.advance(20);
    w.nodes.keySet().forEach(n -> reports.forEach(r -> w.machines.deliverReport(n, r)));
    w.advance(10);
    assertEquals("cancelled", w.users.poll("node-1", "wk-0").jobStatus());
    assertEquals(
        change == MachineChange.TASKS_ENDED ? 0 : 15,
        w.machines.runningCount(),
        "all remaining tasks run");
    assertEquals(List.of(), w.users.drainAndCheck());
  }

  /**
   * A machine with a task hangs for good and is listed as running when all controllers restart. The
   * only report that arrives is an old one, from before its token was raised. The controller that
   * takes the hold because of that report must not wait for the machine to report again.
   */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void machineWithOnlyAnOldReportIsReturned(@ForAll boolean cancelled) {
    SimulatedCluster w = world();
    FakeWorker m = w.machines.workers.get("host-1:9");
    byte[] oldReport = m.report();
    w.network.deliveryPolicy =
        (from, path, body) ->
            body.contains("verb=run")
                ? SimulatedNetwork.Delivery.RESPONSE_DROPPED
                : SimulatedNetwork.Delivery.ON_TIME;
    assertEquals(201, w.users.submit("node-0", SimulatedCluster.job("wk-1", 24, 1)).status());
    w.advance(2);
    w.network.deliverOnTime();
    w.advance(4);
    assertEquals(24, w.machines.runningCount());
    w.machines.isolatedHosts.add("host-1");
    w.nodes.values().forEach(SimulatedCluster.Node::crash);
    if (cancelled) {
      w.users.cancelRequestedJobs.add("wk-1");
      w.users.requestWithRetries("POST", "/v1/jobs/wk-1/abort", null, "wk-1", 1, 90);
    }
    w.advance(1);
    w.nodes.values().forEach(SimulatedCluster.Node::start);
    w.advance(1);
    w.nodes.keySet().forEach(n -> w.machines.deliverReport(n, oldReport));
    w.advance(100);
    assertTrue(
        w.cloud.deleted("host-1"),
        "the machine is returned, which proves that its tasks have ended");
    if (cancelled) {
      assertEquals("cancelled", w.users.poll("node-0", "wk-1").jobStatus());
    }
    assertEquals(List.of(), w.users.drainAndCheck());
  }

  /**
   * New machines are up one second after they were requested, long before the cloud lists them,
   * while state service writes are slow and the renting controller crashes. The machines must not
   * be rented a second time.
   */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void rentingControllerCrashesWhileMachinesBootFastAndWritesLag(
      @ForAll @IntRange(max = 9) int when,
      @ForAll boolean restartsSoon,
      @ForAll boolean responsesLost) {
    SimulatedCluster w = new SimulatedCluster(3).withRentingDelays(1, 6);
    w.cloud.capacity(12);
    w.start().advance(3);
    String renter = w.recordedNode("w/u/rent");
    double[] writeDelaysS = {0.02, 0.7, 0.2, 1.1, 0.4};
    int[] n = {0};
    w.network.stateServiceDelayS = () -> writeDelaysS[n[0]++ % writeDelaysS.length];
    w.network.deliveryPolicy =
        (from, path, body) ->
            responsesLost && path.equals("/txn") && n[0] % 5 == 2
                ? SimulatedNetwork.Delivery.RESPONSE_DROPPED
                : SimulatedNetwork.Delivery.ON_TIME;
    RedundantClients users = new RedundantClients(w);
    users.submit(SimulatedCluster.job("wk-1", 8, 2), 0);
    users.submit(SimulatedCluster.job("wk-2", 8, 1), 1);
    w.advance(0.4 * when);
    String crashed = renter == null ? "node-0" : renter;
    w.nodes.get(crashed).crash();
    if (restartsSoon) {
      w.advance(0.3);
      w.nodes.get(crashed).start();
    }
    w.advance(14);
    w.network.stateServiceDelayS = () -> 0;
    w.network.deliverOnTime();
    w.advance(20);
    // Six machines suffice. One or two extra machines are known to be rented occasionally; renting
    // twice would give twelve.
    assertTrue(w.machines.rentedCount() <= 8, w.machines.rentedCount() + " machines were rented");
    assertEquals(16, w.machines.runningCount(), "all tasks run");
    assertEquals(List.of(), w.machines.deletedWhileInUse);
    if (!restartsSoon) {
      w.nodes.get(crashed).start();
    }
    assertEquals(List.of(), w.users.drainAndCheck());
  }

  /**
   * Controllers crash ten times in two minutes, in some cases with an outage of the state service
   * in the middle.
   */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void controllersCrashTenTimesAlsoDuringAnOutage(
      @ForAll @IntRange(max = 2) int restartDelay, @ForAll boolean outage) {
    SimulatedCluster w = world();
    RedundantClients users = new RedundantClients(w);
    int n = 0;
    for (int change = 0; change < 10; change++) {
      users.submit(SimulatedCluster.job("wk-" + n, 2 + change % 3, 1), change);
      if (change % 3 == 2 && w.users.acceptedJobs.containsKey("wk-" + (n - 1))) {
        users.cancel("wk-" + (n - 1), change);
      }
      n++;
      SimulatedCluster.Node node = w.nodes.get("node-" + change % 3);
      if (node.up()) {
        node.crash();
        w.clock.after(new double[] {0.1, 3, 9}[restartDelay], node::start);
      }
      if (outage && change == 4) {
        w.stateService.outage(true);
        w.clock.after(25, () -> w.stateService.outage(false));
      }
      w.advance(12);
      if (change % 2 == 1) {
        w.machines
            .workers
            .values()
            .forEach(m -> m.running().stream().limit(1).forEach(t -> m.exit(t, "done")));
      }
    }
    w.advance(10);
    for (String id : w.users.cancelRequestedJobs) {
      assertEquals("cancelled", w.users.poll("node-0", id).jobStatus());
    }
    assertEquals(List.of(), w.users.drainAndCheck());
  }

  /** All controllers are down for longer than a lease, so that the workers have ended all tasks. */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void allControllersAreDownForLongerThanALease(@ForAll boolean outage, @ForAll boolean cancelled) {
    SimulatedCluster w = world();
    for (int i = 0; i < 4; i++) {
      assertEquals(
          201, w.users.submit("node-" + i % 3, SimulatedCluster.job("wk-" + i, 4, 1)).status());
    }
    w.advance(3);
    if (cancelled) {
      w.users.cancelRequestedJobs.add("wk-0");
      w.users.requestWithRetries("POST", "/v1/jobs/wk-0/abort", null, "wk-0", 1, 40);
      w.advance(0.005);
    }
    w.nodes.values().forEach(SimulatedCluster.Node::crash);
    w.stateService.outage(outage);
    w.advance(SimulatedCluster.LEASE_S + 4);
    assertEquals(0, w.machines.runningCount(), "the workers' leases have expired");
    w.nodes.values().forEach(SimulatedCluster.Node::start);
    w.advance(outage ? 5 : 0);
    w.stateService.outage(false);
    w.advance(12);
    assertEquals(cancelled ? 12 : 16, w.machines.runningCount());
    w.users.checkStarvationWhileTasksRun();
    assertEquals(List.of(), w.users.drainAndCheck());
  }

  /**
   * All controllers restart while machines with long tasks are unreachable or cannot receive
   * commands.
   */
  @Example
  void controllersRestartWhileMachinesAreUnreachable() {
    for (boolean cannotReceive : List.of(true, false)) {
      SimulatedCluster w = world();
      assertEquals(201, w.users.submit("node-0", SimulatedCluster.job("wk-1", 20, 1)).status());
      w.advance(3);
      for (int i = 0; i < 3; i++) {
        (cannotReceive ? w.machines.inboundBlockedHosts : w.machines.isolatedHosts)
            .add("host-" + i);
      }
      w.nodes.values().forEach(SimulatedCluster.Node::crash);
      w.advance(0.5);
      w.nodes.values().forEach(SimulatedCluster.Node::start);
      w.advance(4);
      w.machines.inboundBlockedHosts.clear();
      w.machines.isolatedHosts.clear();
      w.advance(20);
      assertEquals(20, w.machines.runningCount("wk-1"));
      assertEquals(List.of(), w.users.drainAndCheck());
    }
  }
}
