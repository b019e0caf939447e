package dev.dunefront.duty;

import java.util.Comparator;
import java.util.List;

/**
 * Decides whether a controller acquires, keeps or hands over a duty, from its own observation. If
 * several controllers decide at once, the state service accepts only one write: a record is created
 * on the condition that none exists, and replaced on the condition of its revision.
 */
final class ElectionPolicy {
  /** Additional wait per rank, so that candidates seldom compete. */
  static final double RANK_DELAY_S = 0.3;

  /** A candidate with at least this timer lag ranks after all others. */
  static final double SLOW_TIMER_LAG_S = 0.4;

  /**
   * A holder with at least this timer lag is unfit. Well above {@link #SLOW_TIMER_LAG_S}, since the
   * load of the duty itself delays the timers of a small controller now and then, whichever holds
   * it.
   */
  static final double UNFIT_TIMER_LAG_S = 1;

  /** A holder that has been unfit for longer than this hands the duty over. */
  static final double UNFIT_HANDOVER_DELAY_S = 4;

  /** Minimum time for which a duty is held; without it, a duty could circulate endlessly. */
  static final double MIN_HELD_S = 20;

  private ElectionPolicy() {}

  /**
   * A live controller.
   *
   * @param dutyCount number of duties that it holds
   * @param timerLagS timer lag that it reports, in seconds
   * @param reachable whether it is reachable from this controller
   */
  record Candidate(String incarnation, int dutyCount, double timerLagS, boolean reachable) {
    boolean slow() {
      return timerLagS >= SLOW_TIMER_LAG_S;
    }
  }

  /**
   * This controller's view of one duty.
   *
   * @param self this incarnation, or null while it has no lease
   * @param liveControllers all live controllers, including this one
   * @param vacantS for how long the duty has had no holder
   * @param heldS for how long this controller has held it
   * @param unfitS for how long this controller has been unfit to perform it
   */
  record Observation(
      Duty duty,
      DutyRecord dutyRecord,
      String self,
      List<Candidate> liveControllers,
      double vacantS,
      double heldS,
      double unfitS) {}

  /**
   * The decision: wait, take the duty, or hand it over.
   *
   * @param newHolder incarnation to hand the duty over to; null for the other kinds
   */
  record Decision(Kind kind, String newHolder) {
    enum Kind {
      WAIT,
      TAKE,
      HAND_OVER
    }

    static final Decision WAIT = new Decision(Kind.WAIT, null);
    static final Decision TAKE = new Decision(Kind.TAKE, null);
  }

  static Decision decide(Observation observation) {
    if (observation.self == null) {
      return Decision.WAIT;
    }
    if (observation.dutyRecord.vacant()) {
      int rank = rank(observation);
      return rank >= 0 && observation.vacantS >= rank * RANK_DELAY_S
          ? Decision.TAKE
          : Decision.WAIT;
    }
    if (!observation.dutyRecord.heldBy(observation.self) || observation.heldS < MIN_HELD_S) {
      return Decision.WAIT;
    }
    Candidate own = findCandidate(observation.liveControllers, observation.self);
    Candidate best = bestSuccessor(observation.duty, observation.liveControllers, observation.self);
    if (own == null || best == null) {
      return Decision.WAIT;
    }
    boolean unfit = observation.unfitS > UNFIT_HANDOVER_DELAY_S;
    boolean overloaded = own.dutyCount >= best.dutyCount + 2;
    return unfit || overloaded
        ? new Decision(Decision.Kind.HAND_OVER, best.incarnation)
        : Decision.WAIT;
  }

  /** The best reachable controller without notable timer lag to hand the duty over to, or null. */
  static Candidate bestSuccessor(Duty duty, List<Candidate> live, String self) {
    return live.stream()
        .filter(c -> !c.incarnation.equals(self) && c.reachable && !c.slow())
        .min(candidateOrder(duty))
        .orElse(null);
  }

  /** This controller's rank among the live controllers, or -1 if it is not one of them. */
  private static int rank(Observation observation) {
    Candidate own = findCandidate(observation.liveControllers, observation.self);
    if (own == null) {
      return -1;
    }
    Comparator<Candidate> order = candidateOrder(observation.duty);
    return (int)
        observation.liveControllers.stream().filter(c -> order.compare(c, own) < 0).count();
  }

  private static Candidate findCandidate(List<Candidate> live, String incarnation) {
    return live.stream().filter(c -> c.incarnation.equals(incarnation)).findFirst().orElse(null);
  }

  /** Orders by timer lag, then by number of duties, then by a hash of duty and incarnation. */
  private static Comparator<Candidate> candidateOrder(Duty duty) {
    return Comparator.comparing(Candidate::slow)
        .thenComparing(Candidate::dutyCount)
        .thenComparing(c -> tieBreak(duty, c.incarnation))
        .thenComparing(Candidate::incarnation);
  }

  private static int tieBreak(Duty duty, String incarnation) {
    int hash = (duty.label() + "@" + incarnation).hashCode() * 0x9E3779B9;
    hash ^= hash >>> 15;
    return hash * 0x85EBCA6B;
  }
}
