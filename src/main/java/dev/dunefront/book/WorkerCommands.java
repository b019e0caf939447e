package dev.dunefront.book;

import dev.dunefront.claim.ControllerContext;
import dev.dunefront.evidence.ReportSequence;
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
 * Sends orders to workers. When the fate of a start is unknown the machine's token is raised, so
 * that whatever is still on its way is refused there.
 */
final class WorkerCommands {
  private static final System.Logger LOG = System.getLogger(WorkerCommands.class.getName());
  private static final double COMMAND_TIMEOUT_S = 3.0;
  private static final double RESEND_INTERVAL_S = 2.0;
  private static final int MAX_COMMANDS_PER_REQUEST = 200;

  /** A worker reports at least this many times as often as its rhythm says. */
  private static final double MAX_REPORT_DELAY_FACTOR = 1.5;

  private final Membership membership;
  private final HoldTable holds;
  private final StateStore store;
  private final HttpCaller caller;
  private final Timers timers;
  private final DecisionLock decisionLock;
  private final HeldMachines heldMachines;
  private final StatusChecks statusChecks;
  private final PauseDetector standstill;

  /** A clear that has waited so long goes out on its own, in seconds. */
  private final double standaloneClearDelayS;

  WorkerCommands(
      ControllerContext context, HttpCaller caller, HeldMachines books, StatusChecks listening) {
    this.statusChecks = listening;
    this.membership = context.membership();
    this.holds = context.holds();
    this.store = context.store();
    this.caller = caller;
    this.timers = context.timers();
    this.decisionLock = context.decisionLock();
    this.heldMachines = books;
    this.standstill = context.standstill();
    this.standaloneClearDelayS = context.settings().workers().reportS() * MAX_REPORT_DELAY_FACTOR;
  }

  /** Raises the token, so that orders of unknown fate are refused by the worker from now on. */
  void raiseToken(Machine m) {
    // While this controller is nobody it writes nothing: a hold that names nobody is held by
    // nobody.
    String self = membership.ownIncarnation();
    if (m.raisingToken || store.unavailable() || self == null) {
      return;
    }
    m.raisingToken = true;
    m.offers.clear();
    long token = m.token + 1;
    String mark = store.newWriteId();
    Document value = HoldTable.write(self, token, mark);
    store.commit(
        HoldTable.condition(new Txn(), m.host, m.holdRevision).put(HoldTable.key(m.host), value),
        mark,
        done -> {
          m.raisingToken = false;
          if (heldMachines.held(m.host) != m) {
            return;
          }
          if (!done.ok()) {
            heldMachines.release(m, "another controller has taken it");
            return;
          }
          m.token = token;
          m.holdRevision = done.revision();
          m.tokenAcknowledged = false;
          m.commandOutcomeUnknown = false;
          m.resumed = false;
          m.deniedAttempts.clear();
          m.viewChanged = true;
          holds.applyWrite(m.host, value, done.revision());
          // Somebody may have taken the machine since, and the replica have shown that before this
          // answer came: gone by what was written, it would be held here for ever.
          heldMachines.holdChanged(m.host);
          if (heldMachines.held(m.host) != m) {
            return;
          }
          LOG.log(Level.DEBUG, "token of {0} raised to {1}", m.host, token);
          announceToken(m);
        });
  }

  /** Lets the worker see the new token at once. */
  private void announceToken(Machine m) {
    send(m, List.of());
  }

  /**
   * Sends what there is to send. While the fate of an order is unknown or the token is being
   * raised, nothing is started or cleared: but a stop names an attempt, and does nothing if that is
   * not there. Should its start still be on the way and come after it, the attempt is shown and the
   * stop repeated. Held back with the others it would wait for the token to be raised, which takes
   * a write; in an outage what was cancelled would run on for as long as that lasts.
   *
   * <p>Not so before the worker has shown a token of this hold: it may still be with its former
   * holder, whose answers it would drop from then on until its lease is over.
   */
  void sendPending(Machine m) {
    if (m.commandsInFlight || m.leaseExpired || m.endpoint.isEmpty() || !standstill.current()) {
      return;
    }
    double now = timers.now();
    boolean sure = startsAndClearsAllowed(m);
    List<WorkerCommand> orders = new ArrayList<>();
    for (var e : m.pendingStarts.entrySet()) {
      if (sure && e.getValue().sentUnderToken == 0 && orders.size() < MAX_COMMANDS_PER_REQUEST) {
        e.getValue().sentUnderToken = m.token;
        orders.add(new WorkerCommand.Run(e.getKey(), e.getValue().attempt));
      }
    }
    for (var e : m.pendingStops.entrySet()) {
      if (m.holdAcknowledged
          && now - e.getValue().lastSentAt >= RESEND_INTERVAL_S
          && orders.size() < MAX_COMMANDS_PER_REQUEST) {
        e.getValue().lastSentAt = now;
        orders.add(new WorkerCommand.Stop(e.getKey(), e.getValue().attempt, e.getValue().graceS));
      }
    }
    if (sure && (!orders.isEmpty() || clearsOverdue(m, now))) {
      // Executed first: a task may come back to the machine on which its last attempt ended.
      orders.addAll(0, dueClears(m, now, MAX_COMMANDS_PER_REQUEST - orders.size()));
    }
    if (!orders.isEmpty()) {
      send(m, orders);
    }
  }

  private static boolean startsAndClearsAllowed(Machine m) {
    return m.tokenAcknowledged && !m.commandOutcomeUnknown && !m.raisingToken;
  }

  /**
   * What goes out with the answer to a report. Nothing waits for a clear, so it rides along: with
   * an answer, or with another order. On its own it is a call to the worker, and there is one for
   * each task that ends.
   */
  List<WorkerCommand> clearsForAnswer(Machine m) {
    return startsAndClearsAllowed(m) && !m.commandsInFlight
        ? dueClears(m, timers.now(), MAX_COMMANDS_PER_REQUEST)
        : List.of();
  }

  /** Clears that have not been sent, or not lately. */
  private static List<WorkerCommand> dueClears(Machine m, double now, int most) {
    List<WorkerCommand> clears = new ArrayList<>();
    for (var e : m.pendingClears.entrySet()) {
      if (now - e.getValue().lastSentAt >= RESEND_INTERVAL_S && clears.size() < most) {
        e.getValue().lastSentAt = now;
        clears.add(new WorkerCommand.Clear(e.getKey(), e.getValue().attempt));
      }
    }
    return clears;
  }

  /**
   * Whether a clear has found nothing to ride along with for longer than a worker is silent, or has
   * been sent and had no effect: an answer to a report may have been lost.
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

  private void send(Machine m, List<WorkerCommand> orders) {
    m.commandsInFlight = true;
    byte[] body = WorkerCommand.directRequest(m.token, m.session, orders);
    List<TaskId> runs = new ArrayList<>();
    for (WorkerCommand o : orders) {
      if (o instanceof WorkerCommand.Run r) {
        runs.add(r.task());
      }
    }
    String endpoint = m.endpoint;
    ReportSequence known = m.reportSequence;
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
      Machine m, ReportSequence known, List<TaskId> runs, HttpCaller.Response reply) {
    m.commandsInFlight = false;
    if (heldMachines.held(m.host) != m) {
      return;
    }
    if (reply.status() == 200 || reply.status() == 409) {
      try {
        Report r = Report.fromDocument(Document.decode(reply.body()));
        if (reply.status() == 409) {
          // Nothing was carried out: what was sent may be sent again, if it still makes sense; but
          // not what went out before and may yet be carried out.
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
        LOG.log(Level.INFO, "{0} answers orders with nonsense: {1}", m.host, e.getMessage());
        m.commandOutcomeUnknown |= !runs.isEmpty();
      }
    } else {
      if (!runs.isEmpty()) {
        // The start may be carried out now, minutes later, or never.
        m.commandOutcomeUnknown = true;
        m.viewChanged = true;
      }
      statusChecks.suspect(m, "an order had no answer");
    }
    heldMachines.reconcile(m);
  }
}
