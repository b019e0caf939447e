package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.standin.FakeStateService;
import dev.dunefront.standin.FakeWorker;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.msgpack.core.MessagePack;

/**
 * Counts the writes and messages that each step costs with several controllers and hundreds of
 * machines.
 */
class ScaleTest {
  private static final int MACHINES = 200;
  private static final String TEAM_WITH_LIMIT_TOML =
      "[[facts.teams]]\nname = \"t\"\ncpus = 100.0\ncpus_max = 5000.0\n";

  private static SimulatedCluster startCluster() {
    SimulatedCluster cluster = new SimulatedCluster(5, TEAM_WITH_LIMIT_TOML);
    cluster.start().advance(2);
    for (int i = 0; i < MACHINES; i++) {
      cluster.machines.addMachine("host-" + i, "small", "a", "node-" + i % 5);
    }
    cluster.advance(10);
    return cluster;
  }

  @Test
  void taskCostsFractionOfWriteAndFewMessages() {
    SimulatedCluster cluster = startCluster();
    int reports = cluster.machines.workerReportCount;
    int messages = cluster.network.peerMessageCount;
    cluster.advance(10);
    int idle = cluster.network.peerMessageCount - messages;
    assertTrue(
        idle < (cluster.machines.workerReportCount - reports) / 2,
        idle + " messages while the cluster is idle");
    messages = cluster.network.peerMessageCount;
    int writes = cluster.stateService.writes("");
    int jobs = 12;
    int tasks = 60;
    for (int i = 0; i < jobs; i++) {
      assertEquals(
          201,
          cluster
              .users
              .submit("node-" + i % 5, SimulatedCluster.job("wk-" + i, tasks, 1))
              .status());
    }
    int started = 0;
    for (int round = 0; round < 20; round++) {
      cluster.advance(1);
      started = 0;
      for (FakeWorker m : cluster.machines.workers.values()) {
        started += m.starts().size();
        m.running().forEach(t -> m.exit(t, "done"));
      }
    }
    cluster.advance(3);
    assertEquals(jobs * tasks, started);
    for (int i = 0; i < jobs; i++) {
      assertEquals("done", cluster.users.poll("node-" + (i + 1) % 5, "wk-" + i).jobStatus());
    }
    assertEquals(List.of(), cluster.users.overlappingRuns);
    double writesPerTask = (double) (cluster.stateService.writes("") - writes) / started;
    assertTrue(writesPerTask < 0.4, writesPerTask + " writes per task");
    double messagesPerTask =
        (double) (cluster.network.peerMessageCount - messages - idle) / started;
    assertTrue(messagesPerTask < 16, messagesPerTask + " messages per task");
  }

  @Test
  void restartedControllersKeepMachinesWithoutWrites() {
    SimulatedCluster cluster = startCluster();
    assertEquals(
        201, cluster.users.submit("node-0", SimulatedCluster.job("wk-1", 300, 1)).status());
    cluster.advance(2);
    int running = cluster.machines.runningCount();
    assertEquals(300, running);
    int holdWritesBefore = cluster.stateService.writes("w/h/");
    assertTrue(
        holdWritesBefore < MACHINES / 20,
        "more machines have a record than the few that are moved to balance the load");
    cluster.nodes.values().forEach(SimulatedCluster.Node::crash);
    cluster.advance(3);
    cluster.nodes.values().forEach(SimulatedCluster.Node::start);
    cluster.advance(SimulatedCluster.LEASE_S);
    assertEquals(300, cluster.machines.runningCount(), "a lease expired");
    int rewrittenHolds = cluster.stateService.writes("w/h/") - holdWritesBefore;
    assertTrue(rewrittenHolds < MACHINES / 20, rewrittenHolds + " holds were written again");
    cluster.machines.completeAllTasks();
    cluster.advance(5);
    assertEquals("done", cluster.users.poll("node-3", "wk-1").jobStatus());
    assertEquals(List.of(), cluster.users.overlappingRuns);
  }

  @Test
  void valuesStayWithinSmallestLimitWithLongNames() throws IOException {
    SimulatedCluster cluster = new SimulatedCluster(2);
    cluster.valueKb = 8;
    cluster.start().advance(2);
    String name = "a-machine-with-a-name-that-goes-on-and-on-and-on-for-ever-and-a-day-";
    for (int i = 0; i < 250; i++) {
      cluster.machines.addMachine(name + i, "small", "a", "node-" + i % 2);
    }
    cluster.advance(5);
    String longestClass = "c".repeat(120);
    assertEquals(
        201,
        cluster
            .users
            .submit("node-0", SimulatedCluster.job("wk-1", 250, 3).put("batchclass", longestClass))
            .status());
    cluster.advance(12);
    assertTrue(
        cluster.machines.runningCount() > 80, cluster.machines.runningCount() + " tasks run");
    for (String key : cluster.stateService.keys("")) {
      byte[] value = cluster.stateService.value(key).encode();
      // The size limits of values apply to their JSON form.
      int bytes = MessagePack.newDefaultUnpacker(value).unpackValue().toJson().length();
      assertTrue(bytes <= 8 * 1024, bytes + " bytes in " + key);
    }
  }

  /**
   * Each proof that a task has ended is a condition on the hold of its machine. A transaction with
   * too many conditions is refused on every attempt, and its job would never end.
   */
  @Test
  void lossOfAllMachinesIsWrittenInSeveralTransactions() {
    SimulatedCluster cluster = new SimulatedCluster(2);
    cluster.start().advance(2);
    int machines = 4 * FakeStateService.MAX_TXN_OPS + 40;
    for (int i = 0; i < machines; i++) {
      cluster.machines.addMachine("host-" + i, "small", "a", "node-" + i % 2);
    }
    cluster.advance(5);
    assertEquals(
        201, cluster.users.submit("node-0", SimulatedCluster.job("wk-1", machines, 3)).status());
    cluster.advance(6);
    assertEquals(machines, cluster.machines.runningCount());
    cluster.machines.workers.values().forEach(m -> cluster.machines.isolatedHosts.add(m.host()));
    cluster.advance(SimulatedCluster.LEASE_S + 3);
    cluster.machines.isolatedHosts.clear();
    cluster.advance(20);
    assertEquals(machines, cluster.machines.runningCount());
    assertEquals(List.of(), cluster.users.overlappingRuns);
  }
}
