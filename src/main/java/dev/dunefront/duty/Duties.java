package dev.dunefront.duty;

import dev.dunefront.net.DecisionLock;
import dev.dunefront.net.Timers;
import dev.dunefront.peer.Message;
import dev.dunefront.peer.Peers;
import dev.dunefront.store.Membership;
import dev.dunefront.store.PauseDetector;
import dev.dunefront.store.Replica;
import dev.dunefront.store.StateStore;
import dev.dunefront.store.Txn;
import dev.dunefront.wire.Document;
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
  private static final double WRITE_INTERVAL_S = 0.5;

  private final String node;
  private final StateStore store;
  private final Replica replica;
  private final Membership membership;
  private final Peers peers;
  private final Timers timers;
  private final DecisionLock decisionLock;
  private final PauseDetector standstill;
  private final Map<Duty, DutyState> states = new EnumMap<>(Duty.class);

  /** By how much the timers of controllers within reach are late, as they tell. */
  private final Map<String, Double> timerLagByNode = new HashMap<>();

  private double ownTimerLagS;

  /** What is known of one duty here. */
  private static final class DutyState {
    DutyRecord record = DutyRecord.VACANT;

    /** The highest term that anybody has named; above that of the record while that lags. */
    long highestTerm;

    double vacantSince = Double.NaN;
    double heldSince;
    double unfitSince = Double.NaN;
    boolean incapable;
    boolean writePending;

    /** Whom the write under way names. */
    String pendingHolder;

    int refusals;
    int acquisitions;
    int handovers;
    double longestVacancyS;
  }

  public Duties(
      String node,
      StateStore store,
      Replica replica,
      Membership membership,
      Peers peers,
      Timers timers,
      DecisionLock decisionLock,
      PauseDetector standstill) {
    this.node = node;
    this.store = store;
    this.replica = replica;
    this.membership = membership;
    this.peers = peers;
    this.timers = timers;
    this.decisionLock = decisionLock;
    this.standstill = standstill;
    for (Duty d : Duty.values()) {
      states.put(d, new DutyState());
      replica.addListener(
          d.key(), (rest, value, stamp) -> recordChanged(d, DutyRecord.read(value, stamp)));
    }
  }

  private void recordChanged(Duty duty, DutyRecord post) {
    DutyState seat = states.get(duty);
    boolean before = seat.record.heldBy(membership.ownIncarnation());
    double now = timers.now();
    if (post.vacant()) {
      seat.vacantSince = now;
    } else {
      if (!Double.isNaN(seat.vacantSince)) {
        seat.longestVacancyS = Math.max(seat.longestVacancyS, now - seat.vacantSince);
      }
      seat.vacantSince = Double.NaN;
    }
    seat.record = post;
    seat.highestTerm = Math.max(seat.highestTerm, post.term());
    boolean after = post.heldBy(membership.ownIncarnation());
    if (after) {
      seat.heldSince = now;
      seat.unfitSince = Double.NaN;
      seat.acquisitions++;
      LOG.log(Level.INFO, "has the duty {0} in term {1}", duty.label(), post.term());
    } else if (before) {
      LOG.log(Level.INFO, "no longer has the duty {0}", duty.label());
    }
  }

  // ---- who has it ----

  /** The node that has the duty, or null. */
  public String holder(Duty duty) {
    DutyRecord post = states.get(duty).record;
    return post.vacant() ? null : Membership.nodeOf(post.holder());
  }

  /** The term in which this controller may act for the duty now, or 0. */
  public long term(Duty duty) {
    DutyState seat = states.get(duty);
    boolean mine =
        seat.record.heldBy(membership.ownIncarnation())
            && seat.record.term() >= seat.highestTerm
            && standstill.current();
    return mine ? seat.record.term() : 0;
  }

  /** Whether this controller may still act in that term. */
  public boolean holds(Duty duty, long term) {
    return term > 0 && term == term(duty);
  }

  /** Makes a write conditional on the duty: it fails once the duty has changed hands. */
  public Txn guard(Duty duty, long term, Txn txn) {
    return txn.requireRevision(duty.key(), term);
  }

  // ---- what others do for it ----

  /**
   * Whether an act that another controller asks for in a term is to be done; if a higher term is
   * known the sender is told so.
   */
  public boolean accepts(Duty duty, long term, String from) {
    DutyState seat = states.get(duty);
    if (term < seat.highestTerm) {
      seat.refusals++;
      LOG.log(
          Level.INFO,
          "refuses {0} what it asks for the duty {1} in term {2}: term {3} is known",
          from,
          duty.label(),
          term,
          seat.highestTerm);
      peers.send(from, new Message.DutyTerm(duty.label(), seat.highestTerm));
      return false;
    }
    seat.highestTerm = term;
    return true;
  }

  /** Another controller has seen this term: whoever acts in a lower one was replaced. */
  public void receive(Message.DutyTerm m) {
    Duty duty = Duty.ofLabel(m.duty());
    if (duty != null) {
      DutyState seat = states.get(duty);
      seat.highestTerm = Math.max(seat.highestTerm, m.term());
    }
  }

  // ---- who shall have it ----

  /** A controller within reach tells by how much its timers are late. */
  public void recordTimerLag(String from, double lateS) {
    timerLagByNode.put(from, lateS);
  }

  public void peerDisconnected(String from) {
    timerLagByNode.remove(from);
  }

  /**
   * Whether this controller can do the duty at present, as far as the duty itself goes: while it
   * cannot it takes none, and gives away what it has.
   */
  public void setCapable(Duty duty, boolean able) {
    states.get(duty).incapable = !able;
  }

  /** Called several times a second. */
  public void tick(double lateS) {
    ownTimerLagS = lateS;
    if (!standstill.current() || !replica.ready() || store.unavailable()) {
      return;
    }
    String self = membership.ownIncarnation();
    // The least urgent first: it is what a controller with too many gives away.
    for (int i = Duty.values().length - 1; i >= 0; i--) {
      Duty duty = Duty.values()[i];
      DutyState seat = states.get(duty);
      if (seat.writePending) {
        continue;
      }
      List<ElectionPolicy.Candidate> live = candidates();
      double now = timers.now();
      boolean vacant = vacant(seat.record);
      if (vacant && Double.isNaN(seat.vacantSince)) {
        seat.vacantSince = now;
      }
      if (!seat.incapable && ownTimerLagS < ElectionPolicy.UNFIT_TIMER_LAG_S) {
        seat.unfitSince = Double.NaN;
      } else if (Double.isNaN(seat.unfitSince)) {
        seat.unfitSince = now;
      }
      ElectionPolicy.Decision step =
          ElectionPolicy.decide(
              new ElectionPolicy.Observation(
                  duty,
                  vacant ? DutyRecord.VACANT : seat.record,
                  self,
                  live,
                  elapsed(seat.vacantSince, now),
                  now - seat.heldSince,
                  elapsed(seat.unfitSince, now)));
      switch (step.kind()) {
        case TAKE -> {
          if (!seat.incapable) {
            writeHolder(duty, self);
          }
        }
        case HAND_OVER -> {
          seat.handovers++;

          LOG.log(Level.INFO, "hands the duty {0} to {1}", duty.label(), step.newHolder());
          writeHolder(duty, step.newHolder());
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
    String now = membership.liveIncarnation(Membership.nodeOf(post.holder()));
    return now != null && !now.equals(post.holder());
  }

  private static double elapsed(double at, double now) {
    return Double.isNaN(at) ? 0 : now - at;
  }

  private List<ElectionPolicy.Candidate> candidates() {
    List<ElectionPolicy.Candidate> all = new ArrayList<>();
    for (String name : membership.liveNodes()) {
      String incarnation = membership.liveIncarnation(name);
      int duties = 0;
      for (DutyState seat : states.values()) {
        String holder = seat.writePending ? seat.pendingHolder : seat.record.holder();
        duties += incarnation.equals(holder) ? 1 : 0;
      }
      boolean own = name.equals(node);
      double late = own ? ownTimerLagS : timerLagByNode.getOrDefault(name, 0.0);
      all.add(
          new ElectionPolicy.Candidate(
              incarnation, duties, late, own || timerLagByNode.containsKey(name)));
    }
    return all;
  }

  /**
   * Names an incarnation as holder, itself or another: on the condition of what is recorded now, be
   * it nothing, under the lease of the one named. If that lease has ended nothing is written.
   */
  private void writeHolder(Duty duty, String incarnation) {
    DutyState seat = states.get(duty);
    seat.writePending = true;
    seat.pendingHolder = incarnation;
    long term = seat.record.term();
    Document value = DutyRecord.write(incarnation, store.newWriteId());
    long lease = Membership.leaseIdOf(incarnation);
    store.tryTxn(
        new Txn().requireRevision(duty.key(), term).put(duty.key(), value, lease),
        // One small write on which much waits; it goes out once for each change of hands.
        StateStore.RequestPriority.USER,
        done -> {
          if (done.ok()) {
            replica.apply(duty.key(), value, done.revision());
          }
          timers.after(WRITE_INTERVAL_S, () -> decisionLock.run(() -> seat.writePending = false));
        });
  }

  /**
   * Hands over all duties at once, for this process is about to end: each to the best candidate, or
   * to nobody, so that whoever is first takes it.
   *
   * @param then runs when the state service has answered
   */
  public void releaseAll(Runnable then) {
    String self = membership.ownIncarnation();
    List<ElectionPolicy.Candidate> live = candidates();
    Txn txn = new Txn();
    for (Duty duty : Duty.values()) {
      DutyState seat = states.get(duty);
      if (seat.record.heldBy(self)) {
        seat.writePending = true;
        seat.highestTerm++;
        txn.requireRevision(duty.key(), seat.record.term());
        ElectionPolicy.Candidate to = ElectionPolicy.bestSuccessor(duty, live, self);
        if (to == null) {
          txn.remove(duty.key());
        } else {
          String mark = store.newWriteId();
          txn.put(
              duty.key(),
              DutyRecord.write(to.incarnation(), mark),
              Membership.leaseIdOf(to.incarnation()));
        }
      }
    }
    if (txn.writeCount() == 0) {
      then.run();
    } else {
      store.tryTxn(txn, StateStore.RequestPriority.USER, done -> then.run());
    }
  }

  // ---- for operators ----

  /** Whether this controller has the duty, as a number. */
  public int held(Duty duty) {
    return term(duty) > 0 ? 1 : 0;
  }

  /** How often this controller was given or took the duty. */
  public int acquisitions(Duty duty) {
    return states.get(duty).acquisitions;
  }

  /** How often it handed the duty over for want of fitness or because it had too many. */
  public int handovers(Duty duty) {
    return states.get(duty).handovers;
  }

  /** Acts that were refused here because a higher term was known. */
  public int refusals(Duty duty) {
    return states.get(duty).refusals;
  }

  /** The longest time in milliseconds for which nobody was seen to have the duty. */
  public int longestVacancyMs(Duty duty) {
    return (int) Math.min(Integer.MAX_VALUE, Math.round(states.get(duty).longestVacancyS * 1000));
  }
}
