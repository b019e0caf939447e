package dev.dunefront.book;

import dev.dunefront.claim.ControllerContext;
import dev.dunefront.evidence.Invariant;
import dev.dunefront.evidence.StartRefusal;
import dev.dunefront.fleet.MachineCatalog;
import dev.dunefront.job.JobTable;
import dev.dunefront.metrics.SafetyMonitor;
import dev.dunefront.net.Timers;
import dev.dunefront.peer.Message;
import dev.dunefront.peer.Peers;
import dev.dunefront.store.PauseDetector;
import dev.dunefront.wire.MachineType;
import dev.dunefront.wire.Report;
import dev.dunefront.wire.Resources;
import dev.dunefront.wire.TaskId;
import java.lang.System.Logger.Level;

/**
 * Processes requests to start recorded attempts, and denies attempts that a machine does not have.
 */
final class StartRequests {
  private static final System.Logger LOG = System.getLogger(StartRequests.class.getName());

  private final JobTable jobs;
  private final MachineCatalog catalog;
  private final Peers peers;
  private final Timers timers;
  private final PauseDetector standstill;
  private final HeldMachines heldMachines;
  private final WorkerCommands workerCommands;
  private final ViewPublisher viewPublisher;
  private final SafetyMonitor safety;

  StartRequests(
      ControllerContext context, HeldMachines books, WorkerCommands orders, ViewPublisher views) {
    this.jobs = context.jobs();
    this.catalog = context.catalog();
    this.peers = context.peers();
    this.timers = context.timers();
    this.standstill = context.standstill();
    this.heldMachines = books;
    this.workerCommands = orders;
    this.viewPublisher = views;
    this.safety = context.safety();
  }

  /** A claimant has accepted an offer and recorded the placement. */
  void start(String from, Message.StartTask s) {
    Machine m = heldMachines.held(s.host());
    if (m == null) {
      return;
    }
    TaskId id = new TaskId(s.job(), s.number());
    StartRefusal refusal = refusal(from, m, id, s);
    if (refusal != null) {
      safety.startRefused(refusal);
      LOG.log(
          Level.DEBUG,
          "refused start of {0}, attempt {1} of session {2} under token {3}, on {4}: {5}",
          id,
          s.attempt(),
          s.session(),
          s.token(),
          s.host(),
          refusal);
      probeReceived(
          from, new Message.AttemptQuery(s.host(), s.term(), s.job(), s.number(), s.attempt()));
      return;
    }
    m.offers.remove(s.offerId());
    m.pendingStarts.put(id, new Machine.PendingStart(s.attempt()));
    m.startedAt.put(id, timers.now());
    m.viewChanged = true;
    heldMachines.reconcile(m);
  }

  /** The reason why a start is refused, or null if it may be carried out. */
  private StartRefusal refusal(String from, Machine m, TaskId id, Message.StartTask s) {
    if (m.commandOutcomeUnknown || m.raisingToken) {
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
    if (claimOutdated(s.job(), s.term())) {
      return StartRefusal.OUTDATED_CLAIM;
    }
    if (s.attempt() <= m.deniedAttempts.getOrDefault(id, 0L)) {
      return StartRefusal.DENIED_BEFORE;
    }
    if (jobs.isEndingOrEnded(s.job())) {
      return StartRefusal.JOB_OVER;
    }
    if (hasOtherAttempt(m, id, s.attempt())) {
      safety.invariantViolated(
          Invariant.TWO_ATTEMPTS_ON_ONE_MACHINE,
          id + " on " + m.host + " as attempt " + s.attempt());
      return StartRefusal.OTHER_ATTEMPT;
    }
    return matchesOffer(m, from, s) || fitsWithoutOffer(m, s) ? null : StartRefusal.NO_ROOM;
  }

  private static boolean hasOtherAttempt(Machine m, TaskId id, long attempt) {
    Machine.PendingStart pending = m.pendingStarts.get(id);
    Report.Task task = m.tasks.get(id);
    return pending != null && pending.attempt != attempt
        || task != null && !task.exited() && task.attempt() != attempt;
  }

  /**
   * Whether another controller has claimed the job in a later term. A claimant whose process was
   * suspended sends its earlier decisions before it finds that out. Its successor may have been
   * told that the attempt does not exist, by a holder that no longer has the record of that denial.
   */
  boolean claimOutdated(String job, long term) {
    JobTable.Entry e = jobs.get(job);
    return e != null && e.record().term() > term;
  }

  private static boolean matchesOffer(Machine m, String from, Message.StartTask s) {
    Machine.OutstandingOffer offer = m.offers.get(s.offerId());
    return offer != null && offer.node().equals(from) && offer.job().equals(s.job());
  }

  /**
   * Whether there is room for a start whose offer has expired. While many placements wait for the
   * state service's rate budget, offers expire before the placements are recorded. If such starts
   * were refused, each would cost writes for the ended attempt and for a new one, and nothing would
   * start at all.
   */
  private boolean fitsWithoutOffer(Machine m, Message.StartTask s) {
    MachineType type = catalog.type(m.typeName);
    Resources size = viewPublisher.sizeOf(s.job());
    return type != null
        && size != null
        && m.open()
        && size.fitsIn(m.freeRoom(type, viewPublisher::sizeOf));
  }

  /**
   * A claimant asks whether an attempt that the view does not show has certainly ended or will
   * never start.
   */
  void probeReceived(String from, Message.AttemptQuery p) {
    Machine m = heldMachines.held(p.host());
    if (m == null
        || !m.tokenAcknowledged
        || m.commandOutcomeUnknown
        || m.raisingToken
        || m.leaseExpired
        || !standstill.current()
        || claimOutdated(p.job(), p.term())) {
      return;
    }
    TaskId id = new TaskId(p.job(), p.number());
    Machine.PendingStart pending = m.pendingStarts.get(id);
    Report.Task task = m.tasks.get(id);
    if (pending != null && pending.attempt == p.attempt()
        || task != null && task.attempt() == p.attempt()) {
      return;
    }
    if (m.resumed) {
      // An earlier incarnation may have sent its start; only a higher token makes the worker
      // refuse it.
      workerCommands.raiseToken(m);
      return;
    }
    // From now on this attempt is refused, in case its start request is still in transit to this
    // controller.
    m.deniedAttempts.merge(id, p.attempt(), Math::max);
    peers.send(
        from,
        new Message.AttemptAbsent(
            m.host, m.token, m.holdRevision, p.job(), p.number(), p.attempt()));
  }
}
