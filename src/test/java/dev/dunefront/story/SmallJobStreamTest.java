package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.standin.FakeWorker;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;

/**
 * One-task jobs are submitted at four per second for two minutes, and a quarter of them is
 * cancelled.
 */
class SmallJobStreamTest {
  private static final int LOAD_DURATION_S = 120;
  private static final double TASK_DURATION_S = 6;

  @Example
  void fourJobsPerSecondStayWithinStateServiceLimits() {
    SimulatedCluster cluster = new SimulatedCluster(3);
    // The limits of a small deployment, for all controllers together.
    cluster.writeRps = 50;
    cluster.rps = 250;
    cluster.start().advance(2);
    for (int i = 0; i < 12; i++) {
      cluster.machines.addMachine("host-" + i, "small", "a", "node-" + i % 3);
    }
    cluster.advance(5);
    int writesBefore = cluster.stateService.writes("");
    List<Integer> backlog = new ArrayList<>();
    int jobCount = 0;
    for (int second = 0; second < LOAD_DURATION_S; second++) {
      for (int i = 0; i < 4; i++) {
        String id = "wk-" + jobCount;
        cluster.users.requestWithRetries(
            "POST", "/v1/jobs", SimulatedCluster.job(id, 1, 1), id, jobCount, 40);
        if (jobCount % 4 == 3) {
          String cancelled = "wk-" + (jobCount - 2);
          cluster.users.cancelRequestedJobs.add(cancelled);
          cluster.users.requestWithRetries(
              "POST", "/v1/jobs/" + cancelled + "/abort", null, cancelled, jobCount + 1, 40);
        }
        jobCount++;
        cluster.advance(0.25);
        cluster.users.requestWithRetries("GET", "/v1/jobs/" + id, null, id, jobCount, 1);
      }
      if (second % 20 == 10) {
        String urgent = "wk-9" + second;
        int submittedS = second;
        cluster.users.requestWithRetries(
            "POST",
            "/v1/jobs",
            SimulatedCluster.job(urgent, 2, 1).put("urgency", "high"),
            urgent,
            jobCount,
            40);
        cluster.clock.after(
            4,
            () ->
                assertTrue(
                    hasStarted(cluster, urgent + "/"),
                    urgent + " has not started; submitted at second " + submittedS));
      }
      for (FakeWorker m : cluster.machines.workers.values()) {
        m.running().forEach(t -> completeAfterTaskDuration(cluster, m, t));
      }
      backlog.add(unstartedJobs(cluster));
    }
    double writesPerJob = (double) (cluster.stateService.writes("") - writesBefore) / jobCount;
    assertTrue(writesPerJob < 6, writesPerJob + " writes per job");
    int earlyBacklog = backlog.subList(20, 40).stream().mapToInt(i -> i).sum();
    int lateBacklog =
        backlog.subList(LOAD_DURATION_S - 20, LOAD_DURATION_S).stream().mapToInt(i -> i).sum();
    assertTrue(lateBacklog <= 2 * earlyBacklog + 80, "the queue grows: " + backlog);
    cluster.advance(10);
    assertEquals(jobCount + LOAD_DURATION_S / 20, cluster.users.acceptedJobs.size());
    assertEquals(0, unstartedJobs(cluster), "not all jobs have started");
    assertEquals(List.of(), cluster.users.drainAndCheck());
  }

  private static void completeAfterTaskDuration(
      SimulatedCluster cluster, FakeWorker m, String task) {
    cluster.clock.after(TASK_DURATION_S, () -> m.exit(task, "done"));
  }

  private static boolean hasStarted(SimulatedCluster cluster, String prefix) {
    return cluster.machines.workers.values().stream()
        .anyMatch(m -> m.starts().stream().anyMatch(s -> s.startsWith(prefix)));
  }

  /** Returns the number of accepted jobs that are not cancelled and have not started. */
  private static int unstartedJobs(SimulatedCluster cluster) {
    List<String> startedJobs = new ArrayList<>();
    for (FakeWorker m : cluster.machines.workers.values()) {
      m.starts().forEach(s -> startedJobs.add(s.substring(0, s.indexOf('/'))));
    }
    return (int)
        cluster.users.acceptedJobs.keySet().stream()
            .filter(
                id -> !cluster.users.cancelRequestedJobs.contains(id) && !startedJobs.contains(id))
            .count();
  }
}
