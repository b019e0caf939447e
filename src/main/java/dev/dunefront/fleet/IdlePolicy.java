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
final class IdlePolicy {
  /** A machine on which nothing runs, and for how long that has been so. */
  record IdleMachine(String host, MachineKind kind, double idleS) {}

  private IdlePolicy() {}

  /**
   * @param spare room beyond what is to be kept ready, in machines by kind
   * @param wanted kinds that something waiting could use
   * @param holdS how long a machine of a kind is kept
   */
  static List<String> selectForReturn(
      List<IdleMachine> idle,
      Map<MachineKind, Double> spare,
      Set<MachineKind> wanted,
      ToDoubleFunction<MachineKind> holdS) {
    Map<MachineKind, Double> left = new HashMap<>(spare);
    List<IdleMachine> longest = new ArrayList<>(idle);
    longest.sort(Comparator.comparingDouble(m -> -m.idleS));
    List<String> all = new ArrayList<>();
    for (IdleMachine m : longest) {
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
