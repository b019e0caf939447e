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
final class Forecast {
  /** Of a single job no more tasks than these count. */
  private static final int MAX_TASKS = 1000;

  private static final int WINDOWS = 2;

  /**
   * What came in one window comes again, but only up to so many times what came in the one before:
   * a single wave, as at the start of a day, is no habit.
   */
  private static final double GROWTH = 2;

  /** Room for at least so many of the largest services that came lately is kept. */
  private static final int LARGEST = 2;

  private Forecast() {}

  private static final class Arrivals {
    final double[] tasks = new double[WINDOWS];
    double open;
    JobSpec largest;
  }

  /**
   * @param zones all zones
   * @param part how much of what is open is kept ready at most
   * @param windowS how long a machine takes to come
   */
  static List<Need> urgent(
      Collection<JobTable.Entry> jobs, Set<String> zones, double part, double windowS, long nowMs) {
    List<Need> needs = new ArrayList<>();
    Map<String, Arrivals> services = new HashMap<>();
    for (JobTable.Entry e : jobs) {
      JobSpec spec = e.record().spec();
      if (e.record().status() != JobRecord.Status.OPEN || !spec.priority().urgent()) {
        continue;
      }
      int tasks = Math.min(spec.tasks(), MAX_TASKS);
      if (!spec.service()) {
        needs.add(Need.expected(spec, tasks * part, zones(spec, tasks * part, zones)));
        continue;
      }
      Arrivals a = services.computeIfAbsent(spec.jobClass(), c -> new Arrivals());
      a.open += tasks;
      if (a.largest == null || a.largest.tasks() < spec.tasks()) {
        a.largest = spec;
      }
      int window = (int) Math.floor((nowMs - e.record().acceptedMs()) / 1000.0 / windowS);
      if (window >= 0 && window < WINDOWS) {
        a.tasks[window] += tasks;
      }
    }
    for (Arrivals a : services.values()) {
      double habit = Math.min(a.tasks[0], GROWTH * a.tasks[1]);
      double largest = Math.min(a.largest.tasks(), MAX_TASKS);
      double tasks = Math.min(a.open * part, Math.max(habit, LARGEST * largest));
      needs.add(Need.expected(a.largest, tasks, zones(a.largest, tasks, zones)));
    }
    return needs;
  }

  /** Tasks that must be apart want room in more zones than one. */
  private static Map<String, Integer> zones(JobSpec spec, double tasks, Set<String> all) {
    Map<String, Integer> most = new HashMap<>();
    if (spec.spread()) {
      all.forEach(zone -> most.put(zone, (int) Math.ceil(tasks / 2)));
    }
    return most;
  }
}
