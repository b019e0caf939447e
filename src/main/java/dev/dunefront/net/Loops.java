package dev.dunefront.net;

import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.Map;

/**
 * Monitors the loops that must run for as long as the process. Each loop records its iterations;
 * while one is overdue, the process must not be given user requests. Also counts failed decisions
 * and deferred actions. Guarded by the controller's decision lock.
 */
public final class Loops {
  private static final System.Logger LOG = System.getLogger(Loops.class.getName());

  private record Turn(double at, double within) {}

  private final Map<String, Turn> turns = new HashMap<>();
  private int failures;

  /** Records an iteration of the loop; the next one is due within {@code withinS} seconds. */
  public void turned(String loop, double now, double withinS) {
    turns.put(loop, new Turn(now, withinS));
  }

  /**
   * Restarts the time limits of all loops after a pause of the whole process, which is no failure
   * of a loop.
   */
  public void stoodStill(double now) {
    turns.replaceAll((loop, last) -> new Turn(now, last.within));
  }

  /** Returns a loop whose next iteration is overdue, or null. */
  public String stalled(double now) {
    for (var e : turns.entrySet()) {
      if (now - e.getValue().at > e.getValue().within) {
        return e.getKey();
      }
    }
    return null;
  }

  /** Records the exception that ended a decision or deferred action; everything else continues. */
  public void failed(RuntimeException e) {
    failures++;
    LOG.log(Level.ERROR, "a decision or deferred action failed with an exception", e);
  }

  /** Number of decisions and deferred actions that have thrown an exception. */
  public int failures() {
    return failures;
  }
}
