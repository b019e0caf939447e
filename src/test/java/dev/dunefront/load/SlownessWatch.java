package dev.dunefront.load;

/** Watches by how much this process is late, for what a slow machine shows proves nothing. */
final class SlownessWatch {
  private static final long LOOK_MS = 20;

  /** A process that is ever later than this, in seconds, is too slow to judge what takes time. */
  private static final double SLOW_S = 1.5;

  private volatile double worstS;

  SlownessWatch() {
    Thread thread = new Thread(this::watch, "slowness");
    thread.setDaemon(true);
    thread.start();
  }

  private void watch() {
    try {
      while (true) {
        long before = System.nanoTime();
        Thread.sleep(LOOK_MS);
        double lateS = (System.nanoTime() - before) / 1e9 - LOOK_MS / 1e3;
        worstS = Math.max(worstS, lateS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** The longest pause so far, in seconds. */
  double worstS() {
    return worstS;
  }

  boolean slow() {
    return worstS > SLOW_S;
  }
}
