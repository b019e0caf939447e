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
final class Market {
  static final int MAX_HIRE = 50;

  /** Tolerance for fractional counts. */
  private static final double NONE = 1e-6;

  private static final double URGENT_WEIGHT = 4;

  /** Cost factor for oversized machines that should be left to other jobs. */
  private static final double OVERSIZE_COST = 2;

  private final Catalog catalog;
  private final Set<Kind> refused;
  private final Map<Kind, Double> planned = new LinkedHashMap<>();

  /** Kinds planned for queued urgent tasks. */
  private final Set<Kind> urgent = new HashSet<>();

  Market(Catalog catalog, Set<Kind> refused) {
    this.catalog = catalog;
    this.refused = refused;
  }

  /** Allocates existing or arriving machines that the tasks would use, and reduces both counts. */
  void fill(Need need, Map<Kind, Double> machines) {
    for (var e : machines.entrySet()) {
      int perMachine = couldUse(need.spec, e.getKey()) ? fit(need.spec, e.getKey()) : 0;
      double unmet = need.wantedIn(e.getKey().zone());
      if (perMachine > 0 && unmet > NONE) {
        double used = Math.min(e.getValue(), unmet / perMachine);
        need.found(e.getKey().zone(), used * perMachine);
        e.setValue(e.getValue() - used);
      }
    }
  }

  /**
   * Adds machines for the tasks to the plan, the cheapest available kinds first. Once a kind
   * reaches the limit of one rent request, the rest waits for the next request instead of using a
   * more expensive kind.
   */
  void plan(Need need, boolean spotOnly) {
    Kind kind;
    while (need.missing() > NONE && (kind = choose(need, spotOnly)) != null) {
      int perMachine = fit(need.spec, kind);
      double already = planned.getOrDefault(kind, 0.0);
      double more = Math.min(MAX_HIRE - already, need.wantedIn(kind.zone()) / perMachine);
      if (more <= NONE) {
        return;
      }
      planned.put(kind, already + more);
      if (need.waits && need.spec.priority().urgent()) {
        urgent.add(kind);
      }
      need.found(kind.zone(), more * perMachine);
    }
  }

  /** Whether a spot kind that the job may use has not been refused by the cloud. */
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
   * The kind to rent next: the one with the most planned machines, or null if none is planned.
   * Kinds for urgent tasks get a higher weight but no strict precedence: urgent jobs arrive one by
   * one, and a request for a few machines each time would delay hundreds of others.
   */
  Kind most() {
    Kind heaviest = null;
    for (Kind k : planned.keySet()) {
      if (heaviest == null || weight(k) > weight(heaviest)) {
        heaviest = k;
      }
    }
    return heaviest;
  }

  private double weight(Kind kind) {
    return planned.get(kind) * (urgent.contains(kind) ? URGENT_WEIGHT : 1);
  }

  /** Number of planned machines of the kind, rounded up. */
  int count(Kind kind) {
    return (int) Math.ceil(planned.getOrDefault(kind, 0.0) - NONE);
  }

  /** Whether the job's tasks would use a machine of the kind rather than wait for a cheaper one. */
  boolean couldUse(JobSpec spec, Kind kind) {
    return fit(spec, kind) > 0
        && (!catalog.dear(spec, catalog.type(kind.type()))
            || !toBeHad(spec, catalog.home(spec), false));
  }

  /** How many tasks of the job fit on a machine of the kind; 0 if it is not allowed there. */
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
    boolean avoidsOversized = catalog.leavesLarge(need.spec);
    for (MachineType t : catalog.types()) {
      for (String zone : t.zones()) {
        for (boolean spot : new boolean[] {false, true}) {
          Kind kind = new Kind(t.name(), zone, spot);
          int perMachine = fit(need.spec, kind);
          if (perMachine == 0
              || spotOnly && !spot
              || refused.contains(kind)
              || need.wantedIn(zone) <= NONE) {
            continue;
          }
          double cost = (spot ? t.spotPrice() : t.price()) / perMachine * bootPart(need, t, spot);
          if (perMachine >= Catalog.OVERSIZE && avoidsOversized) {
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

  /**
   * Whether this is an on-demand machine for a load peak that spot machines could serve as well.
   */
  private static boolean peak(Need need, boolean spot) {
    return need.spec.spot() && !need.spec.priority().urgent() && !spot;
  }

  /**
   * Cost factor for the boot time: a machine rented for a load peak boots for a single run, so its
   * boot is part of the cost of a task.
   */
  private static double bootPart(Need need, MachineType type, boolean spot) {
    return peak(need, spot) && need.runS > 0 ? 1 + type.bootS() / need.runS : 1;
  }
}
