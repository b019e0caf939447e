package dev.dunefront.claim;

import dev.dunefront.claim.Claim.LiveAttempt;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Whether a task may be placed in a zone, given the job's other tasks. */
final class ZoneConstraints {
  private final MachineTable machineTable;

  /** The zone of a machine with placed tasks, remembered beyond its holder's link. */
  private final Map<String, String> zoneByHost = new HashMap<>();

  ZoneConstraints(MachineTable room) {
    this.machineTable = room;
  }

  /** {@code starts} are the machines of tasks that are about to be placed beside the recorded. */
  boolean allowed(Claim c, String host, List<String> starts) {
    MachineTable.Entry seen = machineTable.get(host);
    if (seen == null
        || !c.spec.allows(seen.view().type(), seen.view().zone(), seen.view().spot())) {
      return false;
    }
    if (!c.spec.oneZone() && !c.spec.spread()) {
      return true;
    }
    String zone = seen.view().zone();
    int same = 0;
    int other = 0;
    boolean unknown = false;
    for (LiveAttempt l : c.liveAttempts.values()) {
      String its = zoneOf(l.placement.host());
      unknown |= its == null;
      if (zone.equals(its)) {
        same++;
      } else {
        other++;
      }
    }
    for (String s : starts) {
      if (zone.equals(zoneOf(s))) {
        same++;
      } else {
        other++;
      }
    }
    if (c.spec.oneZone()) {
      return other == 0;
    }
    return same + 1 <= c.spec.maxTasksPerZone() && !unknown;
  }

  /** How many tasks more each zone may take, if the job's tasks must be together or apart. */
  Map<String, Integer> remainingTasks(Claim c, Set<String> all) {
    if (!c.spec.oneZone() && !c.spec.spread()) {
      return Map.of();
    }
    Map<String, Integer> placed = new HashMap<>();
    for (LiveAttempt l : c.liveAttempts.values()) {
      String zone = zoneOf(l.placement.host());
      if (zone != null) {
        placed.merge(zone, 1, Integer::sum);
      }
    }
    int most = c.spec.oneZone() ? c.spec.tasks() : c.spec.maxTasksPerZone();
    Map<String, Integer> left = new HashMap<>();
    for (String zone : all) {
      boolean elsewhere = c.spec.oneZone() && !placed.isEmpty() && !placed.containsKey(zone);
      left.put(zone, elsewhere ? 0 : Math.max(0, most - placed.getOrDefault(zone, 0)));
    }
    return left;
  }

  private String zoneOf(String host) {
    MachineTable.Entry s = machineTable.get(host);
    if (s != null) {
      zoneByHost.put(host, s.view().zone());
    }
    return zoneByHost.get(host);
  }
}
