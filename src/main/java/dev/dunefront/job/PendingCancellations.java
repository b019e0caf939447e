package dev.dunefront.job;

import dev.dunefront.net.Timers;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Cancelled jobs whose final status is not recorded yet. A job is added when the replica shows its
 * record as cancelled, or when the controller that wrote the record announces it. The announcement
 * can arrive before the replica's update: the replica of a controller that the state service
 * refuses does not advance, while that controller still responds to its workers. Entries are sent
 * to every controller that joins or reconnects, and removed once the final status is known, because
 * no task is left to stop by then.
 *
 * <p>The job record is authoritative: a controller announces a cancellation only after the record
 * has been written.
 */
public final class PendingCancellations {
  /**
   * Far above the number of cancellations pending at any time. {@link
   * JobTable#verifyOldestCancellation} removes entries whose end was never announced to this
   * controller.
   */
  private static final int MAX_ENTRIES = 10_000;

  private final Timers timers;
  private final Map<String, Double> addedAt =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
          return size() > MAX_ENTRIES;
        }
      };

  PendingCancellations(Timers timers) {
    this.timers = timers;
  }

  /** Adds a job whose record shows that it is cancelled. */
  void add(String id) {
    addedAt.putIfAbsent(id, timers.now());
  }

  /** Removes a job whose final status is recorded. */
  void remove(String id) {
    addedAt.remove(id);
  }

  boolean contains(String id) {
    return addedAt.containsKey(id);
  }

  /**
   * The oldest entry that was added at least {@code minAgeS} seconds ago and meets the condition,
   * or null if there is none.
   */
  String oldest(double minAgeS, Predicate<String> condition) {
    double addedBefore = timers.now() - minAgeS;
    for (var e : addedAt.entrySet()) {
      if (e.getValue() > addedBefore) {
        return null;
      }
      if (condition.test(e.getKey())) {
        return e.getKey();
      }
    }
    return null;
  }

  /** All pending cancellations by job id, the oldest first. */
  public List<String> all() {
    return List.copyOf(addedAt.keySet());
  }

  public int count() {
    return addedAt.size();
  }

  /** Age of the oldest entry in this controller, in whole seconds; 0 if there is none. */
  public int oldestS() {
    return addedAt.isEmpty() ? 0 : (int) (timers.now() - addedAt.values().iterator().next());
  }
}
