package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import java.util.List;
import net.jqwik.api.Example;

/** A response of the state service arrives long after the record that it contains was removed. */
class RemovedRecordTest {
  /**
   * More than any bounded number of remembered removals, within the changes that a watch covers.
   */
  private static final int REMOVED_KEYS = 4_900;

  @Example
  void lateReadDoesNotShowACancelledJobAgainAfterManyOtherRemovals()
      throws MalformedMessageException {
    SimulatedCluster cluster = SimulatedCluster.withWaitingJobs();
    Document job = SimulatedCluster.job("wk-1", 40, 1);
    assertEquals(201, cluster.users.submit("node-0", job).status());
    assertEquals(0, cluster.stateService.value("w/j/wk-1").count("term"), "it is unclaimed");
    cluster.advance(0.3);
    cluster.network.responseDelay =
        (from, path) -> from.equals("node-2") && path.equals("/keys/w/j/wk-1") ? 1.0 : 0;
    cluster.users.requestWithRetries("POST", "/v1/jobs", job, "wk-1", 2, 1);
    cluster.advance(0.1);
    assertEquals("cancelled", cluster.users.cancel("node-1", "wk-1").jobStatus());
    for (int i = 0; i < REMOVED_KEYS; i++) {
      cluster.writeState("w/x/" + i, Document.create().put("n", i));
      cluster.removeState("w/x/" + i);
    }
    cluster.advance(1.5);
    assertEquals("cancelled", cluster.users.poll("node-2", "wk-1").jobStatus());
    assertEquals(List.of(), cluster.users.operationHistory.violations);
  }
}
