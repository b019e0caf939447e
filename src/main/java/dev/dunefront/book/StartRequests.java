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
  private final PauseDetector pauseDetector;
  private final HeldMachines heldMachines;
  private final ViewPublisher viewPublisher;
  private final SafetyMonitor safety;

  StartRequests(ControllerContext context, HeldMachines heldMachines, ViewPublisher viewPublisher) {
    this.jobs = context.jobs();
    this.catalog = context.catalog();
    this.peers = context.peers();
    this.timers = context.timers();
    this.pauseDetector = context.pauseDetector();
    this.heldMachines = heldMachines;
    this.viewPublisher = viewPublisher;
    this.safety = context.safety();
  }

  /** A claimant has accepted an offer and recorded the placement. */
  void start(String from, Message.StartTask request) {
    Machine m = heldMachines.get(request.host());
    if (m == null) {
      return;
    }
    TaskId id = new TaskId(request.job(), request.number());
    StartRefusal refusal = refusal(from, m, id, request);
    if (refusal != null) {
      safety.startRefused(refusal);
      LOG.log(
          Level.DEBUG,
          "refused start of {0}, attempt {1} of session {2} under token {3}, on {4}: {5}",
          id,
          request.attempt(),
          request.session(),
          request.token(),
          request.host(),
          refusal);
      attemptQueryReceived(
          from,
          new Message.AttemptQuery(
              request.host(), request.term(), request.job(), request.number(), request.attempt()));
      return;
    }
    m.offers.remove(request.offerId());
    m.pendingStarts.put(id, new Machine.PendingStart(request.attempt()));
    m.startedAt.put(id, timers.now());
    m.viewChanged = true;
    heldMachines.reconcile(m);
  }

  /** The reason why a start is refused, or null if it may be carried out. */
  private StartRefusal refusal(String from, Machine m, TaskId id, Message.StartTask request) {
    if (m.commandOutcomeUnknown || m.raisingToken) {
      return StartRefusal.IN_DOUBT;
    }
    if (m.token != request.token()) {
      return StartRefusal.OTHER_TOKEN;
    }
    if (m.session != request.session()) {
      // The placement was recorded for one session of the worker. A view of a later session is
      // proof that the attempt has ended.
      return StartRefusal.OTHER_SESSION;
    }
    if (claimOutdated(request.job(), request.term())) {
      return StartRefusal.OUTDATED_CLAIM;
    }
    if (request.attempt() <= m.deniedAttempts.getOrDefault(id, 0L)) {
      return StartRefusal.DENIED_BEFORE;
    }
    if (jobs.isEndingOrEnded(request.job())) {
      return StartRefusal.JOB_OVER;
    }
    if (hasOtherAttempt(m, id, request.attempt())) {
      safety.invariantViolated(
          Invariant.TWO_ATTEMPTS_ON_ONE_MACHINE,
          id + " on " + m.host + " as attempt " + request.attempt());
      return StartRefusal.OTHER_ATTEMPT;
    }
    return matchesOffer(m, from, request) || fitsWithoutOffer(m, request)
        ? null
        : StartRefusal.NO_ROOM;
  }

  private static boolean hasOtherAttempt(Machine m, TaskId id, long attempt) {
    Machine.PendingStart pending = m.pendingStarts.get(id);
    Report.Task task = m.tasks.get(id);
    return pending != null && pending.attempt != attempt
        || task != null && !task.exited() && task.attempt() != attempt;
  }

  /**
   * Whether another controller has claimed the job in a later term. A claimant whose process was
   * suspended sends its earlier decisions before it finds that out. Its successor may have received
   * a denial of the attempt from a holder that no longer has that denial on record.
   */
  boolean claimOutdated(String job, long term) {
    JobTable.Entry e = jobs.get(job);
    return e != null && e.record().term() > term;
  }

  private static boolean matchesOffer(Machine m, String from, Message.StartTask request) {
    Machine.OutstandingOffer offer = m.offers.get(request.offerId());
    return offer != null && offer.node().equals(from) && offer.job().equals(request.job());
  }

  /**
   * Whether there is room for a start whose offer has expired. While many placements wait for the
   * state service's rate budget, offers expire before the placements are recorded. If such starts
   * were refused, each would cost writes for the ended attempt and for a new one, and nothing would
   * start at all.
   */
  private boolean fitsWithoutOffer(Machine m, Message.StartTask request) {
    MachineType type = catalog.type(m.typeName);
    Resources size = viewPublisher.sizeOf(request.job());
    return type != null
        && size != null
        && m.schedulable()
        && size.fitsIn(m.freeRoom(type, viewPublisher::sizeOf));
  }

  /**
   * A claimant asks whether an attempt that the view does not show has certainly ended or will
   * never start.
   */
  void attemptQueryReceived(String from, Message.AttemptQuery query) {
    Machine m = heldMachines.get(query.host());
    if (m == null
        || !m.tokenAcknowledged
        || m.commandOutcomeUnknown
        || m.raisingToken
        || m.leaseExpired
        || !pauseDetector.current()
        || claimOutdated(query.job(), query.term())) {
      return;
    }
    TaskId id = new TaskId(query.job(), query.number());
    Machine.PendingStart pending = m.pendingStarts.get(id);
    Report.Task task = m.tasks.get(id);
    if (pending != null && pending.attempt == query.attempt()
        || task != null && task.attempt() == query.attempt()) {
      return;
    }
    // From now on this attempt is refused, in case its start request is still in transit to this
    // controller.
    m.deniedAttempts.merge(id, query.attempt(), Math::max);
    peers.send(
        from,
        new Message.AttemptAbsent(
            m.host, m.token, m.holdRevision, query.job(), query.number(), query.attempt()));
  }
}
