package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.standin.FakeWorker;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * A machine restarts and hangs for most of its new lease, before its holder has noticed the
 * restart. A start that is sent to it meanwhile waits there and is carried out when it resumes.
 */
class RestartedWorkerTest {
  private static final double CANCEL_S = 20;

  private SimulatedCluster cluster;
  private FakeWorker worker;

  private void startCluster() {
    cluster = new SimulatedCluster(3);
    cluster.start().advance(2);
    worker = cluster.machines.addMachine("host-1", "small", "a", "node-0");
    cluster.advance(5);
  }

  private boolean hangs() {
    return cluster.machines.hungHosts.contains("host-1");
  }

  // Guards against ran_cancelled: a cancellation is confirmed while a start waits at the machine.
  @Example
  void startReceivedDuringAHangIsNotCarriedOutAfterTheCancellationWasConfirmed() {
    startCluster();
    cluster.machines.hang("host-1", 8.2);
    cluster.advance(0.4);
    cluster.machines.restart(worker);
    assertEquals(201, cluster.users.submit("node-0", SimulatedCluster.job("wk-1", 1, 1)).status());
    cluster.advance(0.5);
    while (hangs() && cluster.users.cancel("node-1", "wk-1").status() != 200) {
      cluster.advance(0.05);
    }
    assertFalse(hangs(), "confirmed while the start waits at the machine");
    cluster.advance(0.05);
    assertEquals(List.of("wk-1/0#1"), worker.starts(), "the start has waited at the machine");
    double resumedAt = cluster.clock.now();
    while (cluster.users.cancel("node-1", "wk-1").status() != 200) {
      cluster.advance(0.05);
      assertTrue(cluster.clock.now() - resumedAt < CANCEL_S, "the cancellation is confirmed");
    }
    assertEquals(List.of(), worker.running());
    cluster.advance(3);
    assertEquals(List.of(), worker.running());
    assertEquals(List.of(), cluster.users.operationHistory.violations);
  }

  // Guards against a restarted machine that gets no work until its next report.
  @Example
  void restartedMachineGetsAHigherTokenAtOnce() {
    startCluster();
    long token = worker.token();
    cluster.machines.restart(worker);
    cluster.machines.deliverReport(cluster.machines.holderOf("host-1"), worker.report());
    cluster.advance(0.1);
    assertTrue(worker.token() > token, "the token after the restart is " + worker.token());
  }

  // Guards against ran_twice: a response from before a restart arrives after the restart is known.
  @Example
  void lateResponseOfAnEarlierBootDoesNotEndAnAttempt() {
    startCluster();
    worker.newSession();
    cluster.advance(4);
    cluster.network.deliveryPolicy =
        (from, path, body) ->
            body.contains("try_no=1")
                ? SimulatedNetwork.Delivery.RESPONSE_DELAYED
                : SimulatedNetwork.Delivery.ON_TIME;
    assertEquals(201, cluster.users.submit("node-1", SimulatedCluster.job("wk-1", 1, 1)).status());
    cluster.advance(0.3);
    assertEquals(List.of("wk-1/0#1"), worker.starts());
    cluster.machines.restart(worker);
    cluster.machines.deliverReport(cluster.machines.holderOf("host-1"), worker.report());
    cluster.advance(2);
    assertEquals(List.of("wk-1/0"), worker.running(), "the task runs again after the restart");
    FakeWorker other = cluster.machines.addMachine("host-2", "small", "a", "node-2");
    cluster.advance(6);

    assertEquals(List.of(), cluster.users.overlappingRuns);
    assertEquals(List.of(), other.starts());
    assertEquals(2, worker.starts().size());
    cluster.machines.completeAllTasks();
    assertEquals(List.of(), cluster.users.drainAndCheck());
  }

  // Guards against ran_twice: the lease is counted from a report before an unnoticed restart.
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void startThatWaitsAtARestartedMachineDoesNotRunBesideAnotherAttempt(
      @ForAll boolean reportsOnce,
      @ForAll boolean laterSession,
      @ForAll @IntRange(max = 4) int at) {
    startCluster();
    if (laterSession) {
      // The boot that follows has to reach the same session before the start matches.
      worker.newSession();
      cluster.advance(4);
    }
    cluster.advance(0.2 * at);
    cluster.machines.restart(worker);
    if (reportsOnce) {
      // The answer does not reach the worker any more.
      cluster.machines.deliverReport(cluster.machines.holderOf("host-1"), worker.report());
      cluster.advance(0.05);
    }
    cluster.machines.hungHosts.add("host-1");
    double resumesInS = SimulatedCluster.LEASE_S - 0.1;
    cluster.clock.after(resumesInS, () -> cluster.machines.hungHosts.remove("host-1"));
    cluster.advance(0.1);
    assertEquals(201, cluster.users.submit("node-1", SimulatedCluster.job("wk-1", 1, 1)).status());
    cluster.advance(3);
    FakeWorker other = cluster.machines.addMachine("host-2", "small", "a", "node-2");
    cluster.advance(30);

    assertEquals(List.of(), cluster.users.overlappingRuns);
    assertEquals(1, worker.running().size() + other.running().size());
    cluster.machines.completeAllTasks();
    assertEquals(List.of(), cluster.users.drainAndCheck());
  }
}
