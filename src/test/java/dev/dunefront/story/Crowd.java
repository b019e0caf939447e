package dev.dunefront.story;

import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;

/**
 * Clients that send every request to a second controller as well and poll all controllers in turn,
 * 20 ms apart. The simulated cluster's {@link OperationHistory} compares the responses with what
 * the workers did.
 */
final class Crowd {
  private static final double POLL_INTERVAL_S = 0.02;
  private static final double POLL_DURATION_S = 20;
  private static final int TRIES = 40;

  private final World world;

  Crowd(World world) {
    this.world = world;
  }

  /** Submits a job to one controller and 0.4 s later to the next, and polls it for 20 s. */
  void submit(Document job, int node) {
    try {
      String id = job.text("id");
      world.user("POST", "/v1/jobs", job, id, node, TRIES);
      world.timers.after(0.4, () -> world.user("POST", "/v1/jobs", job, id, node + 1, TRIES));
      look(id, POLL_DURATION_S);
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  /** Cancels a job at one controller and 0.3 s later at the next, and polls it for 10 s. */
  void cancel(String id, int node) {
    world.cancelled.add(id);
    String path = "/v1/jobs/" + id + "/abort";
    world.user("POST", path, null, id, node, TRIES);
    world.timers.after(0.3, () -> world.user("POST", path, null, id, node + 1, TRIES));
    look(id, POLL_DURATION_S / 2);
  }

  /** Polls a job at one controller after the other for the given time, in seconds. */
  void look(String id, double durationS) {
    look(id, 0, world.timers.now() + durationS);
  }

  private void look(String id, int node, double until) {
    if (world.timers.now() < until) {
      world.user("GET", "/v1/jobs/" + id, null, id, node, 1);
      world.timers.after(POLL_INTERVAL_S, () -> look(id, node + 1, until));
    }
  }
}
