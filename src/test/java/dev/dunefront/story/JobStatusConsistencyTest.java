package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.dunefront.peer.Message;
import dev.dunefront.standin.FakeWorker;
import dev.dunefront.wire.Document;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Users poll and resubmit at all controllers within milliseconds after a job is accepted, ends or
 * is confirmed as cancelled, and some cancel at once. No controller may then answer with an older
 * state.
 */
class JobStatusConsistencyTest {
  /** The fault that is injected meanwhile. */
  enum Fault {
    NONE,
    SLOW_STATE_SERVICE,
    CONTROLLER_REFUSED_BY_STATE_SERVICE,
    CONTROLLER_RESTARTS,
    WATCH_RESPONSES_DROPPED,
    WATCHES_DUPLICATED_LATE,
    TRANSACTION_RESPONSES_DROPPED,
    JOB_ENDED_MESSAGES_HELD,
    STATE_RESPONSES_LATE
  }

  private static void inject(SimulatedCluster cluster, Fault fault) {
    int[] requestCount = {0};
    switch (fault) {
      case NONE -> {}
      case SLOW_STATE_SERVICE -> {
        double[] delaysS = {0, 0.05, 0.4, 0.9, 0.02};
        cluster.network.stateServiceDelayS = () -> delaysS[requestCount[0]++ % delaysS.length];
      }
      case CONTROLLER_REFUSED_BY_STATE_SERVICE -> {
        cluster.network.refusedByStateService.add("node-1");
        cluster.clock.after(2.5, () -> cluster.network.refusedByStateService.clear());
      }
      case CONTROLLER_RESTARTS -> {
        cluster.nodes.get("node-1").crash();
        cluster.clock.after(0.3, () -> cluster.nodes.get("node-1").start());
      }
      case WATCH_RESPONSES_DROPPED ->
          cluster.network.deliveryPolicy =
              (from, path, body) ->
                  path.startsWith("/watch") && requestCount[0]++ % 2 == 0
                      ? SimulatedNetwork.Delivery.RESPONSE_DROPPED
                      : SimulatedNetwork.Delivery.ON_TIME;
      case WATCHES_DUPLICATED_LATE -> {
        cluster.network.deliveryDelayS = 1.5;
        cluster.network.deliveryPolicy =
            (from, path, body) ->
                path.startsWith("/watch") && requestCount[0]++ % 3 != 0
                    ? SimulatedNetwork.Delivery.DUPLICATED
                    : SimulatedNetwork.Delivery.ON_TIME;
      }
      case TRANSACTION_RESPONSES_DROPPED ->
          cluster.network.deliveryPolicy =
              (from, path, body) ->
                  path.equals("/txn") && requestCount[0]++ % 4 == 1
                      ? SimulatedNetwork.Delivery.RESPONSE_DROPPED
                      : SimulatedNetwork.Delivery.ON_TIME;
      case JOB_ENDED_MESSAGES_HELD ->
          cluster.network.holdPeerMessage = message -> message instanceof Message.JobEnded;
      case STATE_RESPONSES_LATE -> {
        double[] delaysS = {0, 0.003, 0.25, 0, 0.45, 0.02, 0.1};
        cluster.network.responseDelay = (from, path) -> delaysS[requestCount[0]++ % delaysS.length];
      }
    }
  }

  private static void clearFaults(SimulatedCluster cluster) {
    cluster.network.deliverOnTime();
    cluster.network.stateServiceDelayS = () -> 0;
    cluster.network.holdPeerMessage = message -> false;
    cluster.network.responseDelay = (from, path) -> 0;
    cluster.network.refusedByStateService.clear();
    cluster.advance(4);
  }

  private static void assertStateAtAllNodes(SimulatedCluster cluster, String id, String state) {
    for (String node : cluster.nodes.keySet()) {
      assertEquals(state, cluster.users.poll(node, id).jobStatus(), id + " at " + node);
      assertEquals(
          state,
          cluster.users.submit(node, SimulatedCluster.job(id, 2, 1)).jobStatus(),
          id + " at " + node);
    }
  }

  /**
   * Jobs are cancelled at another controller, a few milliseconds to a second after the acceptance
   * is answered.
   */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void cancelledRightAfterAcceptance(
      @ForAll Fault fault, @ForAll @IntRange(max = 5) int delayStep) {
    SimulatedCluster cluster = SimulatedCluster.withSmallMachines(4);
    RedundantClients users = new RedundantClients(cluster);
    inject(cluster, fault);
    users.submit(SimulatedCluster.job("wk-1", 2, 1), 0);
    users.submit(SimulatedCluster.job("wk-2", 2, 1).put("shape", "daemon"), 2);
    for (int i = 0; i < 3000 && cluster.users.acceptedJobs.size() < 2; i++) {
      cluster.advance(0.002);
    }
    cluster.advance(new double[] {0, 0.003, 0.01, 0.05, 0.4, 1.1}[delayStep]);
    users.cancel("wk-1", 1);
    users.cancel("wk-2", 0);
    cluster.advance(20);
    clearFaults(cluster);
    assertStateAtAllNodes(cluster, "wk-1", "cancelled");
    assertStateAtAllNodes(cluster, "wk-2", "cancelled");
    assertEquals(List.of(), cluster.users.drainAndCheck());
  }

  /**
   * Jobs that no controller claims, as others wait for room before them, are cancelled at another
   * controller and submitted again at a third one, a few milliseconds to a second later.
   */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void cancelledAndSubmittedAgainWhileUnclaimed(
      @ForAll Fault fault,
      @ForAll @IntRange(max = 5) int delayStep,
      @ForAll boolean watchesReportEveryChange) {
    SimulatedCluster cluster = SimulatedCluster.withSmallMachines(3);
    cluster.stateService.setWatchesReportEveryChange(watchesReportEveryChange);
    for (int i = 0; i < 6; i++) {
      cluster.users.submit("node-" + i % 3, SimulatedCluster.job("wk-1" + i, 60, 1));
    }
    cluster.advance(2);
    inject(cluster, fault);
    RedundantClients users = new RedundantClients(cluster);
    double gapS = new double[] {0, 0.003, 0.01, 0.05, 0.4, 1.1}[delayStep];
    for (int i = 0; i < 5; i++) {
      String id = "wk-2" + i;
      Document job = SimulatedCluster.job(id, 60, 1);
      users.submit(job, i);
      cluster.advance(0.1 + gapS);
      users.cancel(id, i + 1);
      for (int k = 0; k < 12; k++) {
        cluster.advance(0.05);
        cluster.users.requestWithRetries("POST", "/v1/jobs", job, id, i + k, 1);
      }
    }
    cluster.advance(20);
    clearFaults(cluster);
    for (int i = 0; i < 5; i++) {
      assertEquals("cancelled", cluster.users.poll("node-" + i % 3, "wk-2" + i).jobStatus());
    }
    assertEquals(List.of(), cluster.users.operationHistory.violations);
  }

  /**
   * A cancellation, a poll or a repeated submission coincides with the end of the last task: the
   * job is either done or cancelled, and every later answer of every controller is the same.
   */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void cancelledWhileLastTaskEnds(
      @ForAll Fault fault, @ForAll @IntRange(min = -4, max = 4) int delayStep) {
    SimulatedCluster cluster = SimulatedCluster.withSmallMachines(4);
    RedundantClients users = new RedundantClients(cluster);
    users.submit(SimulatedCluster.job("wk-1", 2, 1), 0);
    cluster.advance(1.5);
    cluster.machines.workers.values().forEach(m -> m.exit("wk-1/0", "done"));
    cluster.advance(3);
    inject(cluster, fault);
    cluster.advance(0.4);
    double gapS = delayStep * delayStep * 0.03;
    if (delayStep < 0) {
      users.cancel("wk-1", 1);
      cluster.advance(gapS);
    }
    completeTask(cluster, "wk-1/1");
    if (delayStep >= 0) {
      cluster.advance(gapS);
      users.cancel("wk-1", 1);
    }
    cluster.users.requestWithRetries(
        "POST", "/v1/jobs", SimulatedCluster.job("wk-1", 2, 1), "wk-1", 2, 40);
    cluster.advance(16);
    clearFaults(cluster);
    assertStateAtAllNodes(cluster, "wk-1", cluster.users.poll("node-0", "wk-1").jobStatus());
    assertEquals(List.of(), cluster.users.drainAndCheck());
  }

  private static void completeTask(SimulatedCluster cluster, String task) {
    for (FakeWorker m : cluster.machines.workers.values()) {
      m.exit(task, "done");
    }
  }

  /** A job that ends without a cancellation is done at all controllers. */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void polledWhileJobEnds(@ForAll Fault fault) {
    SimulatedCluster cluster = SimulatedCluster.withSmallMachines(4);
    RedundantClients users = new RedundantClients(cluster);
    users.submit(SimulatedCluster.job("wk-1", 2, 1), 0);
    cluster.advance(1.5);
    inject(cluster, fault);
    cluster.advance(0.4);
    completeTask(cluster, "wk-1/0");
    cluster.advance(0.7);
    completeTask(cluster, "wk-1/1");
    users.pollFor("wk-1", 9);
    cluster.advance(9);
    clearFaults(cluster);
    assertStateAtAllNodes(cluster, "wk-1", "done");
    assertEquals(List.of(), cluster.users.drainAndCheck());
  }
}
