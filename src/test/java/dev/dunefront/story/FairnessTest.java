package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.config.Tunables;
import dev.dunefront.standin.FakeWorker;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Every job starts within a bound, whatever else is queued. Best-effort tasks that can save a
 * snapshot use idle room and are preempted by other jobs.
 */
class FairnessTest {
  private static final double START_BOUND_S = 60;

  private static SimulatedCluster startCluster(int machines) {
    SimulatedCluster cluster = new SimulatedCluster(2);
    cluster.tunables =
        Tunables.withOverrides(Map.of("idle_boots", 1000.0, "begin_s", START_BOUND_S));
    cluster.start().advance(2);
    for (int i = 0; i < machines; i++) {
      cluster.machines.addMachine("host-" + i, "small", "a", "node-" + i % 2);
    }
    cluster.advance(5);
    return cluster;
  }

  /** Completes one task on each machine, so that tasks never end all at once. */
  private static void completeOneTaskPerMachine(SimulatedCluster cluster, int second) {
    for (FakeWorker m : cluster.machines.workers.values()) {
      List<String> running = m.running();
      if (!running.isEmpty()) {
        m.exit(running.get(second % running.size()), "done");
      }
    }
  }

  private static boolean hasStarted(SimulatedCluster cluster, String job) {
    return cluster.machines.workers.values().stream()
        .flatMap(m -> m.starts().stream())
        .anyMatch(s -> s.startsWith(job + "/"));
  }

  /**
   * A best-effort task that needs a whole machine must start despite a continuous stream of urgent
   * jobs.
   */
  @Example
  void wholeMachineBestEffortTaskStartsDespiteUrgentStream() {
    SimulatedCluster cluster = startCluster(4);
    for (int i = 0; i < 3; i++) {
      cluster.users.submit(
          "node-" + i % 2, SimulatedCluster.job("wk-" + i, 60, 1).put("urgency", "high"));
    }
    cluster.advance(1);
    cluster.users.submit(
        "node-0", SimulatedCluster.job("wk-900", 3, 4).put("urgency", "best_effort"));
    cluster.users.submit("node-1", SimulatedCluster.job("wk-901", 3, 3).put("urgency", "normal"));
    int nextJob = 3;
    for (int second = 0; second < START_BOUND_S; second++) {
      if (second % 4 == 0) {
        cluster.users.submit(
            "node-" + nextJob % 2,
            SimulatedCluster.job("wk-" + nextJob++, 20, 1).put("urgency", "high"));
      }
      cluster.advance(1);
      completeOneTaskPerMachine(cluster, second);
    }
    assertTrue(hasStarted(cluster, "wk-900"), "the job of whole-machine tasks has not started");
    assertTrue(hasStarted(cluster, "wk-901"));
    assertEquals(List.of(), cluster.users.overlappingRuns);
  }

  /**
   * Random jobs of mixed sizes and priorities run beside a stream of urgent jobs: every job that
   * fits starts within the bound.
   */
  @Property(tries = 20, seed = "28", shrinking = ShrinkingMode.BOUNDED)
  void everyJobThatFitsStartsWithinTheBound(
      @ForAll @Size(min = 8, max = 16) List<@IntRange(max = 479) Integer> jobs) {
    SimulatedCluster cluster = startCluster(4);
    String[] urgencies = {"critical", "high", "normal", "best_effort"};
    Map<String, Double> submittedAtS = new HashMap<>();
    int nextJob = 0;
    for (int second = 0; second < 2 * START_BOUND_S + 30; second++) {
      if (second % 3 == 0 && nextJob < jobs.size()) {
        int encoded = jobs.get(nextJob);
        String id = "wk-" + nextJob++;
        cluster.users.submit(
            "node-" + encoded % 2,
            SimulatedCluster.job(id, 1 + encoded / 16, 1 + encoded % 4)
                .put("urgency", urgencies[encoded / 4 % 4]));
        submittedAtS.put(id, cluster.clock.now());
      }
      if (second % 4 == 0) {
        cluster.users.submit(
            "node-0", SimulatedCluster.job("wk-9" + second, 20, 1).put("urgency", "high"));
      }
      cluster.advance(1);
      completeOneTaskPerMachine(cluster, second);
      submittedAtS.keySet().removeIf(id -> hasStarted(cluster, id));
      submittedAtS.forEach(
          (id, submittedS) ->
              assertTrue(
                  cluster.clock.now() - submittedS < START_BOUND_S,
                  id + " has not started in time"));
    }
  }

  /**
   * Best-effort tasks that can save a snapshot use idle room and are preempted by any other job,
   * however long they have run. Without that preemption they hold the room for their whole run.
   */
  @Example
  void bestEffortTasksUseIdleRoomAndArePreempted() {
    SimulatedCluster cluster = startCluster(4);
    cluster.users.submit(
        "node-0",
        SimulatedCluster.job("wk-1", 40, 1)
            .put("urgency", "best_effort")
            .put("snapshot_every_s", 30.0)
            .put("snapshot_s", 3.0));
    cluster.advance(3);
    assertEquals(16, cluster.machines.runningCount(), "best-effort tasks do not use all idle room");
    cluster.advance(40);
    cluster.users.submit("node-1", SimulatedCluster.job("wk-2", 10, 1));
    cluster.advance(6);
    long preemptingTasks =
        cluster.machines.workers.values().stream()
            .flatMap(m -> m.running().stream())
            .filter(t -> t.startsWith("wk-2/"))
            .count();
    assertEquals(10, preemptingTasks);
    assertEquals(16, cluster.machines.runningCount());
    for (int second = 0; second < 40; second++) {
      cluster.advance(1);
      completeOneTaskPerMachine(cluster, second);
    }
    assertEquals("done", cluster.users.poll("node-0", "wk-2").jobStatus());
    assertEquals(
        List.of(), cluster.users.drainAndCheck(), "the best-effort tasks do not run to their end");
  }

  /**
   * Under steady load, free room is not idle: the next job takes it. Best-effort tasks placed there
   * would have to run for a while and save a snapshot before they leave.
   */
  @Example
  void bestEffortTasksLeaveRoomThatOtherJobsNeedSoon() {
    SimulatedCluster cluster = startCluster(4);
    int nextJob = 0;
    int waitedJobs = 0;
    for (int second = 0; second < 90; second++) {
      if (second == 20) {
        cluster.users.submit(
            "node-0",
            SimulatedCluster.job("wk-900", 40, 1)
                .put("urgency", "best_effort")
                .put("snapshot_every_s", 30.0)
                .put("snapshot_s", 3.0));
      }
      String id = "wk-" + nextJob;
      if (second % 3 == 0) {
        cluster.users.submit("node-" + nextJob++ % 2, SimulatedCluster.job(id, 2, 1));
      }
      cluster.advance(1);
      if (second % 3 == 0 && second > 30) {
        waitedJobs += hasStarted(cluster, id) ? 0 : 1;
      }
      for (FakeWorker m : cluster.machines.workers.values()) {
        // Tasks of the other jobs run for about five seconds, best-effort tasks for long.
        for (String task : m.running()) {
          if (!task.startsWith("wk-900/") && second % 5 == 4) {
            m.exit(task, "done");
          }
        }
      }
    }
    assertTrue(
        waitedJobs <= 10,
        waitedJobs + " of 19 jobs waited; 16 do if best-effort tasks take all free room");
    assertTrue(hasStarted(cluster, "wk-900"), "no best-effort task uses idle room");
    long bestEffortTasks =
        cluster.machines.workers.values().stream()
            .flatMap(m -> m.running().stream())
            .filter(t -> t.startsWith("wk-900/"))
            .count();
    assertTrue(bestEffortTasks >= 4, bestEffortTasks + " best-effort tasks run");
  }
}
