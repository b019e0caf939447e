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
 * Urgent work that is to be expected while a machine would boot: it has no time to wait for one.
 * Arrays come and go, and a burst of them is in proportion to what is open. Services stay, so what
 * is open says nothing of what will come; what came lately does.
 */
final class DemandForecast {
  /** Of a single job no more tasks than these count. */
  private static final int MAX_TASKS_PER_JOB = 1000;

  private static final int WINDOWS = 2;

  /**
   * What came in one window comes again, but only up to so many times what came in the one before:
   * a single wave, as at the start of a day, is no habit.
   */
  private static final double MAX_GROWTH = 2;

  /** Room for at least so many of the largest services that came lately is kept. */
  private static final int MIN_LARGEST_SERVICES = 2;

  private DemandForecast() {}

  private static final class Arrivals {
    final double[] tasksByWindow = new double[WINDOWS];
    double openTasks;
    JobSpec largestSpec;
  }

  /**
   * @param zones all zones
   * @param part how much of what is open is kept ready at most
   * @param windowS how long a machine takes to come
   */
  static List<CapacityNeed> urgentNeeds(
      Collection<JobTable.Entry> jobs, Set<String> zones, double part, double windowS, long nowMs) {
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
                spec, tasks * part, maxTasksByZone(spec, tasks * part, zones)));
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
      double habit = Math.min(a.tasksByWindow[0], MAX_GROWTH * a.tasksByWindow[1]);
      double largest = Math.min(a.largestSpec.tasks(), MAX_TASKS_PER_JOB);
      double tasks = Math.min(a.openTasks * part, Math.max(habit, MIN_LARGEST_SERVICES * largest));
      needs.add(
          CapacityNeed.forExpected(
              a.largestSpec, tasks, maxTasksByZone(a.largestSpec, tasks, zones)));
    }
    return needs;
  }

  /** Tasks that must be apart want room in more zones than one. */
  private static Map<String, Integer> maxTasksByZone(JobSpec spec, double tasks, Set<String> all) {
    Map<String, Integer> most = new HashMap<>();
    if (spec.spread()) {
      all.forEach(zone -> most.put(zone, (int) Math.ceil(tasks / 2)));
    }
    return most;
  }
}
