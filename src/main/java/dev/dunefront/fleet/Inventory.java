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
 * The machines known from the cloud: those listed, those rented that the lagging list does not show
 * yet, and those deleted that it still shows.
 */
final class Inventory {
  private record Expected(MachineKind kind, double rentedAt) {}

  private final double listLagS;
  private final Map<String, ListedMachine> listed = new HashMap<>();
  private final Map<String, Expected> expected = new HashMap<>();

  /** Confirmed deletions, with their time on the steady clock. */
  private final Map<String, Double> deletedAt = new HashMap<>();

  private final Set<String> pendingDeletions = new HashSet<>();

  Inventory(double listLagS) {
    this.listLagS = listLagS;
  }

  /**
   * Clears the inventory at the start of a term, except for confirmed deletions, which stay valid.
   */
  void clear() {
    listed.clear();
    expected.clear();
    pendingDeletions.clear();
  }

  /** Whether the machine was rented and the list does not show it yet. */
  boolean isExpected(String host) {
    return expected.containsKey(host);
  }

  /** Replaces the listed machines by a new list. */
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
    deletedAt.values().removeIf(at -> now - at > 20 * listLagS);
    expected.values().removeIf(e -> now - e.rentedAt > 4 * listLagS);
  }

  /** Adds machines that were rented at a time on the steady clock and may not be listed yet. */
  void addExpected(List<String> hosts, MachineKind kind, double at) {
    hosts.forEach(h -> expected.put(h, new Expected(kind, at)));
  }

  /** Marks machines whose deletion is recorded but not confirmed. */
  void markDeleting(List<String> hosts) {
    pendingDeletions.addAll(hosts);
  }

  /** Ends pending deletions, either confirmed by the cloud or cancelled. */
  void completeDeletions(List<String> hosts, boolean confirmed, double now) {
    pendingDeletions.removeAll(hosts);
    if (confirmed) {
      for (String host : hosts) {
        deletedAt.put(host, now);
        listed.remove(host);
      }
    }
  }

  boolean isDeleted(String host) {
    return deletedAt.containsKey(host);
  }

  boolean isDeleting(String host) {
    return pendingDeletions.contains(host);
  }

  int pendingDeletionCount() {
    return pendingDeletions.size();
  }

  Collection<ListedMachine> listed() {
    return listed.values();
  }

  boolean isListed(String host) {
    return listed.containsKey(host);
  }

  /** Counts the machines that are rented and that no controller holds yet. */
  Map<MachineKind, Double> arrivingByKind(MachineTable machines) {
    Map<MachineKind, Double> arriving = new HashMap<>();
    for (ListedMachine l : listed.values()) {
      if (!l.failed() && !deletedAt.containsKey(l.host()) && machines.get(l.host()) == null) {
        arriving.merge(l.kind(), 1.0, Double::sum);
      }
    }
    expected.values().forEach(e -> arriving.merge(e.kind, 1.0, Double::sum));
    return arriving;
  }
}
