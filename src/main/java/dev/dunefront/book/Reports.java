package dev.dunefront.book;

import dev.dunefront.claim.ControllerContext;
import dev.dunefront.evidence.Blame;
import dev.dunefront.evidence.Freshness;
import dev.dunefront.job.JobTable;
import dev.dunefront.net.Timers;
import dev.dunefront.wire.Report;
import dev.dunefront.wire.TaskId;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.Map;

/** Applies worker reports to the state of held machines. */
final class Reports {
  private static final System.Logger LOG = System.getLogger(Reports.class.getName());
  private static final int MAX_IMAGES = 12;

  private final JobTable jobs;
  private final Timers timers;

  Reports(ControllerContext context) {
    this.jobs = context.jobs();
    this.timers = context.timers();
  }

  /** Applies a report that the worker sent on its own initiative and that is not stale. */
  void reported(Machine m, Report r) {
    take(m, r, m.fresh.reported(r));
  }

  /** Applies a response to orders or to a status request. */
  void answered(Machine m, Report r) {
    take(m, r, m.fresh.answered(r));
  }

  private void take(Machine m, Report r, Freshness next) {
    boolean newer = r.newerThan(m.fresh.session(), m.fresh.serial());
    m.fresh = next;
    if (newer) {
      apply(m, r);
    }
  }

  /**
   * The worker has restarted, perhaps in a lower session. Its previous tasks are gone, and it may
   * reuse the numbers of earlier sessions. The token is therefore raised before anything is sent to
   * it or declared ended.
   */
  void begunAnew(Machine m, Report r) {
    LOG.log(Level.INFO, "worker of {0} has restarted, in session {1}", m.host, r.session());
    m.fresh = Freshness.NONE.answered(r);
    m.session = 0;
    m.settled = false;
    m.doubt = true;
    apply(m, r);
    m.settled = false;
  }

  /**
   * Another controller has seen the worker in a later session. The tasks of the earlier session are
   * gone.
   */
  void laterSession(Machine m, long session) {
    m.fresh = new Freshness(session, -1, -1, m.fresh.token());
    m.session = session;
    endSession(m);
    m.tasks.clear();
    m.dirty = true;
  }

  private void endSession(Machine m) {
    // The lease of the new session has just begun. If it were counted from the last report of the
    // earlier session, a session learned of from a response or from another controller would
    // count as expired while it is alive, and tasks just started in it would be placed a second
    // time.
    m.begun = timers.now();
    // The tasks of the earlier session are gone, and the worker refuses orders for it.
    m.pending.clear();
    m.stops.clear();
    m.clears.clear();
    m.offers.clear();
    m.lost = false;
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
      endSession(m);
    }
    m.dirty |=
        r.session() != m.session
            || (r.noticeS() == null) != (m.noticeS == null)
            || r.token() == m.token && !m.settled
            || !m.pending.isEmpty()
            || !sameTasks(m, r);
    m.session = r.session();
    if (!r.endpoint().isEmpty()) {
      m.endpoint = r.endpoint();
    }
    if (r.noticeS() != null && m.noticeS == null) {
      LOG.log(Level.INFO, "the provider will reclaim {0} in {1} s", m.host, r.noticeS());
    }
    m.noticeS = r.noticeS();
    m.noticeAt = timers.now();
    Map<TaskId, Report.Task> before = new HashMap<>(m.tasks);
    m.tasks.clear();
    for (Report.Task t : r.tasks()) {
      m.tasks.put(t.id(), t);
      Report.Task previous = before.get(t.id());
      if (t.exited() && t.why().equals("done") && (previous == null || !previous.exited())) {
        m.blame = Blame.NONE;
      }
      if (!t.state().equals("fetching") && !t.why().equals("no_room")) {
        JobTable.Entry job = jobs.get(t.id().job());
        if (job != null && job.record().spec().image() != null) {
          m.images.remove(job.record().spec().image());
          m.images.add(job.record().spec().image());
          if (m.images.size() > MAX_IMAGES) {
            m.images.remove(m.images.iterator().next());
          }
        }
      }
    }
    if (r.token() == m.token) {
      m.settled = true;
      if (!m.ours) {
        // Until the worker received this token, a previous holder that does not know that it has
        // lost the machine may have renewed the lease under an older one.
        m.ours = true;
        m.begun = timers.now();
      }
      // Orders sent under an earlier token are refused by the worker from now on.
      m.pending.values().removeIf(p -> p.sentUnder != 0 && p.sentUnder < m.token);
    }
    m.pending
        .entrySet()
        .removeIf(
            e -> {
              Report.Task t = m.tasks.get(e.getKey());
              return t != null && t.attempt() == e.getValue().attempt;
            });
    m.startedAt.keySet().removeIf(id -> !m.tasks.containsKey(id) && !m.pending.containsKey(id));
    forget(m.stops, m, true);
    forget(m.clears, m, false);
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

  private static void forget(Map<TaskId, Machine.Wish> orders, Machine m, boolean untilExited) {
    orders
        .entrySet()
        .removeIf(
            e -> {
              Report.Task t = m.tasks.get(e.getKey());
              return t == null && !m.pending.containsKey(e.getKey())
                  || t != null
                      && t.attempt() != e.getValue().attempt
                      && !m.pending.containsKey(e.getKey())
                  || untilExited && t != null && t.exited() && t.attempt() == e.getValue().attempt;
            });
  }
}
