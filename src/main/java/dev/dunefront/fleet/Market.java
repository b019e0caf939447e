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
final class Market {
  static final int MAX_HIRE = 50;
  private static final double NONE = 1e-6;
  private static final double URGENT_WEIGHT = 4;

  /** What machines many times too large count as, in multiples of their price. */
  private static final double OVERSIZE_COST = 2;

  private final Catalog catalog;
  private final Set<Kind> refused;
  private final Map<Kind, Double> planned = new LinkedHashMap<>();

  /** Kinds of which urgent work needs some. */
  private final Set<Kind> urgent = new HashSet<>();

  Market(Catalog catalog, Set<Kind> refused) {
    this.catalog = catalog;
    this.refused = refused;
  }

  /** Takes room for the tasks from machines that there are, or come, and that they would use. */
  void fill(Need need, Map<Kind, Double> machines) {
    for (var e : machines.entrySet()) {
      int fit = couldUse(need.spec, e.getKey()) ? fit(need.spec, e.getKey()) : 0;
      double wanted = need.wantedIn(e.getKey().zone());
      if (fit > 0 && wanted > NONE) {
        double used = Math.min(e.getValue(), wanted / fit);
        need.found(e.getKey().zone(), used * fit);
        e.setValue(e.getValue() - used);
      }
    }
  }

  /**
   * Adds machines for the tasks to the plan, the cheapest first, as far as they can be had. Of a
   * kind that has been planned as often as one call rents, the rest is left to the next call: what
   * is dearer is not taken for it.
   */
  void plan(Need need, boolean spotOnly) {
    Kind kind;
    while (need.missing() > NONE && (kind = choose(need, spotOnly)) != null) {
      int fit = fit(need.spec, kind);
      double had = planned.getOrDefault(kind, 0.0);
      double more = Math.min(MAX_HIRE - had, need.wantedIn(kind.zone()) / fit);
      if (more <= NONE) {
        return;
      }
      planned.put(kind, had + more);
      if (need.waits && need.spec.priority().urgent()) {
        urgent.add(kind);
      }
      need.found(kind.zone(), more * fit);
    }
  }

  /** Whether spot machines that the job may use might still be had. */
  boolean spotToBeHad(JobSpec spec) {
    return catalog.types().stream().anyMatch(t -> toBeHad(spec, t, true));
  }

  private boolean toBeHad(JobSpec spec, MachineType type, boolean spot) {
    for (String zone : type.zones()) {
      Kind kind = new Kind(type.name(), zone, spot);
      if (fit(spec, kind) > 0 && !refused.contains(kind)) {
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
  Kind most() {
    Kind most = null;
    for (Kind k : planned.keySet()) {
      if (most == null || weight(k) > weight(most)) {
        most = k;
      }
    }
    return most;
  }

  private double weight(Kind kind) {
    return planned.get(kind) * (urgent.contains(kind) ? URGENT_WEIGHT : 1);
  }

  /** How many machines of the kind are planned. */
  int count(Kind kind) {
    return (int) Math.ceil(planned.getOrDefault(kind, 0.0) - NONE);
  }

  /** Whether the job's tasks would use a machine of the kind rather than wait for another. */
  boolean couldUse(JobSpec spec, Kind kind) {
    return fit(spec, kind) > 0
        && (!catalog.dear(spec, catalog.type(kind.type()))
            || !toBeHad(spec, catalog.home(spec), false));
  }

  /** How many tasks of the job a machine of the kind takes. */
  int fit(JobSpec spec, Kind kind) {
    MachineType t = catalog.type(kind.type());
    return t != null && spec.allows(kind.type(), kind.zone(), kind.spot())
        ? spec.size().timesIn(t.size())
        : 0;
  }

  /** The cheapest kind for the job's tasks, or null. */
  private Kind choose(Need need, boolean spotOnly) {
    Kind best = null;
    double bestCost = Double.MAX_VALUE;
    boolean leavesLarge = catalog.leavesLarge(need.spec);
    for (MachineType t : catalog.types()) {
      for (String zone : t.zones()) {
        for (boolean spot : new boolean[] {false, true}) {
          Kind kind = new Kind(t.name(), zone, spot);
          int fit = fit(need.spec, kind);
          if (fit == 0
              || spotOnly && !spot
              || refused.contains(kind)
              || need.wantedIn(zone) <= NONE) {
            continue;
          }
          double cost = (spot ? t.spotPrice() : t.price()) / fit * bootPart(need, t, spot);
          if (fit >= Catalog.OVERSIZE && leavesLarge) {
            cost *= OVERSIZE_COST;
          }
          boolean full = planned.getOrDefault(kind, 0.0) >= MAX_HIRE;
          boolean bestFull = best != null && planned.getOrDefault(best, 0.0) >= MAX_HIRE;
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
  private static boolean peak(Need need, boolean spot) {
    return need.spec.spot() && !need.spec.priority().urgent() && !spot;
  }

  /** A machine for a peak boots for a single run; that adds to the price of a task, as a factor. */
  private static double bootPart(Need need, MachineType type, boolean spot) {
    return peak(need, spot) && need.runS > 0 ? 1 + type.bootS() / need.runS : 1;
  }
}
