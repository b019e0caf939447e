package dev.dunefront.evidence;

/**
 * The state machine of a controller that can reach neither the state service nor any other
 * controller. While it answers its workers their leases never expire, so nobody else can prove that
 * their attempts have ended, and the ends of tasks are never recorded. But if its whole zone is
 * partitioned, its workers can reach no other controller either, and workers that are redirected
 * would lose their tasks. After a while it therefore redirects one machine as a trial, an idle one
 * if possible. If that machine comes back, no other controller was reachable and all machines stay.
 * If it does not come back, the others are redirected, too, a few at a time.
 *
 * @param step the current phase
 * @param since when the phase began; in {@link Step#STAY}, when the isolation began or the last
 *     trial came back, NaN if the controller is not isolated
 * @param trial host of the trial machine, or null
 * @param trials number of trial machines that have come back
 */
public record Isolation(Step step, double since, String trial, int trials) {
  /** The phases. */
  public enum Step {
    /** The controller is not isolated, or not for long enough. */
    STAY,
    /** The next suitable machine that reports is redirected as a trial. */
    TRY,
    /** The trial machine has been redirected and may come back. */
    WAIT,
    /** The trial machine has not come back, so the others are redirected. */
    GO
  }

  /**
   * Time that a worker spends on one controller, in seconds: it waits 4 s for an answer and 1 s
   * before it tries the next.
   */
  private static final double ROUND_S = 5;

  /**
   * The fraction of a worker's lease duration for which isolation is tolerated before the first
   * trial.
   */
  private static final double PATIENCE = 0.5;

  /** The controller is not isolated. */
  public static final Isolation NOT = new Isolation(Step.STAY, Double.NaN, null, 0);

  /**
   * Returns the state after the time has advanced.
   *
   * @param isolated whether neither the state service nor another controller is reachable
   * @param otherControllers number of other controllers
   */
  public Isolation passed(double now, boolean isolated, int otherControllers, double leaseS) {
    if (!isolated || otherControllers == 0) {
      return NOT;
    }
    if (Double.isNaN(since)) {
      return new Isolation(Step.STAY, now, null, 0);
    }
    return switch (step) {
      // Each trial that comes back may have cost a lease, so the delay doubles with each, up to
      // 64 times.
      case STAY ->
          now - since >= leaseS * PATIENCE * Math.pow(2, Math.min(6, trials))
              ? new Isolation(Step.TRY, now, null, trials)
              : this;
      case WAIT ->
          now - since >= otherControllers * ROUND_S + 2
              ? new Isolation(Step.GO, now, trial, trials)
              : this;
      case TRY, GO -> this;
    };
  }

  /** Returns the state after the trial machine has been redirected. */
  public Isolation sent(String host, double now) {
    return step == Step.TRY ? new Isolation(Step.WAIT, now, host, trials) : this;
  }

  /** Returns the state after a report of a machine. */
  public Isolation reported(String host, double now) {
    return (step == Step.WAIT || step == Step.GO) && host.equals(trial)
        ? new Isolation(Step.STAY, now, null, trials + 1)
        : this;
  }
}
