package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Controllers crash with hundreds of open jobs and machines, within the request rates of the state
 * service for a fleet.
 */
class BulkTakeoverTest {
  private static final int JOBS = 300;
  private static final int MACHINES = 300;
  private static final int TASKS = 6;

  /**
   * The lease of a controller plus the further time that may pass until all its jobs are claimed,
   * in seconds.
   */
  private static final double TAKEOVER_BOUND_S = 4 + 2;

  private static SimulatedCluster startFullCluster() {
    SimulatedCluster cluster = new SimulatedCluster(5);
    cluster.writeRps = 90;
    cluster.rps = 250;
    cluster.start().advance(2);
    for (int i = 0; i < MACHINES; i++) {
      cluster.machines.addMachine("host-" + i, "large", "a", "node-" + i % 5);
    }
    cluster.advance(6);
    for (int i = 0; i < JOBS; i++) {
      String urgency = i % 5 == 0 ? "high" : "normal";
      Document job = SimulatedCluster.job("wk-" + i, TASKS, 1).put("urgency", urgency);
      assertEquals(201, cluster.users.submit("node-" + i % 5, job).status());
    }
    cluster.advance(12);
    assertEquals(JOBS * TASKS, cluster.machines.runningCount());
    return cluster;
  }

  /** Returns the number of jobs of an urgency whose claimant is down. */
  private static long orphanedJobs(SimulatedCluster cluster, String urgency) {
    return cluster.stateService.keys("w/j/").stream()
        .filter(k -> isOrphaned(cluster, k, urgency))
        .count();
  }

  private static boolean isOrphaned(SimulatedCluster cluster, String key, String urgency) {
    try {
      Document record = cluster.stateService.value(key);
      String claim = record.textOr("claim", "");
      String node = claim.substring(0, Math.max(0, claim.lastIndexOf('#')));
      return record.document("spec").text("urgency").equals(urgency)
          && (!cluster.nodes.containsKey(node) || !cluster.nodes.get(node).up());
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  /**
   * Waits until every job has a claimant that is up, and returns the seconds that this took. Fails
   * after {@code timeoutS} seconds.
   */
  private static double awaitAllClaimedS(SimulatedCluster cluster, double timeoutS) {
    double startedAtS = cluster.clock.now();
    long normalOrphans = orphanedJobs(cluster, "normal");
    while (orphanedJobs(cluster, "high") + orphanedJobs(cluster, "normal") > 0) {
      if (cluster.clock.now() - startedAtS > timeoutS) {
        throw new AssertionError(
            orphanedJobs(cluster, "high")
                + " and "
                + orphanedJobs(cluster, "normal")
                + " jobs without a claimant after "
                + timeoutS
                + " s");
      }
      cluster.advance(0.05);
      // Each remaining controller has a batch of its own in progress, and the last urgent batch may
      // be mixed.
      if (orphanedJobs(cluster, "high") > 12 * 3) {
        assertEquals(
            normalOrphans,
            orphanedJobs(cluster, "normal"),
            "a normal job was claimed before urgent jobs");
      }
    }
    return cluster.clock.now() - startedAtS;
  }

  @Test
  void jobsOfTwoCrashedControllersAreClaimedByUrgencyWithFewFailedWrites() {
    SimulatedCluster cluster = startFullCluster();
    int failedOpsBefore = cluster.stateService.failedTxnOps();
    int jobWritesBefore = cluster.stateService.writes("w/j/");
    cluster.nodes.get("node-0").crash();
    cluster.nodes.get("node-1").crash();
    double elapsedS = awaitAllClaimedS(cluster, 30);
    assertTrue(elapsedS < TAKEOVER_BOUND_S, "claimed after " + elapsedS + " s");
    cluster.advance(3);
    int claims = cluster.stateService.writes("w/j/") - jobWritesBefore;
    assertEquals(JOBS * 2 / 5, claims, "not every claim was written exactly once");
    assertTrue(
        cluster.stateService.failedTxnOps() - failedOpsBefore <= 12,
        cluster.stateService.failedTxnOps() - failedOpsBefore + " failed operations");
    cluster.advance(2 * SimulatedCluster.LEASE_S);
    assertEquals(JOBS * TASKS, cluster.machines.runningCount(), "running tasks were lost");
    assertEquals(List.of(), cluster.users.overlappingRuns);
  }

  /**
   * A third controller crashes while it takes jobs over; the remaining controllers claim both its
   * own jobs and those that it has just claimed.
   */
  @Test
  void thirdControllerCrashesDuringTakeover() {
    SimulatedCluster cluster = startFullCluster();
    cluster.nodes.get("node-0").crash();
    cluster.nodes.get("node-1").crash();
    while (orphanedJobs(cluster, "normal") + orphanedJobs(cluster, "high") == JOBS * 2 / 5) {
      cluster.advance(0.05);
    }
    cluster.nodes.get("node-2").crash();
    double elapsedS = awaitAllClaimedS(cluster, 30);
    assertTrue(elapsedS < TAKEOVER_BOUND_S + 1, "claimed after " + elapsedS + " s");
    cluster.advance(3 * SimulatedCluster.LEASE_S);
    assertEquals(JOBS * TASKS, cluster.machines.runningCount(), "running tasks were lost");
    cluster.machines.completeAllTasks();
    cluster.advance(15);
    assertEquals(0, cluster.machines.runningCount());
    assertEquals(0, cluster.stateService.keys("w/j/").size(), "not all jobs are done");
    assertEquals(List.of(), cluster.users.overlappingRuns);
  }
}
