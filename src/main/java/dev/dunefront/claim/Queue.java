package dev.dunefront.claim;

import dev.dunefront.wire.JobSpec;
import dev.dunefront.wire.Priority;
import dev.dunefront.wire.Size;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Which of many jobs look for room. Thousands of small jobs of one class may wait at once, and each
 * that looks walks over all machines; what the first of them does not find the others would not
 * find either. So of jobs alike the first few look, and the others wait behind them, first-come as
 * within any controller.
 */
final class Queue {
  /** Of jobs alike so many look at once; they are served many times a second. */
  private static final int LOOKING = 32;

  /** What makes jobs alike: whoever serves one of them may as well serve any other. */
  record Shape(Priority priority, String jobClass, String team, Size size) {
    static Shape of(JobSpec spec) {
      return new Shape(spec.priority(), spec.jobClass(), spec.team(), spec.size());
    }
  }

  private Queue() {}

  /** Says of each claim whether it waits behind others, given in the order in which they go. */
  static void line(List<Claim> claims) {
    Map<Shape, Integer> looking = new HashMap<>();
    Map<Shape, Integer> overdue = new HashMap<>();
    for (Claim c : claims) {
      boolean waits = c.unstarted() > 0 && c.standing != Begin.Standing.FIRST;
      // Those that are overdue to begin are a line of their own, or begun ones would fill it.
      Map<Shape, Integer> line = c.standing == Begin.Standing.AHEAD ? overdue : looking;
      c.queued = waits && line.merge(c.shape, 1, Integer::sum) > LOOKING;
    }
  }
}
