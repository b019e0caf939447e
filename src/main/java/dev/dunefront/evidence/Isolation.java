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
 * @param phase the current phase
 * @param since when the phase began; in {@link Phase#KEEP_WORKERS}, when the isolation began or the
 *     last trial came back, NaN if the controller is not isolated
 * @param trialHost host of the trial machine, or null
 * @param returnedTrials number of trial machines that have come back
 */
public record Isolation(Phase phase, double since, String trialHost, int returnedTrials) {
  /** The phases. */
  public enum Phase {
    /** The controller is not isolated, or not for long enough. */
    KEEP_WORKERS,
    /** The next suitable machine that reports is redirected as a trial. */
    SEND_TRIAL,
    /** The trial machine has been redirected and may come back. */
    AWAIT_TRIAL,
    /** The trial machine has not come back, so the others are redirected. */
    EVACUATE
  }

  /**
   * Time that a worker spends on one controller, in seconds: it waits 4 s for an answer and 1 s
   * before it tries the next.
   */
  private static final double WORKER_RETRY_CYCLE_S = 5;

  /**
   * The fraction of a worker's lease duration for which isolation is tolerated before the first
   * trial.
   */
  private static final double TOLERATED_LEASE_FRACTION = 0.5;

  /** The controller is not isolated. */
  public static final Isolation NOT_ISOLATED =
      new Isolation(Phase.KEEP_WORKERS, Double.NaN, null, 0);

  /**
   * Returns the state after the time has advanced.
   *
   * @param isolated whether neither the state service nor another controller is reachable
   * @param otherControllers number of other controllers
   */
  public Isolation advance(double now, boolean isolated, int otherControllers, double leaseS) {
    if (!isolated || otherControllers == 0) {
      return NOT_ISOLATED;
    }
    if (Double.isNaN(since)) {
      return new Isolation(Phase.KEEP_WORKERS, now, null, 0);
    }
    return switch (phase) {
      // Each trial that comes back may have cost a lease, so the delay doubles with each, up to
      // 64 times.
      case KEEP_WORKERS ->
          now - since
                  >= leaseS * TOLERATED_LEASE_FRACTION * Math.pow(2, Math.min(6, returnedTrials))
              ? new Isolation(Phase.SEND_TRIAL, now, null, returnedTrials)
              : this;
      case AWAIT_TRIAL ->
          now - since >= otherControllers * WORKER_RETRY_CYCLE_S + 2
              ? new Isolation(Phase.EVACUATE, now, trialHost, returnedTrials)
              : this;
      case SEND_TRIAL, EVACUATE -> this;
    };
  }

  /** Returns the state after the trial machine has been redirected. */
  public Isolation trialSent(String host, double now) {
    return phase == Phase.SEND_TRIAL
        ? new Isolation(Phase.AWAIT_TRIAL, now, host, returnedTrials)
        : this;
  }

  /** Returns the state after a report of a machine. */
  public Isolation reportReceived(String host, double now) {
    return (phase == Phase.AWAIT_TRIAL || phase == Phase.EVACUATE) && host.equals(trialHost)
        ? new Isolation(Phase.KEEP_WORKERS, now, null, returnedTrials + 1)
        : this;
  }
}
