package dev.dunefront.book;

import dev.dunefront.claim.ControllerContext;
import dev.dunefront.evidence.Invariant;
import dev.dunefront.evidence.StartRefusal;
import dev.dunefront.fleet.Catalog;
import dev.dunefront.job.JobTable;
import dev.dunefront.metrics.SafetyMonitor;
import dev.dunefront.net.Timers;
import dev.dunefront.peer.Message;
import dev.dunefront.peer.Peers;
import dev.dunefront.store.Standstill;
import dev.dunefront.wire.MachineType;
import dev.dunefront.wire.Report;
import dev.dunefront.wire.Size;
import dev.dunefront.wire.TaskId;
import java.lang.System.Logger.Level;

/**
 * Processes requests to start recorded attempts, and denies attempts that a machine does not have.
 */
final class Starts {
  private static final System.Logger LOG = System.getLogger(Starts.class.getName());

  private final JobTable jobs;
  private final Catalog catalog;
  private final Peers peers;
  private final Timers timers;
  private final Standstill standstill;
  private final Books books;
  private final Orders orders;
  private final Views views;
  private final SafetyMonitor safety;

  Starts(ControllerContext context, Books books, Orders orders, Views views) {
    this.jobs = context.jobs();
    this.catalog = context.catalog();
    this.peers = context.peers();
    this.timers = context.timers();
    this.standstill = context.standstill();
    this.books = books;
    this.orders = orders;
    this.views = views;
    this.safety = context.safety();
  }

  /** A claimant has accepted an offer and recorded the placement. */
  void start(String from, Message.Start s) {
    Machine m = books.held(s.host());
    if (m == null) {
      return;
    }
    TaskId id = new TaskId(s.job(), s.number());
    StartRefusal refusal = refusal(from, m, id, s);
    if (refusal != null) {
      safety.refused(refusal);
      LOG.log(
          Level.DEBUG,
          "refused start of {0}, attempt {1} of session {2} under token {3}, on {4}: {5}",
          id,
          s.attempt(),
          s.session(),
          s.token(),
          s.host(),
          refusal);
      probed(from, new Message.Probe(s.host(), s.term(), s.job(), s.number(), s.attempt()));
      return;
    }
    m.offers.remove(s.offer());
    m.pending.put(id, new Machine.Pending(s.attempt()));
    m.startedAt.put(id, timers.now());
    m.dirty = true;
    books.act(m);
  }

  /** The reason why a start is refused, or null if it may be carried out. */
  private StartRefusal refusal(String from, Machine m, TaskId id, Message.Start s) {
    if (m.doubt || m.raising) {
      return StartRefusal.IN_DOUBT;
    }
    if (m.token != s.token()) {
      return StartRefusal.OTHER_TOKEN;
    }
    if (m.session != s.session()) {
      // The placement was recorded for one session of the worker. A view of a later session is
      // proof that the attempt has ended.
      return StartRefusal.OTHER_SESSION;
    }
    if (outdated(s.job(), s.term())) {
      return StartRefusal.OUTDATED_CLAIM;
    }
    if (s.attempt() <= m.fence.getOrDefault(id, 0L)) {
      return StartRefusal.DENIED_BEFORE;
    }
    if (jobs.over(s.job())) {
      return StartRefusal.JOB_OVER;
    }
    if (hasOtherAttempt(m, id, s.attempt())) {
      safety.violated(
          Invariant.TWO_ATTEMPTS_ON_ONE_MACHINE,
          id + " on " + m.host + " as attempt " + s.attempt());
      return StartRefusal.OTHER_ATTEMPT;
    }
    return offered(m, from, s) || stillFits(m, s) ? null : StartRefusal.NO_ROOM;
  }

  private static boolean hasOtherAttempt(Machine m, TaskId id, long attempt) {
    Machine.Pending pending = m.pending.get(id);
    Report.Task task = m.tasks.get(id);
    return pending != null && pending.attempt != attempt
        || task != null && !task.exited() && task.attempt() != attempt;
  }

  /**
   * Whether another controller has claimed the job in a later term. A claimant whose process was
   * suspended sends its earlier decisions before it finds that out. Its successor may have been
   * told that the attempt does not exist, by a holder that no longer has the record of that denial.
   */
  boolean outdated(String job, long term) {
    JobTable.Entry e = jobs.get(job);
    return e != null && e.record().term() > term;
  }

  private static boolean offered(Machine m, String from, Message.Start s) {
    Machine.Offered offer = m.offers.get(s.offer());
    return offer != null && offer.node().equals(from) && offer.job().equals(s.job());
  }

  /**
   * Whether there is room for a start whose offer has expired. While many placements wait for the
   * state service's rate budget, offers expire before the placements are recorded. If such starts
   * were refused, each would cost writes for the ended attempt and for a new one, and nothing would
   * start at all.
   */
  private boolean stillFits(Machine m, Message.Start s) {
    MachineType type = catalog.type(m.typeName);
    Size size = views.sizeOf(s.job());
    return type != null && size != null && m.open() && size.fits(m.free(type, views::sizeOf));
  }

  /**
   * A claimant asks whether an attempt that the view does not show has certainly ended or will
   * never start.
   */
  void probed(String from, Message.Probe p) {
    Machine m = books.held(p.host());
    if (m == null
        || !m.settled
        || m.doubt
        || m.raising
        || m.lost
        || !standstill.current()
        || outdated(p.job(), p.term())) {
      return;
    }
    TaskId id = new TaskId(p.job(), p.number());
    Machine.Pending pending = m.pending.get(id);
    Report.Task task = m.tasks.get(id);
    if (pending != null && pending.attempt == p.attempt()
        || task != null && task.attempt() == p.attempt()) {
      return;
    }
    if (m.resumed) {
      // An earlier incarnation may have sent its start; only a higher token makes the worker
      // refuse it.
      orders.raise(m);
      return;
    }
    // From now on this attempt is refused, in case its start request is still in transit to this
    // controller.
    m.fence.merge(id, p.attempt(), Math::max);
    peers.send(
        from, new Message.Absent(m.host, m.token, m.holdStamp, p.job(), p.number(), p.attempt()));
  }
}
