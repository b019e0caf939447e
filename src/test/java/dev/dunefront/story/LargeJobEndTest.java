package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;

/** Jobs whose task records do not fit into the transaction that ends the job. */
class LargeJobEndTest {
  private static final int MACHINES = 8;
  private static final int TASKS = 2800;
  private static final double TASK_SIZE = 0.01;

  /** Number of seconds after which users give up on a request that is not answered. */
  private static final double RETRY_S = 60;

  // Guards against a cancellation that is never answered: task ends were dropped with the first
  // of several transactions that remove the records of a large job.
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void endOfALargeJobIsRecordedInSeveralTransactions(@ForAll boolean cancelled) {
    SimulatedCluster cluster = new SimulatedCluster(3);
    cluster.txnOps = 8;
    cluster.start().advance(2);
    for (int i = 0; i < MACHINES; i++) {
      cluster.machines.addMachine("host-" + i, "small", "a", "node-" + i % 3);
    }
    cluster.advance(5);
    int status =
        cluster
            .users
            .submit(
                "node-0", SimulatedCluster.job("wk-1", TASKS, TASK_SIZE).put("ram_gb", TASK_SIZE))
            .status();
    assertEquals(201, status);
    for (int i = 0; i < 60 && cluster.machines.runningCount() < TASKS; i++) {
      cluster.advance(1);
    }
    assertEquals(TASKS, cluster.machines.runningCount());
    double endedAt = cluster.clock.now();
    if (cancelled) {
      while (cluster.users.cancel("node-1", "wk-1").status() != 200) {
        cluster.advance(1);
        assertTrue(cluster.clock.now() - endedAt < RETRY_S, "the cancellation is confirmed");
      }
    } else {
      cluster.machines.completeAllTasks();
    }
    cluster.advance(10);
    assertEquals(
        cancelled ? "cancelled" : "done", cluster.users.poll("node-2", "wk-1").jobStatus());
    int writes = cluster.stateService.writes("w/j/wk-1");
    cluster.advance(5);
    assertEquals(writes, cluster.stateService.writes("w/j/wk-1"), "the job's record is gone");
    assertEquals(null, cluster.stateService.value("w/j/wk-1"), "the job's record is gone");
  }
}
