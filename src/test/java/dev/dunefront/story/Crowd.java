package dev.dunefront.story;

import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;

/**
 * Users who repeat all that they send at another controller and ask at all of them, one after the
 * other, some milliseconds apart. What they are told is held against the workers' deeds by the
 * world's {@link OperationHistory}.
 */
final class Crowd {
  private static final double POLL_INTERVAL_S = 0.02;
  private static final double POLL_DURATION_S = 20;
  private static final int TRIES = 40;

  private final World world;

  Crowd(World world) {
    this.world = world;
  }

  /** Submits through the controller of this number, and again through the next. */
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

  /** Asks for the end of a job at one controller, and again at the next. */
  void cancel(String id, int node) {
    world.cancelled.add(id);
    String path = "/v1/jobs/" + id + "/abort";
    world.user("POST", path, null, id, node, TRIES);
    world.timers.after(0.3, () -> world.user("POST", path, null, id, node + 1, TRIES));
    look(id, POLL_DURATION_S / 2);
  }

  /** Asks after a job, at one controller after the other, for so long. */
  void look(String id, double forS) {
    look(id, 0, world.timers.now() + forS);
  }

  private void look(String id, int node, double until) {
    if (world.timers.now() < until) {
      world.user("GET", "/v1/jobs/" + id, null, id, node, 1);
      world.timers.after(POLL_INTERVAL_S, () -> look(id, node + 1, until));
    }
  }
}
