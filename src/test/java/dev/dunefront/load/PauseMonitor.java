package dev.dunefront.load;

/** Watches by how much this process is late, for what a slow machine shows proves nothing. */
final class PauseMonitor {
  private static final long SLEEP_MS = 20;

  /** A process that is ever later than this, in seconds, is too slow to judge what takes time. */
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
        double lateS = (System.nanoTime() - before) / 1e9 - SLEEP_MS / 1e3;
        longestPauseS = Math.max(longestPauseS, lateS);
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
