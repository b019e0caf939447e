package dev.dunefront.net;

/**
 * Measures how late timers fire, which shows how far the process is behind with its work. A delay
 * counts at once and decays within a few seconds.
 */
public final class TimerLag {
  private static final double DECAY = 0.85;

  private double expectedAt = Double.NaN;
  private double lagS;

  /**
   * Records that a timer has fired that was set for {@code everyS} seconds after the previous one.
   */
  public void fired(double now, double everyS) {
    if (!Double.isNaN(expectedAt)) {
      lagS = Math.max(Math.max(0, now - expectedAt), lagS * DECAY);
    }
    expectedAt = now + everyS;
  }

  public double seconds() {
    return lagS;
  }
}
