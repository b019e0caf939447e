package dev.dunefront.evidence;

/**
 * What a controller does that hears neither the state service nor any other controller. While it
 * answers its workers their leases never end, nobody outside can prove anything gone, and what ends
 * there is never recorded. But it may as well sit behind a cut with its whole zone, and there its
 * workers reach nobody else: sent away, they would lose what they run. So after a while it sends
 * one machine on, an idle one if it can. If that comes back, nobody else was to be had, and all
 * stay; if it does not, the others follow it, a few at a time.
 *
 * @param step what it is at
 * @param since when that began
 * @param trial the machine sent ahead, or null
 * @param trials how many have come back
 */
public record Isolation(Step step, double since, String trial, int trials) {
  /** What it is at. */
  public enum Step {
    /** It hears others, or has not been alone for long. */
    STAY,
    /** A machine is to be sent ahead. */
    TRY,
    /** One has been sent, and may come back. */
    WAIT,
    /** It has not come back: the others may go. */
    GO
  }

  /**
   * How long a worker tries one controller: it waits 4 s for an answer, and 1 s before the next.
   */
  private static final double ROUND_S = 5;

  /** The part of a worker's lease for which being alone is borne. */
  private static final double PATIENCE = 0.5;

  public static final Isolation NOT = new Isolation(Step.STAY, Double.NaN, null, 0);

  /**
   * Time has passed.
   *
   * @param alone whether neither the state service nor another controller answers
   * @param others how many other controllers there are
   */
  public Isolation passed(double now, boolean alone, int others, double leaseS) {
    if (!alone || others == 0) {
      return NOT;
    }
    if (Double.isNaN(since)) {
      return new Isolation(Step.STAY, now, null, 0);
    }
    return switch (step) {
      // Each trial that comes back may have cost a lease: the next waits twice as long.
      case STAY ->
          now - since >= leaseS * PATIENCE * Math.pow(2, Math.min(6, trials))
              ? new Isolation(Step.TRY, now, null, trials)
              : this;
      case WAIT ->
          now - since >= others * ROUND_S + 2 ? new Isolation(Step.GO, now, trial, trials) : this;
      case TRY, GO -> this;
    };
  }

  /** A machine has been sent ahead. */
  public Isolation sent(String host, double now) {
    return step == Step.TRY ? new Isolation(Step.WAIT, now, host, trials) : this;
  }

  /** A machine reports here. */
  public Isolation reported(String host, double now) {
    return (step == Step.WAIT || step == Step.GO) && host.equals(trial)
        ? new Isolation(Step.STAY, now, null, trials + 1)
        : this;
  }
}
