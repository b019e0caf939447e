package dev.dunefront.book;

import dev.dunefront.claim.ControllerContext;
import dev.dunefront.config.Settings;
import dev.dunefront.evidence.ReportSequence.Classification;
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
import java.lang.System.Logger.Level;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The machines that this controller holds, meaning that it alone sends them commands and offers
 * their room. Dispatches worker reports, keeps the want book of each machine and drives periodic
 * work. {@link HoldAcquisition} processes reports of machines not held here, {@link WorkerCommands}
 * sends commands to workers, {@link ViewPublisher} publishes machine state to the controllers.
 */
public final class HeldMachines {
  private static final System.Logger LOG = System.getLogger(HeldMachines.class.getName());

  /** An overloaded controller keeps at least this many machines. */
  private static final int MIN_MACHINES_WHEN_OVERLOADED = 5;

  /** Interval at which a machine without pending work is checked, in seconds. */
  private static final double IDLE_CHECK_INTERVAL_S = 1;

  /** Largest relative rate difference between the monotonic clocks of two hosts. */
  private static final double MAX_CLOCK_DRIFT = 0.001;

  /** A machine whose lease expired is released after this many lease durations without a report. */
  private static final double RELEASE_AFTER_LEASES = 10;

  private final Settings settings;
  private final Membership membership;
  private final HoldTable holds;
  private final JobTable jobs;
  private final Peers peers;
  private final Timers timers;
  private final DecisionLock decisionLock;
  private final Map<String, Machine> machines = new HashMap<>();

  private final ReleasedHolds releasedHolds = new ReleasedHolds();

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
  private final PauseDetector pauseDetector;
  private final RoomAllocation roomAllocation;
  private final MachineMessages machineMessages;

  private double lastSweepAt;

  public HeldMachines(ControllerContext context, HttpCaller caller) {
    this.settings = context.settings();
    this.membership = context.membership();
    this.holds = context.holdTable();
    this.jobs = context.jobs();
    this.peers = context.peers();
    this.timers = context.timers();
    this.decisionLock = context.decisionLock();
    this.viewPublisher = new ViewPublisher(context, machines);
    this.preemption = new Preemption(context, viewPublisher);
    this.reportApplier = new ReportApplier(context);
    this.statusChecks = new StatusChecks(context, caller, this, reportApplier);
    this.workerCommands = new WorkerCommands(context, caller, this, statusChecks);
    this.startRequests = new StartRequests(context, this, viewPublisher);
    this.taskTermination = new TaskTermination(context);
    this.holdChanges = new HoldChanges(context, this);
    this.controllerLoads = new ControllerLoads(settings, membership);
    this.workerEvacuation = new WorkerEvacuation(context, controllerLoads);
    this.holdAcquisition = new HoldAcquisition(context, controllerLoads, statusChecks, this);
    this.pauseDetector = context.pauseDetector();
    this.roomAllocation = new RoomAllocation(context, controllerLoads, viewPublisher);
    this.machineMessages =
        new MachineMessages(context, this, startRequests, preemption, holdAcquisition);
    pauseDetector.addResumeListener(holdAcquisition::resumedAfterPause);
  }

  // ---- reports ----

  /**
   * Processes a worker's report. After this process was suspended, the report waits until the state
   * is known to be current: another controller may hold the worker by now, and an answer under the
   * old token would keep the worker here.
   */
  public void report(Report r, Responder answer) {
    pauseDetector.whenCurrent(() -> dispatchReport(r, answer));
  }

  private void dispatchReport(Report r, Responder answer) {
    workerEvacuation.reportReceived(r.host());
    Machine m = machines.get(r.host());
    if (m != null) {
      processReport(m, r, answer);
    } else {
      holdAcquisition.reportReceived(r, answer);
    }
  }

  /**
   * Another controller has reported how many machines it holds and how late its timers run, in
   * seconds.
   */
  public void controllerLoadReceived(String node, int machineCount, double timerLagS) {
    controllerLoads.update(node, machineCount, timerLagS);
  }

  /** Whether this controller's timers run late while another controller keeps up. */
  public boolean overloaded() {
    return controllerLoads.offloadTarget() != null;
  }

  /** The machine, if this controller holds it, or null. */
  Machine get(String host) {
    return machines.get(host);
  }

  /** What is remembered of machines that were held here before. */
  ReleasedHolds releasedHolds() {
    return releasedHolds;
  }

  /** Starts to hold the machine. */
  void addMachine(Machine m) {
    machines.put(m.host, m);
    releasedHolds.heldAgain(m);
    LOG.log(
        Level.INFO,
        "holding {0} of type {1}: token {2}, hold revision {3}, session {4}",
        m.host,
        m.typeName,
        m.token,
        m.holdRevision,
        m.session);
  }

  /** Processes a report of a machine that is held here. */
  void processReport(Machine m, Report r, Responder answer) {
    if (!m.boot.mayHaveGiven(r.token())) {
      // Another controller holds this machine under a higher token.
      release(m, "its worker has reported a higher token");
      answer.send(421, null);
      return;
    }
    Classification classification = m.boot.classify(r);
    if (classification == Classification.STALE) {
      // The sender no longer waits for this answer, unless the worker has restarted.
      answer.send(503, null, 1);
      statusChecks.staleReportReceived(m, r);
      return;
    }
    if (m.leaseExpired && r.session() <= m.session) {
      // Its tasks have been declared ended, so nothing may renew the lease of this session.
      answer.send(503, null, 1);
      return;
    }
    m.lastContactAt = timers.now();
    if (classification == Classification.NEW) {
      statusChecks.reportReceived(m, r);
    }
    if (classification == Classification.UNCONFIRMED) {
      if (m.boot.tokensExhausted()) {
        workerCommands.raiseToken(m);
        answer.send(503, null, 1);
        return;
      }
      m.boot = m.boot.beforeUnconfirmedAnswer();
      LOG.log(
          Level.DEBUG,
          "answering {0} under token {1}; the token {2} of its report, in session {3}, does not"
              + " tell its boot",
          m.host,
          m.boot.commandToken(),
          r.token(),
          r.session());
    } else if (m.publishedSessionIsOfEarlierBoot(r)) {
      workerRestarted(m, r);
      m.boot = m.boot.beforeUnconfirmedAnswer();
    } else {
      reportApplier.applyReport(m, r);
    }
    String redirectTarget = workerEvacuation.redirectTarget(m, machines.values());
    if (redirectTarget != null) {
      release(m, "this controller is isolated; redirecting it to " + redirectTarget);
      holdAcquisition.sendToController(m.host, redirectTarget, answer);
      return;
    }
    if (m.redirectTo == null && machines.size() > MIN_MACHINES_WHEN_OVERLOADED) {
      m.redirectTo = controllerLoads.offloadTarget();
    }
    if (m.redirectTo != null) {
      String target = m.redirectTo;
      m.redirectTo = null;
      if (controllerLoads.reachable(target)
          && !m.startsInProgress()
          // An unresponsive machine would not receive the redirect and would retry all
          // controllers in turn.
          && m.responsiveness.trusted()
          && !m.commandOutcomeUnknown
          && !m.raisingToken
          && !m.retiring(timers.now())) {
        release(m, "balancing load; redirecting it to " + target);
        holdAcquisition.sendToController(m.host, target, answer);
        return;
      }
    }
    if (m.commandOutcomeUnknown) {
      workerCommands.raiseToken(m);
    }
    m.lastAnsweredAt = timers.now();
    answer.send(200, workerCommands.answerToReport(m));
    if (classification == Classification.UNCONFIRMED) {
      workerCommands.requestConfirmation(m, r);
    }
    reconcile(m);
  }

  /**
   * The worker has responded from a new boot. It gets no commands before the token is raised in the
   * hold record. A higher token is sent to it at once, since until it has seen one it carries out
   * copies of starts that were meant for the boot before.
   */
  void workerRestarted(Machine m, Report reply) {
    reportApplier.workerRestarted(m, reply);
    m.boot = m.boot.beforeConfirmationRequest();
    workerCommands.announceToken(m);
    workerCommands.raiseToken(m);
  }

  /** Stops holding the machine and notifies the other controllers. The reason is logged. */
  void release(Machine m, String reason) {
    if (machines.remove(m.host, m)) {
      releasedHolds.released(m);
      LOG.log(
          Level.INFO,
          "released {0}: {1}; token {2}, hold revision {3}, session {4}",
          m.host,
          reason,
          m.token,
          m.holdRevision,
          m.session);
      peers.broadcast(new Message.HoldReleased(m.host));
    }
  }

  /** This controller continues under a new incarnation. */
  public void incarnationChanged() {
    holdChanges.incarnationChanged();
    holdAcquisition.incarnationChanged();
  }

  /** The hold record of a machine has changed in the replica. */
  public void holdChanged(String host) {
    holdChanges.holdChanged(host);
    if (!machines.containsKey(host)) {
      releasedHolds.recordChanged(host);
    }
  }

  /**
   * The record of an unfinished job has changed. Tasks of a job that must not run any more are
   * stopped without a request from its claimant.
   */
  public void jobChanged(String id, JobTable.Entry before, JobTable.Entry entry) {
    boolean ended = jobEnded(entry);
    if (!ended
        && !jobEnded(before)
        && Objects.equals(before.record().claimant(), entry.record().claimant())) {
      // Most changes only grant tasks, which affects neither the controller that receives the
      // task states nor the size of the tasks.
      return;
    }
    for (Machine m : machines.values()) {
      if (ended) {
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

  /** A job has been cancelled: stops its running tasks here and refuses its pending starts. */
  public void jobCancelled(String id) {
    for (Machine m : machines.values()) {
      taskTermination.stopJob(m, id);
      m.book.removeJob(id);
      reconcile(m);
    }
  }

  /** All machines that this controller holds. */
  Collection<Machine> all() {
    return machines.values();
  }

  static boolean jobEnded(JobTable.Entry entry) {
    return entry == null || entry.record().status() != JobRecord.Status.OPEN;
  }

  // ---- messages ----

  /** Processes a message of another controller that concerns machines. */
  public void messageReceived(String from, Message message) {
    if (message instanceof Message.ViewSubscription subscription) {
      viewPublisher.subscriptionReceived(from, subscription.detail());
    } else {
      machineMessages.messageReceived(from, message);
    }
  }

  /** The connection to a controller has closed. Its wants and offers are dropped. */
  public void peerDisconnected(String node) {
    controllerLoads.remove(node);
    viewPublisher.peerDisconnected(node);
    for (Machine m : machines.values()) {
      m.book.removeController(node);
      if (m.offers.values().removeIf(o -> o.node().equals(node))) {
        m.viewChanged = true;
        reconcile(m);
      }
    }
  }

  /** The connection to a controller is open again. It receives the state of every held machine. */
  public void peerConnected(String node) {
    viewPublisher.peerConnected(node);
  }

  // ---- allocation ----

  /**
   * Offers free room to wants, sends pending commands and publishes the machine's state if it has
   * changed.
   */
  void reconcile(Machine m) {
    if (machines.get(m.host) != m) {
      return;
    }
    roomAllocation.offerRoom(m);
    workerCommands.sendPending(m);
    if (m.viewChanged) {
      m.viewChanged = false;
      viewPublisher.schedulePublish(m);
    }
  }

  // ---- metrics and periodic work ----

  public int machineCount() {
    return machines.size();
  }

  /** Number of stale reports received since the start of the process. */
  public int staleReportCount() {
    return statusChecks.staleReportCount();
  }

  /** Number of times that a machine whose reports arrive has been found unresponsive. */
  public int unresponsiveCount() {
    return statusChecks.unresponsiveCount();
  }

  /** Number of workers that this controller has redirected because it was isolated. */
  public int sentAwayCount() {
    return workerEvacuation.sentCount();
  }

  /** Whether neither the state service nor any other controller is reachable. */
  public boolean isolated() {
    return workerEvacuation.isolated();
  }

  /**
   * Periodic work, called several times a second.
   *
   * @param timerLagS by how much this controller's timers run late, in seconds
   */
  public void tick(double timerLagS) {
    controllerLoads.setOwnTimerLag(timerLagS);
    statusChecks.setTimerLag(timerLagS);
    double now = timers.now();
    double leaseS = settings.workers().leaseS();
    if (!pauseDetector.current()) {
      return;
    }
    holdChanges.tick();
    workerEvacuation.tick(now);
    for (Machine m : List.copyOf(machines.values())) {
      // A failure on one machine must not keep the others from being processed.
      decisionLock.run(() -> tick(m, now, leaseS));
    }
    if (now - lastSweepAt > IDLE_CHECK_INTERVAL_S) {
      lastSweepAt = now;
      taskTermination.stopTasksOfEndedJobs(machines.values(), now);
      holdAcquisition.removeExpired(now);
    }
    roomAllocation.rebalance(machines.values(), now);
  }

  private void tick(Machine m, double now, double leaseS) {
    boolean offerExpired = false;
    for (Iterator<Machine.OutstandingOffer> iterator = m.offers.values().iterator();
        iterator.hasNext(); ) {
      if (iterator.next().expiresAt() < now) {
        iterator.remove();
        offerExpired = true;
      }
    }
    m.viewChanged |= offerExpired;
    if (m.retiringUntil > 0 && !m.retiring(now)) {
      m.retiringUntil = 0;
      m.viewChanged = true;
    }
    statusChecks.tick(m, now);
    double leaseCertainlyOverS = leaseS * (1 + MAX_CLOCK_DRIFT) + 0.3;
    if (!m.leaseExpired && m.holdAcknowledged && now > m.leaseOverAt(leaseCertainlyOverS)) {
      // No report of this session has been answered for longer than its lease lasts. A token
      // raised meanwhile does not change that, since the worker may never receive it: a machine
      // that ended just after the write would otherwise never count as lost, and its jobs would
      // never end.
      m.leaseExpired = true;
      m.pendingStarts.clear();
      m.offers.clear();
      m.viewChanged = true;
      LOG.log(
          Level.INFO,
          "no report from {0}; the lease of its session {1} has expired",
          m.host,
          m.session);
    }
    if (!m.holdAcknowledged && now - m.lastContactAt > leaseCertainlyOverS) {
      // The worker has not reported a token of this hold, so an expired lease proves nothing
      // here; the report that started the hold may be a late duplicate from a machine that no
      // longer exists. If the machine stayed held, it would be published forever as neither
      // healthy nor lost, and nobody would prove the end of its attempts.
      release(m, "its reports stopped before its worker had reported the current token");
      return;
    }
    if (m.leaseExpired && now - m.leaseRenewedAt() > leaseS * RELEASE_AFTER_LEASES) {
      // All its attempts have been declared ended. If its worker reports again, it does so in a
      // later session, and no start request in transit is addressed to that one.
      m.deniedAttempts.clear();
      release(m, "no report for a long time");
      return;
    }
    if (m.reclaimNoticeS != null) {
      taskTermination.drainBeforeReclaim(m, m.reclaimNoticeS - (now - m.reclaimNoticeAt), now);
    }
    boolean hasPendingWork =
        m.viewChanged
            || !m.pendingStarts.isEmpty()
            || !m.pendingStops.isEmpty()
            || !m.pendingClears.isEmpty();
    if (hasPendingWork || now - m.lastCheckedAt > IDLE_CHECK_INTERVAL_S) {
      m.lastCheckedAt = now;
      reconcile(m);
    }
  }
}
