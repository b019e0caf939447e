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
 * How much room becomes free by itself, as tasks end, and how many urgent tasks wait for it. Every
 * controller sees the ends of its own jobs' tasks; jobs fall to all controllers alike, so all ends
 * are about as many times more as there are controllers.
 */
final class Turnover {
  /** Over how many seconds ends are counted; at some tens a second that is enough of them. */
  private static final double SPAN_S = 5;

  /** So many standard deviations fewer ends than are to be expected are counted on. */
  private static final double DOUBT = 1.5;

  /** How long a count of what waits is good for. */
  private static final double FRESH_S = 0.25;

  /** Processors set free on machines of a kind, weighted by how long ago that was. */
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

  /** A task of this size has run to its end on a machine. */
  void ended(String host, Size size, double now) {
    Room.Seen seen = room.get(host);
    if (seen == null) {
      return;
    }
    while (flows.size() <= seen.kind().index()) {
      flows.add(new Flow());
    }
    Flow f = flows.get(seen.kind().index());
    f.cpu = f.at(now) + size.cpu();
    f.at = now;
  }

  /** Tasks of this size that find room in a second on machines of the kinds that fit. */
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

  /** Tasks of this or a greater priority that wait for room, at all controllers together. */
  long waiting(Priority priority) {
    double now = context.now();
    if (now - waitingAt > FRESH_S) {
      waitingAt = now;
      Arrays.fill(waiting, 0);
      for (JobTable.Entry e : context.jobs().all()) {
        if (e.record().status() == Status.OPEN) {
          JobSpec spec = e.record().spec();
          waiting[spec.priority().ordinal()] += claims.account().unstarted(spec);
        }
      }
    }
    long all = 0;
    for (int p = 0; p <= priority.ordinal(); p++) {
      all += waiting[p];
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
    double surely = Math.max(0, ends - DOUBT * Math.sqrt(ends));
    double mine = surely * need / Math.max(need, needOfAll);
    return Math.max(0, (int) Math.ceil(need - mine - 1e-9));
  }
}
