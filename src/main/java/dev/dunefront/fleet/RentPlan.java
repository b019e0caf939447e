package dev.dunefront.fleet;

import dev.dunefront.wire.JobSpec;
import dev.dunefront.wire.MachineType;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Chooses the machine kinds to rent, from the given machines and available kinds alone. Machine
 * counts are fractional, since tasks of several jobs share a machine.
 */
final class RentPlan {
  static final int MAX_MACHINES_PER_REQUEST = 50;

  /** Tolerance for fractional counts. */
  private static final double EPSILON = 1e-6;

  private static final double URGENT_WEIGHT = 4;

  /** Cost factor for oversized machines that should be left to other jobs. */
  private static final double OVERSIZE_COST_FACTOR = 2;

  private final MachineCatalog catalog;
  private final Set<MachineKind> refusedKinds;
  private final Map<MachineKind, Double> plannedMachines = new LinkedHashMap<>();

  /** Kinds planned for queued urgent tasks. */
  private final Set<MachineKind> urgentKinds = new HashSet<>();

  RentPlan(MachineCatalog catalog, Set<MachineKind> refusedKinds) {
    this.catalog = catalog;
    this.refusedKinds = refusedKinds;
  }

  /** Allocates existing or arriving machines that the tasks would use, and reduces both counts. */
  void allocate(CapacityNeed need, Map<MachineKind, Double> machines) {
    for (var e : machines.entrySet()) {
      int perMachine = wouldUse(need.spec, e.getKey()) ? tasksPerMachine(need.spec, e.getKey()) : 0;
      double unmet = need.unmetTasksIn(e.getKey().zone());
      if (perMachine > 0 && unmet > EPSILON) {
        double used = Math.min(e.getValue(), unmet / perMachine);
        need.reduce(e.getKey().zone(), used * perMachine);
        e.setValue(e.getValue() - used);
      }
    }
  }

  /**
   * Adds machines for the tasks to the plan, the cheapest available kinds first. Once a kind
   * reaches the limit of one rent request, the rest waits for the next request instead of using a
   * more expensive kind.
   */
  void addMachines(CapacityNeed need, boolean spotOnly) {
    MachineKind kind;
    while (need.unmetTasks() > EPSILON && (kind = cheapestKind(need, spotOnly)) != null) {
      int perMachine = tasksPerMachine(need.spec, kind);
      double already = plannedMachines.getOrDefault(kind, 0.0);
      double more =
          Math.min(MAX_MACHINES_PER_REQUEST - already, need.unmetTasksIn(kind.zone()) / perMachine);
      if (more <= EPSILON) {
        return;
      }
      plannedMachines.put(kind, already + more);
      if (need.queued && need.spec.priority().urgent()) {
        urgentKinds.add(kind);
      }
      need.reduce(kind.zone(), more * perMachine);
    }
  }

  /** Whether a spot kind that the job may use has not been refused by the cloud. */
  boolean spotAvailable(JobSpec spec) {
    return catalog.types().stream().anyMatch(t -> isAvailable(spec, t, true));
  }

  private boolean isAvailable(JobSpec spec, MachineType type, boolean spot) {
    for (String zone : type.zones()) {
      MachineKind kind = new MachineKind(type.name(), zone, spot);
      if (tasksPerMachine(spec, kind) > 0 && !refusedKinds.contains(kind)) {
        return true;
      }
    }
    return false;
  }

  /**
   * The kind to rent next: the one with the most planned machines, or null if none is planned.
   * Kinds for urgent tasks get a higher weight but no strict precedence: urgent jobs arrive one by
   * one, and a request for a few machines each time would delay hundreds of others.
   */
  MachineKind kindToRent() {
    MachineKind heaviest = null;
    for (MachineKind k : plannedMachines.keySet()) {
      if (heaviest == null || weight(k) > weight(heaviest)) {
        heaviest = k;
      }
    }
    return heaviest;
  }

  private double weight(MachineKind kind) {
    return plannedMachines.get(kind) * (urgentKinds.contains(kind) ? URGENT_WEIGHT : 1);
  }

  /** Number of planned machines of the kind, rounded up. */
  int plannedCount(MachineKind kind) {
    return (int) Math.ceil(plannedMachines.getOrDefault(kind, 0.0) - EPSILON);
  }

  /** Whether the job's tasks would use a machine of the kind rather than wait for a cheaper one. */
  boolean wouldUse(JobSpec spec, MachineKind kind) {
    return tasksPerMachine(spec, kind) > 0
        && (!catalog.isExpensive(spec, catalog.type(kind.type()))
            || !isAvailable(spec, catalog.cheapestType(spec), false));
  }

  /** How many tasks of the job fit on a machine of the kind; 0 if it is not allowed there. */
  int tasksPerMachine(JobSpec spec, MachineKind kind) {
    MachineType t = catalog.type(kind.type());
    return t != null && spec.allows(kind.type(), kind.zone(), kind.spot())
        ? spec.taskResources().countFittingIn(t.resources())
        : 0;
  }

  /** The cheapest kind for the job's tasks, or null. */
  private MachineKind cheapestKind(CapacityNeed need, boolean spotOnly) {
    MachineKind best = null;
    double bestCost = Double.MAX_VALUE;
    boolean avoidsOversized = catalog.avoidsOversized(need.spec);
    for (MachineType t : catalog.types()) {
      for (String zone : t.zones()) {
        for (boolean spot : new boolean[] {false, true}) {
          MachineKind kind = new MachineKind(t.name(), zone, spot);
          int perMachine = tasksPerMachine(need.spec, kind);
          if (perMachine == 0
              || spotOnly && !spot
              || refusedKinds.contains(kind)
              || need.unmetTasksIn(zone) <= EPSILON) {
            continue;
          }
          double cost =
              (spot ? t.spotPrice() : t.price()) / perMachine * bootCostFactor(need, t, spot);
          if (perMachine >= MachineCatalog.OVERSIZE_TASKS && avoidsOversized) {
            cost *= OVERSIZE_COST_FACTOR;
          }
          boolean full = plannedMachines.getOrDefault(kind, 0.0) >= MAX_MACHINES_PER_REQUEST;
          boolean bestFull =
              best != null && plannedMachines.getOrDefault(best, 0.0) >= MAX_MACHINES_PER_REQUEST;
          if (cost < bestCost || cost == bestCost && bestFull && !full) {
            bestCost = cost;
            best = kind;
          }
        }
      }
    }
    return best;
  }

  /**
   * Whether this is an on-demand machine for a load peak that spot machines could serve as well.
   */
  private static boolean isOnDemandForPeak(CapacityNeed need, boolean spot) {
    return need.spec.spotAllowed() && !need.spec.priority().urgent() && !spot;
  }

  /**
   * Cost factor for the boot time: a machine rented for a load peak boots for a single run, so its
   * boot is part of the cost of a task.
   */
  private static double bootCostFactor(CapacityNeed need, MachineType type, boolean spot) {
    return isOnDemandForPeak(need, spot) && need.taskDurationS > 0
        ? 1 + type.bootS() / need.taskDurationS
        : 1;
  }
}
