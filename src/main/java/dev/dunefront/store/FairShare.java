package dev.dunefront.store;

import java.util.ArrayList;
import java.util.List;

/**
 * Divides a rate limit among the live controllers by max-min fairness: each gets at least an equal
 * share if it needs it, and unused capacity goes to the others. All controllers compute the shares
 * from the same usage reports, so the sum stays within the limit.
 */
final class FairShare {
  /** Factor applied to the reported usage, so that rising demand finds capacity. */
  private static final double DEMAND_HEADROOM = 1.3;

  private static final double MIN_DEMAND_PER_S = 1;

  private final double totalPerS;
  private final int controllers;

  FairShare(double totalPerS, int controllers) {
    this.totalPerS = totalPerS;
    this.controllers = controllers;
  }

  /** Share of each controller while the usage of the others is unknown. */
  double equalShare() {
    return totalPerS / controllers;
  }

  /**
   * Returns the share of a controller that uses {@code own} per second, next to the usage of the
   * other live controllers.
   */
  double allocate(double own, List<Double> others) {
    List<Double> demands = new ArrayList<>();
    others.forEach(d -> demands.add(d * DEMAND_HEADROOM + MIN_DEMAND_PER_S));
    double ownDemand = own * DEMAND_HEADROOM + MIN_DEMAND_PER_S;
    demands.add(ownDemand);
    demands.sort(null);
    double remaining = totalPerS;
    int remainingDemands = demands.size();
    for (double d : demands) {
      double evenShare = remaining / remainingDemands;
      if (evenShare <= d) {
        // This and all larger demands exceed the remaining capacity: they get equal shares of it.
        return Math.min(ownDemand, evenShare);
      }
      remaining -= d;
      remainingDemands--;
    }
    // All demands are met; the rest is divided evenly.
    return ownDemand + remaining / demands.size();
  }
}
