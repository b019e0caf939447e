package dev.dunefront.book;

import dev.dunefront.config.Settings;
import dev.dunefront.store.Membership;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/** How many machines each of the other controllers holds, and whether it keeps up. */
final class ControllerLoads {
  /** A controller is overloaded if its timers run at least this late, in seconds. */
  private static final double OVERLOADED_LAG_S = 0.4;

  /**
   * Another controller keeps up if its timers run late by less than this fraction of the overloaded
   * one's lag.
   */
  private static final double HEALTHY_LAG_FRACTION = 0.4;

  /**
   * Another controller holds far fewer machines if this one exceeds its count by this factor plus
   * the margin.
   */
  private static final double IMBALANCE_FACTOR = 1.25;

  private static final int IMBALANCE_MARGIN = 4;

  private final Settings settings;
  private final Membership membership;

  /**
   * Number of machines held by each connected controller, and by how much its timers run late in
   * seconds.
   */
  private final Map<String, Integer> machineCounts = new HashMap<>();

  private final Map<String, Double> timerLagsS = new HashMap<>();
  private final Set<String> zones = new HashSet<>();
  private double ownTimerLagS;

  ControllerLoads(Settings settings, Membership membership) {
    this.settings = settings;
    this.membership = membership;
    zones.add(settings.zone());
    settings.peers().forEach(p -> zones.add(p.zone()));
  }

  /** Records the load that a controller has reported. */
  void update(String node, int machineCount, double timerLagS) {
    machineCounts.put(node, machineCount);
    timerLagsS.put(node, timerLagS);
  }

  /** Removes a controller whose connection has closed. */
  void remove(String node) {
    machineCounts.remove(node);
    timerLagsS.remove(node);
  }

  /** Whether no other controller is connected. */
  boolean noneReachable() {
    return machineCounts.isEmpty();
  }

  boolean reachable(String node) {
    return machineCounts.containsKey(node);
  }

  /** Records by how much this controller's own timers run late, in seconds. */
  void setOwnTimerLag(double seconds) {
    ownTimerLagS = seconds;
  }

  /** The live, connected controller with the fewest machines among those that qualify, or null. */
  private String leastLoaded(Predicate<Settings.Peer> qualifies) {
    String best = null;
    for (Settings.Peer p : settings.peers()) {
      if (qualifies.test(p)
          && machineCounts.containsKey(p.node())
          && membership.liveNodes().contains(p.node())
          && (best == null || machineCounts.get(p.node()) < machineCounts.get(best))) {
        best = p.node();
      }
    }
    return best;
  }

  /**
   * The controller of this zone with the fewest machines, to which a machine of the zone is sent;
   * null if there is none.
   */
  String assignInZone(String zone) {
    String target = leastLoaded(p -> p.zone().equals(zone));
    if (target != null) {
      // The machine is counted at once, so that many arriving machines are not all sent to the
      // same controller.
      machineCounts.merge(target, 1, Integer::sum);
    }
    return target;
  }

  /** A controller of this controller's zone that holds far fewer machines, or null. */
  String lessLoadedInOwnZone(int ownCount) {
    String target = leastLoaded(p -> p.zone().equals(settings.zone()));
    return target != null
            && ownCount > machineCounts.get(target) * IMBALANCE_FACTOR + IMBALANCE_MARGIN
        ? target
        : null;
  }

  /**
   * The controller that should hold a machine of the given zone instead of this one, or null.
   *
   * @param lessLoaded the result of {@link #lessLoadedInOwnZone}
   */
  String preferredHolder(String zone, String lessLoaded) {
    return zone.equals(settings.zone()) || !zones.contains(zone) ? lessLoaded : assignInZone(zone);
  }

  /**
   * Another controller that keeps up, preferably of this zone; null if there is none or this
   * controller is not overloaded itself. A controller that has just restarted or runs on a slow
   * host falls behind with the reports of its machines. Workers that it does not answer in time
   * would lose their leases, so it redirects machines instead.
   */
  String offloadTarget() {
    if (ownTimerLagS < OVERLOADED_LAG_S) {
      return null;
    }
    Predicate<Settings.Peer> keepsUp =
        p -> timerLagsS.getOrDefault(p.node(), ownTimerLagS) < ownTimerLagS * HEALTHY_LAG_FRACTION;
    String sameZone = leastLoaded(p -> p.zone().equals(settings.zone()) && keepsUp.test(p));
    return sameZone != null ? sameZone : leastLoaded(keepsUp);
  }
}
