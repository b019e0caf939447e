package dev.dunefront.book;

import dev.dunefront.claim.ControllerContext;
import dev.dunefront.evidence.WorkerBoot;
import dev.dunefront.net.DecisionLock;
import dev.dunefront.net.HttpCaller;
import dev.dunefront.net.Timers;
import dev.dunefront.store.Membership;
import dev.dunefront.store.PauseDetector;
import dev.dunefront.store.StateStore;
import dev.dunefront.store.Txn;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import dev.dunefront.wire.Report;
import dev.dunefront.wire.TaskId;
import dev.dunefront.wire.WorkerCommand;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;

/**
 * Sends commands to workers. If it is unknown whether a start was carried out, the machine's
 * fencing token is raised, so that the worker refuses whatever is still in transit.
 */
final class WorkerCommands {
  private static final System.Logger LOG = System.getLogger(WorkerCommands.class.getName());

  /** Timeout of a request with commands, in seconds. */
  private static final double COMMAND_TIMEOUT_S = 3.0;

  /** Interval after which a stop or clear without effect is sent again, in seconds. */
  private static final double RESEND_INTERVAL_S = 2.0;

  private static final int MAX_COMMANDS_PER_REQUEST = 200;

  /** A worker reports within this many report intervals at the latest. */
  private static final double MAX_REPORT_DELAY_FACTOR = 1.5;

  private final Membership membership;
  private final HoldTable holds;
  private final StateStore store;
  private final HttpCaller caller;
  private final Timers timers;
  private final DecisionLock decisionLock;
  private final HeldMachines heldMachines;
  private final StatusChecks statusChecks;
  private final PauseDetector pauseDetector;

  /** Time after which a clear is sent in a request of its own, in seconds. */
  private final double standaloneClearDelayS;

  WorkerCommands(
      ControllerContext context,
      HttpCaller caller,
      HeldMachines heldMachines,
      StatusChecks statusChecks) {
    this.statusChecks = statusChecks;
    this.membership = context.membership();
    this.holds = context.holdTable();
    this.store = context.store();
    this.caller = caller;
    this.timers = context.timers();
    this.decisionLock = context.decisionLock();
    this.heldMachines = heldMachines;
    this.pauseDetector = context.pauseDetector();
    this.standaloneClearDelayS = context.settings().workers().reportS() * MAX_REPORT_DELAY_FACTOR;
  }

  /**
   * Raises the token, so that the worker refuses earlier commands of unknown outcome from now on.
   */
  void raiseToken(Machine m) {
    // A controller without an incarnation writes nothing: a hold record that names no incarnation
    // has no holder.
    String self = membership.ownIncarnation();
    if (m.raisingToken || store.unavailable() || self == null) {
      return;
    }
    m.raisingToken = true;
    m.offers.clear();
    long lowestToken = m.boot.commandToken() + 1;
    String writeId = store.newWriteId();
    Document value = HoldTable.write(self, lowestToken, writeId);
    store.commit(
        HoldTable.condition(new Txn(), m.host, m.holdRevision).put(HoldTable.key(m.host), value),
        writeId,
        result -> {
          m.raisingToken = false;
          if (heldMachines.get(m.host) != m) {
            return;
          }
          if (!result.ok()) {
            heldMachines.release(m, "another controller has acquired it");
            return;
          }
          m.token = HoldTable.tokenOf(result.revision(), lowestToken);
          m.boot = m.boot.raisedTo(m.token);
          m.holdRevision = result.revision();
          m.tokenAcknowledged = false;
          m.commandOutcomeUnknown = false;
          m.resumed = false;
          m.deniedAttempts.clear();
          m.viewChanged = true;
          holds.applyWrite(m.host, value, result.revision());
          // Another controller may have acquired the machine since, and the replica may have
          // shown that before this response arrived. Without this check of the record the machine
          // would stay held here forever.
          heldMachines.holdChanged(m.host);
          if (heldMachines.get(m.host) != m) {
            return;
          }
          LOG.log(Level.DEBUG, "raised the token of {0} to {1}", m.host, m.token);
          announceToken(m);
        });
  }

  /** Sends the token to the worker at once, in a request without commands. */
  void announceToken(Machine m) {
    announceToken(m, m.session);
  }

  private void announceToken(Machine m, long session) {
    send(m, session, List.of());
  }

  /**
   * Requests that the worker confirms the token, after a report that may be a late duplicate from
   * an earlier boot. A machine that has just been acquired is not asked: its worker may still be
   * reporting to its previous holder, whose answers it would ignore under the new token.
   */
  void requestConfirmation(Machine m, Report unconfirmed) {
    if (m.resumed && !m.commandsInFlight && !m.raisingToken && !m.endpoint.isEmpty()) {
      m.boot = m.boot.beforeConfirmationRequest();
      LOG.log(
          Level.DEBUG,
          "asking {0} to confirm token {1}: its report in session {2} was sent under token {3}",
          m.host,
          m.boot.commandToken(),
          unconfirmed.session(),
          unconfirmed.token());
      announceToken(m, unconfirmed.session());
    }
  }

  /**
   * Sends the pending commands. While the outcome of a start is unknown or the token is being
   * raised, starts and clears are held back. Stops are still sent: a stop names an attempt and has
   * no effect if the worker does not have it. If the start in transit arrives after the stop, the
   * next report shows the attempt and the stop is repeated. If stops were held back, too, they
   * would wait for the write that raises the token, and tasks of cancelled jobs would run on for
   * the whole of a state service outage.
   *
   * <p>No stop is sent before the worker has reported a token of this hold. It may still be
   * reporting to its previous holder, and after a command under the new token it would ignore the
   * answers of that holder until its lease expires.
   */
  void sendPending(Machine m) {
    if (m.commandsInFlight || m.leaseExpired || m.endpoint.isEmpty() || !pauseDetector.current()) {
      return;
    }
    double now = timers.now();
    boolean allowed = startsAndClearsAllowed(m);
    List<WorkerCommand> commands = new ArrayList<>();
    for (var e : m.pendingStarts.entrySet()) {
      if (allowed
          && e.getValue().sentUnderToken == 0
          && commands.size() < MAX_COMMANDS_PER_REQUEST) {
        commands.add(new WorkerCommand.Run(e.getKey(), e.getValue().attempt));
      }
    }
    for (var e : m.pendingStops.entrySet()) {
      if (m.holdAcknowledged
          && now - e.getValue().lastSentAt >= RESEND_INTERVAL_S
          && commands.size() < MAX_COMMANDS_PER_REQUEST) {
        e.getValue().lastSentAt = now;
        commands.add(new WorkerCommand.Stop(e.getKey(), e.getValue().attempt, e.getValue().graceS));
      }
    }
    if (allowed && (!commands.isEmpty() || clearsOverdue(m, now))) {
      // The worker executes clears first, since a task may be placed again on the machine on
      // which its previous attempt ended.
      commands.addAll(0, dueClears(m, now, MAX_COMMANDS_PER_REQUEST - commands.size()));
    }
    if (!commands.isEmpty()) {
      send(m, m.session, commands);
    }
  }

  private static boolean startsAndClearsAllowed(Machine m) {
    return m.tokenAcknowledged && !m.commandOutcomeUnknown && !m.raisingToken;
  }

  /**
   * The answer to a report, with the commands that are sent with it. Clears are not urgent and
   * there is one for each task that ends, so they are sent with an answer or with other commands
   * instead of a request of their own.
   */
  byte[] answerToReport(Machine m) {
    List<WorkerCommand> clears =
        startsAndClearsAllowed(m) && !m.commandsInFlight
            ? dueClears(m, timers.now(), MAX_COMMANDS_PER_REQUEST)
            : List.of();
    return WorkerCommand.reportResponse(m.boot.commandToken(), clears);
  }

  /**
   * Clears that have not been sent, or not within the resend interval. They have to be sent under
   * the command token that is in effect after this call, which is higher than those of the starts.
   */
  private List<WorkerCommand> dueClears(Machine m, double now, int limit) {
    List<WorkerCommand> clears = new ArrayList<>();
    if (m.boot.tokensExhausted()) {
      raiseToken(m);
      return clears;
    }
    for (var e : m.pendingClears.entrySet()) {
      if (now - e.getValue().lastSentAt >= RESEND_INTERVAL_S && clears.size() < limit) {
        e.getValue().lastSentAt = now;
        clears.add(new WorkerCommand.Clear(e.getKey(), e.getValue().attempt));
      }
    }
    if (!clears.isEmpty()) {
      m.boot = m.boot.beforeClears();
    }
    return clears;
  }

  /**
   * Whether a clear has waited for longer than the longest report interval without an answer or
   * another command to be sent with, or has been sent without effect, since an answer to a report
   * may have been lost.
   */
  private boolean clearsOverdue(Machine m, double now) {
    for (Machine.RepeatedCommand clear : m.pendingClears.values()) {
      if (clear.sent()
          ? now - clear.lastSentAt >= RESEND_INTERVAL_S
          : now - clear.requestedAt >= standaloneClearDelayS) {
        return true;
      }
    }
    return false;
  }

  private void send(Machine m, long session, List<WorkerCommand> commands) {
    m.commandsInFlight = true;
    byte[] body = WorkerCommand.directRequest(m.boot.commandToken(), session, commands);
    List<TaskId> runs = new ArrayList<>();
    for (WorkerCommand command : commands) {
      if (command instanceof WorkerCommand.Run r) {
        runs.add(r.task());
        m.pendingStarts.get(r.task()).sentUnderToken = m.boot.commandToken();
      }
    }
    if (!runs.isEmpty()) {
      m.boot = m.boot.afterStarts();
      m.unansweredStartUntil = timers.now() + COMMAND_TIMEOUT_S;
    }
    String endpoint = m.endpoint;
    WorkerBoot known = m.boot;
    decisionLock.defer(
        () ->
            caller.call(
                endpoint,
                "POST",
                "/orders",
                body,
                COMMAND_TIMEOUT_S,
                reply -> decisionLock.run(() -> replyReceived(m, known, runs, reply))));
  }

  private void replyReceived(
      Machine m, WorkerBoot known, List<TaskId> runs, HttpCaller.Response reply) {
    m.commandsInFlight = false;
    if (heldMachines.get(m.host) != m) {
      return;
    }
    if (reply.status() == 200 || reply.status() == 409) {
      try {
        Report r = Report.fromDocument(Document.decode(reply.body()));
        if (!runs.isEmpty()) {
          m.unansweredStartUntil = Double.NEGATIVE_INFINITY;
        }
        if (reply.status() == 409 && m.boot.isSameAs(known)) {
          // The worker has carried out nothing of this request, so its starts may be sent again
          // if they are still wanted. Starts of earlier requests may yet be carried out and are
          // not sent again.
          for (TaskId id : runs) {
            Machine.PendingStart p = m.pendingStarts.get(id);
            if (p != null) {
              p.sentUnderToken = 0;
            }
          }
        }
        if (!statusChecks.replyReceived(m, known, r)) {
          return;
        }
      } catch (MalformedMessageException e) {
        LOG.log(
            Level.INFO, "cannot read the response of {0} to commands: {1}", m.host, e.getMessage());
        m.commandOutcomeUnknown |= !runs.isEmpty();
      }
    } else {
      if (!runs.isEmpty()) {
        // The start may be carried out now, minutes later or never.
        m.commandOutcomeUnknown = true;
        m.viewChanged = true;
      }
      statusChecks.suspect(m, "a request with commands got no valid response");
    }
    heldMachines.reconcile(m);
  }
}
