package dev.dunefront.store;

import java.util.ArrayList;
import java.util.List;

/**
 * Divides a rate limit among the live controllers by max-min fairness: each gets at least an equal
 * share if it needs it, and unused capacity goes to the others. All controllers compute the shares
 * from the same usage reports, so the sum stays within the limit.
 */
final class Share {
  /** Factor applied to the reported usage, so that rising demand finds capacity. */
  private static final double RISING = 1.3;

  private static final double LEAST = 1;

  private final double total;
  private final int controllers;

  Share(double total, int controllers) {
    this.total = total;
    this.controllers = controllers;
  }

  /** Share of each controller while the usage of the others is unknown. */
  double equalPart() {
    return total / controllers;
  }

  /**
   * Returns the share of a controller that uses {@code own} per second, next to the usage of the
   * other live controllers.
   */
  double of(double own, List<Double> others) {
    List<Double> demands = new ArrayList<>();
    others.forEach(d -> demands.add(d * RISING + LEAST));
    double ownDemand = own * RISING + LEAST;
    demands.add(ownDemand);
    demands.sort(null);
    double remaining = total;
    int remainingDemands = demands.size();
    for (double d : demands) {
      double equal = remaining / remainingDemands;
      if (equal <= d) {
        // This and all larger demands exceed the remaining capacity: they get equal shares of it.
        return Math.min(ownDemand, equal);
      }
      remaining -= d;
      remainingDemands--;
    }
    // All demands are met; the rest is divided evenly.
    return ownDemand + remaining / demands.size();
  }
}
