package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.dunefront.standin.FakeWorker;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Clear commands are sent along with other messages to a worker, and arrive eventually whatever is
 * lost.
 */
class ClearCommandTest {
  private static final int MACHINES = 8;
  private static final int TASKS = 24;

  private static SimulatedCluster startCluster() {
    SimulatedCluster cluster = new SimulatedCluster(2);
    cluster.start().advance(2);
    for (int i = 0; i < MACHINES; i++) {
      cluster.machines.addMachine("host-" + i, "small", "a", "node-" + i % 2);
    }
    cluster.advance(6);
    return cluster;
  }

  /**
   * Runs a job to its end and returns the number of direct commands that contained clears alone.
   */
  private static int countClearOnlyCommands(SimulatedCluster cluster, String job) {
    int[] clearOnlyCommands = {0};
    cluster.network.requestListener =
        (from, path, body) -> {
          boolean clearsAlone = body.contains("clear") && !body.contains("verb=run");
          clearOnlyCommands[0] += path.equals("/orders") && clearsAlone ? 1 : 0;
        };
    assertEquals(201, cluster.users.submit("node-0", SimulatedCluster.job(job, TASKS, 1)).status());
    cluster.advance(2);
    assertEquals(TASKS, cluster.machines.runningCount());
    // Tasks end one after the other, so that each end is reported separately.
    for (FakeWorker m : List.copyOf(cluster.machines.workers.values())) {
      for (String task : m.running()) {
        m.exit(task, "done");
        cluster.advance(0.5);
      }
    }
    cluster.advance(4);
    assertEquals("done", cluster.users.poll("node-1", job).jobStatus());
    return clearOnlyCommands[0];
  }

  private static int tasksKnownToWorkers(SimulatedCluster cluster) {
    return cluster.machines.workers.values().stream().mapToInt(FakeWorker::taskCount).sum();
  }

  @Test
  void taskEndNeedsNoClearOnlyCommand() {
    SimulatedCluster cluster = startCluster();
    int clearOnlyCommands = countClearOnlyCommands(cluster, "wk-1");
    cluster.advance(3 * SimulatedCluster.REPORT_S);
    assertEquals(0, tasksKnownToWorkers(cluster), "not all ended tasks are cleared");
    assertEquals(0, clearOnlyCommands, "commands with clears alone");
  }

  /**
   * Responses to reports may be lost, also many in a row; the clears that they carried are sent
   * again.
   */
  @Test
  void clearLostWithReportResponseIsResent() {
    SimulatedCluster cluster = startCluster();
    countClearOnlyCommands(cluster, "wk-1");
    assertEquals(
        201, cluster.users.submit("node-0", SimulatedCluster.job("wk-2", TASKS, 1)).status());
    cluster.advance(2);
    assertEquals(TASKS, cluster.machines.runningCount());
    // For a while the reports of one worker arrive, but neither their responses nor direct
    // commands reach it.
    cluster.machines.completeAllTasks();
    cluster.advance(0.5);
    String blockedHost = List.copyOf(cluster.machines.workers.values()).get(0).host();
    cluster.machines.inboundBlockedHosts.add(blockedHost);
    cluster.advance(3);
    cluster.machines.inboundBlockedHosts.clear();
    cluster.advance(8);
    assertEquals(0, tasksKnownToWorkers(cluster));
    assertEquals("done", cluster.users.poll("node-1", "wk-2").jobStatus());
    assertEquals(List.of(), cluster.users.overlappingRuns);
  }

  /**
   * A task is restarted on the machine on which its last attempt failed; a clear for the failed
   * attempt must not end the new one.
   */
  @Test
  void clearOfEarlierAttemptDoesNotEndLaterAttempt() {
    SimulatedCluster cluster = new SimulatedCluster(1);
    cluster.start().advance(2);
    FakeWorker worker = cluster.machines.addMachine("host-0", "small", "a", "node-0");
    cluster.advance(6);
    assertEquals(201, cluster.users.submit("node-0", SimulatedCluster.job("wk-1", 1, 1)).status());
    cluster.advance(2);
    assertEquals(List.of("wk-1/0"), worker.running());
    worker.exit("wk-1/0", "error");
    for (int i = 0; i < 120 && worker.running().isEmpty(); i++) {
      cluster.advance(1);
    }
    assertEquals(List.of("wk-1/0"), worker.running());
    cluster.advance(5);
    assertEquals(List.of("wk-1/0"), worker.running(), "the new attempt was ended");
    assertEquals(2, worker.starts().size());
    cluster.machines.completeAllTasks();
    cluster.advance(4);
    assertEquals("done", cluster.users.poll("node-0", "wk-1").jobStatus());
  }
}
