package dev.dunefront.claim;

/**
 * Ensures that every job starts in time, regardless of its task size, its priority and the other
 * queued work. Jobs are normally served by priority and rank. A job of which no task was ever
 * placed is escalated as it ages, and only for its first task: from a quarter of the bound on it
 * ranks first within its priority, and from half of the bound on capacity is collected for it
 * across all priorities. Each controller escalates one job at a time across priorities, so the
 * capacity taken from other jobs is at most one task per controller.
 */
final class Begin {
  /** The escalation stage of a job. */
  enum Standing {
    /** Served by priority and rank. */
    ORDINARY,
    /** Ranks first within its priority. */
    AHEAD,
    /** Capacity is collected for it across all priorities. */
    FIRST
  }

  private static final double AHEAD_FROM = 0.25;
  private static final double FIRST_FROM = 0.5;

  /** After this time an escalated job that cannot be placed is replaced by another one. */
  private static final double TURN_S = 30;

  private Claim first;
  private double since;

  /**
   * The stage that a job's age calls for.
   *
   * @param begun whether a task of the job was ever placed
   * @param ageS its age in seconds
   * @param boundS time within which jobs must start, in seconds
   */
  static Standing of(boolean begun, double ageS, double boundS) {
    if (begun || ageS < boundS * AHEAD_FROM) {
      return Standing.ORDINARY;
    }
    return ageS < boundS * FIRST_FROM ? Standing.AHEAD : Standing.FIRST;
  }

  /**
   * Updates and returns the stage of a job. At most one job of this controller is in {@link
   * Stage#ACROSS_PRIORITIES}; others that are due for it stay in {@link Stage#WITHIN_PRIORITY}.
   */
  Standing standing(Claim claim, double ageS, double boundS, double now) {
    Standing stage = of(begun(claim), ageS, boundS);
    if (first == claim && stage != Standing.FIRST) {
      first = null;
    }
    if (stage != Standing.FIRST) {
      return stage;
    }
    if (first != claim
        && (first == null || first.dropped || begun(first) || now - since > TURN_S)) {
      first = claim;
      since = now;
    }
    return first == claim ? Standing.FIRST : Standing.AHEAD;
  }

  /** Whether a task of the job is placed or done, or the job is no longer open. */
  static boolean begun(Claim claim) {
    return !claim.busy.isEmpty() || !claim.open();
  }
}
