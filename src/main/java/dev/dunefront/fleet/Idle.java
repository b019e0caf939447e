package dev.dunefront.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/**
 * Which idle machines to return: those that have idled longer than it pays to wait, that nothing
 * waiting could use, and that are not part of the room kept ready. Idling costs as much as a new
 * machine's boot after about as long as that takes.
 */
final class Idle {
  /** A machine on which nothing runs, and for how long that has been so. */
  record Machine(String host, Kind kind, double idleS) {}

  private Idle() {}

  /**
   * @param spare room beyond what is to be kept ready, in machines by kind
   * @param wanted kinds that something waiting could use
   * @param holdS how long a machine of a kind is kept
   */
  static List<String> toReturn(
      List<Machine> idle, Map<Kind, Double> spare, Set<Kind> wanted, ToDoubleFunction<Kind> holdS) {
    Map<Kind, Double> left = new HashMap<>(spare);
    List<Machine> longest = new ArrayList<>(idle);
    longest.sort(Comparator.comparingDouble(m -> -m.idleS));
    List<String> all = new ArrayList<>();
    for (Machine m : longest) {
      if (m.idleS >= holdS.applyAsDouble(m.kind)
          && !wanted.contains(m.kind)
          && left.getOrDefault(m.kind, 0.0) >= 1) {
        left.merge(m.kind, -1.0, Double::sum);
        all.add(m.host);
      }
    }
    return all;
  }
}
