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

/** Starts of recorded attempts, and what is said of attempts that a machine does not show. */
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

  /** A claimant takes an offer: its placement is recorded. */
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
          "start of {0}, attempt {1} of session {2} under token {3}, refused on {4}: {5}",
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

  /** Why a start may not be carried out, or null if it may. */
  private StartRefusal refusal(String from, Machine m, TaskId id, Message.StartTask s) {
    if (m.commandOutcomeUnknown || m.raisingToken) {
      return StartRefusal.IN_DOUBT;
    }
    if (m.token != s.token()) {
      return StartRefusal.OTHER_TOKEN;
    }
    if (m.session != s.session()) {
      // Recorded for one session of the worker: a view of a later one proves it gone.
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
   * Whether another controller is known to have claimed the job since. A claimant that stood still
   * learns so only after it has sent what it had decided before; its successor may have been told
   * that an attempt is gone, by a holder that has since forgotten that it said so.
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
   * Whether there is room for a start whose offer has run out. When many placements wait for the
   * state's budget, offers run out before they are recorded; were such starts refused, each would
   * cost the budget a lost attempt and a new one, and nothing would start at all.
   */
  private boolean fitsWithoutOffer(Machine m, Message.StartTask s) {
    MachineType type = catalog.type(m.typeName);
    Resources size = viewPublisher.sizeOf(s.job());
    return type != null
        && size != null
        && m.open()
        && size.fitsIn(m.freeRoom(type, viewPublisher::sizeOf));
  }

  /** A claimant asks whether an attempt that it does not see is surely gone. */
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
      // Its start may have been sent before the crash: only a higher token shuts it out.
      workerCommands.raiseToken(m);
      return;
    }
    // From now on this attempt is refused, should its start still be on the way here.
    m.deniedAttempts.merge(id, p.attempt(), Math::max);
    peers.send(
        from,
        new Message.AttemptAbsent(
            m.host, m.token, m.holdRevision, p.job(), p.number(), p.attempt()));
  }
}
