package dev.dunefront.load;

/** Measures pauses of this process: time limits cannot be judged on a machine that is too slow. */
final class PauseMonitor {
  private static final long SLEEP_MS = 20;

  /** After a longer pause than this, in seconds, the run's time limits cannot be judged. */
  private static final double MAX_PAUSE_S = 1.5;

  private volatile double longestPauseS;

  PauseMonitor() {
    Thread thread = new Thread(this::measurePauses, "slowness");
    thread.setDaemon(true);
    thread.start();
  }

  private void measurePauses() {
    try {
      while (true) {
        long before = System.nanoTime();
        Thread.sleep(SLEEP_MS);
        double pauseS = (System.nanoTime() - before) / 1e9 - SLEEP_MS / 1e3;
        longestPauseS = Math.max(longestPauseS, pauseS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** The longest pause so far, in seconds. */
  double longestPauseS() {
    return longestPauseS;
  }

  boolean tooSlow() {
    return longestPauseS > MAX_PAUSE_S;
  }
}
