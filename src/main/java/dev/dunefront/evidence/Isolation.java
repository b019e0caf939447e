package dev.dunefront.evidence;

/**
 * What a controller does that hears neither the state service nor any other controller. While it
 * answers its workers their leases never end, nobody outside can prove anything gone, and what ends
 * there is never recorded. But it may as well sit behind a cut with its whole zone, and there its
 * workers reach nobody else: sent away, they would lose what they run. So after a while it sends
 * one machine on, an idle one if it can. If that comes back, nobody else was to be had, and all
 * stay; if it does not, the others follow it, a few at a time.
 *
 * @param phase what it is at
 * @param since when that began
 * @param trialHost the machine sent ahead, or null
 * @param returnedTrials how many have come back
 */
public record Isolation(Phase phase, double since, String trialHost, int returnedTrials) {
  /** What it is at. */
  public enum Phase {
    /** It hears others, or has not been alone for long. */
    KEEP_WORKERS,
    /** A machine is to be sent ahead. */
    SEND_TRIAL,
    /** One has been sent, and may come back. */
    AWAIT_TRIAL,
    /** It has not come back: the others may go. */
    EVACUATE
  }

  /**
   * How long a worker tries one controller: it waits 4 s for an answer, and 1 s before the next.
   */
  private static final double WORKER_RETRY_CYCLE_S = 5;

  /** The part of a worker's lease for which being alone is borne. */
  private static final double TOLERATED_LEASE_FRACTION = 0.5;

  public static final Isolation NOT_ISOLATED =
      new Isolation(Phase.KEEP_WORKERS, Double.NaN, null, 0);

  /**
   * Time has passed.
   *
   * @param alone whether neither the state service nor another controller answers
   * @param others how many other controllers there are
   */
  public Isolation advance(double now, boolean alone, int others, double leaseS) {
    if (!alone || others == 0) {
      return NOT_ISOLATED;
    }
    if (Double.isNaN(since)) {
      return new Isolation(Phase.KEEP_WORKERS, now, null, 0);
    }
    return switch (phase) {
      // Each trial that comes back may have cost a lease: the next waits twice as long.
      case KEEP_WORKERS ->
          now - since
                  >= leaseS * TOLERATED_LEASE_FRACTION * Math.pow(2, Math.min(6, returnedTrials))
              ? new Isolation(Phase.SEND_TRIAL, now, null, returnedTrials)
              : this;
      case AWAIT_TRIAL ->
          now - since >= others * WORKER_RETRY_CYCLE_S + 2
              ? new Isolation(Phase.EVACUATE, now, trialHost, returnedTrials)
              : this;
      case SEND_TRIAL, EVACUATE -> this;
    };
  }

  /** A machine has been sent ahead. */
  public Isolation trialSent(String host, double now) {
    return phase == Phase.SEND_TRIAL
        ? new Isolation(Phase.AWAIT_TRIAL, now, host, returnedTrials)
        : this;
  }

  /** A machine reports here. */
  public Isolation reportReceived(String host, double now) {
    return (phase == Phase.AWAIT_TRIAL || phase == Phase.EVACUATE) && host.equals(trialHost)
        ? new Isolation(Phase.KEEP_WORKERS, now, null, returnedTrials + 1)
        : this;
  }
}
