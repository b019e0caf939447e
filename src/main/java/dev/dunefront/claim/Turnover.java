package dev.dunefront.claim;

import dev.dunefront.job.JobRecord.Status;
import dev.dunefront.job.JobTable;
import dev.dunefront.wire.JobSpec;
import dev.dunefront.wire.Priority;
import dev.dunefront.wire.Resources;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.IntPredicate;

/**
 * Estimates how much capacity completing tasks free, and how many urgent tasks wait for it. Each
 * controller sees the completions of its own jobs only; as jobs are spread evenly over the
 * controllers, the total is estimated as that number times the number of controllers.
 */
final class Turnover {
  /** Averaging period; at tens of completions per second it contains enough of them. */
  private static final double WINDOW_S = 5;

  /** The estimate is reduced by this many standard deviations of the expected completions. */
  private static final double SAFETY_STDDEVS = 1.5;

  /** How long a count of waiting tasks is reused. */
  private static final double CACHE_S = 0.25;

  /** CPU freed on machines of one kind, with exponential decay over time. */
  private static final class FreedCpu {
    double cpu;

    /** Time to which the value has decayed. */
    double updatedAt;

    /** The value decayed to this time. */
    double cpuAt(double now) {
      return cpu * Math.exp((updatedAt - now) / WINDOW_S);
    }
  }

  private final ControllerContext context;
  private final MachineTable machineTable;
  private final Claims claims;
  private final List<FreedCpu> freedByKind = new ArrayList<>();
  private final long[] waitingTasks = new long[Priority.values().length];
  private double waitingTasksAt = Double.NEGATIVE_INFINITY;

  Turnover(ControllerContext context, MachineTable machineTable, Claims claims) {
    this.context = context;
    this.machineTable = machineTable;
    this.claims = claims;
  }

  /** Counts a task of this size that has completed on a machine. */
  void taskCompleted(String host, Resources size, double now) {
    MachineTable.Entry machine = machineTable.get(host);
    if (machine == null) {
      return;
    }
    while (freedByKind.size() <= machine.kind().index()) {
      freedByKind.add(new FreedCpu());
    }
    FreedCpu freed = freedByKind.get(machine.kind().index());
    freed.cpu = freed.cpuAt(now) + size.cpu();
    freed.updatedAt = now;
  }

  /** Number of tasks of this size for which fitting machines free capacity per second. */
  double slotsPerS(Resources size, IntPredicate fits) {
    double cpu = 0;
    for (int kind = 0; kind < freedByKind.size(); kind++) {
      if (fits.test(kind)) {
        cpu += freedByKind.get(kind).cpuAt(context.now());
      }
    }
    int controllers = Math.max(1, context.membership().liveNodes().size());
    return size.cpu() <= 0 ? 0 : cpu / WINDOW_S * controllers / size.cpu();
  }

  /** Unstarted tasks of this or a higher priority, over all controllers. */
  long waitingTasks(Priority priority) {
    double now = context.now();
    if (now - waitingTasksAt > CACHE_S) {
      waitingTasksAt = now;
      Arrays.fill(waitingTasks, 0);
      for (JobTable.Entry entry : context.jobs().all()) {
        if (entry.record().status() == Status.OPEN) {
          JobSpec spec = entry.record().spec();
          waitingTasks[spec.priority().ordinal()] += claims.statistics().unstarted(spec);
        }
      }
    }
    long total = 0;
    for (int p = 0; p <= priority.ordinal(); p++) {
      total += waitingTasks[p];
    }
    return total;
  }

  /**
   * How many tasks would still wait at their latest start time. Completions that are nearly certain
   * until then are subtracted first, shared among all waiting tasks in proportion to their number.
   * At low completion rates the number within a few seconds varies widely, so less of it counts.
   *
   * @param need tasks that wait at this controller
   * @param needOfAll tasks that wait at all controllers, including these
   * @param slotsPerS task slots that become free per second
   * @param leftS seconds until the latest start time; infinite if it can no longer be met
   */
  static int shortage(int need, long needOfAll, double slotsPerS, double leftS) {
    if (need <= 0 || leftS == Double.POSITIVE_INFINITY) {
      return 0;
    }
    double expected = slotsPerS * Math.max(0, leftS);
    double certain = Math.max(0, expected - SAFETY_STDDEVS * Math.sqrt(expected));
    double share = certain * need / Math.max(need, needOfAll);
    return Math.max(0, (int) Math.ceil(need - share - 1e-9));
  }
}
