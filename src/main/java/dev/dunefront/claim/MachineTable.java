package dev.dunefront.claim;

import dev.dunefront.peer.Message.MachineView;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * All held machines as their holders describe them. Machines are kept by kind as well, and those
 * with room apart, so that no decision has to walk over all of them.
 */
public final class MachineTable {
  /** What a job may be allowed or not: type, zone, spot. Each kind has a dense index. */
  public record Kind(int index, String type, String zone, boolean spot) {}

  /** A machine as told at a time; {@code mix} spreads equal choices over machines. */
  public record Entry(
      String holder, MachineView view, Kind kind, int tieBreaker, double receivedAt) {
    /** Whether anything may fit right now. */
    public boolean hasFreeCapacity() {
      return view.hasFreeCapacity();
    }
  }

  private final Map<String, Entry> machines = new HashMap<>();
  private final Map<String, Entry> withFreeCapacity = new LinkedHashMap<>();
  private final Map<String, Kind> kindsByName = new HashMap<>();
  private final List<Kind> kinds = new ArrayList<>();
  private final List<Integer> counts = new ArrayList<>();
  private long capacityIncreases;

  Entry put(String holder, MachineView view, double now) {
    Entry old = machines.get(view.host());
    if (old != null && old.view.token() > view.token()) {
      // A former holder's last words.
      return old;
    }
    Kind kind = old != null ? old.kind : kind(view);
    int mix = old != null ? old.tieBreaker : view.host().hashCode() * 0x9E3779B9;
    Entry seen = new Entry(holder, view, kind, mix, now);
    machines.put(view.host(), seen);
    if (old == null) {
      counts.set(kind.index, counts.get(kind.index) + 1);
    }
    if (seen.hasFreeCapacity()) {
      Entry before = withFreeCapacity.put(view.host(), seen);
      if (before == null
          || view.free().cpu() > before.view.free().cpu()
          || view.free().ram() > before.view.free().ram()) {
        capacityIncreases++;
      }
    } else {
      withFreeCapacity.remove(view.host());
    }
    return old;
  }

  private Kind kind(MachineView v) {
    return kindsByName.computeIfAbsent(
        v.type() + "/" + v.zone() + (v.spot() ? "/spot" : ""),
        name -> {
          Kind k = new Kind(kinds.size(), v.type(), v.zone(), v.spot());
          kinds.add(k);
          counts.add(0);
          return k;
        });
  }

  boolean remove(String holder, String host) {
    Entry old = machines.get(host);
    if (old == null || !old.holder.equals(holder)) {
      return false;
    }
    machines.remove(host);
    withFreeCapacity.remove(host);
    counts.set(old.kind.index, counts.get(old.kind.index) - 1);
    return true;
  }

  List<String> removeAll(String holder) {
    List<String> gone = new ArrayList<>();
    for (Entry s : machines.values()) {
      if (s.holder.equals(holder)) {
        gone.add(s.view.host());
      }
    }
    gone.forEach(host -> remove(holder, host));
    return gone;
  }

  public Entry get(String host) {
    return machines.get(host);
  }

  public Collection<Entry> all() {
    return machines.values();
  }

  /** Machines with room of any size. */
  Collection<Entry> withFreeCapacity() {
    return withFreeCapacity.values();
  }

  /** Every kind that was ever seen, by index. */
  List<Kind> kinds() {
    return kinds;
  }

  /** How many machines of the kind there are. */
  int count(Kind kind) {
    return counts.get(kind.index);
  }

  /** Rises whenever room has opened somewhere. */
  long capacityIncreases() {
    return capacityIncreases;
  }
}
