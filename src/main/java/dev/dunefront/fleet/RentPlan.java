package dev.dunefront.fleet;

import dev.dunefront.wire.JobSpec;
import dev.dunefront.wire.MachineType;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Chooses what to rent. It is given what there is and what can be had, and decides without a look
 * at anything else; machines are counted with parts, for tasks of several jobs share one.
 */
final class RentPlan {
  static final int MAX_MACHINES_PER_REQUEST = 50;
  private static final double EPSILON = 1e-6;
  private static final double URGENT_WEIGHT = 4;

  /** What machines many times too large count as, in multiples of their price. */
  private static final double OVERSIZE_COST_FACTOR = 2;

  private final MachineCatalog catalog;
  private final Set<MachineKind> refusedKinds;
  private final Map<MachineKind, Double> plannedMachines = new LinkedHashMap<>();

  /** Kinds of which urgent work needs some. */
  private final Set<MachineKind> urgentKinds = new HashSet<>();

  RentPlan(MachineCatalog catalog, Set<MachineKind> refused) {
    this.catalog = catalog;
    this.refusedKinds = refused;
  }

  /** Takes room for the tasks from machines that there are, or come, and that they would use. */
  void allocate(CapacityNeed need, Map<MachineKind, Double> machines) {
    for (var e : machines.entrySet()) {
      int fit = wouldUse(need.spec, e.getKey()) ? tasksPerMachine(need.spec, e.getKey()) : 0;
      double wanted = need.unmetTasksIn(e.getKey().zone());
      if (fit > 0 && wanted > EPSILON) {
        double used = Math.min(e.getValue(), wanted / fit);
        need.reduce(e.getKey().zone(), used * fit);
        e.setValue(e.getValue() - used);
      }
    }
  }

  /**
   * Adds machines for the tasks to the plan, the cheapest first, as far as they can be had. Of a
   * kind that has been planned as often as one call rents, the rest is left to the next call: what
   * is dearer is not taken for it.
   */
  void addMachines(CapacityNeed need, boolean spotOnly) {
    MachineKind kind;
    while (need.unmetTasks() > EPSILON && (kind = cheapestKind(need, spotOnly)) != null) {
      int fit = tasksPerMachine(need.spec, kind);
      double had = plannedMachines.getOrDefault(kind, 0.0);
      double more = Math.min(MAX_MACHINES_PER_REQUEST - had, need.unmetTasksIn(kind.zone()) / fit);
      if (more <= EPSILON) {
        return;
      }
      plannedMachines.put(kind, had + more);
      if (need.queued && need.spec.priority().urgent()) {
        urgentKinds.add(kind);
      }
      need.reduce(kind.zone(), more * fit);
    }
  }

  /** Whether spot machines that the job may use might still be had. */
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
   * The kind of which most is planned, or null. Machines for urgent work count several times, but
   * do not go first: its jobs come one by one, and each call for a few machines would keep hundreds
   * waiting for theirs.
   */
  MachineKind kindToRent() {
    MachineKind most = null;
    for (MachineKind k : plannedMachines.keySet()) {
      if (most == null || weight(k) > weight(most)) {
        most = k;
      }
    }
    return most;
  }

  private double weight(MachineKind kind) {
    return plannedMachines.get(kind) * (urgentKinds.contains(kind) ? URGENT_WEIGHT : 1);
  }

  /** How many machines of the kind are planned. */
  int plannedCount(MachineKind kind) {
    return (int) Math.ceil(plannedMachines.getOrDefault(kind, 0.0) - EPSILON);
  }

  /** Whether the job's tasks would use a machine of the kind rather than wait for another. */
  boolean wouldUse(JobSpec spec, MachineKind kind) {
    return tasksPerMachine(spec, kind) > 0
        && (!catalog.isExpensive(spec, catalog.type(kind.type()))
            || !isAvailable(spec, catalog.cheapestType(spec), false));
  }

  /** How many tasks of the job a machine of the kind takes. */
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
    boolean leavesLarge = catalog.avoidsOversized(need.spec);
    for (MachineType t : catalog.types()) {
      for (String zone : t.zones()) {
        for (boolean spot : new boolean[] {false, true}) {
          MachineKind kind = new MachineKind(t.name(), zone, spot);
          int fit = tasksPerMachine(need.spec, kind);
          if (fit == 0
              || spotOnly && !spot
              || refusedKinds.contains(kind)
              || need.unmetTasksIn(zone) <= EPSILON) {
            continue;
          }
          double cost = (spot ? t.spotPrice() : t.price()) / fit * bootCostFactor(need, t, spot);
          if (fit >= MachineCatalog.OVERSIZE_TASKS && leavesLarge) {
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

  /** Whether an ordinary machine is taken for a peak, where spot machines would do. */
  private static boolean isOnDemandForPeak(CapacityNeed need, boolean spot) {
    return need.spec.spotAllowed() && !need.spec.priority().urgent() && !spot;
  }

  /** A machine for a peak boots for a single run; that adds to the price of a task, as a factor. */
  private static double bootCostFactor(CapacityNeed need, MachineType type, boolean spot) {
    return isOnDemandForPeak(need, spot) && need.taskDurationS > 0
        ? 1 + type.bootS() / need.taskDurationS
        : 1;
  }
}
