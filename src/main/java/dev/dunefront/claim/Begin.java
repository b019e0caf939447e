package dev.dunefront.claim;

/**
 * Sees to it that every job begins in time, however large its tasks are, whatever its priority and
 * however much else waits. The order by priority and rank is the ordinary path; a job of which
 * nothing was ever placed leaves it as it ages, with its first task alone: for a quarter of the
 * bound it waits like any other, then it ranks ahead within its priority, and from half of the
 * bound on room is gathered for it across all priorities. Of these each controller has one at a
 * time, so what they take from others is bounded by a task for each controller.
 */
final class Begin {
  /** Where a job stands. */
  enum Standing {
    ORDINARY,
    AHEAD,
    FIRST
  }

  private static final double AHEAD_FROM = 0.25;
  private static final double FIRST_FROM = 0.5;

  /** One that cannot be placed makes way for another after so long, in seconds. */
  private static final double TURN_S = 30;

  private Claim first;
  private double since;

  /**
   * Where a job stands by its age.
   *
   * @param begun whether anything of it was ever placed
   * @param ageS its age in seconds
   * @param boundS within how many seconds jobs are to begin
   */
  static Standing of(boolean begun, double ageS, double boundS) {
    if (begun || ageS < boundS * AHEAD_FROM) {
      return Standing.ORDINARY;
    }
    return ageS < boundS * FIRST_FROM ? Standing.AHEAD : Standing.FIRST;
  }

  /** Where the job stands now, beside the other jobs of this controller. */
  Standing standing(Claim c, double ageS, double boundS, double now) {
    Standing by = of(begun(c), ageS, boundS);
    if (first == c && by != Standing.FIRST) {
      first = null;
    }
    if (by != Standing.FIRST) {
      return by;
    }
    if (first != c && (first == null || first.dropped || begun(first) || now - since > TURN_S)) {
      first = c;
      since = now;
    }
    return first == c ? Standing.FIRST : Standing.AHEAD;
  }

  /** Whether anything of the job was ever placed, or never will be. */
  static boolean begun(Claim c) {
    return !c.busy.isEmpty() || !c.open();
  }
}
