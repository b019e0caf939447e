package dev.dunefront.book;

import dev.dunefront.claim.ControllerContext;
import dev.dunefront.config.Settings;
import dev.dunefront.evidence.ReportSequence;
import dev.dunefront.job.JobRecord;
import dev.dunefront.job.JobTable;
import dev.dunefront.net.DecisionLock;
import dev.dunefront.net.HttpCaller;
import dev.dunefront.net.HttpServer.Responder;
import dev.dunefront.net.Timers;
import dev.dunefront.peer.Message;
import dev.dunefront.peer.Peers;
import dev.dunefront.store.Membership;
import dev.dunefront.store.PauseDetector;
import dev.dunefront.wire.Report;
import dev.dunefront.wire.TaskId;
import dev.dunefront.wire.WorkerCommand;
import java.lang.System.Logger.Level;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The machines that this controller holds: takes reports, keeps a book for each and deals freed
 * room. {@link HoldAcquisition} takes the reports of others, {@link WorkerCommands} talks to
 * workers, {@link ViewPublisher} to the controllers.
 */
public final class HeldMachines {
  private static final System.Logger LOG = System.getLogger(HeldMachines.class.getName());

  /** A controller that is behind keeps at least so many machines. */
  private static final int MIN_MACHINES_WHEN_OVERLOADED = 5;

  /** How often a machine is looked at on which nothing is known to wait. */
  private static final double IDLE_CHECK_INTERVAL_S = 1;

  /** Steady clocks differ by this part at most. */
  private static final double MAX_CLOCK_DRIFT = 0.001;

  /** A machine that has been lost for so many leases is no longer held. */
  private static final double RELEASE_AFTER_LEASES = 10;

  private final Settings settings;
  private final Membership membership;
  private final HoldTable holds;
  private final JobTable jobs;
  private final Peers peers;
  private final Timers timers;
  private final DecisionLock decisionLock;
  private final Map<String, Machine> held = new HashMap<>();

  /**
   * What was called gone on machines let go of since without a new token; see {@link #addMachine}.
   */
  private final Map<String, Map<TaskId, Long>> deniedAttemptsByHost = new HashMap<>();

  private final ViewPublisher viewPublisher;
  private final Preemption preemption;
  private final ReportApplier reportApplier;
  private final StartRequests startRequests;
  private final TaskTermination taskTermination;
  private final WorkerCommands workerCommands;
  private final StatusChecks statusChecks;
  private final WorkerEvacuation workerEvacuation;

  private final HoldChanges holdChanges;
  private final ControllerLoads controllerLoads;
  private final HoldAcquisition holdAcquisition;
  private final PauseDetector standstill;
  private final RoomAllocation roomAllocation;
  private final MachineMessages machineMessages;

  private double lastSweepAt;

  public HeldMachines(ControllerContext context, HttpCaller caller) {
    this.settings = context.settings();
    this.membership = context.membership();
    this.holds = context.holds();
    this.jobs = context.jobs();
    this.peers = context.peers();
    this.timers = context.timers();
    this.decisionLock = context.decisionLock();
    this.viewPublisher = new ViewPublisher(context, held);
    this.preemption = new Preemption(context, viewPublisher);
    this.reportApplier = new ReportApplier(context);
    this.statusChecks = new StatusChecks(context, caller, this, reportApplier);
    this.workerCommands = new WorkerCommands(context, caller, this, statusChecks);
    this.startRequests = new StartRequests(context, this, workerCommands, viewPublisher);
    this.taskTermination = new TaskTermination(context);
    this.holdChanges = new HoldChanges(context, this);
    this.controllerLoads = new ControllerLoads(settings, membership);
    this.workerEvacuation = new WorkerEvacuation(context, controllerLoads);
    this.holdAcquisition = new HoldAcquisition(context, controllerLoads, statusChecks, this);
    this.standstill = context.standstill();
    this.roomAllocation = new RoomAllocation(context, controllerLoads, viewPublisher);
    this.machineMessages =
        new MachineMessages(context, this, startRequests, preemption, holdAcquisition);
    standstill.addResumeListener(holdAcquisition::resumedAfterPause);
  }

  // ---- reports ----

  /**
   * Takes a worker's report. After a standstill the worker waits a moment: it may have another
   * holder by now, from which an answer under the old token would keep it.
   */
  public void report(Report r, Responder answer) {
    standstill.whenCurrent(() -> dispatchReport(r, answer));
  }

  private void dispatchReport(Report r, Responder answer) {
    workerEvacuation.reportReceived(r.host());
    Machine m = held.get(r.host());
    if (m != null) {
      processReport(m, r, answer);
    } else {
      holdAcquisition.reportReceived(r, answer);
    }
  }

  /** A controller tells how many machines it holds, and how late its timers are. */
  public void controllerLoadReceived(String node, int machines, double lateS) {
    controllerLoads.update(node, machines, lateS);
  }

  /** Whether this controller is far behind with its work while another is not. */
  public boolean overloaded() {
    return controllerLoads.offloadTarget() != null;
  }

  /** The machine, if this controller holds it, or null. */
  Machine held(String host) {
    return held.get(host);
  }

  /**
   * From now on this controller holds the machine. Under the token under which it has held it
   * before, what it has called gone stays refused: the start may still be on its way here.
   */
  void addMachine(Machine m) {
    held.put(m.host, m);
    Map<TaskId, Long> fence = deniedAttemptsByHost.remove(m.host);
    if (fence != null && m.resumed) {
      m.deniedAttempts.putAll(fence);
    }
    LOG.log(
        Level.INFO,
        "holding {0}, a {1}, under token {2}, hold stamp {3}, session {4}",
        m.host,
        m.typeName,
        m.token,
        m.holdRevision,
        m.session);
  }

  void processReport(Machine m, Report r, Responder answer) {
    if (r.token() > m.token) {
      // Somebody with a higher token commands this machine.
      release(m, "a higher token is out");
      answer.send(421, null);
      return;
    }
    ReportSequence.Classification worth = m.reportSequence.classify(r);
    if (worth == ReportSequence.Classification.STALE) {
      // Nobody waits for the answer, unless the worker has begun anew.
      answer.send(503, null, 1);
      statusChecks.staleReportReceived(m);
      return;
    }
    if (m.leaseExpired && r.session() <= m.session) {
      // Its tasks have been given up for gone; nothing may renew this lease any more.
      answer.send(503, null, 1);
      return;
    }
    m.lastContactAt = timers.now();
    if (worth == ReportSequence.Classification.NEW) {
      statusChecks.reportReceived(m, r);
    }
    reportApplier.applyReport(m, r);
    String away = workerEvacuation.redirectTarget(m, held.values());
    if (away != null) {
      release(m, "alone here, it goes to " + away);
      holdAcquisition.sendToController(m.host, away, answer);
      return;
    }
    if (m.redirectTo == null && held.size() > MIN_MACHINES_WHEN_OVERLOADED) {
      m.redirectTo = controllerLoads.offloadTarget();
    }
    if (m.redirectTo != null) {
      String to = m.redirectTo;
      m.redirectTo = null;
      if (controllerLoads.reachable(to)
          && !m.startsInProgress()
          // Sent on, a machine that does not hear it would go round instead.
          && m.responsiveness.trusted()
          && !m.commandOutcomeUnknown
          && !m.raisingToken
          && !m.retiring(timers.now())) {
        release(m, "it is better held by " + to);
        holdAcquisition.sendToController(m.host, to, answer);
        return;
      }
    }
    if (m.commandOutcomeUnknown) {
      workerCommands.raiseToken(m);
    }
    m.lastAnsweredAt = timers.now();
    answer.send(200, WorkerCommand.reportResponse(m.token, workerCommands.clearsForAnswer(m)));
    reconcile(m);
  }

  void release(Machine m, String why) {
    if (held.remove(m.host, m)) {
      if (!m.deniedAttempts.isEmpty()) {
        deniedAttemptsByHost.put(m.host, m.deniedAttempts);
      }
      LOG.log(
          Level.INFO,
          "no longer holding {0}: {1}; it was token {2}, hold stamp {3}, session {4}",
          m.host,
          why,
          m.token,
          m.holdRevision,
          m.session);
      peers.broadcast(new Message.HoldReleased(m.host));
    }
  }

  /** This controller has become another incarnation. */
  public void incarnationChanged() {
    holdChanges.incarnationChanged();
    holdAcquisition.incarnationChanged();
  }

  /** The replica shows a changed hold record. */
  public void holdChanged(String host) {
    holdChanges.holdChanged(host);
    if (!held.containsKey(host)) {
      // Held under another token from now on, if ever again.
      deniedAttemptsByHost.remove(host);
    }
  }

  /** A live record has changed; a job that must no longer run is stopped without being asked. */
  public void jobChanged(String id, JobTable.Entry before, JobTable.Entry entry) {
    boolean over = jobEnded(entry);
    if (!over
        && !jobEnded(before)
        && Objects.equals(before.record().claimant(), entry.record().claimant())) {
      // Most changes grant tasks; who is told of the job's tasks, and what they take, stays.
      return;
    }
    for (Machine m : held.values()) {
      if (over) {
        m.book.removeJob(id);
      }
      if (m.hasTaskOf(id)) {
        if (entry != null && entry.record().status() == JobRecord.Status.CANCELLED) {
          taskTermination.stopJob(m, id);
        }
        m.viewChanged = true;
        reconcile(m);
      }
    }
  }

  /** A job is to end: what of it runs here is stopped, what is about to start is refused. */
  public void jobCancelled(String id) {
    for (Machine m : held.values()) {
      taskTermination.stopJob(m, id);
      m.book.removeJob(id);
      reconcile(m);
    }
  }

  /** All machines that this controller holds. */
  Collection<Machine> all() {
    return held.values();
  }

  static boolean jobEnded(JobTable.Entry entry) {
    return entry == null || entry.record().status() != JobRecord.Status.OPEN;
  }

  // ---- messages ----

  public void messageReceived(String from, Message message) {
    if (message instanceof Message.ViewSubscription i) {
      viewPublisher.subscriptionReceived(from, i.detail());
    } else {
      machineMessages.messageReceived(from, message);
    }
  }

  /** A controller's link is gone, and with it all that it wanted. */
  public void peerDisconnected(String node) {
    controllerLoads.remove(node);
    viewPublisher.peerDisconnected(node);
    for (Machine m : held.values()) {
      m.book.removeController(node);
      if (m.offers.values().removeIf(o -> o.node().equals(node))) {
        m.viewChanged = true;
        reconcile(m);
      }
    }
  }

  /** A controller can be reached again: it hears of every held machine. */
  public void peerConnected(String node) {
    viewPublisher.peerConnected(node);
  }

  // ---- dealing ----

  /** Deals what room there is, sends what orders there are, tells what has changed. */
  void reconcile(Machine m) {
    if (held.get(m.host) != m) {
      return;
    }
    roomAllocation.offerRoom(m);
    workerCommands.sendPending(m);
    if (m.viewChanged) {
      m.viewChanged = false;
      viewPublisher.schedulePublish(m);
    }
  }

  // ---- time ----

  public int machineCount() {
    return held.size();
  }

  /** Copies of old reports that have come so far. */
  public int staleReportCount() {
    return statusChecks.staleReportCount();
  }

  /** How often a machine has turned out to be heard and not to hear so far. */
  public int unresponsiveCount() {
    return statusChecks.unresponsiveCount();
  }

  /** Machines that this controller has sent away because it was alone with them so far. */
  public int sentAwayCount() {
    return workerEvacuation.sentCount();
  }

  /** Whether neither the state service nor any other controller answers. */
  public boolean isolated() {
    return workerEvacuation.alone();
  }

  /** Called several times a second. */
  public void tick(double lateS) {
    controllerLoads.setOwnTimerLag(lateS);
    statusChecks.setTimerLag(lateS);
    double now = timers.now();
    double lease = settings.workers().leaseS();
    if (!standstill.current()) {
      return;
    }
    holdChanges.tick();
    workerEvacuation.tick(now);
    for (Machine m : List.copyOf(held.values())) {
      // What cannot be done for one machine is no reason to leave the others alone.
      decisionLock.run(() -> tick(m, now, lease));
    }
    if (now - lastSweepAt > IDLE_CHECK_INTERVAL_S) {
      lastSweepAt = now;
      taskTermination.stopTasksOfEndedJobs(held.values(), now);
      holdAcquisition.removeExpired(now);
    }
    roomAllocation.rebalance(held.values(), now);
  }

  private void tick(Machine m, double now, double lease) {
    boolean expired = false;
    for (Iterator<Machine.OutstandingOffer> i = m.offers.values().iterator(); i.hasNext(); ) {
      if (i.next().expiresAt() < now) {
        i.remove();
        expired = true;
      }
    }
    m.viewChanged |= expired;
    if (m.retiringUntil > 0 && !m.retiring(now)) {
      m.retiringUntil = 0;
      m.viewChanged = true;
    }
    statusChecks.tick(m, now);
    double surelyOver = lease * (1 + MAX_CLOCK_DRIFT) + 0.3;
    if (!m.leaseExpired && m.holdAcknowledged && now - m.leaseRenewedAt() > surelyOver) {
      // No report of this session has been answered for longer than its lease lasts. A token
      // raised since, which the worker may never see, changes nothing in that: a machine that
      // ended just after would otherwise never be called lost, and its jobs never end.
      m.leaseExpired = true;
      m.pendingStarts.clear();
      m.offers.clear();
      m.viewChanged = true;
      LOG.log(Level.INFO, "{0} is silent; the lease of its session {1} is over", m.host, m.session);
    }
    if (!m.holdAcknowledged && now - m.lastContactAt > surelyOver) {
      // It never showed a token of this hold, so its lease proves nothing here; a late copy of a
      // report may have come of a machine that is gone. Held on to it would be told of for ever as
      // one that is neither well nor lost, and nobody would have its end proven.
      release(m, "it fell silent before it had shown its token");
      return;
    }
    if (m.leaseExpired && now - m.leaseRenewedAt() > lease * RELEASE_AFTER_LEASES) {
      // All that ran there has been given up for gone. Should its worker come back after all it is
      // in another session, for which no start is on its way that was meant for this one.
      m.deniedAttempts.clear();
      release(m, "it has been silent for long");
      return;
    }
    if (m.reclaimNoticeS != null) {
      taskTermination.drainBeforeReclaim(m, m.reclaimNoticeS - (now - m.reclaimNoticeAt), now);
    }
    boolean waits =
        m.viewChanged
            || !m.pendingStarts.isEmpty()
            || !m.pendingStops.isEmpty()
            || !m.pendingClears.isEmpty();
    if (waits || now - m.lastCheckedAt > IDLE_CHECK_INTERVAL_S) {
      m.lastCheckedAt = now;
      reconcile(m);
    }
  }
}
