package dev.dunefront.fleet;

import dev.dunefront.wire.JobSpec;
import java.util.HashMap;
import java.util.Map;

/** Tasks of a job that want machines; goes down as machines are found or planned for them. */
final class CapacityNeed {
  final JobSpec spec;

  /** How long a task takes, or 0 if that is not known. */
  final double taskDurationS;

  /** Whether somebody waits, or it is only expected that somebody will. */
  final boolean queued;

  private double unmetTasks;

  /** How many each zone may take; empty if that does not matter. */
  private final Map<String, Double> maxTasksByZone = new HashMap<>();

  private CapacityNeed(
      JobSpec spec, double tasks, Map<String, Integer> zones, double runS, boolean waits) {
    this.spec = spec;
    this.taskDurationS = runS;
    this.queued = waits;
    this.unmetTasks = tasks;
    zones.forEach((zone, n) -> this.maxTasksByZone.put(zone, (double) n));
  }

  /** Tasks that wait, with the time that each takes. */
  static CapacityNeed forQueued(
      JobSpec spec, double tasks, Map<String, Integer> zones, double runS) {
    return new CapacityNeed(spec, tasks, zones, runS, true);
  }

  /** Tasks that are expected. */
  static CapacityNeed forExpected(JobSpec spec, double tasks, Map<String, Integer> zones) {
    return new CapacityNeed(spec, tasks, zones, 0, false);
  }

  double unmetTasks() {
    return unmetTasks;
  }

  /** How many tasks a machine, or any number of machines, of the zone may take. */
  double unmetTasksIn(String zone) {
    return maxTasksByZone.isEmpty()
        ? unmetTasks
        : Math.min(unmetTasks, maxTasksByZone.getOrDefault(zone, 0.0));
  }

  void reduce(String zone, double tasks) {
    unmetTasks -= tasks;
    maxTasksByZone.computeIfPresent(zone, (z, n) -> n - tasks);
  }

  /** Leaves out so many tasks; returns them as a need of their own. */
  CapacityNeed split(double tasks) {
    CapacityNeed part =
        new CapacityNeed(spec, Math.min(tasks, unmetTasks), Map.of(), taskDurationS, queued);
    part.maxTasksByZone.putAll(maxTasksByZone);
    unmetTasks -= part.unmetTasks;
    return part;
  }
}
