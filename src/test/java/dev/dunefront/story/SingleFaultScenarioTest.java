package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.job.JobRecord;
import dev.dunefront.standin.FakeWorker;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.JobSpec;
import dev.dunefront.wire.MalformedMessageException;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * What users and workers see of a cluster in which messages are lost or late, and controllers,
 * machines or the state service fail, one fault at a time.
 */
class SingleFaultScenarioTest {
  /**
   * A start command whose response is lost may have been executed, so the task must not be started
   * on another machine.
   */
  @Test
  void startWithLostResponseIsNotRepeatedElsewhere() {
    SimulatedCluster w = new SimulatedCluster(2);
    FakeWorker a = w.machines.addMachine("host-1", "small", "a", "node-0");
    FakeWorker b = w.machines.addMachine("host-2", "small", "a", "node-1");
    w.start().advance(2);
    w.network.dropResponse = (from, to) -> to.endsWith(":9");
    w.users.submit("node-0", SimulatedCluster.job("wk-1", 1, 1));
    w.advance(5);
    w.network.dropResponse = (from, to) -> false;
    w.advance(10);
    assertEquals(1, a.running().size() + b.running().size());
    assertEquals(
        1, a.starts().size() + b.starts().size(), "the task is started once and keeps running");
    assertEquals(List.of(), w.users.overlappingRuns);
  }

  /**
   * A start command that arrives after the task was placed again must not start the task a second
   * time.
   */
  @Test
  void delayedStartCommandIsRefused() {
    SimulatedCluster w = new SimulatedCluster(2);
    FakeWorker a = w.machines.addMachine("host-1", "small", "a", "node-0");
    FakeWorker b = w.machines.addMachine("host-2", "small", "a", "node-1");
    w.start().advance(2);
    w.network.holdRequest = (from, to) -> to.endsWith(":9");
    w.users.submit("node-0", SimulatedCluster.job("wk-1", 1, 1));
    w.advance(2);
    assertTrue(w.network.heldCount() > 0, "the start command is held");
    w.network.holdRequest = (from, to) -> false;
    w.advance(10);
    assertEquals(
        1, a.running().size() + b.running().size(), "the task is placed again under a new token");
    w.network.deliverHeld();
    w.advance(3);
    assertEquals(1, a.running().size() + b.running().size());
    assertEquals(List.of(), w.users.overlappingRuns);
  }

  /**
   * The controller that takes over a claim must adopt the running tasks instead of starting them
   * again.
   */
  @Test
  void tasksKeepRunningWhenTheirClaimantCrashes() {
    SimulatedCluster w = new SimulatedCluster(3);
    FakeWorker m = w.machines.addMachine("host-1", "small", "a", "node-1");
    w.start().advance(2);
    w.users.submit("node-0", SimulatedCluster.job("wk-1", 3, 1));
    w.advance(1);
    assertEquals(3, m.running().size());
    w.nodes.get("node-0").crash();
    w.advance(12);
    assertEquals(3, m.running().size());
    m.running().forEach(id -> m.exit(id, "done"));
    w.advance(4);
    assertEquals("done", w.users.poll("node-2", "wk-1").jobStatus());
    assertEquals(3, m.starts().size());
  }

  /**
   * After all controllers have restarted, running tasks are adopted and only the remaining one is
   * started.
   */
  @Test
  void tasksKeepRunningWhenAllControllersCrash() {
    SimulatedCluster w = new SimulatedCluster(3);
    FakeWorker m = w.machines.addMachine("host-1", "small", "a", "node-1");
    w.start().advance(2);
    w.users.submit("node-0", SimulatedCluster.job("wk-1", 3, 2));
    w.advance(1);
    w.nodes.values().forEach(SimulatedCluster.Node::crash);
    w.advance(3);
    w.nodes.values().forEach(SimulatedCluster.Node::start);
    w.advance(6);
    assertEquals(2, m.running().size());
    m.running().forEach(id -> m.exit(id, "done"));
    w.advance(4);
    m.running().forEach(id -> m.exit(id, "done"));
    w.advance(4);
    assertEquals("done", w.users.poll("node-2", "wk-1").jobStatus());
    assertEquals(3, m.starts().size());
  }

  /**
   * A recorded placement whose start command never reached the worker must not leave its task
   * waiting forever when the holder crashes.
   */
  @Test
  void placementIsStartedWhenTheHolderCrashesBeforeSendingIt() {
    SimulatedCluster w = new SimulatedCluster(3);
    FakeWorker m = w.machines.addMachine("host-1", "small", "a", "node-1");
    w.start().advance(2);
    // The placement is recorded, but the holder cannot send the start command to the worker.
    w.network.dropDelivery = (from, to) -> from.equals("node-1") && to.endsWith(":9");
    w.users.submit("node-0", SimulatedCluster.job("wk-1", 1, 1));
    w.advance(1);
    w.nodes.get("node-1").crash();
    w.network.dropDelivery = (from, to) -> false;
    w.advance(20);
    assertEquals(List.of("wk-1/0"), m.running());
    assertEquals(List.of(), w.users.overlappingRuns);
  }

  /**
   * A task on an unreachable machine may still run until the lease expires, so it must not start
   * elsewhere before.
   */
  @Test
  void tasksOfAnUnreachableMachineRestartOnlyAfterItsLeaseExpires() {
    SimulatedCluster w = new SimulatedCluster(2);
    FakeWorker a = w.machines.addMachine("host-1", "small", "a", "node-0");
    w.start().advance(2);
    w.users.submit("node-0", SimulatedCluster.job("wk-1", 1, 1));
    w.advance(1);
    assertEquals(1, a.running().size());
    FakeWorker b = w.machines.addMachine("host-2", "small", "a", "node-1");
    w.advance(1);
    w.machines.isolatedHosts.add("host-1");
    w.advance(SimulatedCluster.LEASE_S - 3);
    assertEquals(0, b.running().size(), "the lease of the unreachable machine may still be valid");
    w.advance(8);
    assertEquals(List.of("wk-1/0"), b.running());
    assertEquals(List.of(), w.users.overlappingRuns);
  }

  /**
   * A worker whose reports do not reach its holder must get its lease renewed by another controller
   * and keep its tasks.
   */
  @Test
  void machineThatCannotReachItsHolderMovesToAnother() {
    SimulatedCluster w = new SimulatedCluster(3);
    FakeWorker m = w.machines.addMachine("host-1", "small", "a", "node-1");
    w.start().advance(2);
    w.users.submit("node-0", SimulatedCluster.job("wk-1", 1, 1));
    w.advance(1);
    w.network.dropDelivery = (from, to) -> from.equals(m.endpoint()) && to.equals("node-1");
    w.advance(12);
    assertEquals(List.of("wk-1/0"), m.running(), "another controller renewed the lease");
    assertEquals(1, m.starts().size());
  }

  /**
   * A controller that answers a report under a higher token than its own with 200 would keep the
   * worker at a controller whose commands the worker drops.
   */
  @Test
  void reportWithAHigherTokenIsRedirected() throws MalformedMessageException {
    SimulatedCluster w = new SimulatedCluster(1);
    FakeWorker m = w.machines.addMachine("host-1", "small", "a", "node-0");
    w.start().advance(2);
    m.handleReportResponse(
        Document.create().put("baton", m.token() + 5).put("orders", List.of()).encode());
    int status = w.users.request("node-0", "POST", "/hello", m.report()).status();
    assertEquals(421, status, "a 200 with a lower token would keep the worker at this controller");
    w.advance(6);
    w.users.submit("node-0", SimulatedCluster.job("wk-1", 1, 1));
    w.advance(2);
    assertEquals(
        1, m.running().size(), "the machine is held again under a token above the one it has seen");
  }

  /**
   * Once a job is reported cancelled, every controller reports so, and no task of it starts again.
   */
  @Test
  void cancellationStopsAllTasksAndStatusNeverReverts() {
    SimulatedCluster w = new SimulatedCluster(3);
    FakeWorker m = w.machines.addMachine("host-1", "small", "a", "node-1");
    w.start().advance(2);
    w.users.submit("node-0", SimulatedCluster.job("wk-1", 4, 1));
    w.advance(1);
    assertEquals("cancelled", w.users.cancel("node-2", "wk-1").jobStatus());
    for (String node : w.nodes.keySet()) {
      assertEquals("cancelled", w.users.poll(node, "wk-1").jobStatus());
    }
    w.advance(3);
    assertEquals(List.of(), m.running());
    int starts = m.starts().size();
    w.advance(10);
    assertEquals(starts, m.starts().size());
    assertEquals("cancelled", w.users.poll("node-0", "wk-1").jobStatus());
    assertEquals(List.of(), w.stateService.keys("t/"));
  }

  /**
   * A cancellation requested while the claimant is down is refused, and completes once another
   * controller has taken over the claim.
   */
  @Test
  void cancellationCompletesAfterATakeover() {
    SimulatedCluster w = new SimulatedCluster(3);
    FakeWorker m = w.machines.addMachine("host-1", "small", "a", "node-1");
    w.start().advance(2);
    w.users.submit("node-0", SimulatedCluster.job("wk-1", 4, 1));
    w.advance(1);
    w.nodes.get("node-0").crash();
    assertEquals(503, w.users.cancel("node-2", "wk-1").status());
    w.advance(15);
    assertEquals("cancelled", w.users.cancel("node-2", "wk-1").jobStatus());
    assertEquals(List.of(), m.running());
    assertEquals(List.of(), w.stateService.keys("w/j/"));
    assertEquals("cancelled", w.users.poll("node-1", "wk-1").jobStatus());
  }

  /**
   * A holder that is partitioned together with its worker keeps renewing the worker's lease and
   * cannot learn that a job was cancelled. In the bordverkauf-wien workload {@code apart}, a task
   * ran for more than {@code cancel_s} after its job was reported cancelled.
   */
  @Test
  void jobIsNotReportedCancelledWhileAPartitionedTaskRuns() {
    SimulatedCluster w = new SimulatedCluster(3);
    FakeWorker m = w.machines.addMachine("host-1", "small", "a", "node-1");
    w.start().advance(2);
    String holder = w.machines.holderOf("host-1");
    List<String> others = w.nodes.keySet().stream().filter(n -> !n.equals(holder)).toList();
    w.users.submit(others.get(0), SimulatedCluster.job("wk-1", 2, 1));
    w.advance(1);
    assertEquals(2, m.running().size());
    w.network.dropDelivery =
        (from, to) ->
            (from.equals(holder) || to.equals(holder))
                && !from.endsWith(":9")
                && !to.endsWith(":9");
    w.network.dropResponse = w.network.dropDelivery;
    for (int i = 0; i < 15; i++) {
      assertEquals(503, w.users.cancel(others.get(0), "wk-1").status());
      assertEquals(1, w.users.cancel(others.get(1), "wk-1").retryAfterS());
      assertEquals("running", w.users.poll(others.get(0), "wk-1").jobStatus());
      w.advance(2);
    }
    assertEquals(2, m.running().size());
    w.network.dropResponse = (from, to) -> false;
    w.network.dropDelivery = (from, to) -> false;
    w.advance(10);
    assertEquals("cancelled", w.users.cancel(others.get(1), "wk-1").jobStatus());
    assertEquals(List.of(), m.running());
  }

  /**
   * A job with more chunks than one transaction can delete is recorded as done before all its
   * chunks are deleted. A cancellation in between must not change its status.
   */
  @Test
  void doneJobWithUndeletedChunksCannotBeCancelled() throws MalformedMessageException {
    SimulatedCluster w = new SimulatedCluster(2);
    w.start().advance(2);
    JobSpec spec = JobSpec.fromDocument(SimulatedCluster.job("wk-1", 20_000, 1));
    JobRecord done = new JobRecord(spec, 1, "node-9#1", 1, JobRecord.Status.DONE, 0);
    w.writeState(JobRecord.key("wk-1"), done.toDocument("m"));
    assertEquals("done", w.users.cancel("node-0", "wk-1").jobStatus());
    w.advance(10);
    assertEquals("done", w.users.poll("node-1", "wk-1").jobStatus());
    assertEquals("done", w.users.cancel("node-1", "wk-1").jobStatus());
  }

  /**
   * Jobs of one team that are claimed by different controllers together stay within the team's
   * limit, also after a takeover.
   */
  @Test
  void teamLimitHoldsAcrossAControllerCrash() {
    SimulatedCluster w =
        new SimulatedCluster(3, "[[facts.teams]]\nname = \"t\"\ncpus = 1.0\ncpus_max = 3.0\n");
    FakeWorker a = w.machines.addMachine("host-1", "large", "a", "node-0");
    FakeWorker b = w.machines.addMachine("host-2", "large", "a", "node-1");
    w.start().advance(2);
    w.users.submit("node-0", SimulatedCluster.job("wk-1", 6, 1));
    w.users.submit("node-1", SimulatedCluster.job("wk-2", 6, 1));
    w.users.submit("node-2", SimulatedCluster.job("wk-3", 6, 1));
    w.advance(3);
    assertEquals(3, a.running().size() + b.running().size());
    w.nodes.get("node-0").crash();
    int done = 0;
    for (int i = 0; i < 60 && done < 18; i++) {
      w.advance(2);
      assertTrue(a.running().size() + b.running().size() <= 3);
      for (FakeWorker m : List.of(a, b)) {
        for (String id : m.running()) {
          m.exit(id, "done");
          done++;
        }
      }
    }
    w.advance(3);
    for (String id : List.of("wk-1", "wk-2", "wk-3")) {
      assertEquals("done", w.users.poll("node-1", id).jobStatus());
    }
    assertEquals(422, w.users.submit("node-1", SimulatedCluster.job("wk-9", 1, 4)).status());
  }

  /**
   * During an outage of the state service, requests get 503 with a retry delay, known final
   * statuses are still served, and worker leases are renewed.
   */
  @Test
  void stateServiceOutageFailsRequestsFastWhileTasksRun() {
    SimulatedCluster w = new SimulatedCluster(2);
    FakeWorker m = w.machines.addMachine("host-1", "small", "a", "node-0");
    w.start().advance(2);
    w.users.submit("node-0", SimulatedCluster.job("wk-1", 1, 1));
    w.users.submit("node-0", SimulatedCluster.job("wk-2", 1, 1));
    w.advance(1);
    m.exit("wk-2/0", "done");
    w.advance(3);
    assertEquals("done", w.users.poll("node-0", "wk-2").jobStatus());
    w.stateService.outage(true);
    w.advance(3);
    SimulatedUsers.ApiResponse response =
        w.users.submit("node-0", SimulatedCluster.job("wk-3", 1, 1));
    assertEquals(503, response.status());
    assertTrue(response.retryAfterS() > 0);
    assertEquals(503, w.users.poll("node-0", "wk-1").status());
    assertEquals(
        "done", w.users.poll("node-0", "wk-2").jobStatus(), "a final status never changes");
    w.advance(3 * SimulatedCluster.LEASE_S);
    assertEquals(List.of("wk-1/0"), m.running(), "the lease is renewed during the outage");
    w.stateService.outage(false);
    w.advance(4);
    m.exit("wk-1/0", "done");
    w.advance(3);
    assertEquals("done", w.users.poll("node-1", "wk-1").jobStatus());
  }

  /**
   * A single controller that the state service refuses must fail its health check so that clients
   * go elsewhere, while an outage that affects all controllers must not.
   */
  @Test
  void controllerRefusedByTheStateServiceReportsUnhealthy() {
    SimulatedCluster w = new SimulatedCluster(3);
    FakeWorker m = w.machines.addMachine("host-1", "small", "a", "node-0");
    w.start().advance(2);
    w.users.submit("node-0", SimulatedCluster.job("wk-1", 2, 1));
    w.advance(1);
    assertEquals(2, m.running().size());
    w.network.refusedByStateService.add("node-0");
    w.advance(3);
    assertEquals(503, w.users.request("node-0", "GET", "/up", new byte[0]).status());
    assertEquals(200, w.users.request("node-1", "GET", "/up", new byte[0]).status());
    w.advance(10);
    m.exit("wk-1/0", "done");
    m.exit("wk-1/1", "done");
    w.advance(4);
    assertEquals(
        "done",
        w.users.poll("node-1", "wk-1").jobStatus(),
        "another controller has claimed the job");
    assertEquals(201, w.users.submit("node-2", SimulatedCluster.job("wk-2", 1, 1)).status());
    w.advance(3);
    assertEquals(
        List.of("wk-2/0"),
        m.running(),
        "the refused controller still allocates room on its machines");
    w.network.refusedByStateService.clear();
    w.advance(8);
    assertEquals(200, w.users.request("node-0", "GET", "/up", new byte[0]).status());
    assertEquals(List.of("wk-2/0"), m.running());
    w.stateService.outage(true);
    w.advance(3);
    assertEquals(200, w.users.request("node-0", "GET", "/up", new byte[0]).status());
  }

  /**
   * A submission transaction that arrives after the client resubmitted elsewhere must not create
   * the job again.
   */
  @Test
  void delayedTransactionDoesNotCreateTheJobTwice() {
    SimulatedCluster w = new SimulatedCluster(2);
    FakeWorker m = w.machines.addMachine("host-1", "small", "a", "node-0");
    w.start().advance(2);
    w.network.holdRequest = (from, to) -> to.equals("10.2.0.1:1") && from.equals("node-0");
    SimulatedUsers.ApiResponse response =
        w.users.submit("node-0", SimulatedCluster.job("wk-1", 1, 1));
    assertEquals(
        503, response.status(), "the job is not accepted before its record is known to be written");
    w.network.holdRequest = (from, to) -> false;
    assertEquals(201, w.users.submit("node-1", SimulatedCluster.job("wk-1", 1, 1)).status());
    w.network.deliverHeld();
    w.advance(12);
    assertEquals(List.of("wk-1/0"), m.running());
    assertEquals(List.of(), w.users.overlappingRuns);
  }
}
