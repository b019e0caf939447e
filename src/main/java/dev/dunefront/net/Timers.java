package dev.dunefront.net;

/** The steady clock and timers, handed to decision code so that tests can drive them. */
public interface Timers {
  /** Seconds on the steady clock. */
  double now();

  /** The time of day in milliseconds, good to within the settings' bound. */
  long wallClockMs();

  /** Runs the action once, after so many seconds. */
  void after(double seconds, Runnable action);
}
