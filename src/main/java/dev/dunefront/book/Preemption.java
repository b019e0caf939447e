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

/** Selects the tasks that are preempted for tasks of higher priority that find no room. */
final class Preemption {
  private static final System.Logger LOG = System.getLogger(Preemption.class.getName());

  /** Tasks that have run for less than this may be preempted, in seconds: they lose little work. */
  static final double MAX_PREEMPTIBLE_RUNTIME_S = 20;

  /** A preempted task has at most this many times the CPUs of the task that it makes room for. */
  private static final int MAX_SIZE_RATIO = 2;

  /**
   * Tasks that checkpoint and may always be preempted run for at least this long first, in seconds.
   * With earlier preemption users would see no start, and fetching and saving would be all that
   * such a task does.
   */
  private static final double MIN_RUNTIME_S = 30;

  /**
   * Grace period for a checkpoint in addition to the time that the job specifies for it, in
   * seconds.
   */
  private static final double SAVE_MARGIN_S = 1;

  private final JobTable jobs;
  private final MachineCatalog catalog;
  private final Timers timers;
  private final ViewPublisher viewPublisher;

  Preemption(ControllerContext context, ViewPublisher viewPublisher) {
    this.jobs = context.jobs();
    this.catalog = context.catalog();
    this.timers = context.timers();
    this.viewPublisher = viewPublisher;
  }

  /**
   * Stops tasks of lower priority until there is room for the requested tasks: first those that may
   * always be preempted, then the youngest, which lose the least work.
   */
  void preempt(Machine m, Message.PreemptTasks request) {
    MachineType type = catalog.type(m.typeName);
    if (type == null || !m.schedulable()) {
      return;
    }
    double now = timers.now();
    Resources room = m.freeRoom(type, viewPublisher::sizeOf);
    List<Report.Task> victims = new ArrayList<>();
    List<Report.Task> chosen = new ArrayList<>();
    for (Report.Task t : m.tasks.values()) {
      JobTable.Entry e = jobs.get(t.id().job());
      if (e == null || t.exited()) {
        continue;
      }
      JobSpec spec = e.record().spec();
      if (m.pendingStops.containsKey(t.id())) {
        room = room.plus(spec.taskResources());
      } else if (alwaysPreemptible(spec)) {
        if (spec.priority().ordinal() > request.priority()
            && runtimeS(m, t, now) >= MIN_RUNTIME_S) {
          chosen.add(t);
        }
      } else if (spec.priority().ordinal() > request.priority()
          && !spec.service()
          // A task is preempted only in its first attempt, so that it completes eventually.
          && t.attempt() == 1
          && spec.taskResources().cpu() <= MAX_SIZE_RATIO * request.size().cpu()
          && runtimeS(m, t, now) < MAX_PREEMPTIBLE_RUNTIME_S) {
        victims.add(t);
      }
    }
    victims.sort(Comparator.comparingDouble(t -> -m.startedAt.get(t.id())));
    chosen.addAll(victims);
    for (Report.Task t : chosen) {
      if (request.size().countFittingIn(room) >= request.count()) {
        break;
      }
      JobSpec spec = jobs.get(t.id().job()).record().spec();
      room = room.plus(spec.taskResources());
      LOG.log(Level.DEBUG, "preempting {0} on {1} for a task of higher priority", t.id(), m.host);
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
   * Whether tasks of the job may be preempted by any higher priority at any runtime and any number
   * of times: they have the lowest priority, which is meant for idle room, and keep their progress
   * through checkpoints.
   */
  static boolean alwaysPreemptible(JobSpec spec) {
    return spec.priority() == Priority.BEST_EFFORT
        && spec.checkpointIntervalS() > 0
        && !spec.service();
  }
}
