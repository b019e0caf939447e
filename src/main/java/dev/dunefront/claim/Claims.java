package dev.dunefront.claim;

import dev.dunefront.book.HoldTable;
import dev.dunefront.claim.Claim.LiveAttempt;
import dev.dunefront.claim.Claim.ReceivedOffer;
import dev.dunefront.job.JobRecord.Status;
import dev.dunefront.job.JobTable;
import dev.dunefront.peer.Message;
import dev.dunefront.peer.Message.MachineView;
import dev.dunefront.wire.JobSpec;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The jobs that this controller has claimed. Adopts and releases claims, and dispatches events to
 * {@link WantPlacement}, which queues wants for capacity, {@link ClaimWriter}, which records
 * placements and ends, and {@link Reconciliation}, which determines how attempts ended.
 */
public final class Claims {
  private static final System.Logger LOG = System.getLogger(Claims.class.getName());
  private static final double STOP_RETRY_S = 1.5;
  private static final double REEVALUATION_DELAY_S = 0.02;

  private final ControllerContext context;
  private final Quotas quotas;
  private final MachineTable machineTable = new MachineTable();
  private final CapacitySubscription capacitySubscription;
  private final Turnover turnover;
  private final IdleCapacity idleCapacity;
  private final WantPlacement wantPlacement;
  private final ClaimWriter claimWriter;
  private final Reconciliation reconciliation;
  private final DeadlineRanking ranking;
  private final ZoneConstraints zoneConstraints;
  private final Map<String, Claim> claims = new HashMap<>();
  private final Takeover takeover;
  private final ClaimLoader loader;
  private final ClaimAdmission admission;
  private final JobStatistics statistics;

  /** Ids of the jobs that the ranking and the arrival rate already include. */
  private final Set<String> learnedJobs = new HashSet<>();

  private boolean reevaluationScheduled;

  public Claims(ControllerContext context) {
    this.context = context;
    ranking = new DeadlineRanking(context.settings());
    zoneConstraints = new ZoneConstraints(machineTable);
    quotas = new Quotas(context.settings(), context.replica(), this::scheduleReevaluation);
    turnover = new Turnover(context, machineTable, this);
    idleCapacity = new IdleCapacity(context, machineTable);
    capacitySubscription =
        new CapacitySubscription(
            context.peers(),
            context.timers(),
            () -> context.decisionLock().run(this::scheduleReevaluation));
    wantPlacement =
        new WantPlacement(
            context,
            machineTable,
            capacitySubscription,
            idleCapacity,
            quotas,
            ranking,
            zoneConstraints,
            turnover);
    claimWriter =
        new ClaimWriter(context, quotas, zoneConstraints, wantPlacement, machineTable, this);
    AttemptTermination attemptTermination =
        new AttemptTermination(context, machineTable, ranking, turnover);
    reconciliation = new Reconciliation(context, machineTable, claimWriter, attemptTermination);
    takeover = new Takeover(context, this);
    loader = new ClaimLoader(context, this, reconciliation);
    admission = new ClaimAdmission(context, machineTable);
    statistics = new JobStatistics(context, claims, quotas, zoneConstraints, machineTable);
  }

  public MachineTable machineTable() {
    return machineTable;
  }

  /** How much detail this controller requests about machines held by other controllers. */
  public CapacitySubscription capacitySubscription() {
    return capacitySubscription;
  }

  public DeadlineRanking ranking() {
    return ranking;
  }

  /** Task counts and unmet demand of jobs. */
  public JobStatistics statistics() {
    return statistics;
  }

  // ---- claiming ----

  /** Whether a job may be claimed in addition to the present claims. */
  boolean admits(JobSpec spec) {
    return admission.admits(spec, claims.values());
  }

  /** Whether a newly submitted job may be claimed immediately. */
  public boolean admitsAtOnce(JobSpec spec) {
    return admission.admitsAtOnce(spec, claims.values());
  }

  /** Whether a claimed job of this equivalence class has not started yet. */
  boolean hasUnstartedEquivalent(SearchThrottle.EquivalenceClass equivalenceClass) {
    for (Claim claim : claims.values()) {
      if (claim.equivalenceClass.equals(equivalenceClass)
          && !StartEscalation.isStartedOrClosed(claim)) {
        return true;
      }
    }
    return false;
  }

  /** Whether this controller has the claim of a job. */
  boolean has(String id) {
    return claims.containsKey(id);
  }

  /**
   * Starts to manage a job whose record already names this incarnation. Uses the record as the
   * replica shows it, not as it was written: another controller may have cancelled the job before
   * the response to the write arrived. With the written version the claim would wait forever for a
   * change that has already been applied, and the cancellation would never complete.
   *
   * @param neverPlaced whether no task of the job can have been placed yet
   */
  public void adopt(String id, boolean neverPlaced) {
    JobTable.Entry entry = context.jobs().get(id);
    if (claims.containsKey(id)
        || entry == null
        || !entry.record().isClaimedBy(context.membership().ownIncarnation())) {
      return;
    }
    Claim claim =
        new Claim(entry.record(), entry.revision(), context.tunables().reach(), context.now());
    claim.endRequested = context.jobs().isEndingOrEnded(id);
    claims.put(claim.id(), claim);
    reconciliation.claimStarted(claim);
    takeover.adopted(claim.id());
    statistics.forgetRemote(claim.id());
    if (neverPlaced) {
      reevaluate(claim);
    } else {
      loader.load(claim);
    }
  }

  /** Reads the job's record again and releases the claim if it is no longer valid. */
  void reload(Claim claim) {
    loader.reload(claim);
  }

  /** Releases a claim because another controller has claimed the job or the job has ended. */
  void release(Claim claim) {
    claim.released = true;
    reconciliation.claimEnded(claim);
    wantPlacement.withdrawWants(claim);
    claimWriter.declineAll(claim);
    claims.remove(claim.id(), claim);
  }

  /** Handles the notice that another controller has recorded the job's cancellation. */
  public void jobCancelled(String id) {
    Claim claim = claims.get(id);
    if (claim != null && claim.isStartable()) {
      claim.endRequested = true;
      wantPlacement.withdrawWants(claim);
      claimWriter.declineAll(claim);
    }
  }

  /** Releases the claim of a job whose final state has been recorded. */
  void jobFinished(Claim claim, Status status, long revision) {
    claim.released = true;
    reconciliation.claimEnded(claim);
    claims.remove(claim.id(), claim);
    wantPlacement.withdrawWants(claim);
    claimWriter.declineAll(claim);
    LOG.log(Level.INFO, "job {0} finished with status {1}", claim.id(), status);
    context.jobs().applyOwnFinalWrite(claim.id(), status, revision);
    // Users may query any controller; the broadcast saves the others a read of the record.
    context.peers().broadcast(new Message.JobEnded(claim.id(), status == Status.DONE));
  }

  /** Releases all claims because this controller has become a new incarnation. */
  public void incarnationChanged() {
    for (Claim claim : List.copyOf(claims.values())) {
      release(claim);
    }
    takeover.incarnationChanged();
  }

  /**
   * Handles a change of the record of an unfinished job.
   *
   * @param entry the new record; null if it has been removed
   */
  public void jobChanged(String id, JobTable.Entry before, JobTable.Entry entry) {
    takeover.jobChanged(before, entry);
    if (entry == null) {
      statistics.forgetRemote(id);
      learnedJobs.remove(id);
    } else if (learnedJobs.add(id)) {
      ranking.jobSeen(entry.record().spec());
      idleCapacity.arrived(entry.record());
    }
    Claim claim = claims.get(id);
    if (claim == null || entry != null && entry.revision() <= claim.revision) {
      return;
    }
    if (entry == null || !entry.record().isClaimedBy(context.membership().ownIncarnation())) {
      release(claim);
      return;
    }
    claim.record = entry.record();
    claim.revision = entry.revision();
    if (!claim.open()) {
      wantPlacement.withdrawWants(claim);
      claimWriter.declineAll(claim);
    }
    reevaluate(claim);
  }

  // ---- messages ----

  public void received(String from, Message message) {
    if (message instanceof MachineView view) {
      MachineTable.Entry previous = machineTable.put(from, view, context.now());
      if (previous != null
          && (!previous.holder().equals(from) || previous.view().token() != view.token())) {
        wantsLost(view.host());
      }
      reconciliation.viewReceived(machineTable.get(view.host()), claims);
      scheduleReevaluation();
    } else if (message instanceof Message.HoldReleased unheld) {
      if (machineTable.remove(from, unheld.host())) {
        wantsLost(unheld.host());
        scheduleReevaluation();
      }
    } else if (message instanceof Message.Offer offer) {
      offerReceived(from, offer);
    } else if (message instanceof Message.AttemptAbsent absent) {
      Claim claim = claims.get(absent.job());
      LiveAttempt attempt = claim == null ? null : claim.liveAttempts.get(absent.number());
      if (attempt != null
          && !attempt.ended
          && attempt.placement.attempt() == absent.attempt()
          && attempt.placement.host().equals(absent.host())) {
        reconciliation.attemptDenied(from, absent, claim, attempt);
      }
    } else if (message instanceof Message.JobProgress progress) {
      statistics.progressReceived(progress);
    }
  }

  private void offerReceived(String from, Message.Offer offer) {
    Claim claim = claims.get(offer.job());
    if (claim != null) {
      claim.queuedWants.computeIfPresent(offer.host(), (host, n) -> n > 1 ? n - 1 : null);
    }
    // While the state service is unavailable, a kept offer would only block capacity for others.
    if (claim == null
        || claim.loading
        || !claim.isStartable()
        || context.store().unavailable()
        || !context.pauseDetector().current()) {
      context.peers().send(from, new Message.DeclineOffer(offer.offerId(), offer.host()));
    } else {
      claim.offers.add(new ReceivedOffer(from, offer, context.now()));
      claimWriter.scheduleFlush(claim);
    }
  }

  /** Discards the views received from a controller whose connection is lost. */
  public void peerDisconnected(String node) {
    for (String host : machineTable.removeAll(node)) {
      wantsLost(host);
    }
    scheduleReevaluation();
  }

  /** Queues all wants again at the machines of a controller that is reachable again. */
  public void peerConnected(String node) {
    capacitySubscription.peerConnected(node);
    for (MachineTable.Entry machine : machineTable.all()) {
      if (machine.holder().equals(node)) {
        wantsLost(machine.view().host());
      }
    }
    scheduleReevaluation();
  }

  /** Handles a change of a machine's hold record; only its confirmed deletion matters here. */
  public void holdChanged(String host) {
    HoldTable.Hold hold = context.holdTable().recordOf(host);
    if (hold != null && hold.machineDeleted()) {
      for (Claim claim : List.copyOf(claims.values())) {
        reconciliation.endAttemptsOn(claim, host);
      }
    }
  }

  private void wantsLost(String host) {
    for (Claim claim : claims.values()) {
      wantPlacement.wantsLost(claim, host);
    }
  }

  // ---- time ----

  /** Schedules a reevaluation of all claims; changes that arrive meanwhile share it. */
  private void scheduleReevaluation() {
    if (reevaluationScheduled) {
      return;
    }
    reevaluationScheduled = true;
    context.schedule(
        REEVALUATION_DELAY_S,
        () -> {
          reevaluationScheduled = false;
          reevaluateAll();
        });
  }

  private void reevaluateAll() {
    List<Claim> ordered = new ArrayList<>(claims.values());
    ordered.sort(
        Comparator.comparing((Claim claim) -> claim.spec.priority())
            .thenComparing(claim -> claim.record.acceptedMs()));
    SearchThrottle.throttle(ordered);
    ordered.forEach(claim -> context.decisionLock().run(() -> reevaluate(claim)));
  }

  void reevaluate(Claim claim) {
    if (claim.released || claim.loading) {
      return;
    }
    reconciliation.comparePending(claim);
    claimWriter.flush(claim);
    if (!claim.released && !context.store().unavailable()) {
      wantPlacement.updateWants(claim);
    }
  }

  /** Runs periodic work; called several times per second. */
  public void tick() {
    double now = context.now();
    takeover.tick(now);
    reconciliation.tick();
    for (Claim claim : List.copyOf(claims.values())) {
      // Each claim is a decision of its own, so that a failure in one does not affect the others.
      context
          .decisionLock()
          .run(
              () -> {
                if (!claim.isStartable() && !claim.loading) {
                  stopAllAttempts(claim, now);
                }
                reconciliation.recheckMissing(claim);
                logIfStartOverdue(claim);
              });
    }
    reevaluateAll();
    capacitySubscription.tick();
  }

  /** Logs once that a job has not started within the configured time. */
  private void logIfStartOverdue(Claim claim) {
    if (claim.overdueLogged || claim.loading || StartEscalation.isStartedOrClosed(claim)) {
      return;
    }
    double ageS = claim.ageS(context.timers().wallClockMs());
    if (ageS > context.tunables().beginS()) {
      claim.overdueLogged = true;
      LOG.log(
          Level.INFO,
          "job {0}, class {1}, team {2}, has not started after {3} s; each task needs {4} CPUs,"
              + " {5} GB, machine types {6}",
          claim.id(),
          claim.spec.jobClass(),
          claim.spec.team(),
          Math.round(ageS),
          claim.size.cpu(),
          claim.size.ram(),
          claim.spec.machineTypes());
    }
  }

  private void stopAllAttempts(Claim claim, double now) {
    for (var entry : claim.liveAttempts.entrySet()) {
      LiveAttempt attempt = entry.getValue();
      MachineTable.Entry machine = machineTable.get(attempt.placement.host());
      if (machine != null && now - attempt.stopSentAt > STOP_RETRY_S) {
        attempt.stopSentAt = now;
        context
            .peers()
            .send(
                machine.holder(),
                new Message.StopTask(
                    attempt.placement.host(),
                    claim.record.term(),
                    claim.id(),
                    entry.getKey(),
                    attempt.placement.attempt(),
                    0));
      }
    }
  }
}
