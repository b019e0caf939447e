package dev.dunefront.claim;

import dev.dunefront.wire.JobSpec;
import dev.dunefront.wire.Priority;
import dev.dunefront.wire.Size;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Limits how many equivalent jobs search for capacity at the same time. Thousands of small jobs of
 * one class may wait at once, and each search iterates over all machines; capacity that the first
 * of them do not find the others would not find either. Only the first few of each equivalence
 * class search; the others wait in order of arrival.
 */
final class Queue {
  /**
   * Maximum number of equivalent jobs that search at once; enough, as they are served many times
   * per second.
   */
  private static final int LOOKING = 32;

  /** Jobs with equal values are interchangeable when capacity is assigned. */
  record Shape(Priority priority, String jobClass, String team, Size size) {
    static Shape of(JobSpec spec) {
      return new Shape(spec.priority(), spec.jobClass(), spec.team(), spec.size());
    }
  }

  private Queue() {}

  /** Sets {@code searchThrottled} of each claim; the claims are given in service order. */
  static void line(List<Claim> claims) {
    Map<Shape, Integer> searching = new HashMap<>();
    Map<Shape, Integer> overdue = new HashMap<>();
    for (Claim claim : claims) {
      boolean wantsCapacity = claim.unstarted() > 0 && claim.standing != Begin.Standing.FIRST;
      // Jobs with an overdue start are counted separately; otherwise started jobs could use up the
      // limit.
      Map<Shape, Integer> counts = claim.standing == Begin.Standing.AHEAD ? overdue : searching;
      claim.queued = wantsCapacity && counts.merge(claim.shape, 1, Integer::sum) > LOOKING;
    }
  }
}
