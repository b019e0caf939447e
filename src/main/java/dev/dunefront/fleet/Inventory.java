package dev.dunefront.fleet;

import dev.dunefront.claim.MachineTable;
import dev.dunefront.fleet.CloudClient.ListedMachine;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What is known of machines from the cloud: those listed, those rented that the lagging list has
 * yet to show, those deleted that it still shows.
 */
final class Inventory {
  private record Expected(MachineKind kind, double rentedAt) {}

  private final double listLagS;
  private final Map<String, ListedMachine> listed = new HashMap<>();
  private final Map<String, Expected> expected = new HashMap<>();
  private final Map<String, Double> deleted = new HashMap<>();
  private final Set<String> deleting = new HashSet<>();

  Inventory(double lagS) {
    this.listLagS = lagS;
  }

  /** Whoever begins to rent knows nothing of what was listed before. */
  void clear() {
    listed.clear();
    expected.clear();
    deleting.clear();
  }

  /** Whether a machine that came by a hire has yet to show in the list. */
  boolean isExpected(String host) {
    return expected.containsKey(host);
  }

  void applyList(List<ListedMachine> all, double now) {
    Map<String, ListedMachine> next = new HashMap<>();
    for (ListedMachine l : all) {
      ListedMachine old = listed.get(l.host());
      double since =
          old != null && old.status().equals(l.status()) ? old.statusSince() : l.statusSince();
      next.put(l.host(), new ListedMachine(l.host(), l.kind(), l.status(), since));
      expected.remove(l.host());
    }
    listed.clear();
    listed.putAll(next);
    deleted.values().removeIf(at -> now - at > 20 * listLagS);
    expected.values().removeIf(e -> now - e.rentedAt > 4 * listLagS);
  }

  /** Machines that were rented then, which the list may not show yet. */
  void addExpected(List<String> hosts, MachineKind kind, double at) {
    hosts.forEach(h -> expected.put(h, new Expected(kind, at)));
  }

  void deleting(List<String> hosts) {
    deleting.addAll(hosts);
  }

  void deleted(List<String> hosts, boolean confirmed, double now) {
    deleting.removeAll(hosts);
    if (confirmed) {
      for (String host : hosts) {
        deleted.put(host, now);
        listed.remove(host);
      }
    }
  }

  boolean isDeleted(String host) {
    return deleted.containsKey(host);
  }

  boolean isDeleting(String host) {
    return deleting.contains(host);
  }

  int pendingDeletionCount() {
    return deleting.size();
  }

  Collection<ListedMachine> listed() {
    return listed.values();
  }

  boolean isListed(String host) {
    return listed.containsKey(host);
  }

  /** Machines that are rented and not yet held by anybody. */
  Map<MachineKind, Double> arrivingByKind(MachineTable room) {
    Map<MachineKind, Double> coming = new HashMap<>();
    for (ListedMachine l : listed.values()) {
      if (!l.failed() && !deleted.containsKey(l.host()) && room.get(l.host()) == null) {
        coming.merge(l.kind(), 1.0, Double::sum);
      }
    }
    expected.values().forEach(e -> coming.merge(e.kind, 1.0, Double::sum));
    return coming;
  }
}
