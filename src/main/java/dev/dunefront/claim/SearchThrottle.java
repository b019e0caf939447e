package dev.dunefront.claim;

import dev.dunefront.wire.JobSpec;
import dev.dunefront.wire.Priority;
import dev.dunefront.wire.Resources;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Limits how many equivalent jobs search for capacity at the same time. Thousands of small jobs of
 * one class may wait at once, and each search iterates over all machines; capacity that the first
 * of them do not find the others would not find either. Only the first few of each equivalence
 * class search; the others wait in order of arrival.
 */
final class SearchThrottle {
  /**
   * Maximum number of equivalent jobs that search at once; enough, as they are served many times
   * per second.
   */
  private static final int MAX_SEARCHING = 32;

  /**
   * Jobs with equal values are interchangeable when capacity is assigned: they want the same
   * machines, types and zones included.
   */
  record EquivalenceClass(
      Priority priority,
      String jobClass,
      String team,
      Resources size,
      List<String> machineTypes,
      String zone,
      boolean spotAllowed,
      boolean oneZone,
      boolean spread) {
    static EquivalenceClass of(JobSpec spec) {
      return new EquivalenceClass(
          spec.priority(),
          spec.jobClass(),
          spec.team(),
          spec.taskResources(),
          spec.machineTypes(),
          spec.zone(),
          spec.spotAllowed(),
          spec.oneZone(),
          spec.spread());
    }
  }

  private SearchThrottle() {}

  /** Sets {@code searchThrottled} of each claim; the claims are given in service order. */
  static void throttle(List<Claim> claims) {
    Map<EquivalenceClass, Integer> searching = new HashMap<>();
    Map<EquivalenceClass, Integer> overdue = new HashMap<>();
    for (Claim claim : claims) {
      boolean wantsCapacity =
          claim.unstarted() > 0 && claim.startStage != StartEscalation.Stage.ACROSS_PRIORITIES;
      // Jobs with an overdue start are counted separately; otherwise started jobs could use up the
      // limit.
      Map<EquivalenceClass, Integer> counts =
          claim.startStage == StartEscalation.Stage.WITHIN_PRIORITY ? overdue : searching;
      claim.searchThrottled =
          wantsCapacity && counts.merge(claim.equivalenceClass, 1, Integer::sum) > MAX_SEARCHING;
    }
  }
}
