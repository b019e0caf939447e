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
 * How much room becomes free by itself, as tasks end, and how many urgent tasks wait for it. Every
 * controller sees the ends of its own jobs' tasks; jobs fall to all controllers alike, so all ends
 * are about as many times more as there are controllers.
 */
final class Turnover {
  /** Over how many seconds ends are counted; at some tens a second that is enough of them. */
  private static final double WINDOW_S = 5;

  /** So many standard deviations fewer ends than are to be expected are counted on. */
  private static final double SAFETY_STDDEVS = 1.5;

  /** How long a count of what waits is good for. */
  private static final double CACHE_S = 0.25;

  /** Processors set free on machines of a kind, weighted by how long ago that was. */
  private static final class FreedCpu {
    double cpu;
    double cpuAt;

    double cpuAt(double now) {
      return cpu * Math.exp((cpuAt - now) / WINDOW_S);
    }
  }

  private final ControllerContext context;
  private final MachineTable machineTable;
  private final Claims claims;
  private final List<FreedCpu> freedByKind = new ArrayList<>();
  private final long[] waitingTasks = new long[Priority.values().length];
  private double waitingTasksAt = Double.NEGATIVE_INFINITY;

  Turnover(ControllerContext context, MachineTable room, Claims claims) {
    this.context = context;
    this.machineTable = room;
    this.claims = claims;
  }

  /** A task of this size has run to its end on a machine. */
  void taskCompleted(String host, Resources size, double now) {
    MachineTable.Entry seen = machineTable.get(host);
    if (seen == null) {
      return;
    }
    while (freedByKind.size() <= seen.kind().index()) {
      freedByKind.add(new FreedCpu());
    }
    FreedCpu f = freedByKind.get(seen.kind().index());
    f.cpu = f.cpuAt(now) + size.cpu();
    f.cpuAt = now;
  }

  /** Tasks of this size that find room in a second on machines of the kinds that fit. */
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

  /** Tasks of this or a greater priority that wait for room, at all controllers together. */
  long waitingTasks(Priority priority) {
    double now = context.now();
    if (now - waitingTasksAt > CACHE_S) {
      waitingTasksAt = now;
      Arrays.fill(waitingTasks, 0);
      for (JobTable.Entry e : context.jobs().all()) {
        if (e.record().status() == Status.OPEN) {
          JobSpec spec = e.record().spec();
          waitingTasks[spec.priority().ordinal()] += claims.statistics().unstarted(spec);
        }
      }
    }
    long all = 0;
    for (int p = 0; p <= priority.ordinal(); p++) {
      all += waitingTasks[p];
    }
    return all;
  }

  /**
   * How many tasks would still wait when it is too late for them: what is quite sure to end by
   * itself until then is counted first, and goes to all that wait in the proportion of their
   * numbers. Where few tasks end, how many do in a few seconds is a matter of chance.
   *
   * @param need tasks that wait here
   * @param needOfAll tasks that wait everywhere, these among them
   * @param slotsPerS room for such tasks that becomes free in a second
   * @param leftS seconds until it is too late; infinite if it is so already
   */
  static int shortage(int need, long needOfAll, double slotsPerS, double leftS) {
    if (need <= 0 || leftS == Double.POSITIVE_INFINITY) {
      return 0;
    }
    double ends = slotsPerS * Math.max(0, leftS);
    double surely = Math.max(0, ends - SAFETY_STDDEVS * Math.sqrt(ends));
    double mine = surely * need / Math.max(need, needOfAll);
    return Math.max(0, (int) Math.ceil(need - mine - 1e-9));
  }
}
