package dev.dunefront.net;

/**
 * How late timers fire, which is how far a process is behind with its work. A late one counts at
 * once, and is forgotten within a few seconds.
 */
public final class TimerLag {
  private static final double DECAY = 0.85;

  private double expectedAt = Double.NaN;
  private double lagS;

  /** A timer that was set for {@code everyS} after the last one has fired. */
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
