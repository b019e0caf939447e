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
 * The duties of this controller: takes those that nobody has, hands over what it cannot do, and
 * fences what is done for them. A write for a duty is conditional on the duty's record at its term;
 * a message to another controller names the term, and whoever has seen a higher one refuses it.
 */
public final class Duties {
  private static final System.Logger LOG = System.getLogger(Duties.class.getName());

  /** How long after a write for a duty's record the next is tried. */
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

  /** By how much the timers of controllers within reach are late, as they tell. */
  private final Map<String, Double> lags = new HashMap<>();

  private double lagS;

  /** What is known of one duty here. */
  private static final class Seat {
    DutyRecord post = DutyRecord.VACANT;

    /** The highest term that anybody has named; above that of the record while that lags. */
    long highest;

    double vacantSince = Double.NaN;
    double heldSince;
    double unfitSince = Double.NaN;
    boolean unable;
    boolean asking;

    /** Whom the write under way names. */
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

  private void shown(Duty duty, DutyRecord post) {
    Seat seat = seats.get(duty);
    boolean before = seat.post.heldBy(membership.self());
    double now = timers.now();
    if (post.vacant()) {
      seat.vacantSince = now;
    } else {
      if (!Double.isNaN(seat.vacantSince)) {
        seat.longestGapS = Math.max(seat.longestGapS, now - seat.vacantSince);
      }
      seat.vacantSince = Double.NaN;
    }
    seat.post = post;
    seat.highest = Math.max(seat.highest, post.term());
    boolean after = post.heldBy(membership.self());
    if (after) {
      seat.heldSince = now;
      seat.unfitSince = Double.NaN;
      seat.taken++;
      LOG.log(Level.INFO, "has the duty {0} in term {1}", duty.label(), post.term());
    } else if (before) {
      LOG.log(Level.INFO, "no longer has the duty {0}", duty.label());
    }
  }

  // ---- who has it ----

  /** The node that has the duty, or null. */
  public String holder(Duty duty) {
    DutyRecord post = seats.get(duty).post;
    return post.vacant() ? null : Membership.nodeOf(post.holder());
  }

  /** The term in which this controller may act for the duty now, or 0. */
  public long term(Duty duty) {
    Seat seat = seats.get(duty);
    boolean mine =
        seat.post.heldBy(membership.self())
            && seat.post.term() >= seat.highest
            && standstill.current();
    return mine ? seat.post.term() : 0;
  }

  /** Whether this controller may still act in that term. */
  public boolean holds(Duty duty, long term) {
    return term > 0 && term == term(duty);
  }

  /** Makes a write conditional on the duty: it fails once the duty has changed hands. */
  public Txn guard(Duty duty, long term, Txn txn) {
    return txn.when(duty.key(), term);
  }

  // ---- what others do for it ----

  /**
   * Whether an act that another controller asks for in a term is to be done; if a higher term is
   * known the sender is told so.
   */
  public boolean admits(Duty duty, long term, String from) {
    Seat seat = seats.get(duty);
    if (term < seat.highest) {
      seat.refused++;
      LOG.log(
          Level.INFO,
          "refuses {0} what it asks for the duty {1} in term {2}: term {3} is known",
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

  /** Another controller has seen this term: whoever acts in a lower one was replaced. */
  public void received(Message.DutyTerm m) {
    Duty duty = Duty.of(m.duty());
    if (duty != null) {
      Seat seat = seats.get(duty);
      seat.highest = Math.max(seat.highest, m.term());
    }
  }

  // ---- who shall have it ----

  /** A controller within reach tells by how much its timers are late. */
  public void load(String from, double lateS) {
    lags.put(from, lateS);
  }

  public void gone(String from) {
    lags.remove(from);
  }

  /**
   * Whether this controller can do the duty at present, as far as the duty itself goes: while it
   * cannot it takes none, and gives away what it has.
   */
  public void able(Duty duty, boolean able) {
    seats.get(duty).unable = !able;
  }

  /** Called several times a second. */
  public void tick(double lateS) {
    lagS = lateS;
    if (!standstill.current() || !replica.ready() || store.down()) {
      return;
    }
    String self = membership.self();
    // The least urgent first: it is what a controller with too many gives away.
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

          LOG.log(Level.INFO, "hands the duty {0} to {1}", duty.label(), step.to());
          write(duty, step.to());
        }
        case WAIT -> {}
      }
    }
  }

  /**
   * Whether nobody has the duty: there is no record, or it names an earlier life of a controller
   * that has come back before its lease ran out.
   */
  private boolean vacant(DutyRecord post) {
    if (post.vacant()) {
      return true;
    }
    String now = membership.incarnation(Membership.nodeOf(post.holder()));
    return now != null && !now.equals(post.holder());
  }

  private static double since(double at, double now) {
    return Double.isNaN(at) ? 0 : now - at;
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
      double late = own ? lagS : lags.getOrDefault(name, 0.0);
      all.add(new Election.Candidate(incarnation, duties, late, own || lags.containsKey(name)));
    }
    return all;
  }

  /**
   * Names an incarnation as holder, itself or another: on the condition of what is recorded now, be
   * it nothing, under the lease of the one named. If that lease has ended nothing is written.
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
        // One small write on which much waits; it goes out once for each change of hands.
        Store.Urgency.USER,
        done -> {
          if (done.ok()) {
            replica.apply(duty.key(), value, done.revision());
          }
          timers.after(PAUSE_S, () -> decisionLock.run(() -> seat.asking = false));
        });
  }

  /**
   * Hands over all duties at once, for this process is about to end: each to the best candidate, or
   * to nobody, so that whoever is first takes it.
   *
   * @param then runs when the state service has answered
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
        Election.Candidate to = Election.best(duty, live, self);
        if (to == null) {
          txn.remove(duty.key());
        } else {
          String mark = store.newMark();
          txn.put(
              duty.key(),
              DutyRecord.write(to.incarnation(), mark),
              Membership.leaseOf(to.incarnation()));
        }
      }
    }
    if (txn.changes() == 0) {
      then.run();
    } else {
      store.tryTxn(txn, Store.Urgency.USER, done -> then.run());
    }
  }

  // ---- for operators ----

  /** Whether this controller has the duty, as a number. */
  public int held(Duty duty) {
    return term(duty) > 0 ? 1 : 0;
  }

  /** How often this controller was given or took the duty. */
  public int taken(Duty duty) {
    return seats.get(duty).taken;
  }

  /** How often it handed the duty over for want of fitness or because it had too many. */
  public int handed(Duty duty) {
    return seats.get(duty).handed;
  }

  /** Acts that were refused here because a higher term was known. */
  public int refused(Duty duty) {
    return seats.get(duty).refused;
  }

  /** The longest time in milliseconds for which nobody was seen to have the duty. */
  public int longestGapMs(Duty duty) {
    return (int) Math.min(Integer.MAX_VALUE, Math.round(seats.get(duty).longestGapS * 1000));
  }
}
