package dev.dunefront.claim;

/**
 * Ensures that every job starts in time, regardless of its task size, its priority and the other
 * queued work. Jobs are normally served by priority and rank. A job of which no task was ever
 * placed is escalated as it ages, and only for its first task: from a quarter of the bound on it
 * ranks first within its priority, and from half of the bound on capacity is collected for it
 * across all priorities. Each controller escalates one job at a time across priorities, so the
 * capacity taken from other jobs is at most one task per controller.
 */
final class StartEscalation {
  /** The escalation stage of a job. */
  enum Stage {
    /** Served by priority and rank. */
    NONE,
    /** Ranks first within its priority. */
    WITHIN_PRIORITY,
    /** Capacity is collected for it across all priorities. */
    ACROSS_PRIORITIES
  }

  private static final double WITHIN_PRIORITY_FRACTION = 0.25;
  private static final double ACROSS_PRIORITIES_FRACTION = 0.5;

  /** After this time an escalated job that cannot be placed is replaced by another one. */
  private static final double ROTATION_S = 30;

  private Claim escalated;
  private double escalatedAt;

  /**
   * The stage that a job's age calls for.
   *
   * @param started whether a task of the job was ever placed
   * @param ageS its age in seconds
   * @param boundS time within which jobs must start, in seconds
   */
  static Stage stageAtAge(boolean started, double ageS, double boundS) {
    if (started || ageS < boundS * WITHIN_PRIORITY_FRACTION) {
      return Stage.NONE;
    }
    return ageS < boundS * ACROSS_PRIORITIES_FRACTION
        ? Stage.WITHIN_PRIORITY
        : Stage.ACROSS_PRIORITIES;
  }

  /**
   * Updates and returns the stage of a job. At most one job of this controller is in {@link
   * Stage#ACROSS_PRIORITIES}; others that are due for it stay in {@link Stage#WITHIN_PRIORITY}.
   */
  Stage updateStage(Claim claim, double ageS, double boundS, double now) {
    Stage stage = stageAtAge(isStartedOrClosed(claim), ageS, boundS);
    if (escalated == claim && stage != Stage.ACROSS_PRIORITIES) {
      escalated = null;
    }
    if (stage != Stage.ACROSS_PRIORITIES) {
      return stage;
    }
    if (escalated != claim
        && (escalated == null
            || escalated.released
            || isStartedOrClosed(escalated)
            || now - escalatedAt > ROTATION_S)) {
      escalated = claim;
      escalatedAt = now;
    }
    return escalated == claim ? Stage.ACROSS_PRIORITIES : Stage.WITHIN_PRIORITY;
  }

  /** Whether a task of the job is placed or done, or the job is no longer open. */
  static boolean isStartedOrClosed(Claim claim) {
    return !claim.doneOrPlaced.isEmpty() || !claim.open();
  }
}
