package dev.dunefront.store;

import dev.dunefront.net.DecisionLock;
import dev.dunefront.net.LoopWatchdog;
import dev.dunefront.net.Timers;
import dev.dunefront.store.StateStore.RequestPriority;
import dev.dunefront.wire.Document;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** A copy of the watched part of the state service: jobs, holds, nodes, quotas. It may lag. */
public final class Replica {
  /** Everything under this prefix is copied. */
  public static final String PREFIX = "w/";

  private static final double WATCH_BLOCK_S = 10;
  private static final double WATCH_PAUSE_S = 0.06;

  /** A watch is answered, or given up, well within this time. */
  private static final double STALL_TIMEOUT_S = 30;

  private static final int MAX_TOMBSTONES = 4096;

  /** Hears of each change; a null value means removed. */
  public interface Listener {
    void changed(String key, Document value, long stamp);
  }

  private final StateStore store;
  private final Timers timers;
  private final Map<String, Listener> listeners = new LinkedHashMap<>();
  private final Map<String, Long> revisions = new HashMap<>();
  private final Map<String, Long> tombstones =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
          return size() > MAX_TOMBSTONES;
        }
      };
  private final DecisionLock decisionLock;
  private final LoopWatchdog loopWatchdog;
  private boolean ready;
  private Runnable initialReadListener = () -> {};

  /** Everything up to here has been seen. */
  private long appliedRevision;

  public Replica(StateStore store, Timers timers, DecisionLock decisionLock, LoopWatchdog loops) {
    this.store = store;
    this.timers = timers;
    this.decisionLock = decisionLock;
    this.loopWatchdog = loops;
  }

  /** Whether the first full read is complete. */
  public boolean ready() {
    return ready;
  }

  /** Every change up to this revision has been applied. */
  public long appliedRevision() {
    return appliedRevision;
  }

  public void addListener(String prefix, Listener listener) {
    listeners.put(prefix, listener);
  }

  /** Reads everything, tells so, then follows the changes for ever. */
  public void start(Runnable read) {
    initialReadListener = read;
    start();
  }

  private void start() {
    store.range(
        PREFIX,
        RequestPriority.CORE,
        range -> {
          if (range.outcome() != StateStore.Outcome.OK) {
            timers.after(0.3, this::start);
            return;
          }
          Set<String> there = new HashSet<>();
          for (StateStore.KeyValue p : range.pairs()) {
            there.add(p.key());
            apply(p.key(), p.value(), p.revision());
          }
          for (String key : Set.copyOf(revisions.keySet())) {
            if (!there.contains(key) && revisions.get(key) <= range.revision()) {
              apply(key, null, range.revision());
            }
          }
          appliedRevision = Math.max(appliedRevision, range.revision());
          if (!ready) {
            ready = true;
            decisionLock.run(initialReadListener);
          }
          watchFrom(range.revision());
        });
  }

  /** Asks at once for what has changed, besides following; the action runs when it is here. */
  void catchUp(Runnable then) {
    store.watch(
        PREFIX,
        appliedRevision,
        0,
        watched -> {
          applyWatchResult(watched);
          then.run();
        });
  }

  private void applyWatchResult(StateStore.WatchResult watched) {
    for (StateStore.WatchEvent e : watched.events()) {
      apply(e.key(), e.value(), e.revision());
    }
    if (watched.outcome() == StateStore.Outcome.OK) {
      appliedRevision = Math.max(appliedRevision, watched.revision());
    }
  }

  private void watchFrom(long from) {
    loopWatchdog.recordIteration("following the state", timers.now(), STALL_TIMEOUT_S);
    store.watch(
        PREFIX,
        from,
        WATCH_BLOCK_S,
        watched -> {
          loopWatchdog.recordIteration("following the state", timers.now(), STALL_TIMEOUT_S);
          applyWatchResult(watched);
          if (watched.compacted()) {
            start();
            return;
          }
          boolean ok = watched.outcome() == StateStore.Outcome.OK;
          timers.after(ok ? WATCH_PAUSE_S : 0.3, () -> watchFrom(watched.revision()));
        });
  }

  /** Takes a change that a watch, a read or our own write has shown; older ones are ignored. */
  public void apply(String key, Document value, long stamp) {
    if (stamp <= revisions.getOrDefault(key, 0L) || stamp <= tombstones.getOrDefault(key, 0L)) {
      return;
    }
    if (value == null) {
      tombstones.put(key, stamp);
      if (revisions.remove(key) == null) {
        return;
      }
    } else {
      revisions.put(key, stamp);
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
