package dev.dunefront.claim;

import dev.dunefront.wire.JobSpec;
import dev.dunefront.wire.Priority;
import dev.dunefront.wire.Resources;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Which of many jobs look for room. Thousands of small jobs of one class may wait at once, and each
 * that looks walks over all machines; what the first of them does not find the others would not
 * find either. So of jobs alike the first few look, and the others wait behind them, first-come as
 * within any controller.
 */
final class SearchThrottle {
  /** Of jobs alike so many look at once; they are served many times a second. */
  private static final int MAX_SEARCHING = 32;

  /** What makes jobs alike: whoever serves one of them may as well serve any other. */
  record EquivalenceClass(Priority priority, String jobClass, String team, Resources size) {
    static EquivalenceClass of(JobSpec spec) {
      return new EquivalenceClass(
          spec.priority(), spec.jobClass(), spec.team(), spec.taskResources());
    }
  }

  private SearchThrottle() {}

  /** Says of each claim whether it waits behind others, given in the order in which they go. */
  static void throttle(List<Claim> claims) {
    Map<EquivalenceClass, Integer> looking = new HashMap<>();
    Map<EquivalenceClass, Integer> overdue = new HashMap<>();
    for (Claim c : claims) {
      boolean waits = c.unstarted() > 0 && c.startStage != StartEscalation.Stage.ACROSS_PRIORITIES;
      // Those that are overdue to begin are a line of their own, or begun ones would fill it.
      Map<EquivalenceClass, Integer> line =
          c.startStage == StartEscalation.Stage.WITHIN_PRIORITY ? overdue : looking;
      c.searchThrottled = waits && line.merge(c.equivalenceClass, 1, Integer::sum) > MAX_SEARCHING;
    }
  }
}
