package dev.dunefront.fleet;

import dev.dunefront.wire.JobSpec;
import java.util.HashMap;
import java.util.Map;

/** Tasks of a job that want machines; goes down as machines are found or planned for them. */
final class Need {
  final JobSpec spec;

  /** How long a task takes, or 0 if that is not known. */
  final double runS;

  /** Whether somebody waits, or it is only expected that somebody will. */
  final boolean waits;

  private double missing;

  /** How many each zone may take; empty if that does not matter. */
  private final Map<String, Double> zones = new HashMap<>();

  private Need(JobSpec spec, double tasks, Map<String, Integer> zones, double runS, boolean waits) {
    this.spec = spec;
    this.runS = runS;
    this.waits = waits;
    this.missing = tasks;
    zones.forEach((zone, n) -> this.zones.put(zone, (double) n));
  }

  /** Tasks that wait, with the time that each takes. */
  static Need waiting(JobSpec spec, double tasks, Map<String, Integer> zones, double runS) {
    return new Need(spec, tasks, zones, runS, true);
  }

  /** Tasks that are expected. */
  static Need expected(JobSpec spec, double tasks, Map<String, Integer> zones) {
    return new Need(spec, tasks, zones, 0, false);
  }

  double missing() {
    return missing;
  }

  /** How many tasks a machine, or any number of machines, of the zone may take. */
  double wantedIn(String zone) {
    return zones.isEmpty() ? missing : Math.min(missing, zones.getOrDefault(zone, 0.0));
  }

  void found(String zone, double tasks) {
    missing -= tasks;
    zones.computeIfPresent(zone, (z, n) -> n - tasks);
  }

  /** Leaves out so many tasks; returns them as a need of their own. */
  Need split(double tasks) {
    Need part = new Need(spec, Math.min(tasks, missing), Map.of(), runS, waits);
    part.zones.putAll(zones);
    missing -= part.missing;
    return part;
  }
}
