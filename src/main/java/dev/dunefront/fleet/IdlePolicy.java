package dev.dunefront.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/**
 * Selects the idle machines to return: those that exceed the idle timeout, that no queued task
 * could use and that are not part of the room kept ready. A machine idle for as long as a boot
 * takes has cost about as much as booting a new one.
 */
final class IdlePolicy {
  /** A machine without tasks, and for how long it has been idle. */
  record IdleMachine(String host, MachineKind kind, double idleS) {}

  private IdlePolicy() {}

  /**
   * Returns the hosts to return, longest idle first.
   *
   * @param surplus room beyond that kept ready, in machines by kind
   * @param usable kinds that some queued task could use
   * @param idleTimeoutS how long an idle machine of a kind is kept
   */
  static List<String> selectForReturn(
      List<IdleMachine> idle,
      Map<MachineKind, Double> surplus,
      Set<MachineKind> usable,
      ToDoubleFunction<MachineKind> idleTimeoutS) {
    Map<MachineKind, Double> remaining = new HashMap<>(surplus);
    List<IdleMachine> longestFirst = new ArrayList<>(idle);
    longestFirst.sort(Comparator.comparingDouble(m -> -m.idleS));
    List<String> hosts = new ArrayList<>();
    for (IdleMachine m : longestFirst) {
      if (m.idleS >= idleTimeoutS.applyAsDouble(m.kind)
          && !usable.contains(m.kind)
          && remaining.getOrDefault(m.kind, 0.0) >= 1) {
        remaining.merge(m.kind, -1.0, Double::sum);
        hosts.add(m.host);
      }
    }
    return hosts;
  }
}
