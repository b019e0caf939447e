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
    World w = World.of(2);
    assertEquals(201, w.submit("node-0", World.job("wk-1", 2, 1)).status());
    w.pass(2);
    w.removeState("w/j/wk-1");
    List<String> violations = w.dayEnds();
    assertTrue(
        violations.stream().anyMatch(s -> s.contains("forgotten by node-2")),
        violations.toString());

    World v = World.of(1);
    assertEquals(201, v.submit("node-0", World.job("wk-1", 6, 1)).status());
    v.pass(2);
    v.silent.add("host-0");
    violations = v.dayEnds();
    assertEquals(List.of("wk-1 never ran whole"), violations);
  }

  /** Every controller answers status requests for a job in every state. */
  @Example
  void statusIsAnsweredForJobsInEveryState() {
    World w = World.of(6);
    assertEquals(201, w.submit("node-0", World.job("wk-1", 4, 1)).status());
    w.pass(2);
    w.finishAll();
    w.pass(4);
    assertEquals("done", w.poll("node-1", "wk-1").state());
    // The submission is accepted, its response is lost, and the claiming controller crashes.
    w.unanswered = (from, to) -> from.equals("node-0") && to.equals("10.2.0.1:1");
    w.submit("node-0", World.job("wk-2", 3, 1));
    w.unanswered = (from, to) -> false;
    w.accepted.put("wk-2", 3);
    assertEquals(201, w.submit("node-1", World.job("wk-3", 3, 1)).status());
    assertEquals(201, w.submit("node-2", World.job("wk-4", 5, 1)).status());
    assertEquals(201, w.submit("node-0", World.job("wk-5", 600, 0.04)).status());
    w.pass(0.5);
    w.cancel("node-2", "wk-3");
    w.nodes.get("node-0").crash();
    w.pass(World.LEASE_S);
    // The restarted controller has no final states in memory and reads them on request.
    w.nodes.get("node-0").start();
    assertEquals(List.of(), w.dayEnds());
    assertEquals("done", w.poll("node-0", "wk-1").state());
    assertEquals("cancelled", w.poll("node-0", "wk-3").state());
    assertEquals(404, w.poll("node-0", "wk-77").status());
  }

  /**
   * Jobs whose tasks always fail stay queryable, can be cancelled at once and do not keep other
   * jobs from running.
   */
  @Example
  void failingJobsStayQueryableAndDoNotBlockOthers() {
    World w = World.of(4);
    for (int i = 0; i < 5; i++) {
      assertEquals(201, w.submit("node-" + i % 3, World.job("wk-9" + i, 8, 1)).status());
    }
    assertEquals(201, w.submit("node-0", World.job("wk-1", 20, 1)).status());
    for (int second = 0; second < 90; second++) {
      w.pass(1);
      for (FakeWorker m : w.workers.values()) {
        for (String task : m.running()) {
          if (task.startsWith("wk-9")) {
            m.exit(task, "error");
          } else if (second % 5 == 0) {
            m.exit(task, "done");
          }
        }
      }
    }
    assertEquals("done", w.poll("node-1", "wk-1").state());
    int starts = w.workers.values().stream().mapToInt(m -> m.starts().size()).sum();
    assertTrue(starts < 20 + 5 * 30, starts + " starts");
    for (int i = 0; i < 5; i++) {
      String state = w.poll("node-" + i % 3, "wk-9" + i).state();
      assertTrue(state.equals("queued") || state.equals("running"), state);
      assertEquals(200, w.cancel("node-" + i % 3, "wk-9" + i).status());
      assertEquals("cancelled", w.poll("node-0", "wk-9" + i).state());
    }
    assertEquals(201, w.submit("node-0", World.job("wk-2", 16, 1)).status());
    w.pass(2);
    assertEquals(16, w.running(), "no machine is quarantined because of the failing jobs");
    assertEquals(List.of(), w.dayEnds());
  }

  /**
   * A job whose tasks fail on two machines and succeed elsewhere must not be throttled as a failing
   * job.
   */
  @Example
  void failuresOnTwoMachinesDoNotDelayAJobThatSucceedsElsewhere() {
    World w = World.of(5);
    assertEquals(201, w.submit("node-0", World.job("wk-1", 40, 1)).status());
    w.pass(2);
    for (int i = 0; i < 2; i++) {
      FakeWorker m = w.workers.get("host-" + i + ":9");
      m.running().forEach(t -> m.exit(t, "error"));
    }
    w.pass(2);
    for (int i = 2; i < 5; i++) {
      FakeWorker m = w.workers.get("host-" + i + ":9");
      m.running().forEach(t -> m.exit(t, "done"));
    }
    w.pass(5);
    assertTrue(w.running() >= 12, w.running() + " tasks run although there is room for all");
  }

  /**
   * One controller crashes and restarts five times within ten seconds, whatever it is doing at the
   * time.
   */
  @Example
  void controllerRestartsRepeatedlyWithinItsLease() {
    World w = World.of(9);
    for (int i = 0; i < 6; i++) {
      assertEquals(201, w.submit("node-" + i % 3, World.job("wk-" + i, 5, 1)).status());
    }
    w.pass(1);
    int holdWrites = w.state.writes("w/h/");
    for (int round = 0; round < 5; round++) {
      w.nodes.get("node-1").crash();
      w.pass(0.2);
      w.nodes.get("node-1").start();
      w.pass(1.8);
    }
    w.pass(World.LEASE_S);
    assertEquals(30, w.running(), "no task is lost");
    assertTrue(
        w.state.writes("w/h/") - holdWrites <= 3,
        "the holds are kept without a write for each restart");
    assertEquals(List.of(), w.dayEnds());
  }

  @Example
  void allControllersRestartRepeatedlyDuringElections() {
    World w = World.of(9).renting(5, 4);
    for (int i = 0; i < 6; i++) {
      assertEquals(201, w.submit("node-" + i % 3, World.job("wk-" + i, 5, 1)).status());
    }
    w.pass(1);
    for (int round = 0; round < 5; round++) {
      double after = 0.05 + 0.3 * round;
      w.nodes.values().forEach(World.Node::crash);
      w.pass(after);
      w.nodes.values().forEach(World.Node::start);
      w.pass(after);
    }
    w.pass(3);
    assertEquals(30, w.running());
    assertEquals(List.of(), w.dayEnds());
  }

  /** After any sequence of faults, single or overlapping, the final check holds. */
  @Property(tries = 40, seed = "28", shrinking = ShrinkingMode.BOUNDED)
  void allJobsFinishAfterAnySequenceOfFaults(
      @ForAll @Size(min = 1, max = 6) List<@IntRange(max = 8_999) Integer> faults) {
    World w = World.of(9);
    for (int i = 0; i < 6; i++) {
      w.submit("node-" + i % 3, World.job("wk-" + i, 3 + i, 1 + i % 2));
    }
    int submitted = 0;
    for (int fault : faults) {
      injectFault(w, fault % 9, "node-" + fault / 9 % 3, "host-" + fault / 27 % 9, fault / 243);
      w.pass(0.1 + fault % 50 * 0.2);
      w.submit("node-" + submitted % 3, World.job("wk-1" + submitted++, 4, 1));
      if (fault % 2 == 0) {
        w.finishAll();
      }
    }
    w.lost = (from, to) -> false;
    w.silent.clear();
    w.deaf.clear();
    w.copiesAfterS = List.of();
    w.refusedByState.clear();
    w.state.outage(false);
    for (World.Node n : w.nodes.values()) {
      if (!n.up()) {
        n.start();
      }
      w.linksBack(n.name);
    }
    w.pass(3);
    assertEquals(List.of(), w.dayEnds());
  }

  private static void injectFault(World w, int kind, String node, String host, int extra) {
    World.Node n = w.nodes.get(node);
    switch (kind) {
      case 0 -> w.deaf.add(host);
      case 1 -> w.copiesAfterS = List.of(0.5 + extra % 30, World.LEASE_S * 2);
      case 2 -> {
        w.lost = World.withoutPeersAndState(node);
        w.timers.after(5, () -> w.linksSilent(node));
      }
      case 3 -> {
        if (n.up()) {
          n.crash();
          w.timers.after(0.05 + extra * 0.02, n::start);
        }
      }
      case 4 -> {
        if (n.up()) {
          n.standStill(2 + extra);
        }
      }
      case 5 -> w.workers.get(host + ":9").restart();
      case 6 -> w.refusedByState.add(node);
      case 7 -> w.silent.add(host);
      default -> w.deaf.remove(host);
    }
  }

  /**
   * A burst of eight times the usual number of status requests causes only a few reads of the state
   * service.
   */
  @Example
  void statusRequestBurstCausesFewStateServiceReads() {
    World w = World.of(4);
    for (int i = 0; i < 20; i++) {
      assertEquals(201, w.submit("node-" + i % 3, World.job("wk-" + i, 1, 0.5)).status());
    }
    w.pass(2);
    int[] reads = new int[1];
    w.tap =
        (from, path, body) ->
            reads[0] += path.startsWith("/keys/w/") || path.contains("prefix=w/j") ? 1 : 0;
    int[] answered = new int[1];
    for (int i = 0; i < 1000; i++) {
      String id = "wk-" + i % 20;
      w.nodes
          .get("node-" + i % 3)
          .request("GET", "/v1/jobs/" + id, status -> answered[0] += status == 200 ? 1 : 0);
      w.pass(0.002);
    }
    w.pass(1);
    assertEquals(1000, answered[0]);
    assertTrue(reads[0] < 100, reads[0] + " reads for 1,000 status requests");
    assertEquals(201, w.submit("node-0", World.job("wk-50", 1, 1)).status());
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
    World w = World.of(3);
    int[] n = new int[1];
    w.fates =
        (from, path, body) ->
            from.equals("node-1") && path.startsWith("/watch") && n[0] < fates.size()
                ? World.Fate.values()[fates.get(n[0]++)]
                : World.Fate.ON_TIME;
    w.pass(pause * 0.05);
    assertEquals(201, w.submit("node-0", World.job("wk-1", 2, 1)).status());
    World.Said response = w.poll("node-1", "wk-1");
    assertTrue(response.status() == 200 || response.status() == 503, "status " + response.status());
    w.pass(1);
    w.finishAll();
    boolean done = false;
    for (int i = 0; i < 40; i++) {
      w.pass(0.2);
      done |= w.poll("node-0", "wk-1").state().equals("done");
      response = w.poll("node-1", "wk-1");
      if (done && response.status() == 200) {
        assertEquals("done", response.state());
      }
      assertFalse(response.status() == 404);
    }
    assertTrue(done);
    Document spec = World.job("wk-1", 2, 1);
    assertEquals(200, w.submit("node-1", spec).status());
  }

  /** A job of 100,000 tasks is accepted, polled, started and cancelled like any other job. */
  @Example
  void largestJobIsHandledLikeAnyOther() {
    World w = World.of(9);
    int before = w.state.writes("");
    assertEquals(201, w.submit("node-0", World.job("wk-1", 100_000, 0.25)).status());
    assertEquals(1, w.state.writes("") - before, "the job is accepted with one write");
    assertEquals("queued", w.poll("node-1", "wk-1").state());
    assertEquals(201, w.submit("node-1", World.job("wk-2", 4, 1).put("urgency", "high")).status());
    before = w.state.writes("");
    for (int second = 0; second < 30; second++) {
      w.pass(1);
      w.finishAll();
    }
    int starts = w.workers.values().stream().mapToInt(m -> m.starts().size()).sum();
    double writesPerStart = (double) (w.state.writes("") - before) / starts;
    assertTrue(writesPerStart < 0.3, writesPerStart + " writes for each of " + starts + " starts");
    assertEquals("done", w.poll("node-2", "wk-2").state());
    // The next claimant reads the records of started tasks, not one record for each task.
    w.nodes.get("node-0").crash();
    w.nodes.get("node-1").crash();
    w.pass(World.LEASE_S);
    w.nodes.get("node-0").start();
    w.nodes.get("node-1").start();
    w.pass(5);
    assertTrue(w.running() > 0);
    World.Said response = w.cancel("node-2", "wk-1");
    for (int i = 0; i < 20 && response.status() != 200; i++) {
      w.pass(1);
      response = w.cancel("node-2", "wk-1");
    }
    assertEquals("cancelled", response.state());
    assertEquals(0, w.running());
    assertEquals(List.of(), w.dayEnds());
    assertEquals(List.of(), w.state.keys("t/"));
  }
}
