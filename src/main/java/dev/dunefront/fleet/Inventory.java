package dev.dunefront.fleet;

import dev.dunefront.claim.Room;
import dev.dunefront.fleet.Cloud.Listed;
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
  private record Expected(Kind kind, double at) {}

  private final double lagS;
  private final Map<String, Listed> listed = new HashMap<>();
  private final Map<String, Expected> expected = new HashMap<>();
  private final Map<String, Double> deleted = new HashMap<>();
  private final Set<String> deleting = new HashSet<>();

  Inventory(double lagS) {
    this.lagS = lagS;
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

  void took(List<Listed> all, double now) {
    Map<String, Listed> next = new HashMap<>();
    for (Listed l : all) {
      Listed old = listed.get(l.host());
      double since = old != null && old.status().equals(l.status()) ? old.since() : l.since();
      next.put(l.host(), new Listed(l.host(), l.kind(), l.status(), since));
      expected.remove(l.host());
    }
    listed.clear();
    listed.putAll(next);
    deleted.values().removeIf(at -> now - at > 20 * lagS);
    expected.values().removeIf(e -> now - e.at > 4 * lagS);
  }

  /** Machines that were rented then, which the list may not show yet. */
  void expect(List<String> hosts, Kind kind, double at) {
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

  int deletions() {
    return deleting.size();
  }

  Collection<Listed> listed() {
    return listed.values();
  }

  boolean isListed(String host) {
    return listed.containsKey(host);
  }

  /** Machines that are rented and not yet held by anybody. */
  Map<Kind, Double> coming(Room room) {
    Map<Kind, Double> coming = new HashMap<>();
    for (Listed l : listed.values()) {
      if (!l.failed() && !deleted.containsKey(l.host()) && room.get(l.host()) == null) {
        coming.merge(l.kind(), 1.0, Double::sum);
      }
    }
    expected.values().forEach(e -> coming.merge(e.kind, 1.0, Double::sum));
    return coming;
  }
}
