package dev.dunefront.claim;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.IntPredicate;

/**
 * Attempts of one job that holders show as alive and that no record names. They must not run: each
 * is stopped again and again until it is seen gone, and until then its task is not placed anew.
 */
final class Strays {
  /** One such attempt. */
  static final class Stray {
    final int number;
    final long attempt;
    final long session;
    double stoppedAt = Double.NEGATIVE_INFINITY;

    Stray(int number, long attempt, long session) {
      this.number = number;
      this.attempt = attempt;
      this.session = session;
    }
  }

  /** By machine and number of the task. */
  private final Map<String, Map<Integer, Stray>> byHost = new HashMap<>();

  boolean isEmpty() {
    return byHost.isEmpty();
  }

  /** The machines that show such attempts. */
  Set<String> hosts() {
    return byHost.keySet();
  }

  /** The attempts that a machine shows, by number of the task. */
  Map<Integer, Stray> onHost(String host) {
    return byHost.getOrDefault(host, Map.of());
  }

  /**
   * A machine shows such an attempt.
   *
   * @return whether it was not known before
   */
  boolean add(String host, int number, long attempt, long session) {
    Map<Integer, Stray> here = byHost.computeIfAbsent(host, h -> new HashMap<>());
    Stray known = here.get(number);
    if (known != null && known.attempt == attempt && known.session == session) {
      return false;
    }
    here.put(number, new Stray(number, attempt, session));
    return known == null;
  }

  /**
   * Forgets attempts on a machine.
   *
   * @param gone whether the attempt of the task with this number is gone
   * @return how many were forgotten
   */
  int remove(String host, IntPredicate gone) {
    Map<Integer, Stray> here = byHost.get(host);
    if (here == null) {
      return 0;
    }
    int before = here.size();
    here.keySet().removeIf(gone::test);
    if (here.isEmpty()) {
      byHost.remove(host);
    }
    return before - here.size();
  }

  /** How many there are. */
  int count() {
    int n = 0;
    for (Map<Integer, Stray> here : byHost.values()) {
      n += here.size();
    }
    return n;
  }

  /** Whether the task with this number must not be placed, for another attempt of it may run. */
  boolean blocks(int number) {
    for (Map<Integer, Stray> here : byHost.values()) {
      if (here.containsKey(number)) {
        return true;
      }
    }
    return false;
  }

  /** How many tasks are blocked that are not among the given ones. */
  int blockedOutside(BitSet busy) {
    BitSet blocked = new BitSet();
    byHost.values().forEach(here -> here.keySet().forEach(blocked::set));
    blocked.andNot(busy);
    return blocked.cardinality();
  }
}
