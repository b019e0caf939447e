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

  private static World startCluster() {
    World cluster = new World(5, TEAM_WITH_LIMIT_TOML);
    cluster.start().pass(2);
    for (int i = 0; i < MACHINES; i++) {
      cluster.machine("host-" + i, "small", "a", "node-" + i % 5);
    }
    cluster.pass(10);
    return cluster;
  }

  @Test
  void taskCostsFractionOfWriteAndFewMessages() {
    World cluster = startCluster();
    int reports = cluster.reports;
    int messages = cluster.messages;
    cluster.pass(10);
    int idle = cluster.messages - messages;
    assertTrue(
        idle < (cluster.reports - reports) / 2, idle + " messages while the cluster is idle");
    messages = cluster.messages;
    int writes = cluster.state.writes("");
    int jobs = 12;
    int tasks = 60;
    for (int i = 0; i < jobs; i++) {
      assertEquals(201, cluster.submit("node-" + i % 5, World.job("wk-" + i, tasks, 1)).status());
    }
    int started = 0;
    for (int round = 0; round < 20; round++) {
      cluster.pass(1);
      started = 0;
      for (FakeWorker m : cluster.workers.values()) {
        started += m.starts().size();
        m.running().forEach(t -> m.exit(t, "done"));
      }
    }
    cluster.pass(3);
    assertEquals(jobs * tasks, started);
    for (int i = 0; i < jobs; i++) {
      assertEquals("done", cluster.poll("node-" + (i + 1) % 5, "wk-" + i).state());
    }
    assertEquals(List.of(), cluster.overlaps);
    double writesPerTask = (double) (cluster.state.writes("") - writes) / started;
    assertTrue(writesPerTask < 0.4, writesPerTask + " writes per task");
    double messagesPerTask = (double) (cluster.messages - messages - idle) / started;
    assertTrue(messagesPerTask < 16, messagesPerTask + " messages per task");
  }

  @Test
  void restartedControllersKeepMachinesWithoutWrites() {
    World cluster = startCluster();
    assertEquals(201, cluster.submit("node-0", World.job("wk-1", 300, 1)).status());
    cluster.pass(2);
    int running = cluster.running();
    assertEquals(300, running);
    int holdWritesBefore = cluster.state.writes("w/h/");
    assertTrue(
        holdWritesBefore < MACHINES / 20,
        "more machines have a record than the few that are moved to balance the load");
    cluster.nodes.values().forEach(World.Node::crash);
    cluster.pass(3);
    cluster.nodes.values().forEach(World.Node::start);
    cluster.pass(World.LEASE_S);
    assertEquals(300, cluster.running(), "a lease expired");
    int rewrittenHolds = cluster.state.writes("w/h/") - holdWritesBefore;
    assertTrue(rewrittenHolds < MACHINES / 20, rewrittenHolds + " holds were written again");
    cluster.finishAll();
    cluster.pass(5);
    assertEquals("done", cluster.poll("node-3", "wk-1").state());
    assertEquals(List.of(), cluster.overlaps);
  }

  @Test
  void valuesStayWithinSmallestLimitWithLongNames() throws IOException {
    World cluster = new World(2);
    cluster.valueKb = 8;
    cluster.start().pass(2);
    String name = "a-machine-with-a-name-that-goes-on-and-on-and-on-for-ever-and-a-day-";
    for (int i = 0; i < 250; i++) {
      cluster.machine(name + i, "small", "a", "node-" + i % 2);
    }
    cluster.pass(5);
    String longestClass = "c".repeat(120);
    assertEquals(
        201,
        cluster
            .submit("node-0", World.job("wk-1", 250, 3).put("batchclass", longestClass))
            .status());
    cluster.pass(12);
    assertTrue(cluster.running() > 80, cluster.running() + " tasks run");
    for (String key : cluster.state.keys("")) {
      byte[] value = cluster.state.value(key).encode();
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
    World cluster = new World(2);
    cluster.start().pass(2);
    int machines = 4 * FakeStateService.MAX_TXN_OPS + 40;
    for (int i = 0; i < machines; i++) {
      cluster.machine("host-" + i, "small", "a", "node-" + i % 2);
    }
    cluster.pass(5);
    assertEquals(201, cluster.submit("node-0", World.job("wk-1", machines, 3)).status());
    cluster.pass(6);
    assertEquals(machines, cluster.running());
    cluster.workers.values().forEach(m -> cluster.silent.add(m.host()));
    cluster.pass(World.LEASE_S + 3);
    cluster.silent.clear();
    cluster.pass(20);
    assertEquals(machines, cluster.running());
    assertEquals(List.of(), cluster.overlaps);
  }
}
