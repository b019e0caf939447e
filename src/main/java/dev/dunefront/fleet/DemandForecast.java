package dev.dunefront.fleet;

import dev.dunefront.job.JobRecord;
import dev.dunefront.job.JobTable;
import dev.dunefront.wire.JobSpec;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Forecasts the urgent tasks that will arrive within the time that a new machine takes to boot;
 * they cannot wait for one. Arrays are short-lived, and a burst of them is proportional to the open
 * tasks. Services are long-lived, so the forecast for them uses recent arrivals instead.
 */
final class DemandForecast {
  /** Maximum number of tasks counted for a single job. */
  private static final int MAX_TASKS_PER_JOB = 1000;

  private static final int WINDOWS = 2;

  /**
   * The arrivals of the latest window are expected again, up to this many times those of the window
   * before it; a single wave, as at the start of a day, does not repeat.
   */
  private static final double MAX_GROWTH = 2;

  /** Room is kept for at least this many services of the largest open size in a job class. */
  private static final int MIN_LARGEST_SERVICES = 2;

  private DemandForecast() {}

  /** Open and recently arrived services of one job class. */
  private static final class Arrivals {
    final double[] tasksByWindow = new double[WINDOWS];
    double openTasks;
    JobSpec largestSpec;
  }

  /**
   * Returns the expected urgent tasks as needs.
   *
   * @param zones all zones
   * @param fraction room to keep ready, at most, as a fraction of the open tasks
   * @param windowS time from the rent request until a machine takes tasks
   */
  static List<CapacityNeed> urgentNeeds(
      Collection<JobTable.Entry> jobs,
      Set<String> zones,
      double fraction,
      double windowS,
      long nowMs) {
    List<CapacityNeed> needs = new ArrayList<>();
    Map<String, Arrivals> services = new HashMap<>();
    for (JobTable.Entry e : jobs) {
      JobSpec spec = e.record().spec();
      if (e.record().status() != JobRecord.Status.OPEN || !spec.priority().urgent()) {
        continue;
      }
      int tasks = Math.min(spec.tasks(), MAX_TASKS_PER_JOB);
      if (!spec.service()) {
        needs.add(
            CapacityNeed.forExpected(
                spec, tasks * fraction, maxTasksByZone(spec, tasks * fraction, zones)));
        continue;
      }
      Arrivals a = services.computeIfAbsent(spec.jobClass(), c -> new Arrivals());
      a.openTasks += tasks;
      if (a.largestSpec == null || a.largestSpec.tasks() < spec.tasks()) {
        a.largestSpec = spec;
      }
      int window = (int) Math.floor((nowMs - e.record().acceptedMs()) / 1000.0 / windowS);
      if (window >= 0 && window < WINDOWS) {
        a.tasksByWindow[window] += tasks;
      }
    }
    for (Arrivals a : services.values()) {
      double recurring = Math.min(a.tasksByWindow[0], MAX_GROWTH * a.tasksByWindow[1]);
      double largest = Math.min(a.largestSpec.tasks(), MAX_TASKS_PER_JOB);
      double tasks =
          Math.min(a.openTasks * fraction, Math.max(recurring, MIN_LARGEST_SERVICES * largest));
      needs.add(
          CapacityNeed.forExpected(
              a.largestSpec, tasks, maxTasksByZone(a.largestSpec, tasks, zones)));
    }
    return needs;
  }

  /** Limits tasks that must be spread to half of them per zone; empty if any zone may take all. */
  private static Map<String, Integer> maxTasksByZone(JobSpec spec, double tasks, Set<String> all) {
    Map<String, Integer> limits = new HashMap<>();
    if (spec.spread()) {
      all.forEach(zone -> limits.put(zone, (int) Math.ceil(tasks / 2)));
    }
    return limits;
  }
}
