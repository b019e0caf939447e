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

/** What is stopped on machines without a claimant's asking. */
final class TaskTermination {
  /** So long before a machine is taken back, what still runs on it is stopped. */
  private static final double FINAL_STOP_S = 1.5;

  private final Settings settings;
  private final JobTable jobs;
  private final Map<String, Double> lookupTimes = new HashMap<>();

  TaskTermination(ControllerContext context) {
    this.settings = context.settings();
    this.jobs = context.jobs();
  }

  /**
   * A machine will be taken back. Tasks that can save are told to, while there is time. Of the
   * others those that will surely not be done are stopped at once, and the rest just before the
   * end: what has exited is placed again at once, what vanishes with its machine only when its
   * lease is over.
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
   * Looks through all machines for tasks of jobs that are over, whenever that was learned: a
   * machine may have been taken, or have begun a task, long after its job was cancelled, and the
   * claimant may be out of reach. Where no live record names a job it is over, or news of it has
   * yet to come.
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

  /** A job is over: what of it runs is stopped, what is about to start is refused. */
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
