package dev.dunefront.fleet;

import dev.dunefront.wire.JobSpec;
import java.util.HashMap;
import java.util.Map;

/** Tasks of a job that need machines; the count decreases as machines are allocated or planned. */
final class CapacityNeed {
  final JobSpec spec;

  /** Expected duration of a task, or 0 if unknown. */
  final double taskDurationS;

  /** Whether the tasks are queued; false if they are only forecast. */
  final boolean queued;

  private double unmetTasks;

  /** How many tasks each zone may still take; empty if there is no limit per zone. */
  private final Map<String, Double> maxTasksByZone = new HashMap<>();

  private CapacityNeed(
      JobSpec spec,
      double tasks,
      Map<String, Integer> zones,
      double taskDurationS,
      boolean queued) {
    this.spec = spec;
    this.taskDurationS = taskDurationS;
    this.queued = queued;
    this.unmetTasks = tasks;
    zones.forEach((zone, n) -> this.maxTasksByZone.put(zone, (double) n));
  }

  /** A need for queued tasks. */
  static CapacityNeed forQueued(
      JobSpec spec, double tasks, Map<String, Integer> zones, double taskDurationS) {
    return new CapacityNeed(spec, tasks, zones, taskDurationS, true);
  }

  /** A need for forecast tasks. */
  static CapacityNeed forExpected(JobSpec spec, double tasks, Map<String, Integer> zones) {
    return new CapacityNeed(spec, tasks, zones, 0, false);
  }

  double unmetTasks() {
    return unmetTasks;
  }

  /** How many of the unmet tasks the zone may take. */
  double unmetTasksIn(String zone) {
    return maxTasksByZone.isEmpty()
        ? unmetTasks
        : Math.min(unmetTasks, maxTasksByZone.getOrDefault(zone, 0.0));
  }

  /** Subtracts tasks for which machines of the zone were allocated or planned. */
  void reduce(String zone, double tasks) {
    unmetTasks -= tasks;
    maxTasksByZone.computeIfPresent(zone, (z, n) -> n - tasks);
  }

  /** Moves up to this many tasks into a separate need. */
  CapacityNeed split(double tasks) {
    CapacityNeed separate =
        new CapacityNeed(spec, Math.min(tasks, unmetTasks), Map.of(), taskDurationS, queued);
    separate.maxTasksByZone.putAll(maxTasksByZone);
    unmetTasks -= separate.unmetTasks;
    return separate;
  }
}
