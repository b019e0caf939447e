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
 * The jobs that this controller has claimed: claims them and gives them up, and hands what happens
 * to {@link WantPlacement}, which asks for room, {@link ClaimWriter}, which writes what is placed
 * and what has ended, and {@link Reconciliation}, which finds out how attempts ended.
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

  /** Jobs whose size has been learned from. */
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
    AttemptTermination ends = new AttemptTermination(context, machineTable, ranking, turnover);
    reconciliation = new Reconciliation(context, machineTable, claimWriter, ends);
    takeover = new Takeover(context, this);
    loader = new ClaimLoader(context, this, reconciliation);
    admission = new ClaimAdmission(context, machineTable);
    statistics = new JobStatistics(context, claims, quotas, zoneConstraints, machineTable);
  }

  public MachineTable machineTable() {
    return machineTable;
  }

  /** What this controller asks the others to tell of their machines. */
  public CapacitySubscription capacitySubscription() {
    return capacitySubscription;
  }

  public DeadlineRanking ranking() {
    return ranking;
  }

  /** What there is to tell of jobs. */
  public JobStatistics statistics() {
    return statistics;
  }

  // ---- claiming ----

  /** Whether a job may be claimed beside what is claimed already. */
  boolean admits(JobSpec spec) {
    return admission.admits(spec, claims.values());
  }

  /** Whether a job that has just come may be claimed at once. */
  public boolean admitsAtOnce(JobSpec spec) {
    return admission.admitsAtOnce(spec, claims.values());
  }

  /** Whether a claimed job like these has yet to begin. */
  boolean hasUnstartedEquivalent(SearchThrottle.EquivalenceClass shape) {
    for (Claim c : claims.values()) {
      if (c.equivalenceClass.equals(shape) && !StartEscalation.startedOrClosed(c)) {
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
   * Takes charge of a job whose record names this incarnation already. It goes by the record as the
   * replica shows it, not as it was written: another controller may have cancelled the job before
   * the answer to the write was here. By what was written the claim would wait for ever for a
   * change that has been, and the cancellation never end.
   *
   * @param fresh nothing of it can have been placed yet
   */
  public void adopt(String id, boolean fresh) {
    JobTable.Entry e = context.jobs().get(id);
    if (claims.containsKey(id)
        || e == null
        || !e.record().isClaimedBy(context.membership().ownIncarnation())) {
      return;
    }
    Claim c = new Claim(e.record(), e.revision(), context.tunables().reach(), context.now());
    c.endRequested = context.jobs().isEndingOrEnded(id);
    claims.put(c.id(), c);
    reconciliation.claimStarted(c);
    takeover.adopted(c.id());
    statistics.forgetRemote(c.id());
    if (fresh) {
      reevaluate(c);
    } else {
      loader.load(c);
    }
  }

  /** Reads the job's record anew, and with it whether the claim still stands. */
  void reload(Claim c) {
    loader.reload(c);
  }

  /** Gives a claim up: another controller has the job, or it is over. */
  void release(Claim c) {
    c.released = true;
    reconciliation.claimEnded(c);
    wantPlacement.withdrawWants(c);
    claimWriter.declineAll(c);
    claims.remove(c.id(), c);
  }

  /** Another controller has recorded that the job is to end. */
  public void jobCancelled(String id) {
    Claim c = claims.get(id);
    if (c != null && c.startable()) {
      c.endRequested = true;
      wantPlacement.withdrawWants(c);
      claimWriter.declineAll(c);
    }
  }

  /** The job's end is written. */
  void jobFinished(Claim c, Status last, long revision) {
    c.released = true;
    reconciliation.claimEnded(c);
    claims.remove(c.id(), c);
    wantPlacement.withdrawWants(c);
    claimWriter.declineAll(c);
    LOG.log(Level.INFO, "{0} is {1}", c.id(), last);
    context.jobs().applyOwnFinalWrite(c.id(), last, revision);
    // Users ask anywhere; told so, nobody need read it.
    context.peers().broadcast(new Message.JobEnded(c.id(), last == Status.DONE));
  }

  /** Forgets all claims, for this controller has become another incarnation. */
  public void incarnationChanged() {
    for (Claim c : List.copyOf(claims.values())) {
      release(c);
    }
    takeover.incarnationChanged();
  }

  /** A live record has changed; null means that it is gone. */
  public void jobChanged(String id, JobTable.Entry before, JobTable.Entry entry) {
    takeover.jobChanged(before, entry);
    if (entry == null) {
      statistics.forgetRemote(id);
      learnedJobs.remove(id);
    } else if (learnedJobs.add(id)) {
      ranking.jobSeen(entry.record().spec());
      idleCapacity.arrived(entry.record());
    }
    Claim c = claims.get(id);
    if (c == null || entry != null && entry.revision() <= c.revision) {
      return;
    }
    if (entry == null || !entry.record().isClaimedBy(context.membership().ownIncarnation())) {
      release(c);
      return;
    }
    c.record = entry.record();
    c.revision = entry.revision();
    if (!c.open()) {
      wantPlacement.withdrawWants(c);
      claimWriter.declineAll(c);
    }
    reevaluate(c);
  }

  // ---- messages ----

  public void received(String from, Message message) {
    if (message instanceof MachineView v) {
      MachineTable.Entry old = machineTable.put(from, v, context.now());
      if (old != null && (!old.holder().equals(from) || old.view().token() != v.token())) {
        wantsLost(v.host());
      }
      reconciliation.viewReceived(machineTable.get(v.host()), claims);
      scheduleReevaluation();
    } else if (message instanceof Message.HoldReleased u) {
      if (machineTable.remove(from, u.host())) {
        wantsLost(u.host());
        scheduleReevaluation();
      }
    } else if (message instanceof Message.Offer o) {
      offerReceived(from, o);
    } else if (message instanceof Message.AttemptAbsent a) {
      Claim c = claims.get(a.job());
      LiveAttempt l = c == null ? null : c.liveAttempts.get(a.number());
      if (l != null
          && !l.ended
          && l.placement.attempt() == a.attempt()
          && l.placement.host().equals(a.host())) {
        reconciliation.attemptDenied(from, a, c, l);
      }
    } else if (message instanceof Message.JobProgress p) {
      statistics.progressReceived(p);
    }
  }

  private void offerReceived(String from, Message.Offer o) {
    Claim c = claims.get(o.job());
    if (c != null) {
      c.queuedWants.computeIfPresent(o.host(), (h, n) -> n > 1 ? n - 1 : null);
    }
    // While the state cannot be written an offer would only keep room from others.
    if (c == null
        || c.loading
        || !c.startable()
        || context.store().unavailable()
        || !context.standstill().current()) {
      context.peers().send(from, new Message.DeclineOffer(o.offerId(), o.host()));
    } else {
      c.offers.add(new ReceivedOffer(from, o, context.now()));
      claimWriter.scheduleFlush(c);
    }
  }

  /** A controller's link here is gone: what it told of its machines no longer holds. */
  public void peerDisconnected(String node) {
    for (String host : machineTable.removeAll(node)) {
      wantsLost(host);
    }
    scheduleReevaluation();
  }

  /** A controller can be reached again: all wants are parked anew with it. */
  public void peerConnected(String node) {
    capacitySubscription.peerConnected(node);
    for (MachineTable.Entry s : machineTable.all()) {
      if (s.holder().equals(node)) {
        wantsLost(s.view().host());
      }
    }
    scheduleReevaluation();
  }

  /** The hold record of a machine has changed; only its confirmed end matters here. */
  public void holdChanged(String host) {
    HoldTable.Hold hold = context.holds().recordOf(host);
    if (hold != null && hold.machineDeleted()) {
      for (Claim c : List.copyOf(claims.values())) {
        reconciliation.endAttemptsOn(c, host);
      }
    }
  }

  private void wantsLost(String host) {
    for (Claim c : claims.values()) {
      wantPlacement.wantsLost(c, host);
    }
  }

  // ---- time ----

  /** Looks at all claims shortly; changes that come together are looked at once. */
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
    List<Claim> all = new ArrayList<>(claims.values());
    all.sort(
        Comparator.comparing((Claim c) -> c.spec.priority())
            .thenComparing(c -> c.record.acceptedMs()));
    SearchThrottle.throttle(all);
    all.forEach(c -> context.decisionLock().run(() -> reevaluate(c)));
  }

  void reevaluate(Claim c) {
    if (c.released || c.loading) {
      return;
    }
    reconciliation.comparePending(c);
    claimWriter.flush(c);
    if (!c.released && !context.store().unavailable()) {
      wantPlacement.updateWants(c);
    }
  }

  /** Called several times a second. */
  public void tick() {
    double now = context.now();
    takeover.tick(now);
    reconciliation.tick();
    for (Claim c : List.copyOf(claims.values())) {
      // What cannot be done for one job is no reason to leave the others alone.
      context
          .decisionLock()
          .run(
              () -> {
                if (!c.startable() && !c.loading) {
                  stopAllAttempts(c, now);
                }
                reconciliation.recheckMissing(c);
                logIfStartOverdue(c);
              });
    }
    reevaluateAll();
    capacitySubscription.tick();
  }

  /** Names what the fleet has not served in time, once. */
  private void logIfStartOverdue(Claim c) {
    if (c.overdueLogged || c.loading || StartEscalation.startedOrClosed(c)) {
      return;
    }
    double ageS = c.ageS(context.timers().wallClockMs());
    if (ageS > context.tunables().beginS()) {
      c.overdueLogged = true;
      LOG.log(
          Level.INFO,
          "{0}, a {1} of {2}, has not begun after {3} s: its tasks take {4} CPUs, {5} GB, types {6}",
          c.id(),
          c.spec.jobClass(),
          c.spec.team(),
          Math.round(ageS),
          c.size.cpu(),
          c.size.ram(),
          c.spec.machineTypes());
    }
  }

  private void stopAllAttempts(Claim c, double now) {
    for (var e : c.liveAttempts.entrySet()) {
      LiveAttempt l = e.getValue();
      MachineTable.Entry s = machineTable.get(l.placement.host());
      if (s != null && now - l.stopSentAt > STOP_RETRY_S) {
        l.stopSentAt = now;
        context
            .peers()
            .send(
                s.holder(),
                new Message.StopTask(
                    l.placement.host(),
                    c.record.term(),
                    c.id(),
                    e.getKey(),
                    l.placement.attempt(),
                    0));
      }
    }
  }
}
