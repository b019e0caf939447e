package dev.dunefront.claim;

import dev.dunefront.book.Holds;
import dev.dunefront.claim.Claim.Held;
import dev.dunefront.claim.Claim.Live;
import dev.dunefront.job.JobRecord.Status;
import dev.dunefront.job.JobTable;
import dev.dunefront.peer.Message;
import dev.dunefront.peer.Message.View;
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
  private static final double REPEAT_S = 1.5;
  private static final double REVIEW_S = 0.02;

  private final ControllerContext context;
  private final Quotas quotas;
  private final Room room = new Room();
  private final RoomInterest interest;
  private final Turnover turnover;
  private final IdleRoom idle;
  private final WantPlacement wantPlacement;
  private final Recorder recorder;
  private final Reconciliation reconciliation;
  private final Urgencies urgencies;
  private final Zones zones;
  private final Map<String, Claim> claims = new HashMap<>();
  private final Takeover takeover;
  private final ClaimLoader loader;
  private final ClaimShare share;
  private final Account account;

  /** Ids of the jobs that the ranking and the arrival rate already include. */
  private final Set<String> sized = new HashSet<>();

  private boolean reviewing;

  public Claims(ControllerContext context) {
    this.context = context;
    urgencies = new Urgencies(context.settings());
    zones = new Zones(room);
    quotas = new Quotas(context.settings(), context.replica(), this::reviewSoon);
    turnover = new Turnover(context, room, this);
    idle = new IdleRoom(context, room);
    interest =
        new RoomInterest(
            context.peers(), context.timers(), () -> context.decisionLock().run(this::reviewSoon));
    wantPlacement =
        new WantPlacement(context, room, interest, idle, quotas, urgencies, zones, turnover);
    recorder = new Recorder(context, quotas, zones, wantPlacement, room, this);
    AttemptEnds ends = new AttemptEnds(context, room, urgencies, turnover);
    reconciliation = new Reconciliation(context, room, recorder, ends);
    takeover = new Takeover(context, this);
    loader = new ClaimLoader(context, this, reconciliation);
    share = new ClaimShare(context, room);
    account = new Account(context, claims, quotas, zones, room);
  }

  public Room room() {
    return room;
  }

  /** How much detail this controller requests about machines held by other controllers. */
  public RoomInterest interest() {
    return interest;
  }

  public Urgencies urgencies() {
    return urgencies;
  }

  /** Task counts and unmet demand of jobs. */
  public Account account() {
    return account;
  }

  // ---- claiming ----

  /** Whether a job may be claimed in addition to the present claims. */
  boolean admits(JobSpec spec) {
    return share.admits(spec, claims.values());
  }

  /** Whether a newly submitted job may be claimed immediately. */
  public boolean admitsAtOnce(JobSpec spec) {
    return share.admitsAtOnce(spec, claims.values());
  }

  /** Whether a claimed job of this equivalence class has not started yet. */
  boolean waitsAlike(Queue.Shape shape) {
    for (Claim claim : claims.values()) {
      if (claim.shape.equals(shape) && !Begin.begun(claim)) {
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
   * @param fresh whether no task of the job can have been placed yet
   */
  public void adopt(String id, boolean fresh) {
    JobTable.Entry entry = context.jobs().get(id);
    if (claims.containsKey(id)
        || entry == null
        || !entry.record().heldBy(context.membership().self())) {
      return;
    }
    Claim claim =
        new Claim(entry.record(), entry.stamp(), context.tunables().reach(), context.now());
    claim.halted = context.jobs().over(id);
    claims.put(claim.id(), claim);
    reconciliation.began(claim);
    takeover.adopted(claim.id());
    account.forget(claim.id());
    if (fresh) {
      review(claim);
    } else {
      loader.load(claim);
    }
  }

  /** Reads the job's record again and releases the claim if it is no longer valid. */
  void reload(Claim claim) {
    loader.reload(claim);
  }

  /** Releases a claim because another controller has claimed the job or the job has ended. */
  void drop(Claim claim) {
    claim.dropped = true;
    reconciliation.ended(claim);
    wantPlacement.withdraw(claim);
    recorder.declineAll(claim);
    claims.remove(claim.id(), claim);
  }

  /** Handles the notice that another controller has recorded the job's cancellation. */
  public void cancelled(String id) {
    Claim claim = claims.get(id);
    if (claim != null && claim.starts()) {
      claim.halted = true;
      wantPlacement.withdraw(claim);
      recorder.declineAll(claim);
    }
  }

  /** Releases the claim of a job whose final state has been recorded. */
  void finished(Claim claim, Status status, long revision) {
    claim.dropped = true;
    reconciliation.ended(claim);
    claims.remove(claim.id(), claim);
    wantPlacement.withdraw(claim);
    recorder.declineAll(claim);
    LOG.log(Level.INFO, "job {0} finished with status {1}", claim.id(), status);
    context.jobs().finished(claim.id(), status, revision);
    // Users may query any controller; the broadcast saves the others a read of the record.
    context.peers().broadcast(new Message.Ended(claim.id(), status == Status.DONE));
  }

  /** Releases all claims because this controller has become a new incarnation. */
  public void reborn() {
    for (Claim claim : List.copyOf(claims.values())) {
      drop(claim);
    }
    takeover.reborn();
  }

  /**
   * Handles a change of the record of an unfinished job.
   *
   * @param entry the new record; null if it has been removed
   */
  public void jobChanged(String id, JobTable.Entry before, JobTable.Entry entry) {
    takeover.jobChanged(before, entry);
    if (entry == null) {
      account.forget(id);
      sized.remove(id);
    } else if (sized.add(id)) {
      urgencies.seen(entry.record().spec());
      idle.came(entry.record());
    }
    Claim claim = claims.get(id);
    if (claim == null || entry != null && entry.stamp() <= claim.stamp) {
      return;
    }
    if (entry == null || !entry.record().heldBy(context.membership().self())) {
      drop(claim);
      return;
    }
    claim.record = entry.record();
    claim.stamp = entry.stamp();
    if (!claim.open()) {
      wantPlacement.withdraw(claim);
      recorder.declineAll(claim);
    }
    review(claim);
  }

  // ---- messages ----

  public void received(String from, Message message) {
    if (message instanceof View view) {
      Room.Seen old = room.put(from, view, context.now());
      if (old != null && (!old.holder().equals(from) || old.view().token() != view.token())) {
        unpark(view.host());
      }
      reconciliation.heard(room.get(view.host()), claims);
      reviewSoon();
    } else if (message instanceof Message.Unheld unheld) {
      if (room.remove(from, unheld.host())) {
        unpark(unheld.host());
        reviewSoon();
      }
    } else if (message instanceof Message.Offer offer) {
      offered(from, offer);
    } else if (message instanceof Message.Absent absent) {
      Claim claim = claims.get(absent.job());
      Live attempt = claim == null ? null : claim.live.get(absent.number());
      if (attempt != null
          && !attempt.ending
          && attempt.placement.attempt() == absent.attempt()
          && attempt.placement.host().equals(absent.host())) {
        reconciliation.denied(from, absent, claim, attempt);
      }
    } else if (message instanceof Message.Progress progress) {
      account.told(progress);
    }
  }

  private void offered(String from, Message.Offer offer) {
    Claim claim = claims.get(offer.job());
    if (claim != null) {
      claim.parked.computeIfPresent(offer.host(), (host, n) -> n > 1 ? n - 1 : null);
    }
    // While the state service is unavailable, a kept offer would only block capacity for others.
    if (claim == null
        || claim.loading
        || !claim.starts()
        || context.store().down()
        || !context.standstill().current()) {
      context.peers().send(from, new Message.Decline(offer.offer(), offer.host()));
    } else {
      claim.offers.add(new Held(from, offer, context.now()));
      recorder.chooseSoon(claim);
    }
  }

  /** Discards the views received from a controller whose connection is lost. */
  public void gone(String node) {
    for (String host : room.removeAll(node)) {
      unpark(host);
    }
    reviewSoon();
  }

  /** Queues all wants again at the machines of a controller that is reachable again. */
  public void reached(String node) {
    interest.reached(node);
    for (Room.Seen machine : room.all()) {
      if (machine.holder().equals(node)) {
        unpark(machine.view().host());
      }
    }
    reviewSoon();
  }

  /** Handles a change of a machine's hold record; only its confirmed deletion matters here. */
  public void holdChanged(String host) {
    Holds.Hold hold = context.holds().get(host);
    if (hold != null && hold.dead()) {
      for (Claim claim : List.copyOf(claims.values())) {
        reconciliation.endAllOn(claim, host);
      }
    }
  }

  private void unpark(String host) {
    for (Claim claim : claims.values()) {
      wantPlacement.lostBook(claim, host);
    }
  }

  // ---- time ----

  /** Schedules a reevaluation of all claims; changes that arrive meanwhile share it. */
  private void reviewSoon() {
    if (reviewing) {
      return;
    }
    reviewing = true;
    context.later(
        REVIEW_S,
        () -> {
          reviewing = false;
          reviewAll();
        });
  }

  private void reviewAll() {
    List<Claim> all = new ArrayList<>(claims.values());
    all.sort(
        Comparator.comparing((Claim claim) -> claim.spec.priority())
            .thenComparing(claim -> claim.record.acceptedMs()));
    Queue.line(all);
    all.forEach(claim -> context.decisionLock().run(() -> review(claim)));
  }

  void review(Claim claim) {
    if (claim.dropped || claim.loading) {
      return;
    }
    reconciliation.readAgain(claim);
    recorder.flush(claim);
    if (!claim.dropped && !context.store().down()) {
      wantPlacement.review(claim);
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
                if (!claim.starts() && !claim.loading) {
                  stopAll(claim, now);
                }
                reconciliation.lookAgain(claim);
                sayIfLate(claim);
              });
    }
    reviewAll();
    interest.tick();
  }

  /** Logs once that a job has not started within the configured time. */
  private void sayIfLate(Claim claim) {
    if (claim.saidLate || claim.loading || Begin.begun(claim)) {
      return;
    }
    double ageS = claim.ageS(context.timers().timeOfDayMs());
    if (ageS > context.tunables().beginS()) {
      claim.saidLate = true;
      LOG.log(
          Level.INFO,
          "job {0}, class {1}, team {2}, has not started after {3} s; each task needs {4} CPUs, {5} GB,"
              + " machine types {6}",
          claim.id(),
          claim.spec.jobClass(),
          claim.spec.team(),
          Math.round(ageS),
          claim.size.cpu(),
          claim.size.ram(),
          claim.spec.types());
    }
  }

  private void stopAll(Claim claim, double now) {
    for (var entry : claim.live.entrySet()) {
      Live attempt = entry.getValue();
      Room.Seen machine = room.get(attempt.placement.host());
      if (machine != null && now - attempt.stoppedAt > REPEAT_S) {
        attempt.stoppedAt = now;
        context
            .peers()
            .send(
                machine.holder(),
                new Message.Stop(
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
