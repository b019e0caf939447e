package dev.dunefront.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import dev.dunefront.net.HttpServer;
import dev.dunefront.peer.Message;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * A submission is repeated at a controller whose replica is behind, right after the job's
 * cancellation was confirmed elsewhere. The job is unclaimed, so that no controller announces its
 * end to the others.
 */
class StaleSubmissionAnswerTest {
  private static final String JOB = "wk-1";
  private static final String LAGGING_NODE = "node-2";

  private static Document job() {
    return SimulatedCluster.job(JOB, 40, 1);
  }

  private static void submitAndCancelUnclaimed(SimulatedCluster cluster)
      throws MalformedMessageException {
    assertEquals(201, cluster.users.submit("node-0", job()).status());
    assertEquals(0, cluster.stateService.value("w/j/" + JOB).count("term"), "it is unclaimed");
    SimulatedUsers.ApiResponse cancelled = cluster.users.cancel("node-1", JOB);
    assertEquals(200, cancelled.status());
    assertEquals("cancelled", cancelled.jobStatus());
  }

  private static void assertRepeatedSubmissionIsCancelled(SimulatedCluster cluster) {
    SimulatedUsers.ApiResponse repeated = cluster.users.submit(LAGGING_NODE, job());
    assertEquals(200, repeated.status());
    assertEquals("cancelled", repeated.jobStatus());
    assertEquals(List.of(), cluster.users.operationHistory.violations);
  }

  @Example
  void watchResponseFromBeforeTheCancellationArrivesDuringTheRepeatedSubmission()
      throws MalformedMessageException {
    SimulatedCluster cluster = SimulatedCluster.withWaitingJobs();
    cluster.network.responseDelay =
        (from, path) -> {
          if (!from.equals(LAGGING_NODE)) {
            return 0;
          }
          return path.startsWith("/watch") ? 0.1 : 0.3;
        };
    submitAndCancelUnclaimed(cluster);
    assertRepeatedSubmissionIsCancelled(cluster);
  }

  @Example
  void watchResponseWithAcceptanceAndCancellationArrivesDuringTheRepeatedSubmission()
      throws MalformedMessageException {
    SimulatedCluster cluster = SimulatedCluster.withWaitingJobs();
    cluster.stateService.setWatchesReportEveryChange(true);
    cluster.network.holdRequest = (from, to) -> from.equals(LAGGING_NODE);
    // Ends the open watch; the next one is held.
    assertEquals(201, cluster.users.submit("node-0", SimulatedCluster.job("wk-2", 40, 1)).status());
    cluster.advance(0.3);
    submitAndCancelUnclaimed(cluster);
    cluster.network.holdRequest = (from, to) -> false;
    cluster.network.responseDelay =
        (from, path) -> from.equals(LAGGING_NODE) && path.equals("/txn") ? 0.3 : 0;
    cluster.clock.after(0.05, cluster.network::deliverHeld);
    assertRepeatedSubmissionIsCancelled(cluster);
  }

  @Example
  void lateResponseToTheAcceptingWriteDoesNotHideAFinalStatusAnnouncedMeanwhile()
      throws MalformedMessageException {
    SimulatedCluster cluster = SimulatedCluster.withWaitingJobs();
    cluster.network.responseDelay = (from, path) -> from.equals(LAGGING_NODE) ? 1.0 : 0;
    String[] answered = {null};
    cluster
        .nodes
        .get(LAGGING_NODE)
        .handle(
            new HttpServer.Request("POST", "/v1/jobs", "", job().encode()),
            (status, body, retryAfterS) -> answered[0] = statusOf(body));
    cluster.advance(0.05);
    assertEquals("cancelled", cluster.users.cancel("node-1", JOB).jobStatus());
    cluster.network.deliverPeerMessage("node-1", LAGGING_NODE, new Message.JobEnded(JOB, false));
    assertNull(answered[0], "the response to the accepting write is still late");
    cluster.advance(1.2);
    assertEquals("cancelled", answered[0]);
  }

  private static String statusOf(byte[] body) {
    try {
      return Document.decode(body).text("status");
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  /** All responses of the state service are late at random, by up to 0.5 s. */
  @Property(generation = GenerationMode.EXHAUSTIVE)
  void noAnswerIsOlderThanAnEarlierOneWhenResponsesAreLate(@ForAll @IntRange(max = 39) int seed)
      throws MalformedMessageException {
    SimulatedCluster cluster = SimulatedCluster.withWaitingJobs();
    Random random = new Random(seed);
    cluster.network.responseDelay =
        (from, path) -> random.nextInt(4) == 0 ? 0.5 * random.nextDouble() : 0;
    cluster.stateService.setWatchesReportEveryChange(random.nextBoolean());
    for (int i = 0; i < 20; i++) {
      String id = "wk-2" + (i + 10);
      Document job = SimulatedCluster.job(id, 40, 1);
      cluster.users.submit("node-" + random.nextInt(3), job);
      cluster.users.cancel("node-" + random.nextInt(3), id);
      for (int k = 0; k < 3; k++) {
        cluster.users.submit("node-" + (i + k) % 3, job);
        cluster.users.poll("node-" + random.nextInt(3), id);
      }
    }
    assertEquals(20, cluster.users.cancelRequestedJobs.size());
    assertEquals(List.of(), cluster.users.operationHistory.violations);
  }
}
