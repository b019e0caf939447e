package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.standin.FakeWorker;
import dev.dunefront.story.SimulatedCluster.Node;
import java.util.List;
import java.util.function.BooleanSupplier;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Late duplicates of reports that a machine sent before its restart, in a higher session than the
 * present one, reach a controller that does not know of the restart.
 */
class FormerBootReportTest {
  /** What happens to the machine's holder. */
  enum HolderChange {
    /** Its process ends and is back at once. */
    RESTARTS,
    /** Its process ends and is back at the moment at which the machine restarts. */
    RESTARTS_WITH_THE_MACHINE,
    /** Its process ends and another controller takes the machine over. */
    REPLACED
  }

  private SimulatedCluster cluster;
  private FakeWorker worker;
  private byte[] formerReport;

  /** Adds a machine that is in its second session and keeps one of its reports. */
  private void startClusterWithMachineInSecondSession() {
    cluster = new SimulatedCluster(3);
    cluster.start().advance(2);
    worker = cluster.machines.addMachine("host-1", "small", "a", "node-0");
    cluster.advance(4);
    worker.newSession();
    cluster.advance(4);
    formerReport = worker.report();
  }

  private void submitTask() {
    assertEquals(201, cluster.users.submit("node-1", SimulatedCluster.job("wk-1", 1, 1)).status());
    cluster.advance(3);
    assertEquals(List.of("wk-1/0#1"), worker.starts());
    assertEquals(List.of("wk-1/0"), worker.running());
  }

  private void restart(Node controller) {
    controller.crash();
    controller.start();
  }

  private void deliverFormerReport() {
    cluster.nodes.values().stream()
        .filter(Node::up)
        .forEach(node -> cluster.machines.deliverReport(node.name, formerReport));
  }

  private void assertTaskRunsOnce(FakeWorker other) {
    assertEquals(List.of(), cluster.users.overlappingRuns);
    assertEquals(List.of(), other.starts(), "the task runs where it was placed");
    assertEquals(List.of("wk-1/0"), worker.running());
    assertEquals(List.of("wk-1/0#1"), worker.starts());
    cluster.machines.completeAllTasks();
    cluster.advance(5);
    cluster.nodes.values().stream().filter(node -> !node.up()).toList().forEach(Node::start);
    cluster.advance(3);
    assertEquals("done", cluster.users.poll("node-2", "wk-1").jobStatus());
    assertEquals(List.of(), cluster.users.drainAndCheck());
  }

  // Guards against ran_twice: a report from before a machine's restart ends an attempt that runs.
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void reportFromBeforeAMachineRestartDoesNotEndARunningAttempt(
      @ForAll HolderChange change, @ForAll @IntRange(max = 3) int delay) {
    startClusterWithMachineInSecondSession();
    Node holder = cluster.nodes.get(cluster.machines.holderOf("host-1"));
    if (change == HolderChange.RESTARTS_WITH_THE_MACHINE) {
      restart(holder);
    }
    cluster.machines.restart(worker);
    cluster.advance(6);
    submitTask();
    FakeWorker other = cluster.machines.addMachine("host-2", "small", "a", "node-2");
    cluster.advance(4);
    if (change == HolderChange.RESTARTS) {
      restart(holder);
    } else if (change == HolderChange.REPLACED) {
      holder.crash();
    }
    cluster.advance(new double[] {0.1, 0.8, 2.5, 6}[delay]);
    deliverFormerReport();
    cluster.advance(4);
    deliverFormerReport();
    cluster.advance(6);
    assertTaskRunsOnce(other);
  }

  // Guards against ran_twice: two boots learn one token from a holder that has confirmed neither.
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void reportUnderTheNewHoldersTokenFromBeforeAMachineRestartDoesNotEndARunningAttempt(
      @ForAll HolderChange change,
      @ForAll boolean requestsLost,
      @ForAll boolean secondBootReports) {
    startClusterWithMachineInSecondSession();
    Node holder = cluster.nodes.get(cluster.machines.holderOf("host-1"));
    if (requestsLost && change != HolderChange.REPLACED) {
      // The worker learns the token from the answer to its report alone. A machine is taken over
      // only once it has answered a request, and then learns the token from an answer anyway.
      cluster.network.dropDelivery = (from, to) -> to.equals("host-1:9");
    }
    long formerToken = worker.token();
    holder.crash();
    if (change != HolderChange.REPLACED) {
      holder.start();
    }
    advanceUntil(() -> worker.token() > formerToken);
    formerReport = worker.report();
    cluster.machines.restart(worker);
    if (secondBootReports) {
      // A boot that ends before the one that gets the task.
      cluster.advance(1.1);
      cluster.machines.restart(worker);
    }
    cluster.network.dropDelivery = (from, to) -> false;
    cluster.advance(6);
    submitTask();
    FakeWorker other = cluster.machines.addMachine("host-2", "small", "a", "node-2");
    cluster.advance(4);
    deliverFormerReport();
    cluster.advance(6);
    assertTaskRunsOnce(other);
  }

  // Guards against ran_twice: the session that was published falls under one hold record.
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void sessionOfABootThatWasNeverConfirmedDoesNotEndAnAttemptOfTheNext(
      @ForAll @IntRange(max = 3) int jobAt) {
    startClusterWithMachineInSecondSession();
    String holder = cluster.machines.holderOf("host-1");
    cluster.machines.restart(worker);
    worker.newSession();
    worker.newSession();
    cluster.network.deliveryPolicy =
        (from, path, body) ->
            path.equals("/orders")
                ? SimulatedNetwork.Delivery.DROPPED
                : SimulatedNetwork.Delivery.ON_TIME;
    cluster.machines.deliverReport(holder, worker.report());
    cluster.advance(0.15);
    cluster.machines.restart(worker);
    FakeWorker other = null;
    for (int i = 0; i < 100; i++) {
      if (i == jobAt * 10) {
        cluster.users.submit("node-1", SimulatedCluster.job("wk-1", 1, 1));
      }
      if (i == 40) {
        cluster.network.deliverOnTime();
      }
      if (other == null && !worker.starts().isEmpty()) {
        other = cluster.machines.addMachine("host-2", "small", "a", "node-2");
      }
      cluster.advance(0.1);
    }
    assertTaskRunsOnce(other);
  }

  private void advanceUntil(BooleanSupplier condition) {
    double deadline = cluster.clock.now() + 4 * SimulatedCluster.LEASE_S;
    while (!condition.getAsBoolean()) {
      assertTrue(cluster.clock.now() < deadline, "the condition is not met in time");
      cluster.advance(0.002);
    }
  }

  /** The machine restarts while its holder has released it, and is held again without a write. */
  @Example
  void reportFromBeforeAMachineRestartDoesNotEndAttemptAfterItsHoldIsResumed() {
    cluster = new SimulatedCluster(List.of("a", "a", "b"), SimulatedCluster.ONE_TEAM);
    worker = cluster.machines.addMachine("host-1", "small", "b", "node-0");
    cluster.nodes.get("node-0").start();
    cluster.nodes.get("node-1").start();
    cluster.advance(4);
    worker.newSession();
    cluster.advance(4);
    assertEquals("node-0", cluster.machines.holderOf("host-1"));
    formerReport = worker.report();
    int writes = cluster.stateService.writes("w/h/");
    // The controller in the machine's zone starts, is assigned the machine, and cannot be reached
    // by it.
    cluster.network.dropDelivery = (from, to) -> from.equals("host-1:9") && to.equals("node-2");
    cluster.nodes.get("node-2").start();
    for (int i = 0; i < 100 && cluster.machines.holderOf("host-1").equals("node-0"); i++) {
      cluster.advance(0.1);
    }
    assertEquals("node-2", cluster.machines.holderOf("host-1"));
    cluster.machines.restart(worker);
    cluster.advance(8);
    assertEquals(
        writes, cluster.stateService.writes("w/h/"), "the hold is resumed without a write");
    submitTask();
    FakeWorker other = cluster.machines.addMachine("host-2", "small", "a", "node-1");
    cluster.advance(4);
    cluster.machines.deliverReport("node-0", formerReport);
    cluster.advance(6);
    assertTaskRunsOnce(other);
  }

  /** The machine hangs meanwhile, so that the duplicate is all that the new process receives. */
  @Example
  void reportFromBeforeAMachineRestartDoesNotEndAttemptWhileTheMachineHangs() {
    startClusterWithMachineInSecondSession();
    cluster.machines.restart(worker);
    cluster.advance(6);
    submitTask();
    FakeWorker other = cluster.machines.addMachine("host-2", "small", "a", "node-2");
    cluster.advance(4);
    cluster.machines.hang("host-1", SimulatedCluster.LEASE_S - 2);
    restart(cluster.nodes.get(cluster.machines.holderOf("host-1")));
    for (int i = 0; i < 5; i++) {
      cluster.advance(1);
      deliverFormerReport();
    }
    cluster.advance(6);
    assertTaskRunsOnce(other);
  }
}
