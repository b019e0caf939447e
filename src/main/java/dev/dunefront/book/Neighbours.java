package dev.dunefront.book;

import dev.dunefront.config.Settings;
import dev.dunefront.store.Membership;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/** The other controllers as far as machines go: how many each holds, and whether it keeps up. */
final class Neighbours {
  /** A controller is behind when its timers are so late. */
  private static final double BEHIND_S = 0.4;

  /** And another keeps up whose timers are late by less than this part of that. */
  private static final double KEEPS_UP = 0.4;

  /** Another controller has far fewer machines: this many times, and so many on top. */
  private static final double FAR_MORE = 1.25;

  private static final int FEW = 4;

  private final Settings settings;
  private final Membership membership;

  /** Machines held by those that can be heard, and by how much their timers are late. */
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

  void tells(String node, int machines, double lateS) {
    loads.put(node, machines);
    lags.put(node, lateS);
  }

  void gone(String node) {
    loads.remove(node);
    lags.remove(node);
  }

  /** Whether no other controller can be heard. */
  boolean none() {
    return loads.isEmpty();
  }

  boolean reachable(String node) {
    return loads.containsKey(node);
  }

  /** By how much this controller's own timers are late. */
  void late(double seconds) {
    lagS = seconds;
  }

  /** The living controller within reach that holds least of those that qualify, or null. */
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

  /** The controller of a zone to which a machine of that zone is best sent, or null. */
  String of(String zone) {
    String best = leastLoaded(p -> p.zone().equals(zone));
    if (best != null) {
      // Counted at once, so that a wave of machines is not all sent to one.
      loads.merge(best, 1, Integer::sum);
    }
    return best;
  }

  /** A controller of this zone that holds far fewer machines than this one, or null. */
  String farBelow(int held) {
    String best = leastLoaded(p -> p.zone().equals(settings.zone()));
    return best != null && held > loads.get(best) * FAR_MORE + FEW ? best : null;
  }

  /** Which controller should rather hold a machine of this zone, or null. */
  String better(String zone, String farBelow) {
    return zone.equals(settings.zone()) || !zones.contains(zone) ? farBelow : of(zone);
  }

  /**
   * Another controller that keeps up, if this one does not; of its zone if there is one. A
   * controller that has just returned, or computes slowly, falls behind with its machines' reports;
   * what it cannot answer in time would lose its lease, so it passes machines on instead.
   */
  String idler() {
    if (lagS < BEHIND_S) {
      return null;
    }
    Predicate<Settings.Peer> keepsUp = p -> lags.getOrDefault(p.node(), lagS) < lagS * KEEPS_UP;
    String near = leastLoaded(p -> p.zone().equals(settings.zone()) && keepsUp.test(p));
    return near != null ? near : leastLoaded(keepsUp);
  }
}
