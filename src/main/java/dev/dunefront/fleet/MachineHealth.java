package dev.dunefront.fleet;

import dev.dunefront.book.HoldTable;
import dev.dunefront.claim.MachineTable;
import dev.dunefront.config.Settings;
import dev.dunefront.fleet.CloudClient.ListedMachine;
import dev.dunefront.store.Membership;
import dev.dunefront.wire.MachineType;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Which machines are to be deleted because they are of no use any more, and why. */
final class MachineHealth {
  /** A zone with at least so many silent machines, and this part of all, is cut off. */
  private static final int PARTITION_MIN_SILENT = 4;

  private static final double PARTITION_SILENT_FRACTION = 0.3;

  /** How often records are looked through for machines that are gone. */
  private static final double STRAY_SCAN_INTERVAL_S = 10;

  /** How many leases long machines in a cut zone are waited for. */
  private static final double PARTITION_TIMEOUT_LEASES = 10;

  private final Settings settings;
  private final Membership membership;
  private final HoldTable holds;
  private final MachineTable room;
  private final MachineCatalog catalog;
  private final Inventory inventory;
  private final Map<String, Double> silentSince = new HashMap<>();
  private final Map<String, Double> unlistedSince = new HashMap<>();
  private final Map<String, Double> unresponsiveSince = new HashMap<>();

  /** Machines on record that are neither heard nor listed, as of the last look. */
  private Set<String> strays = Set.of();

  private double straysScannedAt = Double.NEGATIVE_INFINITY;

  MachineHealth(
      Settings settings,
      Membership membership,
      HoldTable holds,
      MachineTable room,
      MachineCatalog catalog,
      Inventory inventory) {
    this.settings = settings;
    this.membership = membership;
    this.holds = holds;
    this.room = room;
    this.catalog = catalog;
    this.inventory = inventory;
  }

  /** Begins with what a former holder of the duty has noted: times of day, now being one. */
  void startTerm(Intents left, double now, long nowMs) {
    restore(left.silentSinceMs, silentSince, now, nowMs);
    restore(left.unlistedSinceMs, unlistedSince, now, nowMs);
  }

  private static void restore(
      Map<String, Long> from, Map<String, Double> into, double now, long nowMs) {
    into.clear();
    from.forEach((host, ms) -> into.put(host, Math.min(now, now - (nowMs - ms) / 1000.0)));
  }

  /** Notes since when machines are silent; says whether that has changed. */
  boolean saveTo(Intents into, double now, long nowMs) {
    boolean changed = !into.silentSinceMs.keySet().equals(silentSince.keySet());
    changed |= !into.unlistedSinceMs.keySet().equals(unlistedSince.keySet());
    if (changed) {
      save(silentSince, into.silentSinceMs, now, nowMs);
      save(unlistedSince, into.unlistedSinceMs, now, nowMs);
    }
    return changed;
  }

  private static void save(
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
    Set<String> cut = partitionedZones(silent);
    // What a former holder has noted counts, but this one must have listened for a lease as well.
    boolean listened = watchedS > lease;
    Set<String> running = new HashSet<>();
    for (ListedMachine l : inventory.listed()) {
      MachineTable.Entry seen = room.get(l.host());
      MachineType type = catalog.type(l.kind().type());
      if (l.failed()) {
        why.put(l.host(), ReturnReason.FAILED);
      } else if (l.booting()) {
        double patience = 30 + 4 * (type == null ? 30 : type.bootS());
        if (seen == null && now - l.statusSince() > patience) {
          why.put(l.host(), ReturnReason.NOT_BOOTING);
        }
      } else if (silent.contains(l.host())) {
        running.add(l.host());
        double since = silentSince.computeIfAbsent(l.host(), h -> now);
        double patience =
            cut.contains(l.kind().zone())
                ? PARTITION_TIMEOUT_LEASES * lease
                : silenceTimeoutS(type, lease);
        if (now - since > patience && listened) {
          why.put(l.host(), ReturnReason.SILENT);
        }
      }
      if (seen != null && seen.view().quarantined()) {
        why.put(l.host(), ReturnReason.QUARANTINED);
      }
    }
    silentSince.keySet().retainAll(running);
    checkUnresponsive(now, lease, listened, why);
    if (now - straysScannedAt > STRAY_SCAN_INTERVAL_S) {
      straysScannedAt = now;
      strays = strays();
    }
    unheard.addAll(strays);
    checkUnlisted(now, listened && watchedS > 2 * settings.cloudLimits().listLagS(), unheard, why);
  }

  /**
   * Machines that are heard but do not hear are of no more use than silent ones, and are waited for
   * as long; but they say nothing of their zone, which is heard. How long that has been so is not
   * handed over: whoever has the duty next waits anew.
   */
  private void checkUnresponsive(
      double now, double lease, boolean listened, Map<String, ReturnReason> why) {
    Set<String> deaf = new HashSet<>();
    for (MachineTable.Entry seen : room.all()) {
      if (seen.view().unresponsive()) {
        String host = seen.view().host();
        deaf.add(host);
        double since = unresponsiveSince.computeIfAbsent(host, h -> now);
        double patience = silenceTimeoutS(catalog.type(seen.view().type()), lease);
        if (now - since > patience && listened) {
          why.put(host, ReturnReason.DEAF);
        }
      }
    }
    unresponsiveSince.keySet().retainAll(deaf);
  }

  /**
   * Machines that nobody hears and that are no longer listed are gone, yet somebody has tasks
   * placed on them: the holder ended together with the machine, and its next life never heard of
   * it. Only the cloud's answer to a deletion proves those tasks gone; without it they would wait
   * for ever.
   */
  private void checkUnlisted(
      double now, boolean watched, Set<String> unheard, Map<String, ReturnReason> why) {
    unheard.removeIf(
        h -> inventory.isListed(h) || inventory.isDeleted(h) || isReporting(room.get(h)));
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
    for (HoldTable.Hold h : holds.records()) {
      MachineTable.Entry seen = room.get(h.host());
      boolean held = seen != null && !seen.view().leaseExpired();
      if (!h.machineDeleted()
          && !held
          && !inventory.isListed(h.host())
          && !inventory.isExpected(h.host())) {
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
  private double silenceTimeoutS(MachineType type, double lease) {
    double boot = type == null ? 30 : type.bootS();
    return 2 * lease + 1.5 * boot + settings.cloudLimits().listLagS();
  }

  /**
   * Zones of which so much is silent at once that the zone must be cut off, not its machines
   * broken. Inside, they may well be heard and run their tasks.
   */
  private Set<String> partitionedZones(Set<String> silent) {
    Map<String, int[]> zones = new HashMap<>();
    for (ListedMachine l : inventory.listed()) {
      if (l.running()) {
        int[] counts = zones.computeIfAbsent(l.kind().zone(), z -> new int[2]);
        counts[0]++;
        counts[1] += silent.contains(l.host()) ? 1 : 0;
      }
    }
    Set<String> cut = new HashSet<>();
    zones.forEach(
        (zone, counts) -> {
          if (counts[1] >= PARTITION_MIN_SILENT
              && counts[1] > counts[0] * PARTITION_SILENT_FRACTION) {
            cut.add(zone);
          }
        });
    return cut;
  }

  private static boolean isReporting(MachineTable.Entry seen) {
    return seen != null && seen.view().tokenAcknowledged() && !seen.view().leaseExpired();
  }

  /** Listed machines that should be heard and are not. */
  private Set<String> silentHosts(Set<String> heardFrom) {
    Set<String> silent = new HashSet<>();
    for (ListedMachine l : inventory.listed()) {
      if (!l.failed() && !l.booting() && isSilent(l, room.get(l.host()), heardFrom)) {
        silent.add(l.host());
      }
    }
    return silent;
  }

  /** Nobody hears the machine, as far as can be told here. */
  private boolean isSilent(ListedMachine l, MachineTable.Entry seen, Set<String> heardFrom) {
    if (seen != null) {
      return seen.view().leaseExpired();
    }
    HoldTable.Hold hold = holds.holdOf(l.host(), l.kind().zone());
    if (hold == null || hold.machineDeleted()) {
      return hold != null;
    }
    // A live holder that can be heard would have told of the machine if it heard it itself.
    String holder = Membership.nodeOf(hold.holder());
    return !membership.liveNodes().contains(holder) || heardFrom.contains(holder);
  }
}
