package dev.dunefront.book;

import dev.dunefront.claim.ControllerContext;
import dev.dunefront.config.Settings;
import dev.dunefront.job.JobTable;
import dev.dunefront.store.StateStore;
import dev.dunefront.wire.JobSpec;
import dev.dunefront.wire.Report;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Stops tasks without a request from their claimant: on machines that are about to be reclaimed,
 * and of jobs that have ended.
 */
final class TaskTermination {
  /** Remaining tasks are stopped this long before their machine is reclaimed, in seconds. */
  private static final double FINAL_STOP_S = 1.5;

  private final Settings settings;
  private final JobTable jobs;

  /** When the record of an unknown job was last read, by job. */
  private final Map<String, Double> lookupTimes = new HashMap<>();

  TaskTermination(ControllerContext context) {
    this.settings = context.settings();
    this.jobs = context.jobs();
  }

  /**
   * Stops tasks on a machine that the provider is about to reclaim. Tasks that can save a
   * checkpoint are stopped while there is time for it. Of the others, those that cannot complete in
   * time are stopped at once and the rest just before the end: a task that has exited is placed
   * again immediately, while one that disappears with its machine is placed again only after the
   * lease has expired.
   *
   * @param leftS time until the machine is reclaimed, in seconds
   */
  void drainBeforeReclaim(Machine m, double leftS, double now) {
    for (Report.Task t : m.tasks.values()) {
      JobTable.Entry e = jobs.get(t.id().job());
      if (e == null || t.exited()) {
        continue;
      }
      JobSpec spec = e.record().spec();
      boolean running = t.state().equals("running");
      if (running && spec.checkpointIntervalS() > 0) {
        if (leftS < spec.checkpointDurationS() + settings.workers().reportS() + 1) {
          m.requestStop(t.id(), t.attempt(), Math.max(spec.checkpointDurationS() + 1, leftS));
        }
      } else if (running || t.state().equals("fetching")) {
        double ranS = now - m.startedAt.getOrDefault(t.id(), now);
        boolean overdue = running && ranS > spec.estimateS();
        if (leftS < FINAL_STOP_S || !overdue && spec.estimateS() - ranS > leftS) {
          m.requestStop(t.id(), t.attempt(), 0);
        }
      }
    }
  }

  /**
   * Stops tasks of jobs that have ended, whenever this controller learned of the end: a machine may
   * have been acquired, or may have started a task, long after its job was cancelled, and the
   * claimant may be unreachable. A job without a live record has ended, or its record has not
   * reached the replica yet, so its record is read.
   */
  void stopTasksOfEndedJobs(Collection<Machine> held, double now) {
    lookupTimes.values().removeIf(at -> now - at > 10);
    for (Machine m : held) {
      for (Report.Task t : m.tasks.values()) {
        String job = t.id().job();
        if (jobs.isEndingOrEnded(job)) {
          if (!t.exited()) {
            m.requestStop(t.id(), t.attempt(), 0);
          } else if (jobs.get(job) == null && jobs.finalStatus(job) != null) {
            m.pendingClears.putIfAbsent(t.id(), new Machine.RepeatedCommand(t.attempt(), 0, now));
          }
        } else if (jobs.get(job) == null && lookupTimes.putIfAbsent(job, now) == null) {
          jobs.readCurrent(job, StateStore.RequestPriority.BACKGROUND, found -> {});
        }
      }
    }
  }

  /** A job has ended: stops its running tasks on the machine and refuses its pending starts. */
  void stopJob(Machine m, String job) {
    for (Report.Task t : m.tasks.values()) {
      if (t.id().job().equals(job) && !t.exited()) {
        m.requestStop(t.id(), t.attempt(), 0);
      }
    }
    for (var e : Map.copyOf(m.pendingStarts).entrySet()) {
      if (e.getKey().job().equals(job)) {
        if (e.getValue().sentUnderToken == 0) {
          m.pendingStarts.remove(e.getKey());
          m.deniedAttempts.merge(e.getKey(), e.getValue().attempt, Math::max);
          m.viewChanged = true;
        } else {
          m.requestStop(e.getKey(), e.getValue().attempt, 0);
        }
      }
    }
  }
}
