package dev.dunefront.story;

import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;

/**
 * Clients that send every request to a second controller as well and poll all controllers in turn,
 * 20 ms apart. The simulated cluster's {@link OperationHistory} compares the responses with what
 * the workers did.
 */
final class RedundantClients {
  private static final double POLL_INTERVAL_S = 0.02;
  private static final double POLL_DURATION_S = 20;
  private static final int TRIES = 40;

  private final SimulatedCluster world;

  RedundantClients(SimulatedCluster world) {
    this.world = world;
  }

  /** Submits a job to one controller and 0.4 s later to the next, and polls it for 20 s. */
  void submit(Document job, int node) {
    try {
      String id = job.text("id");
      world.users.requestWithRetries("POST", "/v1/jobs", job, id, node, TRIES);
      world.clock.after(
          0.4, () -> world.users.requestWithRetries("POST", "/v1/jobs", job, id, node + 1, TRIES));
      pollFor(id, POLL_DURATION_S);
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  /** Cancels a job at one controller and 0.3 s later at the next, and polls it for 10 s. */
  void cancel(String id, int node) {
    world.users.cancelRequestedJobs.add(id);
    String path = "/v1/jobs/" + id + "/abort";
    world.users.requestWithRetries("POST", path, null, id, node, TRIES);
    world.clock.after(
        0.3, () -> world.users.requestWithRetries("POST", path, null, id, node + 1, TRIES));
    pollFor(id, POLL_DURATION_S / 2);
  }

  /** Polls a job at one controller after the other for the given time, in seconds. */
  void pollFor(String id, double durationS) {
    pollFor(id, 0, world.clock.now() + durationS);
  }

  private void pollFor(String id, int node, double until) {
    if (world.clock.now() < until) {
      world.users.requestWithRetries("GET", "/v1/jobs/" + id, null, id, node, 1);
      world.clock.after(POLL_INTERVAL_S, () -> pollFor(id, node + 1, until));
    }
  }
}
