package dev.dunefront.claim;

import dev.dunefront.peer.Message.MachineView;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * All held machines with the latest view received from their holders. Also counts machines by kind
 * and indexes those with free capacity, so that decisions need not iterate over all machines.
 */
public final class MachineTable {
  /**
   * The machine properties that job constraints refer to.
   *
   * @param index dense index of the kind
   */
  public record Kind(int index, String type, String zone, boolean spot) {}

  /**
   * A machine and its latest view.
   *
   * @param tieBreaker hash that spreads equal choices over machines
   * @param receivedAt time at which the view was received
   */
  public record Entry(
      String holder, MachineView view, Kind kind, int tieBreaker, double receivedAt) {
    /** Whether the machine is schedulable and has free capacity. */
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

  /** Stores a view unless it is older than the known one; returns the previous entry or null. */
  Entry put(String holder, MachineView view, double now) {
    Entry previous = machines.get(view.host());
    if (previous != null && previous.view.token() > view.token()) {
      // An outdated view from a former holder.
      return previous;
    }
    Kind kind = previous != null ? previous.kind : kind(view);
    int tieBreaker = previous != null ? previous.tieBreaker : view.host().hashCode() * 0x9E3779B9;
    Entry current = new Entry(holder, view, kind, tieBreaker, now);
    machines.put(view.host(), current);
    if (previous == null) {
      counts.set(kind.index, counts.get(kind.index) + 1);
    }
    if (current.hasFreeCapacity()) {
      Entry previousFree = withFreeCapacity.put(view.host(), current);
      if (previousFree == null
          || view.free().cpu() > previousFree.view.free().cpu()
          || view.free().ram() > previousFree.view.free().ram()) {
        capacityIncreases++;
      }
    } else {
      withFreeCapacity.remove(view.host());
    }
    return previous;
  }

  private Kind kind(MachineView view) {
    return kindsByName.computeIfAbsent(
        view.type() + "/" + view.zone() + (view.spot() ? "/spot" : ""),
        key -> {
          Kind kind = new Kind(kinds.size(), view.type(), view.zone(), view.spot());
          kinds.add(kind);
          counts.add(0);
          return kind;
        });
  }

  /** Removes a machine if it is held by this holder; returns whether it was. */
  boolean remove(String holder, String host) {
    Entry entry = machines.get(host);
    if (entry == null || !entry.holder.equals(holder)) {
      return false;
    }
    machines.remove(host);
    withFreeCapacity.remove(host);
    counts.set(entry.kind.index, counts.get(entry.kind.index) - 1);
    return true;
  }

  /** Removes all machines of a holder and returns their names. */
  List<String> removeAll(String holder) {
    List<String> hosts = new ArrayList<>();
    for (Entry machine : machines.values()) {
      if (machine.holder.equals(holder)) {
        hosts.add(machine.view.host());
      }
    }
    hosts.forEach(host -> remove(holder, host));
    return hosts;
  }

  /** The entry of a machine; null if unknown. */
  public Entry get(String host) {
    return machines.get(host);
  }

  public Collection<Entry> all() {
    return machines.values();
  }

  /** Schedulable machines with any free capacity. */
  Collection<Entry> withFreeCapacity() {
    return withFreeCapacity.values();
  }

  /** All kinds seen so far, by index. */
  List<Kind> kinds() {
    return kinds;
  }

  /** Number of known machines of the kind. */
  int count(Kind kind) {
    return counts.get(kind.index);
  }

  /** A counter that increases whenever the free capacity of a machine grows. */
  long capacityIncreases() {
    return capacityIncreases;
  }
}
