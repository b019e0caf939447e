package dev.dunefront.duty;

import java.util.Comparator;
import java.util.List;

/**
 * What a controller does about a duty, from what it sees. Whatever several decide at once, the
 * state service lets one of them through: a record is taken on the condition that there is none,
 * and handed over on the condition of its stamp.
 */
final class Election {
  /** How much longer each next candidate waits, so that the first is seldom contested. */
  static final double RANK_S = 0.3;

  /** A candidate whose timers are so late comes after all that keep up. */
  static final double BEHIND_S = 0.4;

  /**
   * A holder whose timers are so late cannot do its duty. Well above {@link #BEHIND_S}: what the
   * duty itself costs makes a small controller late now and then, wherever it is.
   */
  static final double UNFIT_LAG_S = 1;

  /** A holder that cannot do its duty gives it away after this time. */
  static final double UNFIT_S = 4;

  /** A duty is kept at least so long before it is given away, or it would go round for ever. */
  static final double LEAST_HELD_S = 20;

  private Election() {}

  /**
   * A living controller.
   *
   * @param duties how many duties it has
   * @param lagS by how much its timers are late, as it tells
   * @param heard whether it can be reached from here
   */
  record Candidate(String incarnation, int duties, double lagS, boolean heard) {
    boolean behind() {
      return lagS >= BEHIND_S;
    }
  }

  /**
   * What is seen of one duty.
   *
   * @param self this incarnation, or null while it has no lease
   * @param live all living controllers, this one among them
   * @param vacantS for how long nobody has had it
   * @param heldS for how long this controller has had it
   * @param unfitS for how long this controller could not do it
   */
  record Sight(
      Duty duty,
      DutyRecord post,
      String self,
      List<Candidate> live,
      double vacantS,
      double heldS,
      double unfitS) {}

  /** What to do: nothing, take the duty, or hand it to another incarnation. */
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
    boolean crowded = own.duties >= best.duties + 2;
    return unfit || crowded ? new Step(Step.Kind.HAND_OVER, best.incarnation) : Step.WAIT;
  }

  /** To whom a duty is handed: a controller within reach that keeps up, or null. */
  static Candidate best(Duty duty, List<Candidate> live, String self) {
    return live.stream()
        .filter(c -> !c.incarnation.equals(self) && c.heard && !c.behind())
        .min(order(duty))
        .orElse(null);
  }

  /** This controller's place among those that may take the duty, or -1. */
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

  /** Those that keep up first, then those with fewest duties, then by a draw of the duty's own. */
  private static Comparator<Candidate> order(Duty duty) {
    return Comparator.comparing(Candidate::behind)
        .thenComparing(Candidate::duties)
        .thenComparing(c -> draw(duty, c.incarnation))
        .thenComparing(Candidate::incarnation);
  }

  private static int draw(Duty duty, String incarnation) {
    int draw = (duty.label() + "@" + incarnation).hashCode() * 0x9E3779B9;
    draw ^= draw >>> 15;
    return draw * 0x85EBCA6B;
  }
}
