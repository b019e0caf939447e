package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.dunefront.standin.FakeWorker;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Jobs are cancelled while the outcome of a write that concerns them, the takeover of a claim or
 * the end of a task, is unknown to its writer.
 */
class CancelWithUnknownWriteTest {
  private static final Pattern JOB_WRITE = Pattern.compile("put=w/j/(wk-[0-9]+)");

  private static List<String> jobsWrittenBy(String body) {
    List<String> ids = new ArrayList<>();
    for (Matcher m = JOB_WRITE.matcher(body); m.find(); ) {
      ids.add(m.group(1));
    }
    return ids;
  }

  /**
   * Several jobs are taken over in one transaction whose response is lost, and one of them is
   * cancelled before the outcome is known. The new claimant must use the record as stored, not as
   * it was written: the job has no task whose end would cause another look at it.
   */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void jobCancelledWhileTakeoverOutcomeIsUnknownEnds(@ForAll @IntRange(max = 3) int index) {
    SimulatedCluster cluster = new SimulatedCluster(3);
    cluster.start().advance(3);
    for (int i = 0; i < 8; i++) {
      assertEquals(
          201, cluster.users.submit("node-0", SimulatedCluster.job("wk-" + i, 1, 1)).status());
    }
    cluster.advance(3);
    List<String> batch = new ArrayList<>();
    cluster.network.deliveryPolicy =
        (from, path, body) -> {
          List<String> ids = path.equals("/txn") ? jobsWrittenBy(body) : List.of();
          if (!batch.isEmpty() || ids.size() <= index) {
            return SimulatedNetwork.Delivery.ON_TIME;
          }
          batch.addAll(ids);
          String otherNode = from.equals("node-1") ? "node-2" : "node-1";
          cluster.clock.after(
              0.3,
              () -> {
                String id = ids.get(index);
                cluster.users.cancelRequestedJobs.add(id);
                cluster.users.requestWithRetries(
                    "POST", "/v1/jobs/" + id + "/abort", null, id, otherNode.charAt(5) - '1', 8);
              });
          return SimulatedNetwork.Delivery.RESPONSE_DROPPED;
        };
    cluster.nodes.get("node-0").crash();
    cluster.advance(16);
    assertTrue(batch.size() > index, "too few jobs are taken over in one transaction");
    String id = batch.get(index);
    assertEquals("cancelled", cluster.users.poll("node-1", id).jobStatus());
    assertEquals("cancelled", cluster.users.poll("node-2", id).jobStatus());
    for (int i = 0; i < 3; i++) {
      cluster.machines.addMachine("host-" + i, "small", "a", "node-1");
    }
    assertEquals(List.of(), cluster.users.drainAndCheck());
  }

  /**
   * The end of the only attempt of a job is recorded together with the share of the team's limit
   * that it returns, and the response is lost. The job is cancelled before the outcome is known:
   * the claimant must not take its own older write for the content of the record.
   */
  @Example
  void jobCancelledWhileTaskEndOutcomeIsUnknownEnds() {
    SimulatedCluster cluster = SimulatedCluster.withTeamLimit(3, 3);
    cluster.start().advance(3);
    FakeWorker m = cluster.machines.addMachine("host-1", "small", "a", "node-0");
    cluster.advance(4);
    assertEquals(201, cluster.users.submit("node-0", SimulatedCluster.job("wk-1", 1, 3)).status());
    cluster.advance(3);
    assertEquals(1, m.running().size());
    BooleanSupplier responseDropped =
        cluster.network.faultFirstTransaction(
            "put=w/j/wk-1",
            SimulatedNetwork.Delivery.RESPONSE_DROPPED,
            from ->
                cluster.clock.after(
                    0.3,
                    () -> {
                      cluster.users.cancelRequestedJobs.add("wk-1");
                      cluster.users.requestWithRetries(
                          "POST", "/v1/jobs/wk-1/abort", null, "wk-1", 1, 8);
                    }));
    // The only machine is lost, so nothing can be placed again.
    m.newSession();
    cluster.machines.isolatedHosts.add("host-1");
    cluster.advance(3 * SimulatedCluster.LEASE_S);
    assertTrue(responseDropped.getAsBoolean(), "the end of the attempt was not recorded");
    for (String node : cluster.nodes.keySet()) {
      assertEquals("cancelled", cluster.users.poll(node, "wk-1").jobStatus());
    }
    assertEquals(List.of(), cluster.users.drainAndCheck());
  }
}
