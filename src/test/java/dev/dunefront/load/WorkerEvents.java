package dev.dunefront.load;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Locale;

/** The latest events of one worker, for diagnosing a violated invariant. */
final class WorkerEvents {
  private static final int MAX_EVENTS = 500;

  private final ArrayDeque<String> events = new ArrayDeque<>();

  /** Adds an event at a time of the steady clock, in seconds. */
  synchronized void add(double now, String event) {
    if (events.size() == MAX_EVENTS) {
      events.poll();
    }
    events.add(String.format(Locale.ROOT, "%10.3f %s", now, event));
  }

  synchronized List<String> all() {
    return List.copyOf(events);
  }
}
