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
 * The jobs that this controller has claimed: claims them and gives them up, and hands what happens
 * to {@link WantPlacement}, which asks for room, {@link Recorder}, which writes what is placed and
 * what has ended, and {@link Reconciliation}, which finds out how attempts ended.
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

  /** Jobs whose size has been learned from. */
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

  /** What this controller asks the others to tell of their machines. */
  public RoomInterest interest() {
    return interest;
  }

  public Urgencies urgencies() {
    return urgencies;
  }

  /** What there is to tell of jobs. */
  public Account account() {
    return account;
  }

  // ---- claiming ----

  /** Whether a job may be claimed beside what is claimed already. */
  boolean admits(JobSpec spec) {
    return share.admits(spec, claims.values());
  }

  /** Whether a job that has just come may be claimed at once. */
  public boolean admitsAtOnce(JobSpec spec) {
    return share.admitsAtOnce(spec, claims.values());
  }

  /** Whether a claimed job like these has yet to begin. */
  boolean waitsAlike(Queue.Shape shape) {
    for (Claim c : claims.values()) {
      if (c.shape.equals(shape) && !Begin.begun(c)) {
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
    if (claims.containsKey(id) || e == null || !e.record().heldBy(context.membership().self())) {
      return;
    }
    Claim c = new Claim(e.record(), e.stamp(), context.tunables().reach(), context.now());
    c.halted = context.jobs().over(id);
    claims.put(c.id(), c);
    reconciliation.began(c);
    takeover.adopted(c.id());
    account.forget(c.id());
    if (fresh) {
      review(c);
    } else {
      loader.load(c);
    }
  }

  /** Reads the job's record anew, and with it whether the claim still stands. */
  void reload(Claim c) {
    loader.reload(c);
  }

  /** Gives a claim up: another controller has the job, or it is over. */
  void drop(Claim c) {
    c.dropped = true;
    reconciliation.ended(c);
    wantPlacement.withdraw(c);
    recorder.declineAll(c);
    claims.remove(c.id(), c);
  }

  /** Another controller has recorded that the job is to end. */
  public void cancelled(String id) {
    Claim c = claims.get(id);
    if (c != null && c.starts()) {
      c.halted = true;
      wantPlacement.withdraw(c);
      recorder.declineAll(c);
    }
  }

  /** The job's end is written. */
  void finished(Claim c, Status last, long revision) {
    c.dropped = true;
    reconciliation.ended(c);
    claims.remove(c.id(), c);
    wantPlacement.withdraw(c);
    recorder.declineAll(c);
    LOG.log(Level.INFO, "{0} is {1}", c.id(), last);
    context.jobs().finished(c.id(), last, revision);
    // Users ask anywhere; told so, nobody need read it.
    context.peers().broadcast(new Message.Ended(c.id(), last == Status.DONE));
  }

  /** Forgets all claims, for this controller has become another incarnation. */
  public void reborn() {
    for (Claim c : List.copyOf(claims.values())) {
      drop(c);
    }
    takeover.reborn();
  }

  /** A live record has changed; null means that it is gone. */
  public void jobChanged(String id, JobTable.Entry before, JobTable.Entry entry) {
    takeover.jobChanged(before, entry);
    if (entry == null) {
      account.forget(id);
      sized.remove(id);
    } else if (sized.add(id)) {
      urgencies.seen(entry.record().spec());
      idle.came(entry.record());
    }
    Claim c = claims.get(id);
    if (c == null || entry != null && entry.stamp() <= c.stamp) {
      return;
    }
    if (entry == null || !entry.record().heldBy(context.membership().self())) {
      drop(c);
      return;
    }
    c.record = entry.record();
    c.stamp = entry.stamp();
    if (!c.open()) {
      wantPlacement.withdraw(c);
      recorder.declineAll(c);
    }
    review(c);
  }

  // ---- messages ----

  public void received(String from, Message message) {
    if (message instanceof View v) {
      Room.Seen old = room.put(from, v, context.now());
      if (old != null && (!old.holder().equals(from) || old.view().token() != v.token())) {
        unpark(v.host());
      }
      reconciliation.heard(room.get(v.host()), claims);
      reviewSoon();
    } else if (message instanceof Message.Unheld u) {
      if (room.remove(from, u.host())) {
        unpark(u.host());
        reviewSoon();
      }
    } else if (message instanceof Message.Offer o) {
      offered(from, o);
    } else if (message instanceof Message.Absent a) {
      Claim c = claims.get(a.job());
      Live l = c == null ? null : c.live.get(a.number());
      if (l != null
          && !l.ending
          && l.placement.attempt() == a.attempt()
          && l.placement.host().equals(a.host())) {
        reconciliation.denied(from, a, c, l);
      }
    } else if (message instanceof Message.Progress p) {
      account.told(p);
    }
  }

  private void offered(String from, Message.Offer o) {
    Claim c = claims.get(o.job());
    if (c != null) {
      c.parked.computeIfPresent(o.host(), (h, n) -> n > 1 ? n - 1 : null);
    }
    // While the state cannot be written an offer would only keep room from others.
    if (c == null
        || c.loading
        || !c.starts()
        || context.store().down()
        || !context.standstill().current()) {
      context.peers().send(from, new Message.Decline(o.offer(), o.host()));
    } else {
      c.offers.add(new Held(from, o, context.now()));
      recorder.chooseSoon(c);
    }
  }

  /** A controller's link here is gone: what it told of its machines no longer holds. */
  public void gone(String node) {
    for (String host : room.removeAll(node)) {
      unpark(host);
    }
    reviewSoon();
  }

  /** A controller can be reached again: all wants are parked anew with it. */
  public void reached(String node) {
    interest.reached(node);
    for (Room.Seen s : room.all()) {
      if (s.holder().equals(node)) {
        unpark(s.view().host());
      }
    }
    reviewSoon();
  }

  /** The hold record of a machine has changed; only its confirmed end matters here. */
  public void holdChanged(String host) {
    Holds.Hold hold = context.holds().get(host);
    if (hold != null && hold.dead()) {
      for (Claim c : List.copyOf(claims.values())) {
        reconciliation.endAllOn(c, host);
      }
    }
  }

  private void unpark(String host) {
    for (Claim c : claims.values()) {
      wantPlacement.lostBook(c, host);
    }
  }

  // ---- time ----

  /** Looks at all claims shortly; changes that come together are looked at once. */
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
        Comparator.comparing((Claim c) -> c.spec.priority())
            .thenComparing(c -> c.record.acceptedMs()));
    Queue.line(all);
    all.forEach(c -> context.decisionLock().run(() -> review(c)));
  }

  void review(Claim c) {
    if (c.dropped || c.loading) {
      return;
    }
    reconciliation.readAgain(c);
    recorder.flush(c);
    if (!c.dropped && !context.store().down()) {
      wantPlacement.review(c);
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
                if (!c.starts() && !c.loading) {
                  stopAll(c, now);
                }
                reconciliation.lookAgain(c);
                sayIfLate(c);
              });
    }
    reviewAll();
    interest.tick();
  }

  /** Names what the fleet has not served in time, once. */
  private void sayIfLate(Claim c) {
    if (c.saidLate || c.loading || Begin.begun(c)) {
      return;
    }
    double ageS = c.ageS(context.timers().timeOfDayMs());
    if (ageS > context.tunables().beginS()) {
      c.saidLate = true;
      LOG.log(
          Level.INFO,
          "{0}, a {1} of {2}, has not begun after {3} s: its tasks take {4} CPUs, {5} GB, types {6}",
          c.id(),
          c.spec.jobClass(),
          c.spec.team(),
          Math.round(ageS),
          c.size.cpu(),
          c.size.ram(),
          c.spec.types());
    }
  }

  private void stopAll(Claim c, double now) {
    for (var e : c.live.entrySet()) {
      Live l = e.getValue();
      Room.Seen s = room.get(l.placement.host());
      if (s != null && now - l.stoppedAt > REPEAT_S) {
        l.stoppedAt = now;
        context
            .peers()
            .send(
                s.holder(),
                new Message.Stop(
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
