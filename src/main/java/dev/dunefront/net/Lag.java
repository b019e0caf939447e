package dev.dunefront.net;

/**
 * How late timers fire, which is how far a process is behind with its work. A late one counts at
 * once, and is forgotten within a few seconds.
 */
public final class Lag {
  private static final double FORGET = 0.85;

  private double due = Double.NaN;
  private double lagS;

  /** A timer that was set for {@code everyS} after the last one has fired. */
  public void fired(double now, double everyS) {
    if (!Double.isNaN(due)) {
      lagS = Math.max(Math.max(0, now - due), lagS * FORGET);
    }
    due = now + everyS;
  }

  public double seconds() {
    return lagS;
  }
}
