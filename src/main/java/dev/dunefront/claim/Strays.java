package dev.dunefront.claim;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.IntPredicate;

/**
 * The stray attempts of one job: holders report them as alive, but no record lists them. They must
 * not run: stop requests are repeated until a view confirms that the attempt is gone, and its task
 * is not placed again before that.
 */
final class Strays {
  /** One stray attempt. */
  static final class Stray {
    final int number;
    final long attempt;
    final long session;
    double stopSentAt = Double.NEGATIVE_INFINITY;

    Stray(int number, long attempt, long session) {
      this.number = number;
      this.attempt = attempt;
      this.session = session;
    }
  }

  /** Stray attempts by machine and task number. */
  private final Map<String, Map<Integer, Stray>> byHost = new HashMap<>();

  boolean isEmpty() {
    return byHost.isEmpty();
  }

  /** The machines with stray attempts. */
  Set<String> hosts() {
    return byHost.keySet();
  }

  /** The stray attempts on a machine, by task number. */
  Map<Integer, Stray> onHost(String host) {
    return byHost.getOrDefault(host, Map.of());
  }

  /**
   * Records a stray attempt.
   *
   * @return whether no stray attempt of this task on this machine was known before
   */
  boolean add(String host, int number, long attempt, long session) {
    Map<Integer, Stray> onMachine = byHost.computeIfAbsent(host, h -> new HashMap<>());
    Stray known = onMachine.get(number);
    if (known != null && known.attempt == attempt && known.session == session) {
      return false;
    }
    onMachine.put(number, new Stray(number, attempt, session));
    return known == null;
  }

  /**
   * Removes stray attempts on a machine.
   *
   * @param gone whether the attempt of the task with this number is gone
   * @return the number of removed attempts
   */
  int remove(String host, IntPredicate gone) {
    Map<Integer, Stray> onMachine = byHost.get(host);
    if (onMachine == null) {
      return 0;
    }
    int before = onMachine.size();
    onMachine.keySet().removeIf(gone::test);
    if (onMachine.isEmpty()) {
      byHost.remove(host);
    }
    return before - onMachine.size();
  }

  /** Total number of stray attempts. */
  int count() {
    int total = 0;
    for (Map<Integer, Stray> onMachine : byHost.values()) {
      total += onMachine.size();
    }
    return total;
  }

  /** Whether the task must not be placed because a stray attempt of it may still run. */
  boolean blocks(int number) {
    for (Map<Integer, Stray> onMachine : byHost.values()) {
      if (onMachine.containsKey(number)) {
        return true;
      }
    }
    return false;
  }

  /** Number of blocked tasks that are not in the given set. */
  int blockedOutside(BitSet busy) {
    BitSet blocked = new BitSet();
    byHost.values().forEach(onMachine -> onMachine.keySet().forEach(blocked::set));
    blocked.andNot(busy);
    return blocked.cardinality();
  }
}
