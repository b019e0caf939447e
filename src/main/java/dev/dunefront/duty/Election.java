package dev.dunefront.duty;

import java.util.Comparator;
import java.util.List;

/**
 * Decides whether a controller acquires, keeps or hands over a duty, from its own observation. If
 * several controllers decide at once, the state service accepts only one write: a record is created
 * on the condition that none exists, and replaced on the condition of its stamp.
 */
final class Election {
  /** Additional wait per rank, so that candidates seldom compete. */
  static final double RANK_S = 0.3;

  /** A candidate with at least this timer lag ranks after all others. */
  static final double BEHIND_S = 0.4;

  /**
   * A holder with at least this timer lag is unfit. Well above {@link #BEHIND_S}, since the load of
   * the duty itself delays the timers of a small controller now and then, whichever holds it.
   */
  static final double UNFIT_LAG_S = 1;

  /** A holder that has been unfit for longer than this hands the duty over. */
  static final double UNFIT_S = 4;

  /** Minimum time for which a duty is held; without it, a duty could circulate endlessly. */
  static final double LEAST_HELD_S = 20;

  private Election() {}

  /**
   * A live controller.
   *
   * @param duties number of duties that it holds
   * @param lagS timer lag that it reports, in seconds
   * @param heard whether it is reachable from this controller
   */
  record Candidate(String incarnation, int duties, double lagS, boolean heard) {
    boolean behind() {
      return lagS >= BEHIND_S;
    }
  }

  /**
   * This controller's view of one duty.
   *
   * @param self this incarnation, or null while it has no lease
   * @param live all live controllers, including this one
   * @param vacantS for how long the duty has had no holder
   * @param heldS for how long this controller has held it
   * @param unfitS for how long this controller has been unfit to perform it
   */
  record Sight(
      Duty duty,
      DutyRecord post,
      String self,
      List<Candidate> live,
      double vacantS,
      double heldS,
      double unfitS) {}

  /**
   * The decision: wait, take the duty, or hand it over.
   *
   * @param to incarnation to hand the duty over to; null for the other kinds
   */
  record Step(Kind kind, String to) {
    enum Kind {
      WAIT,
      TAKE,
      HAND_OVER
    }

    static final Step WAIT = new Step(Kind.WAIT, null);
    static final Step TAKE = new Step(Kind.TAKE, null);
  }

  static Step next(Sight s) {
    if (s.self == null) {
      return Step.WAIT;
    }
    if (s.post.vacant()) {
      int rank = rank(s);
      return rank >= 0 && s.vacantS >= rank * RANK_S ? Step.TAKE : Step.WAIT;
    }
    if (!s.post.heldBy(s.self) || s.heldS < LEAST_HELD_S) {
      return Step.WAIT;
    }
    Candidate own = find(s.live, s.self);
    Candidate best = best(s.duty, s.live, s.self);
    if (own == null || best == null) {
      return Step.WAIT;
    }
    boolean unfit = s.unfitS > UNFIT_S;
    boolean overloaded = own.duties >= best.duties + 2;
    return unfit || overloaded ? new Step(Step.Kind.HAND_OVER, best.incarnation) : Step.WAIT;
  }

  /** The best reachable controller without notable timer lag to hand the duty over to, or null. */
  static Candidate best(Duty duty, List<Candidate> live, String self) {
    return live.stream()
        .filter(c -> !c.incarnation.equals(self) && c.heard && !c.behind())
        .min(order(duty))
        .orElse(null);
  }

  /** This controller's rank among the live controllers, or -1 if it is not one of them. */
  private static int rank(Sight s) {
    Candidate own = find(s.live, s.self);
    if (own == null) {
      return -1;
    }
    Comparator<Candidate> order = order(s.duty);
    return (int) s.live.stream().filter(c -> order.compare(c, own) < 0).count();
  }

  private static Candidate find(List<Candidate> live, String incarnation) {
    return live.stream().filter(c -> c.incarnation.equals(incarnation)).findFirst().orElse(null);
  }

  /** Orders by timer lag, then by number of duties, then by a hash of duty and incarnation. */
  private static Comparator<Candidate> order(Duty duty) {
    return Comparator.comparing(Candidate::behind)
        .thenComparing(Candidate::duties)
        .thenComparing(c -> draw(duty, c.incarnation))
        .thenComparing(Candidate::incarnation);
  }

  private static int draw(Duty duty, String incarnation) {
    int hash = (duty.label() + "@" + incarnation).hashCode() * 0x9E3779B9;
    hash ^= hash >>> 15;
    return hash * 0x85EBCA6B;
  }
}
