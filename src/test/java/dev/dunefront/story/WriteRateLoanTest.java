package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.peer.Message;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;

/**
 * With many controllers each has a small share of the write rate of the state service; idle
 * controllers lend theirs to busy ones.
 */
class WriteRateLoanTest {
  private static final int CONTROLLERS = 10;
  private static final int TASKS = 120;

  private static SimulatedCluster startCluster(Predicate<Message> heldMessages) {
    SimulatedCluster cluster = SimulatedCluster.withTeamLimit(CONTROLLERS, 100_000);
    cluster.writeRps = 40;
    cluster.start().advance(2);
    for (int i = 0; i < TASKS / 4; i++) {
      cluster.machines.addMachine("host-" + i, "small", "a", "node-" + i % CONTROLLERS);
    }
    cluster.advance(10);
    cluster.network.holdPeerMessage = heldMessages;
    return cluster;
  }

  /**
   * Submits jobs one after the other to one controller, and returns the seconds until all their
   * tasks run.
   */
  private static double secondsUntilAllTasksRun(SimulatedCluster cluster) {
    double startedAtS = cluster.clock.now();
    for (int i = 0; i < 4; i++) {
      assertEquals(
          201,
          cluster.users.submit("node-3", SimulatedCluster.job("wk-" + i, TASKS / 4, 1)).status());
    }
    while (cluster.machines.runningCount() < TASKS && cluster.clock.now() - startedAtS < 20) {
      cluster.advance(0.01);
    }
    assertEquals(TASKS, cluster.machines.runningCount());
    return cluster.clock.now() - startedAtS;
  }

  @Test
  void busyControllerStartsTasksSoonerWithBorrowedWriteRate() {
    double withoutLoansS =
        secondsUntilAllTasksRun(startCluster(m -> m instanceof Message.LoanRequest));
    double withLoansS = secondsUntilAllTasksRun(startCluster(m -> false));
    assertTrue(
        withLoansS < 0.7 * withoutLoansS,
        withLoansS + " s with loans, " + withoutLoansS + " s without");
  }
}
