package dev.dunefront.book;

import dev.dunefront.config.Settings;
import dev.dunefront.store.Membership;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/** The other controllers as far as machines go: how many each holds, and whether it keeps up. */
final class ControllerLoads {
  /** A controller is behind when its timers are so late. */
  private static final double OVERLOADED_LAG_S = 0.4;

  /** And another keeps up whose timers are late by less than this part of that. */
  private static final double HEALTHY_LAG_FRACTION = 0.4;

  /** Another controller has far fewer machines: this many times, and so many on top. */
  private static final double IMBALANCE_FACTOR = 1.25;

  private static final int IMBALANCE_MARGIN = 4;

  private final Settings settings;
  private final Membership membership;

  /** Machines held by those that can be heard, and by how much their timers are late. */
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

  void update(String node, int machines, double lateS) {
    machineCounts.put(node, machines);
    timerLagsS.put(node, lateS);
  }

  void remove(String node) {
    machineCounts.remove(node);
    timerLagsS.remove(node);
  }

  /** Whether no other controller can be heard. */
  boolean noneReachable() {
    return machineCounts.isEmpty();
  }

  boolean reachable(String node) {
    return machineCounts.containsKey(node);
  }

  /** By how much this controller's own timers are late. */
  void setOwnTimerLag(double seconds) {
    ownTimerLagS = seconds;
  }

  /** The living controller within reach that holds least of those that qualify, or null. */
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

  /** The controller of a zone to which a machine of that zone is best sent, or null. */
  String assignInZone(String zone) {
    String best = leastLoaded(p -> p.zone().equals(zone));
    if (best != null) {
      // Counted at once, so that a wave of machines is not all sent to one.
      machineCounts.merge(best, 1, Integer::sum);
    }
    return best;
  }

  /** A controller of this zone that holds far fewer machines than this one, or null. */
  String lessLoadedInOwnZone(int held) {
    String best = leastLoaded(p -> p.zone().equals(settings.zone()));
    return best != null && held > machineCounts.get(best) * IMBALANCE_FACTOR + IMBALANCE_MARGIN
        ? best
        : null;
  }

  /** Which controller should rather hold a machine of this zone, or null. */
  String preferredHolder(String zone, String farBelow) {
    return zone.equals(settings.zone()) || !zones.contains(zone) ? farBelow : assignInZone(zone);
  }

  /**
   * Another controller that keeps up, if this one does not; of its zone if there is one. A
   * controller that has just returned, or computes slowly, falls behind with its machines' reports;
   * what it cannot answer in time would lose its lease, so it passes machines on instead.
   */
  String offloadTarget() {
    if (ownTimerLagS < OVERLOADED_LAG_S) {
      return null;
    }
    Predicate<Settings.Peer> keepsUp =
        p -> timerLagsS.getOrDefault(p.node(), ownTimerLagS) < ownTimerLagS * HEALTHY_LAG_FRACTION;
    String near = leastLoaded(p -> p.zone().equals(settings.zone()) && keepsUp.test(p));
    return near != null ? near : leastLoaded(keepsUp);
  }
}
