package dev.dunefront.duty;

import dev.dunefront.net.DecisionLock;
import dev.dunefront.net.Timers;
import dev.dunefront.peer.Message;
import dev.dunefront.peer.Peers;
import dev.dunefront.store.Membership;
import dev.dunefront.store.Replica;
import dev.dunefront.store.Standstill;
import dev.dunefront.store.Store;
import dev.dunefront.store.Txn;
import dev.dunefront.wire.Doc;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The duties of this controller: acquires vacant duties, hands over those that it cannot perform,
 * and fences all operations for a duty by its term. A write for a duty is conditional on the duty's
 * record at that term; a message to another controller carries the term, and a receiver that knows
 * a higher one rejects it.
 */
public final class Duties {
  private static final System.Logger LOG = System.getLogger(Duties.class.getName());

  /** Pause after a write of a duty's record before the next one. */
  private static final double PAUSE_S = 0.5;

  private final String node;
  private final Store store;
  private final Replica replica;
  private final Membership membership;
  private final Peers peers;
  private final Timers timers;
  private final DecisionLock decisionLock;
  private final Standstill standstill;
  private final Map<Duty, Seat> seats = new EnumMap<>(Duty.class);

  /** Timer lag in seconds that each reachable controller reports, by node. */
  private final Map<String, Double> lags = new HashMap<>();

  private double lagS;

  /** This controller's view of one duty. */
  private static final class Seat {
    DutyRecord post = DutyRecord.VACANT;

    /** The highest known term; exceeds that of {@code post} while the replica lags. */
    long highest;

    double vacantSince = Double.NaN;
    double heldSince;
    double unfitSince = Double.NaN;
    boolean unable;
    boolean asking;

    /** The incarnation named as holder by the write in progress. */
    String givenTo;

    int refused;
    int taken;
    int handed;
    double longestGapS;
  }

  public Duties(
      String node,
      Store store,
      Replica replica,
      Membership membership,
      Peers peers,
      Timers timers,
      DecisionLock decisionLock,
      Standstill standstill) {
    this.node = node;
    this.store = store;
    this.replica = replica;
    this.membership = membership;
    this.peers = peers;
    this.timers = timers;
    this.decisionLock = decisionLock;
    this.standstill = standstill;
    for (Duty d : Duty.values()) {
      seats.put(d, new Seat());
      replica.listen(d.key(), (rest, value, stamp) -> shown(d, DutyRecord.read(value, stamp)));
    }
  }

  private void shown(Duty duty, DutyRecord current) {
    Seat seat = seats.get(duty);
    boolean heldBefore = seat.post.heldBy(membership.self());
    double now = timers.now();
    if (current.vacant()) {
      seat.vacantSince = now;
    } else {
      if (!Double.isNaN(seat.vacantSince)) {
        seat.longestGapS = Math.max(seat.longestGapS, now - seat.vacantSince);
      }
      seat.vacantSince = Double.NaN;
    }
    seat.post = current;
    seat.highest = Math.max(seat.highest, current.term());
    boolean heldNow = current.heldBy(membership.self());
    if (heldNow) {
      seat.heldSince = now;
      seat.unfitSince = Double.NaN;
      seat.taken++;
      LOG.log(Level.INFO, "acquired duty {0} in term {1}", duty.label(), current.term());
    } else if (heldBefore) {
      LOG.log(Level.INFO, "lost duty {0}", duty.label());
    }
  }

  // ---- holder and term ----

  /** The node that holds the duty, or null. */
  public String holder(Duty duty) {
    DutyRecord current = seats.get(duty).post;
    return current.vacant() ? null : Membership.nodeOf(current.holder());
  }

  /** The term in which this controller may perform the duty now, or 0 if it may not. */
  public long term(Duty duty) {
    Seat seat = seats.get(duty);
    boolean own =
        seat.post.heldBy(membership.self())
            && seat.post.term() >= seat.highest
            && standstill.current();
    return own ? seat.post.term() : 0;
  }

  /** Whether this controller may still perform the duty in that term. */
  public boolean holds(Duty duty, long term) {
    return term > 0 && term == term(duty);
  }

  /** Makes a write conditional on the term: it fails once the duty has another holder. */
  public Txn guard(Duty duty, long term, Txn txn) {
    return txn.when(duty.key(), term);
  }

  // ---- requests from holders ----

  /**
   * Whether to accept a request that another controller makes in a term of a duty. If a higher term
   * is known, the request is rejected and the sender is informed of that term.
   */
  public boolean admits(Duty duty, long term, String from) {
    Seat seat = seats.get(duty);
    if (term < seat.highest) {
      seat.refused++;
      LOG.log(
          Level.INFO,
          "rejected a request from {0} for duty {1} in term {2}: term {3} is known",
          from,
          duty.label(),
          term,
          seat.highest);
      peers.send(from, new Message.DutyTerm(duty.label(), seat.highest));
      return false;
    }
    seat.highest = term;
    return true;
  }

  /** Handles a term known to another controller; a holder in a lower term has been replaced. */
  public void received(Message.DutyTerm m) {
    Duty duty = Duty.of(m.duty());
    if (duty != null) {
      Seat seat = seats.get(duty);
      seat.highest = Math.max(seat.highest, m.term());
    }
  }

  // ---- election ----

  /** Records the timer lag that a reachable controller reports. */
  public void load(String from, double timerLagS) {
    lags.put(from, timerLagS);
  }

  /** Forgets the timer lag of a controller that is not reachable any more. */
  public void gone(String from) {
    lags.remove(from);
  }

  /**
   * Sets whether this controller can perform the duty at present. While it cannot, it does not
   * acquire the duty, and it hands it over if it holds it.
   */
  public void able(Duty duty, boolean able) {
    seats.get(duty).unable = !able;
  }

  /** Runs several times a second. */
  public void tick(double timerLagS) {
    lagS = timerLagS;
    if (!standstill.current() || !replica.ready() || store.down()) {
      return;
    }
    String self = membership.self();
    // The least urgent duty first: a controller with too many duties hands that one over.
    for (int i = Duty.values().length - 1; i >= 0; i--) {
      Duty duty = Duty.values()[i];
      Seat seat = seats.get(duty);
      if (seat.asking) {
        continue;
      }
      List<Election.Candidate> live = candidates();
      double now = timers.now();
      boolean vacant = vacant(seat.post);
      if (vacant && Double.isNaN(seat.vacantSince)) {
        seat.vacantSince = now;
      }
      if (!seat.unable && lagS < Election.UNFIT_LAG_S) {
        seat.unfitSince = Double.NaN;
      } else if (Double.isNaN(seat.unfitSince)) {
        seat.unfitSince = now;
      }
      Election.Step step =
          Election.next(
              new Election.Sight(
                  duty,
                  vacant ? DutyRecord.VACANT : seat.post,
                  self,
                  live,
                  since(seat.vacantSince, now),
                  now - seat.heldSince,
                  since(seat.unfitSince, now)));
      switch (step.kind()) {
        case TAKE -> {
          if (!seat.unable) {
            write(duty, self);
          }
        }
        case HAND_OVER -> {
          seat.handed++;
          LOG.log(Level.INFO, "handing over duty {0} to {1}", duty.label(), step.to());
          write(duty, step.to());
        }
        case WAIT -> {}
      }
    }
  }

  /**
   * Whether the duty has no holder: there is no record, or it names an earlier incarnation of a
   * controller that restarted before its lease expired.
   */
  private boolean vacant(DutyRecord current) {
    if (current.vacant()) {
      return true;
    }
    String incarnation = membership.incarnation(Membership.nodeOf(current.holder()));
    return incarnation != null && !incarnation.equals(current.holder());
  }

  /** Seconds since a time on the steady clock; 0 if that is NaN. */
  private static double since(double since, double now) {
    return Double.isNaN(since) ? 0 : now - since;
  }

  private List<Election.Candidate> candidates() {
    List<Election.Candidate> all = new ArrayList<>();
    for (String name : membership.liveNodes()) {
      String incarnation = membership.incarnation(name);
      int duties = 0;
      for (Seat seat : seats.values()) {
        String holder = seat.asking ? seat.givenTo : seat.post.holder();
        duties += incarnation.equals(holder) ? 1 : 0;
      }
      boolean own = name.equals(node);
      double timerLagS = own ? lagS : lags.getOrDefault(name, 0.0);
      all.add(
          new Election.Candidate(incarnation, duties, timerLagS, own || lags.containsKey(name)));
    }
    return all;
  }

  /**
   * Writes an incarnation, its own or another, as holder. The write is conditional on the current
   * record or its absence and attached to the named incarnation's lease; if that lease has expired,
   * nothing is written.
   */
  private void write(Duty duty, String incarnation) {
    Seat seat = seats.get(duty);
    seat.asking = true;
    seat.givenTo = incarnation;
    long term = seat.post.term();
    Doc value = DutyRecord.write(incarnation, store.newMark());
    long lease = Membership.leaseOf(incarnation);
    store.tryTxn(
        new Txn().when(duty.key(), term).put(duty.key(), value, lease),
        // A small write that much depends on, made once per change of holder; hence the priority.
        Store.Urgency.USER,
        done -> {
          if (done.ok()) {
            replica.apply(duty.key(), value, done.revision());
          }
          timers.after(PAUSE_S, () -> decisionLock.run(() -> seat.asking = false));
        });
  }

  /**
   * Hands over all duties before this process ends: each to the best candidate, or without one its
   * record is removed, so that any controller can acquire it.
   *
   * @param then runs when the state service has responded
   */
  public void leave(Runnable then) {
    String self = membership.self();
    List<Election.Candidate> live = candidates();
    Txn txn = new Txn();
    for (Duty duty : Duty.values()) {
      Seat seat = seats.get(duty);
      if (seat.post.heldBy(self)) {
        seat.asking = true;
        seat.highest++;
        txn.when(duty.key(), seat.post.term());
        Election.Candidate successor = Election.best(duty, live, self);
        if (successor == null) {
          txn.remove(duty.key());
        } else {
          String mark = store.newMark();
          txn.put(
              duty.key(),
              DutyRecord.write(successor.incarnation(), mark),
              Membership.leaseOf(successor.incarnation()));
        }
      }
    }
    if (txn.changes() == 0) {
      then.run();
    } else {
      store.tryTxn(txn, Store.Urgency.USER, done -> then.run());
    }
  }

  // ---- metrics ----

  /** 1 if this controller holds the duty, 0 otherwise. */
  public int held(Duty duty) {
    return term(duty) > 0 ? 1 : 0;
  }

  /** How often this controller acquired the duty, including by a hand-over. */
  public int taken(Duty duty) {
    return seats.get(duty).taken;
  }

  /** How often this controller handed the duty over, as unfit or to balance the duties. */
  public int handed(Duty duty) {
    return seats.get(duty).handed;
  }

  /** Number of requests rejected here because a higher term was known. */
  public int refused(Duty duty) {
    return seats.get(duty).refused;
  }

  /** The longest observed time without a holder, in milliseconds. */
  public int longestGapMs(Duty duty) {
    return (int) Math.min(Integer.MAX_VALUE, Math.round(seats.get(duty).longestGapS * 1000));
  }
}
