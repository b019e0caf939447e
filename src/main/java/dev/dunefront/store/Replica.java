package dev.dunefront.store;

import dev.dunefront.net.DecisionLock;
import dev.dunefront.net.Loops;
import dev.dunefront.net.Timers;
import dev.dunefront.store.Store.Urgency;
import dev.dunefront.wire.Doc;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** A copy of the watched part of the state service: jobs, holds, nodes, quotas. It may lag. */
public final class Replica {
  /** Everything under this prefix is copied. */
  public static final String PREFIX = "w/";

  private static final double BLOCK_S = 10;
  private static final double PAUSE_S = 0.06;

  /** A watch is answered, or given up, well within this time. */
  private static final double STALLED_S = 30;

  private static final int TOMBSTONES = 4096;

  /** Hears of each change; a null value means removed. */
  public interface Listener {
    void changed(String key, Doc value, long stamp);
  }

  private final Store store;
  private final Timers timers;
  private final Map<String, Listener> listeners = new LinkedHashMap<>();
  private final Map<String, Long> stamps = new HashMap<>();
  private final Map<String, Long> tombstones =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
          return size() > TOMBSTONES;
        }
      };
  private final DecisionLock decisionLock;
  private final Loops loops;
  private boolean ready;
  private Runnable whenRead = () -> {};

  /** Everything up to here has been seen. */
  private long seen;

  public Replica(Store store, Timers timers, DecisionLock decisionLock, Loops loops) {
    this.store = store;
    this.timers = timers;
    this.decisionLock = decisionLock;
    this.loops = loops;
  }

  /** Whether the first full read is complete. */
  public boolean ready() {
    return ready;
  }

  /** Every change up to this revision has been applied. */
  public long seen() {
    return seen;
  }

  public void listen(String prefix, Listener listener) {
    listeners.put(prefix, listener);
  }

  /** Reads everything, tells so, then follows the changes for ever. */
  public void start(Runnable read) {
    whenRead = read;
    start();
  }

  private void start() {
    store.range(
        PREFIX,
        Urgency.CORE,
        range -> {
          if (range.outcome() != Store.Outcome.OK) {
            timers.after(0.3, this::start);
            return;
          }
          Set<String> there = new HashSet<>();
          for (Store.Pair p : range.pairs()) {
            there.add(p.key());
            apply(p.key(), p.value(), p.stamp());
          }
          for (String key : Set.copyOf(stamps.keySet())) {
            if (!there.contains(key) && stamps.get(key) <= range.revision()) {
              apply(key, null, range.revision());
            }
          }
          seen = Math.max(seen, range.revision());
          if (!ready) {
            ready = true;
            decisionLock.run(whenRead);
          }
          follow(range.revision());
        });
  }

  /** Asks at once for what has changed, besides following; the action runs when it is here. */
  void catchUp(Runnable then) {
    store.watch(
        PREFIX,
        seen,
        0,
        watched -> {
          took(watched);
          then.run();
        });
  }

  private void took(Store.Watched watched) {
    for (Store.Event e : watched.events()) {
      apply(e.key(), e.value(), e.stamp());
    }
    if (watched.outcome() == Store.Outcome.OK) {
      seen = Math.max(seen, watched.revision());
    }
  }

  private void follow(long from) {
    loops.turned("following the state", timers.now(), STALLED_S);
    store.watch(
        PREFIX,
        from,
        BLOCK_S,
        watched -> {
          loops.turned("following the state", timers.now(), STALLED_S);
          took(watched);
          if (watched.tooOld()) {
            start();
            return;
          }
          boolean ok = watched.outcome() == Store.Outcome.OK;
          timers.after(ok ? PAUSE_S : 0.3, () -> follow(watched.revision()));
        });
  }

  /** Takes a change that a watch, a read or our own write has shown; older ones are ignored. */
  public void apply(String key, Doc value, long stamp) {
    if (stamp <= stamps.getOrDefault(key, 0L) || stamp <= tombstones.getOrDefault(key, 0L)) {
      return;
    }
    if (value == null) {
      tombstones.put(key, stamp);
      if (stamps.remove(key) == null) {
        return;
      }
    } else {
      stamps.put(key, stamp);
    }
    listeners.forEach(
        (prefix, listener) -> {
          if (key.startsWith(prefix)) {
            // A record that cannot be understood concerns whoever reads it, and not what follows.
            decisionLock.run(() -> listener.changed(key.substring(prefix.length()), value, stamp));
          }
        });
  }
}
