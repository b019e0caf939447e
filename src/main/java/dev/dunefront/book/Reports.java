package dev.dunefront.book;

import dev.dunefront.claim.Desk;
import dev.dunefront.job.JobTable;
import dev.dunefront.net.Timers;
import dev.dunefront.wire.Report;
import dev.dunefront.wire.TaskId;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.Map;

/** What a worker's report changes in what is known of its machine. */
final class Reports {
  private static final System.Logger LOG = System.getLogger(Reports.class.getName());
  private static final int MAX_IMAGES = 12;

  private final JobTable jobs;
  private final Timers timers;

  Reports(Desk desk) {
    this.jobs = desk.jobs();
    this.timers = desk.timers();
  }

  /** Takes over a report that is newer than what is known. */
  void apply(Machine m, Report r) {
    if (r.tenure() > m.tenure) {
      // The earlier session's tasks are gone, and orders for it are refused.
      m.pending.clear();
      m.stops.clear();
      m.clears.clear();
      m.offers.clear();
      m.lost = false;
    }
    m.dirty |=
        r.tenure() != m.tenure
            || (r.noticeS() == null) != (m.noticeS == null)
            || r.baton() == m.baton && !m.settled
            || !m.pending.isEmpty()
            || !sameTasks(m, r);
    m.tenure = r.tenure();
    m.serial = r.serial();
    if (!r.endpoint().isEmpty()) {
      m.endpoint = r.endpoint();
    }
    if (r.noticeS() != null && m.noticeS == null) {
      LOG.log(Level.INFO, "{0} will be taken back in {1} s", m.host, r.noticeS());
    }
    m.noticeS = r.noticeS();
    m.noticeAt = timers.now();
    Map<TaskId, Report.Task> before = new HashMap<>(m.tasks);
    m.tasks.clear();
    for (Report.Task t : r.tasks()) {
      m.tasks.put(t.id(), t);
      Report.Task was = before.get(t.id());
      if (t.exited() && t.why().equals("done") && (was == null || !was.exited())) {
        m.blamedBy.clear();
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
    if (r.baton() == m.baton) {
      m.settled = true;
      m.ours = true;
      // Orders sent under an earlier baton can no longer be carried out.
      m.pending.values().removeIf(p -> p.sentUnder != 0 && p.sentUnder < m.baton);
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

  private static void forget(Map<TaskId, Machine.Wish> wishes, Machine m, boolean untilExited) {
    wishes
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
