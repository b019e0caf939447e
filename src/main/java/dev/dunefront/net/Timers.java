package dev.dunefront.net;

/** Monotonic clock and timers, passed to decision code so that tests can control them. */
public interface Timers {
  /** Seconds on the monotonic clock. */
  double now();

  /** Wall-clock time in milliseconds, accurate to within the bound in the settings. */
  long wallClockMs();

  /** Runs the action once, after {@code seconds}. */
  void after(double seconds, Runnable action);
}
