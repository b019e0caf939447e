package dev.dunefront.claim;

import dev.dunefront.claim.Claim.LiveAttempt;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Checks the zone constraints of a job (all tasks in one zone, or spread over zones). */
final class ZoneConstraints {
  private final MachineTable machineTable;

  /** Zones of machines with placed tasks; kept when the connection to the holder is lost. */
  private final Map<String, String> zoneByHost = new HashMap<>();

  ZoneConstraints(MachineTable machineTable) {
    this.machineTable = machineTable;
  }

  /**
   * Whether a task of the job may be placed on a machine.
   *
   * @param starts machines of the tasks that the same transaction places
   */
  boolean allowed(Claim claim, String host, List<String> starts) {
    MachineTable.Entry machine = machineTable.get(host);
    if (machine == null
        || !claim.spec.allows(
            machine.view().type(), machine.view().zone(), machine.view().spot())) {
      return false;
    }
    if (!claim.spec.oneZone() && !claim.spec.spread()) {
      return true;
    }
    String zone = machine.view().zone();
    int sameZone = 0;
    int otherZones = 0;
    boolean unknownZone = false;
    for (LiveAttempt attempt : claim.liveAttempts.values()) {
      String attemptZone = zoneOf(attempt.placement.host());
      unknownZone |= attemptZone == null;
      if (zone.equals(attemptZone)) {
        sameZone++;
      } else {
        otherZones++;
      }
    }
    for (String startHost : starts) {
      if (zone.equals(zoneOf(startHost))) {
        sameZone++;
      } else {
        otherZones++;
      }
    }
    if (claim.spec.oneZone()) {
      return otherZones == 0;
    }
    return sameZone + 1 <= claim.spec.maxTasksPerZone() && !unknownZone;
  }

  /** How many more tasks each zone may take; empty if the job has no zone constraint. */
  Map<String, Integer> remainingTasks(Claim claim, Set<String> zoneNames) {
    if (!claim.spec.oneZone() && !claim.spec.spread()) {
      return Map.of();
    }
    Map<String, Integer> placed = new HashMap<>();
    for (LiveAttempt attempt : claim.liveAttempts.values()) {
      String zone = zoneOf(attempt.placement.host());
      if (zone != null) {
        placed.merge(zone, 1, Integer::sum);
      }
    }
    int maxPerZone = claim.spec.oneZone() ? claim.spec.tasks() : claim.spec.maxTasksPerZone();
    Map<String, Integer> remaining = new HashMap<>();
    for (String zone : zoneNames) {
      boolean elsewhere = claim.spec.oneZone() && !placed.isEmpty() && !placed.containsKey(zone);
      remaining.put(zone, elsewhere ? 0 : Math.max(0, maxPerZone - placed.getOrDefault(zone, 0)));
    }
    return remaining;
  }

  private String zoneOf(String host) {
    MachineTable.Entry machine = machineTable.get(host);
    if (machine != null) {
      zoneByHost.put(host, machine.view().zone());
    }
    return zoneByHost.get(host);
  }
}
