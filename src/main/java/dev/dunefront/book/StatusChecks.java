package dev.dunefront.book;

import dev.dunefront.claim.ControllerContext;
import dev.dunefront.config.Settings;
import dev.dunefront.evidence.ReportSequence.Classification;
import dev.dunefront.evidence.WorkerBoot;
import dev.dunefront.net.DecisionLock;
import dev.dunefront.net.HttpCaller;
import dev.dunefront.net.Timers;
import dev.dunefront.peer.Message;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import dev.dunefront.wire.Report;
import java.lang.System.Logger.Level;
import java.util.function.Consumer;

/**
 * Requests the status of workers where reports alone are not conclusive: stale reports may arrive
 * late, a machine may send reports but receive nothing, and a worker may restart. A response to a
 * status request shows the current state of the worker.
 */
final class StatusChecks {
  private static final System.Logger LOG = System.getLogger(StatusChecks.class.getName());

  /** Timeout of a status request, in seconds. */
  private static final double STATUS_TIMEOUT_S = 1;

  /**
   * If this controller's timers run later than this, in seconds, it may itself have been too slow
   * to receive a response in time, so a timeout does not count against the machine.
   */
  private static final double MAX_TIMER_LAG_S = 0.4;

  /**
   * Time after which a worker whose report got no answer tries another controller, in seconds, with
   * some margin for network delay.
   */
  private static final double WORKER_FAILOVER_S = 6;

  private final Settings settings;
  private final HttpCaller caller;
  private final Timers timers;
  private final DecisionLock decisionLock;
  private final HeldMachines heldMachines;
  private final ReportApplier reportApplier;
  private double timerLagS;
  private int staleReportCount;
  private int unresponsiveCount;

  StatusChecks(
      ControllerContext context,
      HttpCaller caller,
      HeldMachines heldMachines,
      ReportApplier reportApplier) {
    this.settings = context.settings();
    this.caller = caller;
    this.timers = context.timers();
    this.decisionLock = context.decisionLock();
    this.heldMachines = heldMachines;
    this.reportApplier = reportApplier;
  }

  /** Records by how much this controller's timers run late, in seconds. */
  void setTimerLag(double seconds) {
    timerLagS = seconds;
  }

  /** Number of stale reports received so far. */
  int staleReportCount() {
    return staleReportCount;
  }

  /** Number of times that a machine has been found unresponsive. */
  int unresponsiveCount() {
    return unresponsiveCount;
  }

  /**
   * Requests the status of a worker. The callback receives null if no valid response arrives in
   * time, or if the endpoint is empty.
   */
  void requestStatus(String endpoint, Consumer<Report> callback) {
    if (endpoint.isEmpty()) {
      callback.accept(null);
      return;
    }
    decisionLock.defer(
        () ->
            caller.call(
                endpoint,
                "GET",
                "/status",
                null,
                STATUS_TIMEOUT_S,
                reply -> decisionLock.run(() -> callback.accept(read(reply)))));
  }

  private static Report read(HttpCaller.Response reply) {
    if (!reply.ok()) {
      return null;
    }
    try {
      return Report.fromDocument(Document.decode(reply.body()));
    } catch (MalformedMessageException e) {
      LOG.log(Level.INFO, "cannot read the status response of a worker: {0}", e.getMessage());
      return null;
    }
  }

  /**
   * A stale report has arrived, which carries no information, but it may be from the worker after a
   * restart. Its status is requested at once if the report's token is from before the known boot,
   * since nothing may be sent to a new boot in the belief that it is the known one; otherwise if no
   * newer report arrives for longer than the report interval. A machine that does not respond gets
   * no work.
   */
  void staleReportReceived(Machine m, Report r) {
    staleReportCount++;
    if (m.boot.mayBeOfAnotherBoot(r)) {
      checkStatus(m, () -> suspect(m, "it may have restarted and does not respond"));
    } else if (timers.now() - m.lastContactAt > settings.workers().reportS()) {
      checkStatus(m);
    }
  }

  /** There is evidence that messages to the machine do not arrive. */
  void suspect(Machine m, String evidence) {
    if (m.responsiveness.trusted()) {
      LOG.log(Level.DEBUG, "{0} may be unresponsive: {1}", m.host, evidence);
    }
    m.responsiveness = m.responsiveness.suspected(timers.now());
    if (m.responsiveness.checkDue(timers.now())) {
      checkStatus(m);
    }
  }

  /**
   * The worker of a held machine has reported to another controller, which asks whether this one
   * still receives its reports.
   */
  void reportedElsewhere(Machine m, Message.HoldQuery query) {
    if (m.boot.classify(query.session(), query.serial(), query.token()) != Classification.NEW) {
      return;
    }
    boolean later = query.session() > m.session && m.session > 0;
    if (later) {
      reportApplier.sessionSeenElsewhere(m, query.session());
    }
    if (timers.now() - m.lastAnsweredAt < WORKER_FAILOVER_S + settings.workers().reportS()) {
      suspect(m, "it reports to another controller although its reports were answered here");
    }
    if (later) {
      // This comes last, so that a machine just suspected to be unresponsive gets no work.
      heldMachines.reconcile(m);
    }
  }

  /** A report with new information has arrived. Requests the status if that is due. */
  void reportReceived(Machine m, Report r) {
    double now = timers.now();
    long knownSession = m.boot.reports().session();
    boolean laterSession = knownSession > 0 && r.session() > knownSession;
    if (laterSession && now - m.lastAnsweredAt < settings.workers().leaseS() * 0.9) {
      suspect(m, "its session ended although its reports were answered within the lease");
    } else if (m.responsiveness.checkDue(now)) {
      checkStatus(m);
    }
  }

  /** Advances the responsiveness state; called several times a second. */
  void tick(Machine m, double now) {
    if (!m.responsiveness.trusted()) {
      m.responsiveness =
          m.responsiveness.advance(now, settings.workers().reportS(), settings.workers().leaseS());
      m.viewChanged |= m.responsiveness.trusted();
    }
  }

  private void checkStatus(Machine m) {
    checkStatus(m, () -> {});
  }

  /** Requests the status; the action runs if no valid response arrives in time. */
  private void checkStatus(Machine m, Runnable onFailure) {
    if (m.statusCheckPending) {
      return;
    }
    m.statusCheckPending = true;
    WorkerBoot known = m.boot;
    m.responsiveness = m.responsiveness.checkSent(timers.now(), STATUS_TIMEOUT_S);
    requestStatus(
        m.endpoint,
        status -> {
          m.statusCheckPending = false;
          if (heldMachines.get(m.host) != m) {
            return;
          }
          if (status != null) {
            replyReceived(m, known, status);
          } else {
            checkFailed(m);
            onFailure.run();
          }
        });
  }

  private void checkFailed(Machine m) {
    if (m.responsiveness.trusted() || timerLagS > MAX_TIMER_LAG_S) {
      return;
    }
    if (!m.responsiveness.unresponsive()) {
      unresponsiveCount++;
      m.viewChanged = true;
      LOG.log(
          Level.INFO,
          "{0} is unresponsive: its reports arrive, but it does not answer requests",
          m.host);
    }
    m.responsiveness = m.responsiveness.unanswered(timers.now());
    heldMachines.reconcile(m);
  }

  /**
   * The worker has responded to a request sent when {@code known} was what was known of its boot.
   * Returns whether the machine is still held here.
   */
  boolean replyReceived(Machine m, WorkerBoot known, Report r) {
    if (m.responsiveness.unresponsive()) {
      LOG.log(Level.INFO, "{0} responds again", m.host);
    }
    m.viewChanged |= !m.responsiveness.trusted();
    m.responsiveness = m.responsiveness.answered(timers.now());
    if (!m.boot.mayHaveGiven(r.token())) {
      heldMachines.release(m, "its worker has reported a higher token");
      return false;
    }
    if (!m.boot.isSameAs(known)) {
      // The response is from before a restart that has been noticed since.
      return true;
    }
    if (known.reports().provesRestart(r) || m.publishedSessionIsOfEarlierBoot(r)) {
      m.lastContactAt = timers.now();
      heldMachines.workerRestarted(m, r);
    } else if (!m.boot.mayBeOfAnotherBoot(r)) {
      reportApplier.applyReply(m, r);
    }
    heldMachines.reconcile(m);
    return true;
  }
}
