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

/**
 * Local copy of the watched part of the state service: jobs, holds, nodes, quotas. It may lag
 * behind.
 */
public final class Replica {
  /** Prefix of all copied keys. */
  public static final String PREFIX = "w/";

  private static final double BLOCK_S = 10;
  private static final double PAUSE_S = 0.06;

  /** A watch returns or times out well within this time. */
  private static final double STALLED_S = 30;

  private static final int TOMBSTONES = 4096;

  /** Receives each change; a null value means that the key was removed. */
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

  /** The revision up to which all changes have been applied. */
  private long seen;

  public Replica(Store store, Timers timers, DecisionLock decisionLock, Loops loops) {
    this.store = store;
    this.timers = timers;
    this.decisionLock = decisionLock;
    this.loops = loops;
  }

  /** Whether the initial read is complete. */
  public boolean ready() {
    return ready;
  }

  /** Revision up to which every change has been applied. */
  public long seen() {
    return seen;
  }

  public void listen(String prefix, Listener listener) {
    listeners.put(prefix, listener);
  }

  /** Reads all keys, runs {@code read} when that is complete, and follows all later changes. */
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
          Set<String> present = new HashSet<>();
          for (Store.Pair p : range.pairs()) {
            present.add(p.key());
            apply(p.key(), p.value(), p.stamp());
          }
          for (String key : Set.copyOf(stamps.keySet())) {
            if (!present.contains(key) && stamps.get(key) <= range.revision()) {
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

  /**
   * Fetches the latest changes at once, in addition to the running watch. The action runs after the
   * response, even if the request failed.
   */
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
    loops.turned("state watch", timers.now(), STALLED_S);
    store.watch(
        PREFIX,
        from,
        BLOCK_S,
        watched -> {
          loops.turned("state watch", timers.now(), STALLED_S);
          took(watched);
          if (watched.tooOld()) {
            start();
            return;
          }
          boolean ok = watched.outcome() == Store.Outcome.OK;
          timers.after(ok ? PAUSE_S : 0.3, () -> follow(watched.revision()));
        });
  }

  /**
   * Applies a change seen by a watch, a read or this controller's own write; older changes are
   * ignored.
   */
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
            // A malformed record must affect only the listener that reads it, not the watch.
            decisionLock.run(() -> listener.changed(key.substring(prefix.length()), value, stamp));
          }
        });
  }
}
