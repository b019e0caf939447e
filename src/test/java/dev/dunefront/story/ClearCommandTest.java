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

  private static World startCluster() {
    World cluster = new World(2);
    cluster.start().pass(2);
    for (int i = 0; i < MACHINES; i++) {
      cluster.machine("host-" + i, "small", "a", "node-" + i % 2);
    }
    cluster.pass(6);
    return cluster;
  }

  /**
   * Runs a job to its end and returns the number of direct commands that contained clears alone.
   */
  private static int countClearOnlyCommands(World cluster, String job) {
    int[] clearOnlyCommands = {0};
    cluster.tap =
        (from, path, body) -> {
          boolean clearsAlone = body.contains("clear") && !body.contains("verb=run");
          clearOnlyCommands[0] += path.equals("/orders") && clearsAlone ? 1 : 0;
        };
    assertEquals(201, cluster.submit("node-0", World.job(job, TASKS, 1)).status());
    cluster.pass(2);
    assertEquals(TASKS, cluster.running());
    // Tasks end one after the other, so that each end is reported separately.
    for (FakeWorker m : List.copyOf(cluster.workers.values())) {
      for (String task : m.running()) {
        m.exit(task, "done");
        cluster.pass(0.5);
      }
    }
    cluster.pass(4);
    assertEquals("done", cluster.poll("node-1", job).state());
    return clearOnlyCommands[0];
  }

  private static int tasksKnownToWorkers(World cluster) {
    return cluster.workers.values().stream().mapToInt(FakeWorker::taskCount).sum();
  }

  @Test
  void taskEndNeedsNoClearOnlyCommand() {
    World cluster = startCluster();
    int clearOnlyCommands = countClearOnlyCommands(cluster, "wk-1");
    cluster.pass(3 * World.REPORT_S);
    assertEquals(0, tasksKnownToWorkers(cluster), "not all ended tasks are cleared");
    assertEquals(0, clearOnlyCommands, "commands with clears alone");
  }

  /**
   * Responses to reports may be lost, also many in a row; the clears that they carried are sent
   * again.
   */
  @Test
  void clearLostWithReportResponseIsResent() {
    World cluster = startCluster();
    countClearOnlyCommands(cluster, "wk-1");
    assertEquals(201, cluster.submit("node-0", World.job("wk-2", TASKS, 1)).status());
    cluster.pass(2);
    assertEquals(TASKS, cluster.running());
    // For a while the reports of one worker arrive, but neither their responses nor direct
    // commands reach it.
    cluster.finishAll();
    cluster.pass(0.5);
    String blockedHost = List.copyOf(cluster.workers.values()).get(0).host();
    cluster.deaf.add(blockedHost);
    cluster.pass(3);
    cluster.deaf.clear();
    cluster.pass(8);
    assertEquals(0, tasksKnownToWorkers(cluster));
    assertEquals("done", cluster.poll("node-1", "wk-2").state());
    assertEquals(List.of(), cluster.overlaps);
  }

  /**
   * A task is restarted on the machine on which its last attempt failed; a clear for the failed
   * attempt must not end the new one.
   */
  @Test
  void clearOfEarlierAttemptDoesNotEndLaterAttempt() {
    World cluster = new World(1);
    cluster.start().pass(2);
    FakeWorker worker = cluster.machine("host-0", "small", "a", "node-0");
    cluster.pass(6);
    assertEquals(201, cluster.submit("node-0", World.job("wk-1", 1, 1)).status());
    cluster.pass(2);
    assertEquals(List.of("wk-1/0"), worker.running());
    worker.exit("wk-1/0", "error");
    for (int i = 0; i < 120 && worker.running().isEmpty(); i++) {
      cluster.pass(1);
    }
    assertEquals(List.of("wk-1/0"), worker.running());
    cluster.pass(5);
    assertEquals(List.of("wk-1/0"), worker.running(), "the new attempt was ended");
    assertEquals(2, worker.starts().size());
    cluster.finishAll();
    cluster.pass(4);
    assertEquals("done", cluster.poll("node-0", "wk-1").state());
  }
}
