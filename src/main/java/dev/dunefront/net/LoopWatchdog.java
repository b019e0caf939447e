package dev.dunefront.net;

import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.Map;

/**
 * Whether what has to go on for ever does: every loop tells of its turns, and of one that has not
 * turned for as long as it may take its process is not to be trusted with users' requests. Counts
 * what has failed as well. Guarded by the controller's lock.
 */
public final class LoopWatchdog {
  private static final System.Logger LOG = System.getLogger(LoopWatchdog.class.getName());

  private record Iteration(double at, double timeoutS) {}

  private final Map<String, Iteration> lastIterations = new HashMap<>();
  private int failures;

  /** The loop has turned, and will within so many seconds again. */
  public void recordIteration(String loop, double now, double withinS) {
    lastIterations.put(loop, new Iteration(now, withinS));
  }

  /** The whole process has stood still until now, which is no loop's fault. */
  public void resetAfterPause(double now) {
    lastIterations.replaceAll((loop, turn) -> new Iteration(now, turn.timeoutS));
  }

  /** A loop that should have turned and has not, or null. */
  public String stalledLoop(double now) {
    for (var e : lastIterations.entrySet()) {
      if (now - e.getValue().at > e.getValue().timeoutS) {
        return e.getKey();
      }
    }
    return null;
  }

  /** A decision or an effect has thrown; it is over, and all else goes on. */
  public void recordFailure(RuntimeException e) {
    failures++;
    LOG.log(Level.ERROR, "a decision failed and was given up", e);
  }

  /** How many decisions and effects have thrown. */
  public int failures() {
    return failures;
  }
}
