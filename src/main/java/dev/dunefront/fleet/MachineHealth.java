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

/** Decides which machines to delete because they failed, are silent or are gone, and why. */
final class MachineHealth {
  /**
   * A zone counts as partitioned if at least this many of its machines are silent, and more than
   * {@link #PARTITION_SILENT_FRACTION} of all.
   */
  private static final int PARTITION_MIN_SILENT = 4;

  private static final double PARTITION_SILENT_FRACTION = 0.3;

  /** How often the hold records are scanned for machines that no longer exist. */
  private static final double STRAY_SCAN_INTERVAL_S = 10;

  /** Timeout for silent machines in a partitioned zone, in worker leases. */
  private static final double PARTITION_TIMEOUT_LEASES = 10;

  private final Settings settings;
  private final Membership membership;
  private final HoldTable holds;
  private final MachineTable machines;
  private final MachineCatalog catalog;
  private final Inventory inventory;
  private final Map<String, Double> silentSince = new HashMap<>();
  private final Map<String, Double> unlistedSince = new HashMap<>();
  private final Map<String, Double> unresponsiveSince = new HashMap<>();

  /** Recorded machines that neither report nor are listed, as of the last scan. */
  private Set<String> strays = Set.of();

  private double straysScannedAt = Double.NEGATIVE_INFINITY;

  MachineHealth(
      Settings settings,
      Membership membership,
      HoldTable holds,
      MachineTable machines,
      MachineCatalog catalog,
      Inventory inventory) {
    this.settings = settings;
    this.membership = membership;
    this.holds = holds;
    this.machines = machines;
    this.catalog = catalog;
    this.inventory = inventory;
  }

  /**
   * Starts a term with the times that the previous holder recorded.
   *
   * @param nowMs the time of day that corresponds to {@code now} on the steady clock
   */
  void startTerm(Intents previous, double now, long nowMs) {
    restore(previous.silentSinceMs, silentSince, now, nowMs);
    restore(previous.unlistedSinceMs, unlistedSince, now, nowMs);
  }

  private static void restore(
      Map<String, Long> from, Map<String, Double> into, double now, long nowMs) {
    into.clear();
    from.forEach((host, ms) -> into.put(host, Math.min(now, now - (nowMs - ms) / 1000.0)));
  }

  /**
   * Saves since when machines are silent or unlisted, as times of day; returns whether the set of
   * such machines has changed.
   */
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
   * Adds the machines to delete to {@code reasons}.
   *
   * @param watchedS time since this controller started its term
   * @param reporting controllers that have reported their demand
   * @param unreported machines with tasks for which no controller reports a view; changed by the
   *     call
   */
  void addMachinesToReturn(
      double now,
      double watchedS,
      Set<String> reporting,
      Set<String> unreported,
      Map<String, ReturnReason> reasons) {
    double leaseS = settings.workers().leaseS();
    Set<String> silent = silentHosts(reporting);
    Set<String> partitioned = partitionedZones(silent);
    // The previous holder's times count, but this controller must have watched for a lease as well.
    boolean watchedLease = watchedS > leaseS;
    Set<String> running = new HashSet<>();
    for (ListedMachine l : inventory.listed()) {
      MachineTable.Entry entry = machines.get(l.host());
      MachineType type = catalog.type(l.kind().type());
      if (l.failed()) {
        reasons.put(l.host(), ReturnReason.FAILED);
      } else if (l.booting()) {
        double bootTimeout = 30 + 4 * (type == null ? 30 : type.bootS());
        if (entry == null && now - l.statusSince() > bootTimeout) {
          reasons.put(l.host(), ReturnReason.NOT_BOOTING);
        }
      } else if (silent.contains(l.host())) {
        running.add(l.host());
        double since = silentSince.computeIfAbsent(l.host(), h -> now);
        double timeout =
            partitioned.contains(l.kind().zone())
                ? PARTITION_TIMEOUT_LEASES * leaseS
                : silenceTimeoutS(type, leaseS);
        if (now - since > timeout && watchedLease) {
          reasons.put(l.host(), ReturnReason.SILENT);
        }
      }
      if (entry != null && entry.view().quarantined()) {
        reasons.put(l.host(), ReturnReason.QUARANTINED);
      }
    }
    silentSince.keySet().retainAll(running);
    checkUnresponsive(now, leaseS, watchedLease, reasons);
    if (now - straysScannedAt > STRAY_SCAN_INTERVAL_S) {
      straysScannedAt = now;
      strays = strays();
    }
    unreported.addAll(strays);
    checkUnlisted(
        now, watchedLease && watchedS > 2 * settings.cloudLimits().listLagS(), unreported, reasons);
  }

  /**
   * Finds machines whose reports arrive but which receive no messages. They are as useless as
   * silent machines and get the same timeout, but do not count towards a partition of their zone,
   * since their reports arrive from it. The times are not handed over: the next holder of the duty
   * starts the timeout again.
   */
  private void checkUnresponsive(
      double now, double leaseS, boolean watchedLease, Map<String, ReturnReason> reasons) {
    Set<String> unresponsive = new HashSet<>();
    for (MachineTable.Entry entry : machines.all()) {
      if (entry.view().unresponsive()) {
        String host = entry.view().host();
        unresponsive.add(host);
        double since = unresponsiveSince.computeIfAbsent(host, h -> now);
        double timeout = silenceTimeoutS(catalog.type(entry.view().type()), leaseS);
        if (now - since > timeout && watchedLease) {
          reasons.put(host, ReturnReason.DEAF);
        }
      }
    }
    unresponsiveSince.keySet().retainAll(unresponsive);
  }

  /**
   * Finds machines that neither report nor are listed although they have tasks placed on them. The
   * holder failed together with the machine, and after its restart the machine never reported to
   * it. Only the cloud's confirmation of a deletion proves that those tasks are over; without it
   * they would never be placed again.
   */
  private void checkUnlisted(
      double now, boolean watched, Set<String> unreported, Map<String, ReturnReason> reasons) {
    unreported.removeIf(
        h -> inventory.isListed(h) || inventory.isDeleted(h) || isReporting(machines.get(h)));
    unlistedSince.keySet().retainAll(unreported);
    // A new machine is listed within twice the list lag and stays listed until it is deleted.
    double timeout = 2 * settings.workers().leaseS() + 3 * settings.cloudLimits().listLagS();
    for (String host : unreported) {
      double since = unlistedSince.computeIfAbsent(host, h -> now);
      if (now - since > timeout && watched) {
        reasons.put(host, ReturnReason.UNLISTED);
      }
    }
  }

  /**
   * Finds hold records of machines that the cloud reclaimed without notice, or that ended while no
   * controller held them. Deleting such a machine by name marks its record as deleted, after which
   * the clean-up removes it.
   */
  private Set<String> strays() {
    Set<String> found = new HashSet<>();
    for (HoldTable.Hold h : holds.records()) {
      MachineTable.Entry entry = machines.get(h.host());
      boolean held = entry != null && !entry.view().leaseExpired();
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
   * Timeout for a silent machine: about the time that a replacement would take. The cloud lists
   * failed machines as failed; a silent one mostly hangs or is partitioned, and returns with its
   * cached images before a replacement has fetched them.
   */
  private double silenceTimeoutS(MachineType type, double leaseS) {
    double bootS = type == null ? 30 : type.bootS();
    return 2 * leaseS + 1.5 * bootS + settings.cloudLimits().listLagS();
  }

  /**
   * Zones in which so many machines are silent at once that a network partition is more likely than
   * broken machines. Inside the zone they may still be reachable and run their tasks.
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
    Set<String> partitioned = new HashSet<>();
    zones.forEach(
        (zone, counts) -> {
          if (counts[1] >= PARTITION_MIN_SILENT
              && counts[1] > counts[0] * PARTITION_SILENT_FRACTION) {
            partitioned.add(zone);
          }
        });
    return partitioned;
  }

  private static boolean isReporting(MachineTable.Entry entry) {
    return entry != null && entry.view().tokenAcknowledged() && !entry.view().leaseExpired();
  }

  /** Running listed machines from which no controller receives reports. */
  private Set<String> silentHosts(Set<String> reporting) {
    Set<String> silent = new HashSet<>();
    for (ListedMachine l : inventory.listed()) {
      if (!l.failed() && !l.booting() && isSilent(l, machines.get(l.host()), reporting)) {
        silent.add(l.host());
      }
    }
    return silent;
  }

  /** Whether no controller receives the machine's reports, as far as this controller knows. */
  private boolean isSilent(ListedMachine l, MachineTable.Entry entry, Set<String> reporting) {
    if (entry != null) {
      return entry.view().leaseExpired();
    }
    HoldTable.Hold hold = holds.holdOf(l.host(), l.kind().zone());
    if (hold == null || hold.machineDeleted()) {
      return hold != null;
    }
    // A live holder that reports to this controller would have sent a view of the machine.
    String holder = Membership.nodeOf(hold.holder());
    return !membership.liveNodes().contains(holder) || reporting.contains(holder);
  }
}
