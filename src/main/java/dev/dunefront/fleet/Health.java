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

/** Decides which machines to delete because they failed, are silent or are gone, and why. */
final class Health {
  /**
   * A zone counts as partitioned if at least this many of its machines are silent, and more than
   * {@link #CUT_PART} of all.
   */
  private static final int CUT_LEAST = 4;

  private static final double CUT_PART = 0.3;

  /** How often the hold records are scanned for machines that no longer exist. */
  private static final double STRAYS_S = 10;

  /** Timeout for silent machines in a partitioned zone, in worker leases. */
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

  /** Recorded machines that neither report nor are listed, as of the last scan. */
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

  /**
   * Starts a term with the times that the previous holder recorded.
   *
   * @param nowMs the time of day that corresponds to {@code now} on the steady clock
   */
  void begin(Intents left, double now, long nowMs) {
    restore(left.silent, silentSince, now, nowMs);
    restore(left.unlisted, unlistedSince, now, nowMs);
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
   * Adds the machines to delete to {@code why}, with their reasons.
   *
   * @param watchedS time since this controller started its term
   * @param reporting controllers that have reported their demand
   * @param unreported machines with tasks for which no controller reports a view; changed by the
   *     call
   */
  void check(
      double now,
      double watchedS,
      Set<String> reporting,
      Set<String> unreported,
      Map<String, ReturnReason> why) {
    double lease = settings.workers().leaseS();
    Set<String> silent = silentHosts(reporting);
    Set<String> partitioned = cutZones(silent);
    // The previous holder's times count, but this controller must have watched for a lease as well.
    boolean watchedLease = watchedS > lease;
    Set<String> running = new HashSet<>();
    for (Listed l : inventory.listed()) {
      Room.Seen seen = room.get(l.host());
      MachineType type = catalog.type(l.kind().type());
      if (l.failed()) {
        why.put(l.host(), ReturnReason.FAILED);
      } else if (l.booting()) {
        double bootTimeout = 30 + 4 * (type == null ? 30 : type.bootS());
        if (seen == null && now - l.since() > bootTimeout) {
          why.put(l.host(), ReturnReason.NOT_BOOTING);
        }
      } else if (silent.contains(l.host())) {
        running.add(l.host());
        double since = silentSince.computeIfAbsent(l.host(), h -> now);
        double timeout =
            partitioned.contains(l.kind().zone()) ? CUT_LEASES * lease : patience(type, lease);
        if (now - since > timeout && watchedLease) {
          why.put(l.host(), ReturnReason.SILENT);
        }
      }
      if (seen != null && seen.view().quarantined()) {
        why.put(l.host(), ReturnReason.QUARANTINED);
      }
    }
    silentSince.keySet().retainAll(running);
    deaf(now, lease, watchedLease, why);
    if (now - straysAt > STRAYS_S) {
      straysAt = now;
      strays = strays();
    }
    unreported.addAll(strays);
    unlisted(
        now, watchedLease && watchedS > 2 * settings.cloudLimits().listLagS(), unreported, why);
  }

  /**
   * Finds machines whose reports arrive but which receive no messages. They are as useless as
   * silent machines and get the same timeout, but do not count towards a partition of their zone,
   * since their reports arrive from it. The times are not handed over: the next holder of the duty
   * starts the timeout again.
   */
  private void deaf(double now, double lease, boolean watchedLease, Map<String, ReturnReason> why) {
    Set<String> notReceiving = new HashSet<>();
    for (Room.Seen seen : room.all()) {
      if (seen.view().deaf()) {
        String host = seen.view().host();
        notReceiving.add(host);
        double since = deafSince.computeIfAbsent(host, h -> now);
        double timeout = patience(catalog.type(seen.view().type()), lease);
        if (now - since > timeout && watchedLease) {
          why.put(host, ReturnReason.DEAF);
        }
      }
    }
    deafSince.keySet().retainAll(notReceiving);
  }

  /**
   * Finds machines that neither report nor are listed although they have tasks placed on them. The
   * holder failed together with the machine, and after its restart the machine never reported to
   * it. Only the cloud's confirmation of a deletion proves that those tasks are over; without it
   * they would never be placed again.
   */
  private void unlisted(
      double now, boolean watched, Set<String> unreported, Map<String, ReturnReason> why) {
    unreported.removeIf(h -> inventory.isListed(h) || inventory.isDeleted(h) || heard(room.get(h)));
    unlistedSince.keySet().retainAll(unreported);
    // A new machine is listed within twice the list lag and stays listed until it is deleted.
    double timeout = 2 * settings.workers().leaseS() + 3 * settings.cloudLimits().listLagS();
    for (String host : unreported) {
      double since = unlistedSince.computeIfAbsent(host, h -> now);
      if (now - since > timeout && watched) {
        why.put(host, ReturnReason.UNLISTED);
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
   * Timeout for a silent machine: about the time that a replacement would take. The cloud lists
   * failed machines as failed; a silent one mostly hangs or is partitioned, and returns with its
   * cached images before a replacement has fetched them.
   */
  private double patience(MachineType type, double lease) {
    double bootS = type == null ? 30 : type.bootS();
    return 2 * lease + 1.5 * bootS + settings.cloudLimits().listLagS();
  }

  /**
   * Zones in which so many machines are silent at once that a network partition is more likely than
   * broken machines. Inside the zone they may still be reachable and run their tasks.
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
    Set<String> partitioned = new HashSet<>();
    zones.forEach(
        (zone, counts) -> {
          if (counts[1] >= CUT_LEAST && counts[1] > counts[0] * CUT_PART) {
            partitioned.add(zone);
          }
        });
    return partitioned;
  }

  private static boolean heard(Room.Seen seen) {
    return seen != null && seen.view().settled() && !seen.view().lost();
  }

  /** Running listed machines from which no controller receives reports. */
  private Set<String> silentHosts(Set<String> reporting) {
    Set<String> silent = new HashSet<>();
    for (Listed l : inventory.listed()) {
      if (!l.failed() && !l.booting() && silent(l, room.get(l.host()), reporting)) {
        silent.add(l.host());
      }
    }
    return silent;
  }

  /** Whether no controller receives the machine's reports, as far as this controller knows. */
  private boolean silent(Listed l, Room.Seen seen, Set<String> reporting) {
    if (seen != null) {
      return seen.view().lost();
    }
    Holds.Hold hold = holds.of(l.host(), l.kind().zone());
    if (hold == null || hold.dead()) {
      return hold != null;
    }
    // A live holder that reports to this controller would have sent a view of the machine.
    String holder = Membership.nodeOf(hold.holder());
    return !membership.liveNodes().contains(holder) || reporting.contains(holder);
  }
}
