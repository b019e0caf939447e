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
 * The duties of this controller: acquires vacant duties, hands over those that it cannot perform,
 * and fences all operations for a duty by its term. A write for a duty is conditional on the duty's
 * record at that term; a message to another controller carries the term, and a receiver that knows
 * a higher one rejects it.
 */
public final class Duties {
  private static final System.Logger LOG = System.getLogger(Duties.class.getName());

  /** Pause after a write of a duty's record before the next one. */
  private static final double WRITE_INTERVAL_S = 0.5;

  private final String node;
  private final StateStore store;
  private final Replica replica;
  private final Membership membership;
  private final Peers peers;
  private final Timers timers;
  private final DecisionLock decisionLock;
  private final PauseDetector pauseDetector;
  private final Map<Duty, DutyState> states = new EnumMap<>(Duty.class);

  /** Timer lag in seconds that each reachable controller reports, by node. */
  private final Map<String, Double> timerLagByNode = new HashMap<>();

  private double ownTimerLagS;

  /** This controller's view of one duty. */
  private static final class DutyState {
    DutyRecord record = DutyRecord.VACANT;

    /** The highest known term; exceeds that of {@code record} while the replica lags. */
    long highestTerm;

    double vacantSince = Double.NaN;
    double heldSince;
    double unfitSince = Double.NaN;
    boolean incapable;
    boolean writePending;

    /** The incarnation named as holder by the write in progress. */
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
      PauseDetector pauseDetector) {
    this.node = node;
    this.store = store;
    this.replica = replica;
    this.membership = membership;
    this.peers = peers;
    this.timers = timers;
    this.decisionLock = decisionLock;
    this.pauseDetector = pauseDetector;
    for (Duty d : Duty.values()) {
      states.put(d, new DutyState());
      replica.addListener(
          d.key(), (suffix, value, revision) -> recordChanged(d, DutyRecord.read(value, revision)));
    }
  }

  private void recordChanged(Duty duty, DutyRecord current) {
    DutyState state = states.get(duty);
    boolean heldBefore = state.record.heldBy(membership.ownIncarnation());
    double now = timers.now();
    if (current.vacant()) {
      state.vacantSince = now;
    } else {
      if (!Double.isNaN(state.vacantSince)) {
        state.longestVacancyS = Math.max(state.longestVacancyS, now - state.vacantSince);
      }
      state.vacantSince = Double.NaN;
    }
    state.record = current;
    state.highestTerm = Math.max(state.highestTerm, current.term());
    boolean heldNow = current.heldBy(membership.ownIncarnation());
    if (heldNow) {
      state.heldSince = now;
      state.unfitSince = Double.NaN;
      state.acquisitions++;
      LOG.log(Level.INFO, "acquired duty {0} in term {1}", duty.label(), current.term());
    } else if (heldBefore) {
      LOG.log(Level.INFO, "lost duty {0}", duty.label());
    }
  }

  // ---- holder and term ----

  /** The node that holds the duty, or null. */
  public String holder(Duty duty) {
    DutyRecord current = states.get(duty).record;
    return current.vacant() ? null : Membership.nodeOf(current.holder());
  }

  /** The term in which this controller may perform the duty now, or 0 if it may not. */
  public long term(Duty duty) {
    DutyState state = states.get(duty);
    boolean own =
        state.record.heldBy(membership.ownIncarnation())
            && state.record.term() >= state.highestTerm
            && pauseDetector.current();
    return own ? state.record.term() : 0;
  }

  /** Whether this controller may still perform the duty in that term. */
  public boolean holds(Duty duty, long term) {
    return term > 0 && term == term(duty);
  }

  /** Makes a write conditional on the term: it fails once the duty has another holder. */
  public Txn guard(Duty duty, long term, Txn txn) {
    return txn.requireRevision(duty.key(), term);
  }

  // ---- requests from holders ----

  /**
   * Whether to accept a request that another controller makes in a term of a duty. If a higher term
   * is known, the request is rejected and the sender is informed of that term.
   */
  public boolean accepts(Duty duty, long term, String from) {
    DutyState state = states.get(duty);
    if (term < state.highestTerm) {
      state.refusals++;
      LOG.log(
          Level.INFO,
          "rejected a request from {0} for duty {1} in term {2}: term {3} is known",
          from,
          duty.label(),
          term,
          state.highestTerm);
      peers.send(from, new Message.DutyTerm(duty.label(), state.highestTerm));
      return false;
    }
    state.highestTerm = term;
    return true;
  }

  /** Handles a term known to another controller; a holder in a lower term has been replaced. */
  public void receive(Message.DutyTerm m) {
    Duty duty = Duty.ofLabel(m.duty());
    if (duty != null) {
      DutyState state = states.get(duty);
      state.highestTerm = Math.max(state.highestTerm, m.term());
    }
  }

  // ---- election ----

  /** Records the timer lag that a reachable controller reports. */
  public void recordTimerLag(String from, double timerLagS) {
    timerLagByNode.put(from, timerLagS);
  }

  /** Removes the timer lag of a controller that is not reachable any more. */
  public void peerDisconnected(String from) {
    timerLagByNode.remove(from);
  }

  /**
   * Sets whether this controller can perform the duty at present. While it cannot, it does not
   * acquire the duty, and it hands it over if it holds it.
   */
  public void setCapable(Duty duty, boolean capable) {
    states.get(duty).incapable = !capable;
  }

  /** Runs several times a second. */
  public void tick(double timerLagS) {
    ownTimerLagS = timerLagS;
    if (!pauseDetector.current() || !replica.ready() || store.unavailable()) {
      return;
    }
    String self = membership.ownIncarnation();
    // The least urgent duty first: a controller with too many duties hands that one over.
    for (int i = Duty.values().length - 1; i >= 0; i--) {
      Duty duty = Duty.values()[i];
      DutyState state = states.get(duty);
      if (state.writePending) {
        continue;
      }
      List<ElectionPolicy.Candidate> live = candidates();
      double now = timers.now();
      boolean vacant = vacant(state.record);
      if (vacant && Double.isNaN(state.vacantSince)) {
        state.vacantSince = now;
      }
      if (!state.incapable && ownTimerLagS < ElectionPolicy.UNFIT_TIMER_LAG_S) {
        state.unfitSince = Double.NaN;
      } else if (Double.isNaN(state.unfitSince)) {
        state.unfitSince = now;
      }
      ElectionPolicy.Decision decision =
          ElectionPolicy.decide(
              new ElectionPolicy.Observation(
                  duty,
                  vacant ? DutyRecord.VACANT : state.record,
                  self,
                  live,
                  elapsed(state.vacantSince, now),
                  now - state.heldSince,
                  elapsed(state.unfitSince, now)));
      switch (decision.kind()) {
        case TAKE -> {
          if (!state.incapable) {
            writeHolder(duty, self);
          }
        }
        case HAND_OVER -> {
          state.handovers++;
          LOG.log(Level.INFO, "handing over duty {0} to {1}", duty.label(), decision.newHolder());
          writeHolder(duty, decision.newHolder());
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
    String incarnation = membership.liveIncarnation(Membership.nodeOf(current.holder()));
    return incarnation != null && !incarnation.equals(current.holder());
  }

  /** Seconds since a time on the steady clock; 0 if that is NaN. */
  private static double elapsed(double since, double now) {
    return Double.isNaN(since) ? 0 : now - since;
  }

  private List<ElectionPolicy.Candidate> candidates() {
    List<ElectionPolicy.Candidate> all = new ArrayList<>();
    for (String name : membership.liveNodes()) {
      String incarnation = membership.liveIncarnation(name);
      int duties = 0;
      for (DutyState state : states.values()) {
        String holder = state.writePending ? state.pendingHolder : state.record.holder();
        duties += incarnation.equals(holder) ? 1 : 0;
      }
      boolean own = name.equals(node);
      double timerLagS = own ? ownTimerLagS : timerLagByNode.getOrDefault(name, 0.0);
      all.add(
          new ElectionPolicy.Candidate(
              incarnation, duties, timerLagS, own || timerLagByNode.containsKey(name)));
    }
    return all;
  }

  /**
   * Writes an incarnation, its own or another, as holder. The write is conditional on the current
   * record or its absence and attached to the named incarnation's lease; if that lease has expired,
   * nothing is written.
   */
  private void writeHolder(Duty duty, String incarnation) {
    DutyState state = states.get(duty);
    state.writePending = true;
    state.pendingHolder = incarnation;
    long term = state.record.term();
    Document value = DutyRecord.write(incarnation, store.newWriteId());
    long lease = Membership.leaseIdOf(incarnation);
    store.tryTxn(
        new Txn().requireRevision(duty.key(), term).put(duty.key(), value, lease),
        // A small write that much depends on, made once per change of holder; hence the priority.
        StateStore.RequestPriority.USER,
        done -> {
          if (done.ok()) {
            replica.apply(duty.key(), value, done.revision());
          }
          timers.after(WRITE_INTERVAL_S, () -> decisionLock.run(() -> state.writePending = false));
        });
  }

  /**
   * Hands over all duties before this process ends: each to the best candidate, or without one its
   * record is removed, so that any controller can acquire it.
   *
   * @param then runs when the state service has responded
   */
  public void releaseAll(Runnable then) {
    String self = membership.ownIncarnation();
    List<ElectionPolicy.Candidate> live = candidates();
    Txn txn = new Txn();
    for (Duty duty : Duty.values()) {
      DutyState state = states.get(duty);
      if (state.record.heldBy(self)) {
        state.writePending = true;
        state.highestTerm++;
        txn.requireRevision(duty.key(), state.record.term());
        ElectionPolicy.Candidate successor = ElectionPolicy.bestSuccessor(duty, live, self);
        if (successor == null) {
          txn.remove(duty.key());
        } else {
          String writeId = store.newWriteId();
          txn.put(
              duty.key(),
              DutyRecord.write(successor.incarnation(), writeId),
              Membership.leaseIdOf(successor.incarnation()));
        }
      }
    }
    if (txn.writeCount() == 0) {
      then.run();
    } else {
      store.tryTxn(txn, StateStore.RequestPriority.USER, done -> then.run());
    }
  }

  // ---- metrics ----

  /** 1 if this controller holds the duty, 0 otherwise. */
  public int held(Duty duty) {
    return term(duty) > 0 ? 1 : 0;
  }

  /** How often this controller acquired the duty, including by a hand-over. */
  public int acquisitions(Duty duty) {
    return states.get(duty).acquisitions;
  }

  /** How often this controller handed the duty over, as unfit or to balance the duties. */
  public int handovers(Duty duty) {
    return states.get(duty).handovers;
  }

  /** Number of requests rejected here because a higher term was known. */
  public int refusals(Duty duty) {
    return states.get(duty).refusals;
  }

  /** The longest observed time without a holder, in milliseconds. */
  public int longestVacancyMs(Duty duty) {
    return (int) Math.min(Integer.MAX_VALUE, Math.round(states.get(duty).longestVacancyS * 1000));
  }
}
