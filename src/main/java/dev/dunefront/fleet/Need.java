package dev.dunefront.fleet;

import dev.dunefront.wire.JobSpec;
import java.util.HashMap;
import java.util.Map;

/** Tasks of a job that need machines; the count decreases as machines are allocated or planned. */
final class Need {
  final JobSpec spec;

  /** Expected run time of a task, or 0 if unknown. */
  final double runS;

  /** Whether the tasks are queued; false if they are only forecast. */
  final boolean waits;

  private double missing;

  /** How many tasks each zone may still take; empty if there is no limit per zone. */
  private final Map<String, Double> zones = new HashMap<>();

  private Need(
      JobSpec spec, double tasks, Map<String, Integer> zones, double runS, boolean queued) {
    this.spec = spec;
    this.runS = runS;
    this.waits = queued;
    this.missing = tasks;
    zones.forEach((zone, n) -> this.zones.put(zone, (double) n));
  }

  /** A need for queued tasks. */
  static Need waiting(JobSpec spec, double tasks, Map<String, Integer> zones, double runS) {
    return new Need(spec, tasks, zones, runS, true);
  }

  /** A need for forecast tasks. */
  static Need expected(JobSpec spec, double tasks, Map<String, Integer> zones) {
    return new Need(spec, tasks, zones, 0, false);
  }

  double missing() {
    return missing;
  }

  /** How many of the unmet tasks the zone may take. */
  double wantedIn(String zone) {
    return zones.isEmpty() ? missing : Math.min(missing, zones.getOrDefault(zone, 0.0));
  }

  void found(String zone, double tasks) {
    missing -= tasks;
    zones.computeIfPresent(zone, (z, n) -> n - tasks);
  }

  /** Moves up to this many tasks into a separate need. */
  Need split(double tasks) {
    Need part = new Need(spec, Math.min(tasks, missing), Map.of(), runS, waits);
    part.zones.putAll(zones);
    missing -= part.missing;
    return part;
  }
}
