package dev.dunefront.book;

import dev.dunefront.config.Settings;
import dev.dunefront.store.Membership;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/** How many machines each of the other controllers holds, and whether it keeps up. */
final class Neighbours {
  /** A controller is overloaded if its timers run at least this late, in seconds. */
  private static final double BEHIND_S = 0.4;

  /**
   * Another controller keeps up if its timers run late by less than this fraction of the overloaded
   * one's lag.
   */
  private static final double KEEPS_UP = 0.4;

  /**
   * Another controller holds far fewer machines if this one exceeds its count by this factor plus
   * the margin.
   */
  private static final double FAR_MORE = 1.25;

  private static final int FEW = 4;

  private final Settings settings;
  private final Membership membership;

  /**
   * Number of machines held by each connected controller, and by how much its timers run late in
   * seconds.
   */
  private final Map<String, Integer> loads = new HashMap<>();

  private final Map<String, Double> lags = new HashMap<>();
  private final Set<String> zones = new HashSet<>();
  private double lagS;

  Neighbours(Settings settings, Membership membership) {
    this.settings = settings;
    this.membership = membership;
    zones.add(settings.zone());
    settings.peers().forEach(p -> zones.add(p.zone()));
  }

  /** Records the load that a controller has reported. */
  void tells(String node, int machineCount, double lateS) {
    loads.put(node, machineCount);
    lags.put(node, lateS);
  }

  /** The connection to a controller has closed. */
  void gone(String node) {
    loads.remove(node);
    lags.remove(node);
  }

  /** Whether no other controller is connected. */
  boolean none() {
    return loads.isEmpty();
  }

  boolean reachable(String node) {
    return loads.containsKey(node);
  }

  /** Records by how much this controller's own timers run late, in seconds. */
  void late(double seconds) {
    lagS = seconds;
  }

  /** The live, connected controller with the fewest machines among those that qualify, or null. */
  private String leastLoaded(Predicate<Settings.Peer> qualifies) {
    String best = null;
    for (Settings.Peer p : settings.peers()) {
      if (qualifies.test(p)
          && loads.containsKey(p.node())
          && membership.liveNodes().contains(p.node())
          && (best == null || loads.get(p.node()) < loads.get(best))) {
        best = p.node();
      }
    }
    return best;
  }

  /**
   * The controller of this zone with the fewest machines, to which a machine of the zone is sent;
   * null if there is none.
   */
  String of(String zone) {
    String target = leastLoaded(p -> p.zone().equals(zone));
    if (target != null) {
      // The machine is counted at once, so that many arriving machines are not all sent to the
      // same controller.
      loads.merge(target, 1, Integer::sum);
    }
    return target;
  }

  /** A controller of this controller's zone that holds far fewer machines, or null. */
  String farBelow(int ownCount) {
    String target = leastLoaded(p -> p.zone().equals(settings.zone()));
    return target != null && ownCount > loads.get(target) * FAR_MORE + FEW ? target : null;
  }

  /**
   * The controller that should hold a machine of the given zone instead of this one, or null.
   *
   * @param farBelow the result of {@link #farBelow}
   */
  String better(String zone, String farBelow) {
    return zone.equals(settings.zone()) || !zones.contains(zone) ? farBelow : of(zone);
  }

  /**
   * Another controller that keeps up, preferably of this zone; null if there is none or this
   * controller is not overloaded itself. A controller that has just restarted or runs on a slow
   * host falls behind with the reports of its machines. Workers that it does not answer in time
   * would lose their leases, so it redirects machines instead.
   */
  String idler() {
    if (lagS < BEHIND_S) {
      return null;
    }
    Predicate<Settings.Peer> keepsUp = p -> lags.getOrDefault(p.node(), lagS) < lagS * KEEPS_UP;
    String sameZone = leastLoaded(p -> p.zone().equals(settings.zone()) && keepsUp.test(p));
    return sameZone != null ? sameZone : leastLoaded(keepsUp);
  }
}
