package dev.dunefront.fleet;

import dev.dunefront.wire.JobSpec;
import dev.dunefront.wire.MachineType;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Chooses what to rent. It is given what there is and what can be had, and decides without a look
 * at anything else; machines are counted with parts, for tasks of several jobs share one.
 */
final class Market {
  static final int MAX_HIRE = 50;

  /** What machines many times too large count as, in multiples of their price. */
  private static final double OVERSIZE_COST = 2;

  private final Catalog catalog;
  private final Map<Kind, Double> refused;
  private final Map<Kind, Double> planned = new LinkedHashMap<>();

  Market(Catalog catalog, Map<Kind, Double> refused) {
    this.catalog = catalog;
    this.refused = refused;
  }

  /** Takes room for the tasks from machines that there are; returns how many find none. */
  double fill(JobSpec spec, double missing, Map<Kind, Double> machines) {
    for (var e : machines.entrySet()) {
      int fit = fit(spec, e.getKey());
      if (fit > 0 && missing > 0) {
        double used = Math.min(e.getValue(), missing / fit);
        missing -= used * fit;
        e.setValue(e.getValue() - used);
      }
    }
    return missing;
  }

  /** Adds machines for the tasks to the plan, the cheapest first, as far as they can be had. */
  void plan(JobSpec spec, double missing) {
    Kind kind;
    while (missing > 1e-6 && (kind = choose(spec)) != null) {
      int fit = fit(spec, kind);
      double had = planned.getOrDefault(kind, 0.0);
      double more = Math.min(MAX_HIRE - had, missing / fit);
      planned.put(kind, had + more);
      missing -= more * fit;
    }
  }

  /** The kind of which most is planned, or null. */
  Kind most() {
    Kind most = null;
    for (Kind k : planned.keySet()) {
      if (most == null || planned.get(k) > planned.get(most)) {
        most = k;
      }
    }
    return most;
  }

  int count(Kind kind) {
    return (int) Math.ceil(planned.get(kind) - 1e-6);
  }

  /** How many tasks of the job a machine of the kind takes. */
  private int fit(JobSpec spec, Kind kind) {
    MachineType t = catalog.type(kind.type());
    return t != null && spec.allows(kind.type(), kind.zone(), kind.spot())
        ? spec.size().timesIn(t.size())
        : 0;
  }

  /** The cheapest kind for the job's tasks of which more can be had, or null. */
  private Kind choose(JobSpec spec) {
    Kind best = null;
    double bestCost = Double.MAX_VALUE;
    boolean smallerServes = catalog.smallerServes(spec);
    for (MachineType t : catalog.types()) {
      for (String zone : t.zones()) {
        for (boolean spot : new boolean[] {false, true}) {
          Kind kind = new Kind(t.name(), zone, spot);
          int fit = fit(spec, kind);
          if (fit == 0
              || refused.containsKey(kind)
              || planned.getOrDefault(kind, 0.0) >= MAX_HIRE) {
            continue;
          }
          double cost = (spot ? t.spotPrice() : t.price()) / fit;
          // Machines many times too large are left to tasks that fit nowhere else.
          if (fit >= Catalog.OVERSIZE && smallerServes) {
            cost *= OVERSIZE_COST;
          }
          if (cost < bestCost) {
            bestCost = cost;
            best = kind;
          }
        }
      }
    }
    return best;
  }
}
