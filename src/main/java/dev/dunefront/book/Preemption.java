package dev.dunefront.book;

import dev.dunefront.claim.ControllerContext;
import dev.dunefront.fleet.MachineCatalog;
import dev.dunefront.job.JobTable;
import dev.dunefront.net.Timers;
import dev.dunefront.peer.Message;
import dev.dunefront.wire.JobSpec;
import dev.dunefront.wire.MachineType;
import dev.dunefront.wire.Priority;
import dev.dunefront.wire.Report;
import dev.dunefront.wire.Resources;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Which tasks give way to urgent ones that find no room. */
final class Preemption {
  private static final System.Logger LOG = System.getLogger(Preemption.class.getName());

  /** Only tasks that have run for less than this give way: what they lose is small. */
  static final double MAX_PREEMPTIBLE_RUNTIME_S = 20;

  /** And only such as are at most this many times as large as what they give way to. */
  private static final int MAX_SIZE_RATIO = 2;

  /**
   * What yields is left alone for its first moments, in seconds: a start that is taken back before
   * is none to its user, and fetching and saving would be all that it does.
   */
  private static final double MIN_RUNTIME_S = 30;

  /** What a task that saves is given on top of the time that it needs, in seconds. */
  private static final double SAVE_MARGIN_S = 1;

  private final JobTable jobs;
  private final MachineCatalog catalog;
  private final Timers timers;
  private final ViewPublisher viewPublisher;

  Preemption(ControllerContext context, ViewPublisher views) {
    this.jobs = context.jobs();
    this.catalog = context.catalog();
    this.timers = context.timers();
    this.viewPublisher = views;
  }

  /** Stops the youngest tasks of lower priority, for they lose least. */
  void preempt(Machine m, Message.Preempt p) {
    MachineType type = catalog.type(m.typeName);
    if (type == null || !m.open()) {
      return;
    }
    double now = timers.now();
    Resources room = m.freeRoom(type, viewPublisher::sizeOf);
    List<Report.Task> victims = new ArrayList<>();
    List<Report.Task> yielding = new ArrayList<>();
    for (Report.Task t : m.tasks.values()) {
      JobTable.Entry e = jobs.get(t.id().job());
      if (e == null || t.exited()) {
        continue;
      }
      JobSpec spec = e.record().spec();
      if (m.pendingStops.containsKey(t.id())) {
        room = room.plus(spec.taskResources());
      } else if (alwaysPreemptible(spec)) {
        if (spec.priority().ordinal() > p.priority() && runtimeS(m, t, now) >= MIN_RUNTIME_S) {
          yielding.add(t);
        }
      } else if (spec.priority().ordinal() > p.priority()
          && !spec.service()
          // Once is enough: what was begun anew goes on.
          && t.attempt() == 1
          && spec.taskResources().cpu() <= MAX_SIZE_RATIO * p.size().cpu()
          && runtimeS(m, t, now) < MAX_PREEMPTIBLE_RUNTIME_S) {
        victims.add(t);
      }
    }
    victims.sort(Comparator.comparingDouble(t -> -m.startedAt.get(t.id())));
    yielding.addAll(victims);
    for (Report.Task t : yielding) {
      if (p.size().countFittingIn(room) >= p.count()) {
        break;
      }
      JobSpec spec = jobs.get(t.id().job()).record().spec();
      room = room.plus(spec.taskResources());
      LOG.log(Level.DEBUG, "{0} on {1} gives way to a higher priority", t.id(), m.host);
      m.requestStop(
          t.id(),
          t.attempt(),
          alwaysPreemptible(spec) ? spec.checkpointDurationS() + SAVE_MARGIN_S : 0);
    }
  }

  private static double runtimeS(Machine m, Report.Task t, double now) {
    return now - m.startedAt.getOrDefault(t.id(), Double.NEGATIVE_INFINITY);
  }

  /**
   * Whether tasks of the job give way to any other priority, however long they have run and however
   * often: they are of the lowest, which is to have what lies idle, and keep what they have done.
   */
  static boolean alwaysPreemptible(JobSpec spec) {
    return spec.priority() == Priority.BEST_EFFORT
        && spec.checkpointIntervalS() > 0
        && !spec.service();
  }
}
