package dev.dunefront.book;

import dev.dunefront.claim.ControllerContext;
import dev.dunefront.evidence.FailureScore;
import dev.dunefront.evidence.WorkerBoot;
import dev.dunefront.job.JobTable;
import dev.dunefront.net.Timers;
import dev.dunefront.wire.Report;
import dev.dunefront.wire.TaskId;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.Map;

/** Applies worker reports to the state of held machines. */
final class ReportApplier {
  private static final System.Logger LOG = System.getLogger(ReportApplier.class.getName());
  private static final int MAX_CACHED_IMAGES = 12;

  private final JobTable jobs;
  private final Timers timers;

  ReportApplier(ControllerContext context) {
    this.jobs = context.jobs();
    this.timers = context.timers();
  }

  /**
   * Applies a report that the worker sent on its own initiative and that is neither stale nor
   * unconfirmed.
   */
  void applyReport(Machine m, Report r) {
    applyIfNewer(m, r, m.boot.afterReport(r));
  }

  /** Applies a response to commands or to a status request. */
  void applyReply(Machine m, Report r) {
    applyIfNewer(m, r, m.boot.afterReply(r));
  }

  private void applyIfNewer(Machine m, Report r, WorkerBoot next) {
    boolean newer = r.newerThan(m.boot.reports().session(), m.boot.reports().highestSerial());
    m.boot = next;
    if (newer) {
      apply(m, r);
    }
  }

  /**
   * The worker has restarted, perhaps in a lower session. Its previous tasks have ended, and it
   * reuses the numbers of earlier sessions. The token is therefore raised before commands are sent
   * to it or its attempts are declared ended; and it is raised in the hold record, because other
   * controllers may still have views from before the restart.
   */
  void workerRestarted(Machine m, Report r) {
    LOG.log(Level.INFO, "worker of {0} has restarted, in session {1}", m.host, r.session());
    m.boot = m.boot.restarted(r);
    m.session = 0;
    m.tokenAcknowledged = false;
    m.commandOutcomeUnknown = true;
    apply(m, r);
    m.tokenAcknowledged = false;
  }

  /**
   * Another controller has seen the worker in a later session, so the tasks of the earlier session
   * have ended.
   */
  void sessionSeenElsewhere(Machine m, long session) {
    m.boot = m.boot.afterSessionStart(session);
    m.session = session;
    resetForNewSession(m);
    m.tasks.clear();
    m.viewChanged = true;
  }

  private void resetForNewSession(Machine m) {
    // The lease of the new session has just begun. If it were counted from the last report of the
    // earlier session, a session learned of from a response or from another controller would
    // count as expired while it is alive, and tasks just started in it would be placed a second
    // time.
    m.sessionStartedAt = timers.now();
    // The tasks of the earlier session have ended, and the worker refuses commands for it.
    m.pendingStarts.clear();
    m.pendingStops.clear();
    m.pendingClears.clear();
    m.offers.clear();
    m.leaseExpired = false;
  }

  private void apply(Machine m, Report r) {
    if (r.session() > m.session) {
      if (m.session > 0) {
        LOG.log(
            Level.DEBUG,
            "{0} is in session {1}; the previous one was {2}",
            m.host,
            r.session(),
            m.session);
      }
      resetForNewSession(m);
    }
    m.viewChanged |=
        r.session() != m.session
            || (r.reclaimNoticeS() == null) != (m.reclaimNoticeS == null)
            || m.isAcknowledgedBy(r) && !m.tokenAcknowledged
            || !m.pendingStarts.isEmpty()
            || !sameTasks(m, r);
    m.session = r.session();
    if (!r.endpoint().isEmpty()) {
      m.endpoint = r.endpoint();
    }
    if (r.reclaimNoticeS() != null && m.reclaimNoticeS == null) {
      LOG.log(Level.INFO, "the provider will reclaim {0} in {1} s", m.host, r.reclaimNoticeS());
    }
    m.reclaimNoticeS = r.reclaimNoticeS();
    m.reclaimNoticeAt = timers.now();
    Map<TaskId, Report.Task> before = new HashMap<>(m.tasks);
    m.tasks.clear();
    for (Report.Task t : r.tasks()) {
      m.tasks.put(t.id(), t);
      Report.Task previous = before.get(t.id());
      if (t.exited() && t.exitReason().equals("done") && (previous == null || !previous.exited())) {
        m.failureScore = FailureScore.NONE;
      }
      if (!t.state().equals("fetching") && !t.exitReason().equals("no_room")) {
        JobTable.Entry job = jobs.get(t.id().job());
        if (job != null && job.record().spec().image() != null) {
          m.cachedImages.remove(job.record().spec().image());
          m.cachedImages.add(job.record().spec().image());
          if (m.cachedImages.size() > MAX_CACHED_IMAGES) {
            m.cachedImages.remove(m.cachedImages.iterator().next());
          }
        }
      }
    }
    if (m.isAcknowledgedBy(r)) {
      m.tokenAcknowledged = true;
      if (!m.holdAcknowledged) {
        // Until the worker received this token, a previous holder that does not know that it has
        // lost the machine may have renewed the lease under an older one.
        m.holdAcknowledged = true;
        m.sessionStartedAt = timers.now();
      }
      // Commands sent under an earlier token are refused by the worker from now on.
      m.pendingStarts.values().removeIf(p -> p.sentUnderToken != 0 && p.sentUnderToken < r.token());
    }
    m.pendingStarts
        .entrySet()
        .removeIf(
            e -> {
              Report.Task t = m.tasks.get(e.getKey());
              return t != null && t.attempt() == e.getValue().attempt;
            });
    m.startedAt
        .keySet()
        .removeIf(id -> !m.tasks.containsKey(id) && !m.pendingStarts.containsKey(id));
    removeCompleted(m.pendingStops, m, true);
    removeCompleted(m.pendingClears, m, false);
  }

  private static boolean sameTasks(Machine m, Report r) {
    if (m.tasks.size() != r.tasks().size()) {
      return false;
    }
    for (Report.Task t : r.tasks()) {
      if (!t.equals(m.tasks.get(t.id()))) {
        return false;
      }
    }
    return true;
  }

  /** Removes stops or clears that have taken effect, or whose attempt the worker does not have. */
  private static void removeCompleted(
      Map<TaskId, Machine.RepeatedCommand> commands, Machine m, boolean untilExited) {
    commands
        .entrySet()
        .removeIf(
            e -> {
              Report.Task t = m.tasks.get(e.getKey());
              return t == null && !m.pendingStarts.containsKey(e.getKey())
                  || t != null
                      && t.attempt() != e.getValue().attempt
                      && !m.pendingStarts.containsKey(e.getKey())
                  || untilExited && t != null && t.exited() && t.attempt() == e.getValue().attempt;
            });
  }
}
