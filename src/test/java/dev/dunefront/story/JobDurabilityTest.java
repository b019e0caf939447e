package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.standin.FakeWorker;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * No accepted job is lost and every job that is not cancelled runs to completion, also when
 * controllers fail or restart before any other controller detects it.
 */
class JobDurabilityTest {
  /**
   * Control for the final check: it must report a job whose record was removed and one that never
   * runs.
   */
  @Example
  void finalCheckReportsForgottenAndUnfinishedJobs() {
    SimulatedCluster w = SimulatedCluster.withSmallMachines(2);
    assertEquals(201, w.users.submit("node-0", SimulatedCluster.job("wk-1", 2, 1)).status());
    w.advance(2);
    w.removeState("w/j/wk-1");
    List<String> violations = w.users.drainAndCheck();
    assertTrue(
        violations.stream().anyMatch(s -> s.contains("forgotten by node-2")),
        violations.toString());

    SimulatedCluster v = SimulatedCluster.withSmallMachines(1);
    assertEquals(201, v.users.submit("node-0", SimulatedCluster.job("wk-1", 6, 1)).status());
    v.advance(2);
    v.machines.isolatedHosts.add("host-0");
    violations = v.users.drainAndCheck();
    assertEquals(List.of("wk-1 never ran whole"), violations);
  }

  /** Every controller answers status requests for a job in every state. */
  @Example
  void statusIsAnsweredForJobsInEveryState() {
    SimulatedCluster w = SimulatedCluster.withSmallMachines(6);
    assertEquals(201, w.users.submit("node-0", SimulatedCluster.job("wk-1", 4, 1)).status());
    w.advance(2);
    w.machines.completeAllTasks();
    w.advance(4);
    assertEquals("done", w.users.poll("node-1", "wk-1").jobStatus());
    // The submission is accepted, its response is lost, and the claiming controller crashes.
    w.network.dropResponse = (from, to) -> from.equals("node-0") && to.equals("10.2.0.1:1");
    w.users.submit("node-0", SimulatedCluster.job("wk-2", 3, 1));
    w.network.dropResponse = (from, to) -> false;
    w.users.acceptedJobs.put("wk-2", 3);
    assertEquals(201, w.users.submit("node-1", SimulatedCluster.job("wk-3", 3, 1)).status());
    assertEquals(201, w.users.submit("node-2", SimulatedCluster.job("wk-4", 5, 1)).status());
    assertEquals(201, w.users.submit("node-0", SimulatedCluster.job("wk-5", 600, 0.04)).status());
    w.advance(0.5);
    w.users.cancel("node-2", "wk-3");
    w.nodes.get("node-0").crash();
    w.advance(SimulatedCluster.LEASE_S);
    // The restarted controller has no final states in memory and reads them on request.
    w.nodes.get("node-0").start();
    assertEquals(List.of(), w.users.drainAndCheck());
    assertEquals("done", w.users.poll("node-0", "wk-1").jobStatus());
    assertEquals("cancelled", w.users.poll("node-0", "wk-3").jobStatus());
    assertEquals(404, w.users.poll("node-0", "wk-77").status());
  }

  /**
   * Jobs whose tasks always fail stay queryable, can be cancelled at once and do not keep other
   * jobs from running.
   */
  @Example
  void failingJobsStayQueryableAndDoNotBlockOthers() {
    SimulatedCluster w = SimulatedCluster.withSmallMachines(4);
    for (int i = 0; i < 5; i++) {
      assertEquals(
          201, w.users.submit("node-" + i % 3, SimulatedCluster.job("wk-9" + i, 8, 1)).status());
    }
    assertEquals(201, w.users.submit("node-0", SimulatedCluster.job("wk-1", 20, 1)).status());
    for (int second = 0; second < 90; second++) {
      w.advance(1);
      for (FakeWorker m : w.machines.workers.values()) {
        for (String task : m.running()) {
          if (task.startsWith("wk-9")) {
            m.exit(task, "error");
          } else if (second % 5 == 0) {
            m.exit(task, "done");
          }
        }
      }
    }
    assertEquals("done", w.users.poll("node-1", "wk-1").jobStatus());
    int starts = w.machines.workers.values().stream().mapToInt(m -> m.starts().size()).sum();
    assertTrue(starts < 20 + 5 * 30, starts + " starts");
    for (int i = 0; i < 5; i++) {
      String state = w.users.poll("node-" + i % 3, "wk-9" + i).jobStatus();
      assertTrue(state.equals("queued") || state.equals("running"), state);
      assertEquals(200, w.users.cancel("node-" + i % 3, "wk-9" + i).status());
      assertEquals("cancelled", w.users.poll("node-0", "wk-9" + i).jobStatus());
    }
    assertEquals(201, w.users.submit("node-0", SimulatedCluster.job("wk-2", 16, 1)).status());
    w.advance(2);
    assertEquals(
        16, w.machines.runningCount(), "no machine is quarantined because of the failing jobs");
    assertEquals(List.of(), w.users.drainAndCheck());
  }

  /**
   * A job whose tasks fail on two machines and succeed elsewhere must not be throttled as a failing
   * job.
   */
  @Example
  void failuresOnTwoMachinesDoNotDelayAJobThatSucceedsElsewhere() {
    SimulatedCluster w = SimulatedCluster.withSmallMachines(5);
    assertEquals(201, w.users.submit("node-0", SimulatedCluster.job("wk-1", 40, 1)).status());
    w.advance(2);
    for (int i = 0; i < 2; i++) {
      FakeWorker m = w.machines.workers.get("host-" + i + ":9");
      m.running().forEach(t -> m.exit(t, "error"));
    }
    w.advance(2);
    for (int i = 2; i < 5; i++) {
      FakeWorker m = w.machines.workers.get("host-" + i + ":9");
      m.running().forEach(t -> m.exit(t, "done"));
    }
    w.advance(5);
    assertTrue(
        w.machines.runningCount() >= 12,
        w.machines.runningCount() + " tasks run although there is room for all");
  }

  /**
   * One controller crashes and restarts five times within ten seconds, whatever it is doing at the
   * time.
   */
  @Example
  void controllerRestartsRepeatedlyWithinItsLease() {
    SimulatedCluster w = SimulatedCluster.withSmallMachines(9);
    for (int i = 0; i < 6; i++) {
      assertEquals(
          201, w.users.submit("node-" + i % 3, SimulatedCluster.job("wk-" + i, 5, 1)).status());
    }
    w.advance(1);
    int holdWrites = w.stateService.writes("w/h/");
    for (int round = 0; round < 5; round++) {
      w.nodes.get("node-1").crash();
      w.advance(0.2);
      w.nodes.get("node-1").start();
      w.advance(1.8);
    }
    w.advance(SimulatedCluster.LEASE_S);
    assertEquals(30, w.machines.runningCount(), "no task is lost");
    assertTrue(
        w.stateService.writes("w/h/") - holdWrites <= 3,
        "the holds are kept without a write for each restart");
    assertEquals(List.of(), w.users.drainAndCheck());
  }

  @Example
  void allControllersRestartRepeatedlyDuringElections() {
    SimulatedCluster w = SimulatedCluster.withSmallMachines(9).withRentingDelays(5, 4);
    for (int i = 0; i < 6; i++) {
      assertEquals(
          201, w.users.submit("node-" + i % 3, SimulatedCluster.job("wk-" + i, 5, 1)).status());
    }
    w.advance(1);
    for (int round = 0; round < 5; round++) {
      double after = 0.05 + 0.3 * round;
      w.nodes.values().forEach(SimulatedCluster.Node::crash);
      w.advance(after);
      w.nodes.values().forEach(SimulatedCluster.Node::start);
      w.advance(after);
    }
    w.advance(3);
    assertEquals(30, w.machines.runningCount());
    assertEquals(List.of(), w.users.drainAndCheck());
  }

  /** After any sequence of faults, single or overlapping, the final check holds. */
  @Property(tries = 40, seed = "28", shrinking = ShrinkingMode.BOUNDED)
  void allJobsFinishAfterAnySequenceOfFaults(
      @ForAll @Size(min = 1, max = 6) List<@IntRange(max = 8_999) Integer> faults) {
    SimulatedCluster w = SimulatedCluster.withSmallMachines(9);
    for (int i = 0; i < 6; i++) {
      w.users.submit("node-" + i % 3, SimulatedCluster.job("wk-" + i, 3 + i, 1 + i % 2));
    }
    int submitted = 0;
    for (int fault : faults) {
      injectFault(w, fault % 9, "node-" + fault / 9 % 3, "host-" + fault / 27 % 9, fault / 243);
      w.advance(0.1 + fault % 50 * 0.2);
      w.users.submit("node-" + submitted % 3, SimulatedCluster.job("wk-1" + submitted++, 4, 1));
      if (fault % 2 == 0) {
        w.machines.completeAllTasks();
      }
    }
    w.network.dropDelivery = (from, to) -> false;
    w.machines.isolatedHosts.clear();
    w.machines.inboundBlockedHosts.clear();
    w.machines.duplicateReportDelaysS = List.of();
    w.network.refusedByStateService.clear();
    w.stateService.outage(false);
    for (SimulatedCluster.Node n : w.nodes.values()) {
      if (!n.up()) {
        n.start();
      }
      w.network.reconnectLinks(n.name);
    }
    w.advance(3);
    assertEquals(List.of(), w.users.drainAndCheck());
  }

  private static void injectFault(
      SimulatedCluster w, int kind, String node, String host, int extra) {
    SimulatedCluster.Node n = w.nodes.get(node);
    switch (kind) {
      case 0 -> w.machines.inboundBlockedHosts.add(host);
      case 1 ->
          w.machines.duplicateReportDelaysS =
              List.of(0.5 + extra % 30, SimulatedCluster.LEASE_S * 2);
      case 2 -> {
        w.network.dropDelivery = SimulatedNetwork.isolatedFromPeersAndState(node);
        w.clock.after(5, () -> w.network.timeOutLinks(node));
      }
      case 3 -> {
        if (n.up()) {
          n.crash();
          w.clock.after(0.05 + extra * 0.02, n::start);
        }
      }
      case 4 -> {
        if (n.up()) {
          n.pause(2 + extra);
        }
      }
      case 5 -> w.machines.workers.get(host + ":9").restart();
      case 6 -> w.network.refusedByStateService.add(node);
      case 7 -> w.machines.isolatedHosts.add(host);
      default -> w.machines.inboundBlockedHosts.remove(host);
    }
  }

  /**
   * A burst of eight times the usual number of status requests causes only a few reads of the state
   * service.
   */
  @Example
  void statusRequestBurstCausesFewStateServiceReads() {
    SimulatedCluster w = SimulatedCluster.withSmallMachines(4);
    for (int i = 0; i < 20; i++) {
      assertEquals(
          201, w.users.submit("node-" + i % 3, SimulatedCluster.job("wk-" + i, 1, 0.5)).status());
    }
    w.advance(2);
    int[] reads = new int[1];
    w.network.requestListener =
        (from, path, body) ->
            reads[0] += path.startsWith("/keys/w/") || path.contains("prefix=w/j") ? 1 : 0;
    int[] answered = new int[1];
    for (int i = 0; i < 1000; i++) {
      String id = "wk-" + i % 20;
      w.nodes
          .get("node-" + i % 3)
          .request("GET", "/v1/jobs/" + id, status -> answered[0] += status == 200 ? 1 : 0);
      w.advance(0.002);
    }
    w.advance(1);
    assertEquals(1000, answered[0]);
    assertTrue(reads[0] < 100, reads[0] + " reads for 1,000 status requests");
    assertEquals(201, w.users.submit("node-0", SimulatedCluster.job("wk-50", 1, 1)).status());
  }

  /**
   * No controller returns an older status than another has already returned, even if the responses
   * to its watch are lost or late.
   */
  @Property(tries = 60, seed = "27", shrinking = ShrinkingMode.BOUNDED)
  void statusNeverGoesBackWhenWatchResponsesAreLostOrLate(
      @ForAll @Size(max = 6) List<@IntRange(max = 4) Integer> fates,
      @ForAll @IntRange(max = 20) int pause)
      throws MalformedMessageException {
    SimulatedCluster w = SimulatedCluster.withSmallMachines(3);
    int[] n = new int[1];
    w.network.deliveryPolicy =
        (from, path, body) ->
            from.equals("node-1") && path.startsWith("/watch") && n[0] < fates.size()
                ? SimulatedNetwork.Delivery.values()[fates.get(n[0]++)]
                : SimulatedNetwork.Delivery.ON_TIME;
    w.advance(pause * 0.05);
    assertEquals(201, w.users.submit("node-0", SimulatedCluster.job("wk-1", 2, 1)).status());
    SimulatedUsers.ApiResponse response = w.users.poll("node-1", "wk-1");
    assertTrue(response.status() == 200 || response.status() == 503, "status " + response.status());
    w.advance(1);
    w.machines.completeAllTasks();
    boolean done = false;
    for (int i = 0; i < 40; i++) {
      w.advance(0.2);
      done |= w.users.poll("node-0", "wk-1").jobStatus().equals("done");
      response = w.users.poll("node-1", "wk-1");
      if (done && response.status() == 200) {
        assertEquals("done", response.jobStatus());
      }
      assertFalse(response.status() == 404);
    }
    assertTrue(done);
    Document spec = SimulatedCluster.job("wk-1", 2, 1);
    assertEquals(200, w.users.submit("node-1", spec).status());
  }

  /** A job of 100,000 tasks is accepted, polled, started and cancelled like any other job. */
  @Example
  void largestJobIsHandledLikeAnyOther() {
    SimulatedCluster w = SimulatedCluster.withSmallMachines(9);
    int before = w.stateService.writes("");
    assertEquals(
        201, w.users.submit("node-0", SimulatedCluster.job("wk-1", 100_000, 0.25)).status());
    assertEquals(1, w.stateService.writes("") - before, "the job is accepted with one write");
    assertEquals("queued", w.users.poll("node-1", "wk-1").jobStatus());
    assertEquals(
        201,
        w.users
            .submit("node-1", SimulatedCluster.job("wk-2", 4, 1).put("urgency", "high"))
            .status());
    before = w.stateService.writes("");
    for (int second = 0; second < 30; second++) {
      w.advance(1);
      w.machines.completeAllTasks();
    }
    int starts = w.machines.workers.values().stream().mapToInt(m -> m.starts().size()).sum();
    double writesPerStart = (double) (w.stateService.writes("") - before) / starts;
    assertTrue(writesPerStart < 0.3, writesPerStart + " writes for each of " + starts + " starts");
    assertEquals("done", w.users.poll("node-2", "wk-2").jobStatus());
    // The next claimant reads the records of started tasks, not one record for each task.
    w.nodes.get("node-0").crash();
    w.nodes.get("node-1").crash();
    w.advance(SimulatedCluster.LEASE_S);
    w.nodes.get("node-0").start();
    w.nodes.get("node-1").start();
    w.advance(5);
    assertTrue(w.machines.runningCount() > 0);
    SimulatedUsers.ApiResponse response = w.users.cancel("node-2", "wk-1");
    for (int i = 0; i < 20 && response.status() != 200; i++) {
      w.advance(1);
      response = w.users.cancel("node-2", "wk-1");
    }
    assertEquals("cancelled", response.jobStatus());
    assertEquals(0, w.machines.runningCount());
    assertEquals(List.of(), w.users.drainAndCheck());
    assertEquals(List.of(), w.stateService.keys("t/"));
  }
}
