package dev.dunefront.book;

import dev.dunefront.claim.ControllerContext;
import dev.dunefront.config.Settings;
import dev.dunefront.evidence.ReportSequence;
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
 * Asks workers what they are at, where reports alone do not tell: copies of old reports come late,
 * machines are heard that do not hear, and workers begin anew. An answer to a question asked now is
 * as good as a look.
 */
final class StatusChecks {
  private static final System.Logger LOG = System.getLogger(StatusChecks.class.getName());

  /** How long a question waits for its answer, in seconds. */
  private static final double STATUS_TIMEOUT_S = 1;

  /** A controller whose timers are later than this, in seconds, may have been too slow to hear. */
  private static final double MAX_TIMER_LAG_S = 0.4;

  /**
   * A worker that had no answer tries elsewhere after so long, in seconds, and a bit for the way.
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
      ControllerContext context, HttpCaller caller, HeldMachines books, ReportApplier reports) {
    this.settings = context.settings();
    this.caller = caller;
    this.timers = context.timers();
    this.decisionLock = context.decisionLock();
    this.heldMachines = books;
    this.reportApplier = reports;
  }

  /** How late this controller's own timers are, in seconds. */
  void setTimerLag(double seconds) {
    timerLagS = seconds;
  }

  /** Copies of old reports that have come so far. */
  int staleReportCount() {
    return staleReportCount;
  }

  /** How often a machine has turned out not to hear so far. */
  int unresponsiveCount() {
    return unresponsiveCount;
  }

  /** Asks a worker; what comes is null if no answer came in time. */
  void requestStatus(String endpoint, Consumer<Report> then) {
    if (endpoint.isEmpty()) {
      then.accept(null);
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
                reply -> decisionLock.run(() -> then.accept(read(reply)))));
  }

  private static Report read(HttpCaller.Response reply) {
    if (!reply.ok()) {
      return null;
    }
    try {
      return Report.fromDocument(Document.decode(reply.body()));
    } catch (MalformedMessageException e) {
      LOG.log(Level.INFO, "a worker answers with nonsense: {0}", e.getMessage());
      return null;
    }
  }

  /**
   * A copy of an old report has come, which says nothing. But if nothing newer comes, its worker
   * may have begun anew, in a session that is lower than what is known.
   */
  void staleReportReceived(Machine m) {
    staleReportCount++;
    if (timers.now() - m.lastContactAt > settings.workers().reportS()) {
      checkStatus(m);
    }
  }

  /** There is evidence that the machine does not hear. */
  void suspect(Machine m, String why) {
    if (m.responsiveness.trusted()) {
      LOG.log(Level.DEBUG, "{0} may not hear: {1}", m.host, why);
    }
    m.responsiveness = m.responsiveness.suspected(timers.now());
    if (m.responsiveness.checkDue(timers.now())) {
      checkStatus(m);
    }
  }

  /** The machine's worker has reported to another controller, which asks after it. */
  void reportedElsewhere(Machine m, Message.HoldQuery seen) {
    if (m.reportSequence.classify(seen.session(), seen.serial(), seen.token())
        != ReportSequence.Classification.NEW) {
      return;
    }
    boolean later = seen.session() > m.session && m.session > 0;
    if (later) {
      reportApplier.sessionSeenElsewhere(m, seen.session());
    }
    if (timers.now() - m.lastAnsweredAt < WORKER_FAILOVER_S + settings.workers().reportS()) {
      suspect(m, "it was answered here and reports elsewhere");
    }
    if (later) {
      // Only now: a machine that may not hear is given no work.
      heldMachines.reconcile(m);
    }
  }

  /** A report that says something new has come: time for a question, if one is due. */
  void reportReceived(Machine m, Report r) {
    double now = timers.now();
    boolean rose = m.reportSequence.session() > 0 && r.session() > m.reportSequence.session();
    if (rose && now - m.lastAnsweredAt < settings.workers().leaseS() * 0.9) {
      suspect(m, "its session has ended although it was answered");
    } else if (m.responsiveness.checkDue(now)) {
      checkStatus(m);
    }
  }

  /** Time has passed. */
  void tick(Machine m, double now) {
    if (!m.responsiveness.trusted()) {
      m.responsiveness =
          m.responsiveness.advance(now, settings.workers().reportS(), settings.workers().leaseS());
      m.viewChanged |= m.responsiveness.trusted();
    }
  }

  private void checkStatus(Machine m) {
    if (m.statusCheckPending) {
      return;
    }
    m.statusCheckPending = true;
    ReportSequence known = m.reportSequence;
    m.responsiveness = m.responsiveness.checkSent(timers.now(), STATUS_TIMEOUT_S);
    requestStatus(
        m.endpoint,
        r -> {
          m.statusCheckPending = false;
          if (heldMachines.held(m.host) != m) {
            return;
          }
          if (r != null) {
            replyReceived(m, known, r);
          } else {
            checkFailed(m);
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
      LOG.log(Level.INFO, "{0} is heard but does not hear", m.host);
    }
    m.responsiveness = m.responsiveness.unanswered(timers.now());
    heldMachines.reconcile(m);
  }

  /**
   * The worker has answered what was asked or ordered when {@code known} was what was known. Says
   * whether the machine is still held here.
   */
  boolean replyReceived(Machine m, ReportSequence known, Report r) {
    if (m.responsiveness.unresponsive()) {
      LOG.log(Level.INFO, "{0} hears again", m.host);
    }
    m.viewChanged |= !m.responsiveness.trusted();
    m.responsiveness = m.responsiveness.answered(timers.now());
    if (r.token() > m.token) {
      heldMachines.release(m, "a higher token is out");
      return false;
    }
    if (known.provesRestart(r)) {
      m.lastContactAt = timers.now();
      reportApplier.workerRestarted(m, r);
    } else {
      reportApplier.applyReply(m, r);
    }
    heldMachines.reconcile(m);
    return true;
  }
}
