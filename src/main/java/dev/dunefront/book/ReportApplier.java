package dev.dunefront.book;

import dev.dunefront.claim.ControllerContext;
import dev.dunefront.evidence.FailureScore;
import dev.dunefront.evidence.ReportSequence;
import dev.dunefront.job.JobTable;
import dev.dunefront.net.Timers;
import dev.dunefront.wire.Report;
import dev.dunefront.wire.TaskId;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.Map;

/** What a worker's report changes in what is known of its machine. */
final class ReportApplier {
  private static final System.Logger LOG = System.getLogger(ReportApplier.class.getName());
  private static final int MAX_CACHED_IMAGES = 12;

  private final JobTable jobs;
  private final Timers timers;

  ReportApplier(ControllerContext context) {
    this.jobs = context.jobs();
    this.timers = context.timers();
  }

  /** Takes over a report that came by itself and is no copy of an old one. */
  void applyReport(Machine m, Report r) {
    applyIfNewer(m, r, m.reportSequence.reported(r));
  }

  /** Takes over an answer to orders or to a question. */
  void applyReply(Machine m, Report r) {
    applyIfNewer(m, r, m.reportSequence.afterReply(r));
  }

  private void applyIfNewer(Machine m, Report r, ReportSequence next) {
    boolean news = r.newerThan(m.reportSequence.session(), m.reportSequence.highestSerial());
    m.reportSequence = next;
    if (news) {
      apply(m, r);
    }
  }

  /**
   * The worker has begun anew, perhaps in a lower session: what it had is gone, but for its former
   * sessions' numbers, which it may use again. So its token has to be raised before anything is
   * sent to it or called gone.
   */
  void workerRestarted(Machine m, Report r) {
    LOG.log(Level.INFO, "{0} has begun anew, in session {1}", m.host, r.session());
    m.reportSequence = ReportSequence.NONE.afterReply(r);
    m.session = 0;
    m.tokenAcknowledged = false;
    m.commandOutcomeUnknown = true;
    apply(m, r);
    m.tokenAcknowledged = false;
  }

  /** Another controller has seen the worker in a later session: what ran in the earlier is gone. */
  void sessionSeenElsewhere(Machine m, long session) {
    m.reportSequence = new ReportSequence(session, -1, -1, m.reportSequence.highestToken());
    m.session = session;
    resetForNewSession(m);
    m.tasks.clear();
    m.viewChanged = true;
  }

  private void resetForNewSession(Machine m) {
    // The new session's lease has only begun. Were it counted from the last report of the earlier
    // one, a session learned of by an answer or from another controller would be called over while
    // it lives, and what had just been started in it would be placed a second time.
    m.sessionStartedAt = timers.now();
    // The earlier session's tasks are gone, and orders for it are refused.
    m.pendingStarts.clear();
    m.pendingStops.clear();
    m.pendingClears.clear();
    m.offers.clear();
    m.leaseExpired = false;
  }

  private void apply(Machine m, Report r) {
    if (r.session() > m.session) {
      if (m.session > 0) {
        LOG.log(Level.DEBUG, "{0} is in session {1}, after {2}", m.host, r.session(), m.session);
      }
      resetForNewSession(m);
    }
    m.viewChanged |=
        r.session() != m.session
            || (r.reclaimNoticeS() == null) != (m.reclaimNoticeS == null)
            || r.token() == m.token && !m.tokenAcknowledged
            || !m.pendingStarts.isEmpty()
            || !sameTasks(m, r);
    m.session = r.session();
    if (!r.endpoint().isEmpty()) {
      m.endpoint = r.endpoint();
    }
    if (r.reclaimNoticeS() != null && m.reclaimNoticeS == null) {
      LOG.log(Level.INFO, "{0} will be taken back in {1} s", m.host, r.reclaimNoticeS());
    }
    m.reclaimNoticeS = r.reclaimNoticeS();
    m.reclaimNoticeAt = timers.now();
    Map<TaskId, Report.Task> before = new HashMap<>(m.tasks);
    m.tasks.clear();
    for (Report.Task t : r.tasks()) {
      m.tasks.put(t.id(), t);
      Report.Task was = before.get(t.id());
      if (t.exited() && t.exitReason().equals("done") && (was == null || !was.exited())) {
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
    if (r.token() == m.token) {
      m.tokenAcknowledged = true;
      if (!m.holdAcknowledged) {
        // Until the worker saw this token another controller, which does not know that it has lost
        // the machine, may have renewed its lease under an older one.
        m.holdAcknowledged = true;
        m.sessionStartedAt = timers.now();
      }
      // Orders sent under an earlier token can no longer be carried out.
      m.pendingStarts.values().removeIf(p -> p.sentUnderToken != 0 && p.sentUnderToken < m.token);
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

  private static void removeCompleted(
      Map<TaskId, Machine.RepeatedCommand> wishes, Machine m, boolean untilExited) {
    wishes
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
