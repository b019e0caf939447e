package dev.dunefront.job;

import dev.dunefront.net.Timers;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Jobs that are to end and whose end is not recorded yet: so by the record, or by the word of the
 * controller that has written it. The word comes ahead of the replica, which for a controller that
 * the state service refuses stands still for as long as that lasts, while it goes on answering its
 * workers. It is passed on to whoever joins or returns, and forgotten once the end is known: from
 * then on nothing is left to be stopped.
 *
 * <p>The record is the fact. Nobody may say this of a job before its record says so.
 */
public final class PendingCancellations {
  /**
   * Far more than wait at any time; see {@link JobTable#verifyOldestCancellation} for those of
   * which nobody tells.
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

  /** The job's record says that it is to end. */
  void add(String id) {
    addedAt.putIfAbsent(id, timers.now());
  }

  /** The job's end is recorded. */
  void remove(String id) {
    addedAt.remove(id);
  }

  boolean contains(String id) {
    return addedAt.containsKey(id);
  }

  /** The oldest that is known for so long and that the condition holds for, or null. */
  String oldest(double forS, Predicate<String> condition) {
    double until = timers.now() - forS;
    for (var e : addedAt.entrySet()) {
      if (e.getValue() > until) {
        return null;
      }
      if (condition.test(e.getKey())) {
        return e.getKey();
      }
    }
    return null;
  }

  /** All of them, the oldest first. */
  public List<String> all() {
    return List.copyOf(addedAt.keySet());
  }

  public int count() {
    return addedAt.size();
  }

  /** For how long the oldest has been known here, in whole seconds; 0 if there is none. */
  public int oldestS() {
    return addedAt.isEmpty() ? 0 : (int) (timers.now() - addedAt.values().iterator().next());
  }
}
