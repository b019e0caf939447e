package dev.dunefront.claim;

import dev.dunefront.peer.Message.View;
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
public final class Room {
  /** What a job may be allowed or not: type, zone, spot. Each kind has a dense index. */
  public record Kind(int index, String type, String zone, boolean spot) {}

  /** A machine as told at a time; {@code mix} spreads equal choices over machines. */
  public record Seen(String holder, View view, Kind kind, int mix, double at) {
    /** Whether anything may fit right now. */
    public boolean roomy() {
      return view.roomy();
    }
  }

  private final Map<String, Seen> machines = new HashMap<>();
  private final Map<String, Seen> roomy = new LinkedHashMap<>();
  private final Map<String, Kind> kindsByName = new HashMap<>();
  private final List<Kind> kinds = new ArrayList<>();
  private final List<Integer> counts = new ArrayList<>();
  private long openings;

  Seen put(String holder, View view, double now) {
    Seen old = machines.get(view.host());
    if (old != null && old.view.token() > view.token()) {
      // A former holder's last words.
      return old;
    }
    Kind kind = old != null ? old.kind : kind(view);
    int mix = old != null ? old.mix : view.host().hashCode() * 0x9E3779B9;
    Seen seen = new Seen(holder, view, kind, mix, now);
    machines.put(view.host(), seen);
    if (old == null) {
      counts.set(kind.index, counts.get(kind.index) + 1);
    }
    if (seen.roomy()) {
      Seen before = roomy.put(view.host(), seen);
      if (before == null
          || view.free().cpu() > before.view.free().cpu()
          || view.free().ram() > before.view.free().ram()) {
        openings++;
      }
    } else {
      roomy.remove(view.host());
    }
    return old;
  }

  private Kind kind(View v) {
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
    Seen old = machines.get(host);
    if (old == null || !old.holder.equals(holder)) {
      return false;
    }
    machines.remove(host);
    roomy.remove(host);
    counts.set(old.kind.index, counts.get(old.kind.index) - 1);
    return true;
  }

  List<String> removeAll(String holder) {
    List<String> gone = new ArrayList<>();
    for (Seen s : machines.values()) {
      if (s.holder.equals(holder)) {
        gone.add(s.view.host());
      }
    }
    gone.forEach(host -> remove(holder, host));
    return gone;
  }

  public Seen get(String host) {
    return machines.get(host);
  }

  public Collection<Seen> all() {
    return machines.values();
  }

  /** Machines with room of any size. */
  Collection<Seen> roomy() {
    return roomy.values();
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
  long openings() {
    return openings;
  }
}
