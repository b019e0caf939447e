package dev.dunefront.claim;

import dev.dunefront.job.JobRecord.Status;
import dev.dunefront.job.JobTable;
import dev.dunefront.wire.JobSpec;
import dev.dunefront.wire.Priority;
import dev.dunefront.wire.Size;
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
  private static final double SPAN_S = 5;

  /** The estimate is reduced by this many standard deviations of the expected completions. */
  private static final double DOUBT = 1.5;

  /** How long a count of waiting tasks is reused. */
  private static final double FRESH_S = 0.25;

  /** CPU freed on machines of one kind, with exponential decay over time. */
  private static final class Flow {
    double cpu;
    double at;

    double at(double now) {
      return cpu * Math.exp((at - now) / SPAN_S);
    }
  }

  private final ControllerContext context;
  private final Room room;
  private final Claims claims;
  private final List<Flow> flows = new ArrayList<>();
  private final long[] waiting = new long[Priority.values().length];
  private double waitingAt = Double.NEGATIVE_INFINITY;

  Turnover(ControllerContext context, Room room, Claims claims) {
    this.context = context;
    this.room = room;
    this.claims = claims;
  }

  /** Counts a task of this size that has completed on a machine. */
  void ended(String host, Size size, double now) {
    Room.Seen machine = room.get(host);
    if (machine == null) {
      return;
    }
    while (flows.size() <= machine.kind().index()) {
      flows.add(new Flow());
    }
    Flow freed = flows.get(machine.kind().index());
    freed.cpu = freed.at(now) + size.cpu();
    freed.at = now;
  }

  /** Number of tasks of this size for which fitting machines free capacity per second. */
  double slotsPerS(Size size, IntPredicate fits) {
    double cpu = 0;
    for (int kind = 0; kind < flows.size(); kind++) {
      if (fits.test(kind)) {
        cpu += flows.get(kind).at(context.now());
      }
    }
    int controllers = Math.max(1, context.membership().liveNodes().size());
    return size.cpu() <= 0 ? 0 : cpu / SPAN_S * controllers / size.cpu();
  }

  /** Unstarted tasks of this or a higher priority, over all controllers. */
  long waiting(Priority priority) {
    double now = context.now();
    if (now - waitingAt > FRESH_S) {
      waitingAt = now;
      Arrays.fill(waiting, 0);
      for (JobTable.Entry entry : context.jobs().all()) {
        if (entry.record().status() == Status.OPEN) {
          JobSpec spec = entry.record().spec();
          waiting[spec.priority().ordinal()] += claims.account().unstarted(spec);
        }
      }
    }
    long total = 0;
    for (int p = 0; p <= priority.ordinal(); p++) {
      total += waiting[p];
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
    double certain = Math.max(0, expected - DOUBT * Math.sqrt(expected));
    double share = certain * need / Math.max(need, needOfAll);
    return Math.max(0, (int) Math.ceil(need - share - 1e-9));
  }
}
