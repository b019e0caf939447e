package dev.dunefront.net;

import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.Map;

/**
 * Monitors the loops that must run for as long as the process. Each loop records its iterations;
 * while one is overdue, the process must not be given user requests. Also counts failed decisions
 * and deferred actions. Guarded by the controller's decision lock.
 */
public final class LoopWatchdog {
  private static final System.Logger LOG = System.getLogger(LoopWatchdog.class.getName());

  private record Iteration(double at, double timeoutS) {}

  private final Map<String, Iteration> lastIterations = new HashMap<>();
  private int failures;

  /** Records an iteration of the loop; the next one is due within {@code timeoutS} seconds. */
  public void recordIteration(String loop, double now, double timeoutS) {
    lastIterations.put(loop, new Iteration(now, timeoutS));
  }

  /**
   * Restarts the time limits of all loops after a pause of the whole process, which is no failure
   * of a loop.
   */
  public void resetAfterPause(double now) {
    lastIterations.replaceAll((loop, last) -> new Iteration(now, last.timeoutS));
  }

  /** Returns a loop whose next iteration is overdue, or null. */
  public String stalledLoop(double now) {
    for (var e : lastIterations.entrySet()) {
      if (now - e.getValue().at > e.getValue().timeoutS) {
        return e.getKey();
      }
    }
    return null;
  }

  /** Records the exception that ended a decision or deferred action; everything else continues. */
  public void recordFailure(RuntimeException e) {
    failures++;
    LOG.log(Level.ERROR, "a decision or deferred action failed with an exception", e);
  }

  /** Number of decisions and deferred actions that have thrown an exception. */
  public int failures() {
    return failures;
  }
}
