package dev.dunefront.net;

import java.util.PriorityQueue;

/** A clock that stands until it is told to go on, and the timers that are set by it. */
public final class FakeClock implements Timers {
  private record ScheduledAction(double at, long order, Runnable action) {}

  private final PriorityQueue<ScheduledAction> scheduledActions =
      new PriorityQueue<>(
          (a, b) -> a.at != b.at ? Double.compare(a.at, b.at) : Long.compare(a.order, b.order));
  private double now = 100;
  private long order;

  @Override
  public double now() {
    return now;
  }

  @Override
  public long wallClockMs() {
    return Math.round(now * 1000) + 1_700_000_000_000L;
  }

  @Override
  public void after(double seconds, Runnable action) {
    scheduledActions.add(new ScheduledAction(now + Math.max(0, seconds), order++, action));
  }

  /** Lets the time pass. */
  public void advance(double seconds) {
    double until = now + seconds;
    while (!scheduledActions.isEmpty() && scheduledActions.peek().at <= until) {
      ScheduledAction d = scheduledActions.poll();
      now = d.at;
      d.action.run();
    }
    now = until;
  }
}
