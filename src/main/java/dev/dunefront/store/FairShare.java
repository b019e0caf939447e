package dev.dunefront.store;

import java.util.ArrayList;
import java.util.List;

/**
 * One controller's part of a rate that all share. Parts follow what the living controllers ask for:
 * nobody gets less than an equal part if it wants it, and what some leave unused is lent to the
 * others. All work it out alike from what they tell each other, so the sum stays within the rate.
 */
final class FairShare {
  /** Demand is taken a little larger than it was, so that a rising one finds room. */
  private static final double DEMAND_HEADROOM = 1.3;

  private static final double MIN_DEMAND_PER_S = 1;

  private final double totalPerS;
  private final int controllers;

  FairShare(double total, int controllers) {
    this.totalPerS = total;
    this.controllers = controllers;
  }

  /** What each may use while nothing is known of the others. */
  double equalShare() {
    return totalPerS / controllers;
  }

  /** The part of a controller that asks for {@code own} a second beside others that live. */
  double allocate(double own, List<Double> others) {
    List<Double> demands = new ArrayList<>();
    others.forEach(d -> demands.add(d * DEMAND_HEADROOM + MIN_DEMAND_PER_S));
    double mine = own * DEMAND_HEADROOM + MIN_DEMAND_PER_S;
    demands.add(mine);
    demands.sort(null);
    double left = totalPerS;
    int sharers = demands.size();
    for (double d : demands) {
      double part = left / sharers;
      if (part <= d) {
        // From here on everybody wants more than there is: equal parts of the rest.
        return Math.min(mine, part);
      }
      left -= d;
      sharers--;
    }
    // All are content; what is left is spread evenly.
    return mine + left / demands.size();
  }
}
