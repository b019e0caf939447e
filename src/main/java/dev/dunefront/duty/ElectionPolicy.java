package dev.dunefront.duty;

import java.util.Comparator;
import java.util.List;

/**
 * What a controller does about a duty, from what it sees. Whatever several decide at once, the
 * state service lets one of them through: a record is taken on the condition that there is none,
 * and handed over on the condition of its stamp.
 */
final class ElectionPolicy {
  /** How much longer each next candidate waits, so that the first is seldom contested. */
  static final double RANK_DELAY_S = 0.3;

  /** A candidate whose timers are so late comes after all that keep up. */
  static final double SLOW_TIMER_LAG_S = 0.4;

  /**
   * A holder whose timers are so late cannot do its duty. Well above {@link #SLOW_TIMER_LAG_S}:
   * what the duty itself costs makes a small controller late now and then, wherever it is.
   */
  static final double UNFIT_TIMER_LAG_S = 1;

  /** A holder that cannot do its duty gives it away after this time. */
  static final double UNFIT_HANDOVER_DELAY_S = 4;

  /** A duty is kept at least so long before it is given away, or it would go round for ever. */
  static final double MIN_HELD_S = 20;

  private ElectionPolicy() {}

  /**
   * A living controller.
   *
   * @param dutyCount how many duties it has
   * @param timerLagS by how much its timers are late, as it tells
   * @param reachable whether it can be reached from here
   */
  record Candidate(String incarnation, int dutyCount, double timerLagS, boolean reachable) {
    boolean slow() {
      return timerLagS >= SLOW_TIMER_LAG_S;
    }
  }

  /**
   * What is seen of one duty.
   *
   * @param self this incarnation, or null while it has no lease
   * @param liveControllers all living controllers, this one among them
   * @param vacantS for how long nobody has had it
   * @param heldS for how long this controller has had it
   * @param unfitS for how long this controller could not do it
   */
  record Observation(
      Duty duty,
      DutyRecord dutyRecord,
      String self,
      List<Candidate> liveControllers,
      double vacantS,
      double heldS,
      double unfitS) {}

  /** What to do: nothing, take the duty, or hand it to another incarnation. */
  record Decision(Kind kind, String newHolder) {
    enum Kind {
      WAIT,
      TAKE,
      HAND_OVER
    }

    static final Decision WAIT = new Decision(Kind.WAIT, null);
    static final Decision TAKE = new Decision(Kind.TAKE, null);
  }

  static Decision decide(Observation s) {
    if (s.self == null) {
      return Decision.WAIT;
    }
    if (s.dutyRecord.vacant()) {
      int rank = rank(s);
      return rank >= 0 && s.vacantS >= rank * RANK_DELAY_S ? Decision.TAKE : Decision.WAIT;
    }
    if (!s.dutyRecord.heldBy(s.self) || s.heldS < MIN_HELD_S) {
      return Decision.WAIT;
    }
    Candidate own = findCandidate(s.liveControllers, s.self);
    Candidate best = bestSuccessor(s.duty, s.liveControllers, s.self);
    if (own == null || best == null) {
      return Decision.WAIT;
    }
    boolean unfit = s.unfitS > UNFIT_HANDOVER_DELAY_S;
    boolean crowded = own.dutyCount >= best.dutyCount + 2;
    return unfit || crowded
        ? new Decision(Decision.Kind.HAND_OVER, best.incarnation)
        : Decision.WAIT;
  }

  /** To whom a duty is handed: a controller within reach that keeps up, or null. */
  static Candidate bestSuccessor(Duty duty, List<Candidate> live, String self) {
    return live.stream()
        .filter(c -> !c.incarnation.equals(self) && c.reachable && !c.slow())
        .min(candidateOrder(duty))
        .orElse(null);
  }

  /** This controller's place among those that may take the duty, or -1. */
  private static int rank(Observation s) {
    Candidate own = findCandidate(s.liveControllers, s.self);
    if (own == null) {
      return -1;
    }
    Comparator<Candidate> order = candidateOrder(s.duty);
    return (int) s.liveControllers.stream().filter(c -> order.compare(c, own) < 0).count();
  }

  private static Candidate findCandidate(List<Candidate> live, String incarnation) {
    return live.stream().filter(c -> c.incarnation.equals(incarnation)).findFirst().orElse(null);
  }

  /** Those that keep up first, then those with fewest duties, then by a draw of the duty's own. */
  private static Comparator<Candidate> candidateOrder(Duty duty) {
    return Comparator.comparing(Candidate::slow)
        .thenComparing(Candidate::dutyCount)
        .thenComparing(c -> tieBreak(duty, c.incarnation))
        .thenComparing(Candidate::incarnation);
  }

  private static int tieBreak(Duty duty, String incarnation) {
    int draw = (duty.label() + "@" + incarnation).hashCode() * 0x9E3779B9;
    draw ^= draw >>> 15;
    return draw * 0x85EBCA6B;
  }
}
