package dev.dunefront.claim;

/**
 * Sees to it that every job begins in time, however large its tasks are, whatever its priority and
 * however much else waits. The order by priority and rank is the ordinary path; a job of which
 * nothing was ever placed leaves it as it ages, with its first task alone: for a quarter of the
 * bound it waits like any other, then it ranks ahead within its priority, and from half of the
 * bound on room is gathered for it across all priorities. Of these each controller has one at a
 * time, so what they take from others is bounded by a task for each controller.
 */
final class StartEscalation {
  /** Where a job stands. */
  enum Stage {
    NONE,
    WITHIN_PRIORITY,
    ACROSS_PRIORITIES
  }

  private static final double WITHIN_PRIORITY_FRACTION = 0.25;
  private static final double ACROSS_PRIORITIES_FRACTION = 0.5;

  /** One that cannot be placed makes way for another after so long, in seconds. */
  private static final double ROTATION_S = 30;

  private Claim escalated;
  private double escalatedAt;

  /**
   * Where a job stands by its age.
   *
   * @param begun whether anything of it was ever placed
   * @param ageS its age in seconds
   * @param boundS within how many seconds jobs are to begin
   */
  static Stage stageAtAge(boolean begun, double ageS, double boundS) {
    if (begun || ageS < boundS * WITHIN_PRIORITY_FRACTION) {
      return Stage.NONE;
    }
    return ageS < boundS * ACROSS_PRIORITIES_FRACTION
        ? Stage.WITHIN_PRIORITY
        : Stage.ACROSS_PRIORITIES;
  }

  /** Where the job stands now, beside the other jobs of this controller. */
  Stage updateStage(Claim c, double ageS, double boundS, double now) {
    Stage by = stageAtAge(startedOrClosed(c), ageS, boundS);
    if (escalated == c && by != Stage.ACROSS_PRIORITIES) {
      escalated = null;
    }
    if (by != Stage.ACROSS_PRIORITIES) {
      return by;
    }
    if (escalated != c
        && (escalated == null
            || escalated.released
            || startedOrClosed(escalated)
            || now - escalatedAt > ROTATION_S)) {
      escalated = c;
      escalatedAt = now;
    }
    return escalated == c ? Stage.ACROSS_PRIORITIES : Stage.WITHIN_PRIORITY;
  }

  /** Whether anything of the job was ever placed, or never will be. */
  static boolean startedOrClosed(Claim c) {
    return !c.doneOrPlaced.isEmpty() || !c.open();
  }
}
