package dev.dunefront.net;

import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.Map;

/**
 * Whether what has to go on for ever does: every loop tells of its turns, and of one that has not
 * turned for as long as it may take its process is not to be trusted with users' requests. Counts
 * what has failed as well. Guarded by the controller's lock.
 */
public final class Loops {
  private static final System.Logger LOG = System.getLogger(Loops.class.getName());

  private record Turn(double at, double within) {}

  private final Map<String, Turn> turns = new HashMap<>();
  private int failures;

  /** The loop has turned, and will within so many seconds again. */
  public void turned(String loop, double now, double withinS) {
    turns.put(loop, new Turn(now, withinS));
  }

  /** The whole process has stood still until now, which is no loop's fault. */
  public void stoodStill(double now) {
    turns.replaceAll((loop, turn) -> new Turn(now, turn.within));
  }

  /** A loop that should have turned and has not, or null. */
  public String stalled(double now) {
    for (var e : turns.entrySet()) {
      if (now - e.getValue().at > e.getValue().within) {
        return e.getKey();
      }
    }
    return null;
  }

  /** A decision or an effect has thrown; it is over, and all else goes on. */
  public void failed(RuntimeException e) {
    failures++;
    LOG.log(Level.ERROR, "a decision failed and was given up", e);
  }

  /** How many decisions and effects have thrown. */
  public int failures() {
    return failures;
  }
}
