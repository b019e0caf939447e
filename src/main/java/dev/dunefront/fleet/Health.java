package dev.dunefront.fleet;

import dev.dunefront.book.Holds;
import dev.dunefront.claim.Room;
import dev.dunefront.config.Settings;
import dev.dunefront.fleet.Cloud.Listed;
import dev.dunefront.store.Membership;
import dev.dunefront.wire.MachineType;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Which machines are to be deleted because they are of no use any more, and why. */
final class Health {
  /** A zone with at least so many silent machines, and this part of all, is cut off. */
  private static final int CUT_LEAST = 4;

  private static final double CUT_PART = 0.3;

  /** How often records are looked through for machines that are gone. */
  private static final double STRAYS_S = 10;

  /** How many leases long machines in a cut zone are waited for. */
  private static final double CUT_LEASES = 10;

  private final Settings settings;
  private final Membership membership;
  private final Holds holds;
  private final Room room;
  private final Catalog catalog;
  private final Inventory inventory;
  private final Map<String, Double> silentSince = new HashMap<>();
  private final Map<String, Double> unlistedSince = new HashMap<>();
  private final Map<String, Double> deafSince = new HashMap<>();

  /** Machines on record that are neither heard nor listed, as of the last look. */
  private Set<String> strays = Set.of();

  private double straysAt = Double.NEGATIVE_INFINITY;

  Health(
      Settings settings,
      Membership membership,
      Holds holds,
      Room room,
      Catalog catalog,
      Inventory inventory) {
    this.settings = settings;
    this.membership = membership;
    this.holds = holds;
    this.room = room;
    this.catalog = catalog;
    this.inventory = inventory;
  }

  /** Begins with what a former holder of the duty has noted: times of day, now being one. */
  void begin(Intents left, double now, long nowMs) {
    restore(left.silent, silentSince, now, nowMs);
    restore(left.unlisted, unlistedSince, now, nowMs);
  }

  private static void restore(
      Map<String, Long> from, Map<String, Double> into, double now, long nowMs) {
    into.clear();
    from.forEach((host, ms) -> into.put(host, Math.min(now, now - (nowMs - ms) / 1000.0)));
  }

  /** Notes since when machines are silent; says whether that has changed. */
  boolean note(Intents into, double now, long nowMs) {
    boolean changed = !into.silent.keySet().equals(silentSince.keySet());
    changed |= !into.unlisted.keySet().equals(unlistedSince.keySet());
    if (changed) {
      keep(silentSince, into.silent, now, nowMs);
      keep(unlistedSince, into.unlisted, now, nowMs);
    }
    return changed;
  }

  private static void keep(
      Map<String, Double> from, Map<String, Long> into, double now, long nowMs) {
    into.clear();
    from.forEach((host, since) -> into.put(host, nowMs - Math.round((now - since) * 1000)));
  }

  /**
   * Puts machines and reasons into the map.
   *
   * @param watchedS for how long this controller has watched
   * @param heardFrom controllers that tell what they have
   * @param unheard machines with tasks of which nobody tells
   */
  void check(
      double now,
      double watchedS,
      Set<String> heardFrom,
      Set<String> unheard,
      Map<String, ReturnReason> why) {
    double lease = settings.workers().leaseS();
    Set<String> silent = silentHosts(heardFrom);
    Set<String> cut = cutZones(silent);
    // What a former holder has noted counts, but this one must have listened for a lease as well.
    boolean listened = watchedS > lease;
    Set<String> running = new HashSet<>();
    for (Listed l : inventory.listed()) {
      Room.Seen seen = room.get(l.host());
      MachineType type = catalog.type(l.kind().type());
      if (l.failed()) {
        why.put(l.host(), ReturnReason.FAILED);
      } else if (l.booting()) {
        double patience = 30 + 4 * (type == null ? 30 : type.bootS());
        if (seen == null && now - l.since() > patience) {
          why.put(l.host(), ReturnReason.NOT_BOOTING);
        }
      } else if (silent.contains(l.host())) {
        running.add(l.host());
        double since = silentSince.computeIfAbsent(l.host(), h -> now);
        double patience =
            cut.contains(l.kind().zone()) ? CUT_LEASES * lease : patience(type, lease);
        if (now - since > patience && listened) {
          why.put(l.host(), ReturnReason.SILENT);
        }
      }
      if (seen != null && seen.view().quarantined()) {
        why.put(l.host(), ReturnReason.QUARANTINED);
      }
    }
    silentSince.keySet().retainAll(running);
    deaf(now, lease, listened, why);
    if (now - straysAt > STRAYS_S) {
      straysAt = now;
      strays = strays();
    }
    unheard.addAll(strays);
    unlisted(now, listened && watchedS > 2 * settings.cloudLimits().listLagS(), unheard, why);
  }

  /**
   * Machines that are heard but do not hear are of no more use than silent ones, and are waited for
   * as long; but they say nothing of their zone, which is heard. How long that has been so is not
   * handed over: whoever has the duty next waits anew.
   */
  private void deaf(double now, double lease, boolean listened, Map<String, ReturnReason> why) {
    Set<String> deaf = new HashSet<>();
    for (Room.Seen seen : room.all()) {
      if (seen.view().deaf()) {
        String host = seen.view().host();
        deaf.add(host);
        double since = deafSince.computeIfAbsent(host, h -> now);
        double patience = patience(catalog.type(seen.view().type()), lease);
        if (now - since > patience && listened) {
          why.put(host, ReturnReason.DEAF);
        }
      }
    }
    deafSince.keySet().retainAll(deaf);
  }

  /**
   * Machines that nobody hears and that are no longer listed are gone, yet somebody has tasks
   * placed on them: the holder ended together with the machine, and its next life never heard of
   * it. Only the cloud's answer to a deletion proves those tasks gone; without it they would wait
   * for ever.
   */
  private void unlisted(
      double now, boolean watched, Set<String> unheard, Map<String, ReturnReason> why) {
    unheard.removeIf(h -> inventory.isListed(h) || inventory.isDeleted(h) || heard(room.get(h)));
    unlistedSince.keySet().retainAll(unheard);
    // A new machine is listed within twice the lag, and listed until it is gone.
    double patience = 2 * settings.workers().leaseS() + 3 * settings.cloudLimits().listLagS();
    for (String host : unheard) {
      double since = unlistedSince.computeIfAbsent(host, h -> now);
      if (now - since > patience && watched) {
        why.put(host, ReturnReason.UNLISTED);
      }
    }
  }

  /**
   * Machines that were taken back without notice, or ended while nobody held them, leave their
   * record behind. Once they are deleted by name it says that they are gone, and can go itself.
   */
  private Set<String> strays() {
    Set<String> found = new HashSet<>();
    for (Holds.Hold h : holds.recorded()) {
      Room.Seen seen = room.get(h.host());
      boolean held = seen != null && !seen.view().lost();
      if (!h.dead() && !held && !inventory.isListed(h.host()) && !inventory.isExpected(h.host())) {
        found.add(h.host());
      }
    }
    return found;
  }

  /**
   * How long a silent machine is waited for: about as long as another would take to come. What
   * fails the cloud itself lists as failed; what is silent mostly hangs or is cut off, and is back
   * with its images before another has them.
   */
  private double patience(MachineType type, double lease) {
    double boot = type == null ? 30 : type.bootS();
    return 2 * lease + 1.5 * boot + settings.cloudLimits().listLagS();
  }

  /**
   * Zones of which so much is silent at once that the zone must be cut off, not its machines
   * broken. Inside, they may well be heard and run their tasks.
   */
  private Set<String> cutZones(Set<String> silent) {
    Map<String, int[]> zones = new HashMap<>();
    for (Listed l : inventory.listed()) {
      if (l.running()) {
        int[] counts = zones.computeIfAbsent(l.kind().zone(), z -> new int[2]);
        counts[0]++;
        counts[1] += silent.contains(l.host()) ? 1 : 0;
      }
    }
    Set<String> cut = new HashSet<>();
    zones.forEach(
        (zone, counts) -> {
          if (counts[1] >= CUT_LEAST && counts[1] > counts[0] * CUT_PART) {
            cut.add(zone);
          }
        });
    return cut;
  }

  private static boolean heard(Room.Seen seen) {
    return seen != null && seen.view().settled() && !seen.view().lost();
  }

  /** Listed machines that should be heard and are not. */
  private Set<String> silentHosts(Set<String> heardFrom) {
    Set<String> silent = new HashSet<>();
    for (Listed l : inventory.listed()) {
      if (!l.failed() && !l.booting() && silent(l, room.get(l.host()), heardFrom)) {
        silent.add(l.host());
      }
    }
    return silent;
  }

  /** Nobody hears the machine, as far as can be told here. */
  private boolean silent(Listed l, Room.Seen seen, Set<String> heardFrom) {
    if (seen != null) {
      return seen.view().lost();
    }
    Holds.Hold hold = holds.of(l.host(), l.kind().zone());
    if (hold == null || hold.dead()) {
      return hold != null;
    }
    // A live holder that can be heard would have told of the machine if it heard it itself.
    String holder = Membership.nodeOf(hold.holder());
    return !membership.liveNodes().contains(holder) || heardFrom.contains(holder);
  }
}
