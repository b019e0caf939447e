package dev.dunefront.store;

import dev.dunefront.net.DecisionLock;
import dev.dunefront.net.LoopWatchdog;
import dev.dunefront.net.Timers;
import dev.dunefront.store.StateStore.RequestPriority;
import dev.dunefront.wire.Document;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Local copy of the watched part of the state service: jobs, holds, nodes, quotas. It may lag
 * behind.
 */
public final class Replica {
  private static final System.Logger LOG = System.getLogger(Replica.class.getName());

  /** Prefix of all copied keys. */
  public static final String PREFIX = "w/";

  private static final double WATCH_BLOCK_S = 10;
  private static final double WATCH_PAUSE_S = 0.06;

  /** A watch returns or times out well within this time. */
  private static final double STALL_TIMEOUT_S = 30;

  /** Receives each change; a null value means that the key was removed. */
  public interface Listener {
    void changed(String key, Document value, long revision);
  }

  private final StateStore store;
  private final Timers timers;
  private final Map<String, Listener> listeners = new LinkedHashMap<>();
  private final Map<String, Long> revisions = new HashMap<>();

  /**
   * Revisions of removals that are newer than {@link #appliedRevision}, by key, in the order in
   * which they became known.
   */
  private final Map<String, Long> tombstones = new LinkedHashMap<>();

  private final DecisionLock decisionLock;
  private final LoopWatchdog loopWatchdog;
  private boolean ready;
  private Runnable initialReadListener = () -> {};

  /** The revision up to which all changes have been applied. */
  private long appliedRevision;

  /** When the last watch or initial read was requested whose response has been applied. */
  private double appliedWatchRequestedAt;

  public Replica(
      StateStore store, Timers timers, DecisionLock decisionLock, LoopWatchdog loopWatchdog) {
    this.store = store;
    this.timers = timers;
    this.decisionLock = decisionLock;
    this.loopWatchdog = loopWatchdog;
    this.appliedWatchRequestedAt = timers.now();
  }

  /** Whether the initial read is complete. */
  public boolean ready() {
    return ready;
  }

  /** Revision up to which every change has been applied. */
  public long appliedRevision() {
    return appliedRevision;
  }

  /**
   * Time since the last watch was requested whose response has been applied, in seconds: the
   * replica may lack changes of this time. A watch without changes takes {@value #WATCH_BLOCK_S} s.
   */
  public double lagS() {
    return timers.now() - appliedWatchRequestedAt;
  }

  public void addListener(String prefix, Listener listener) {
    listeners.put(prefix, listener);
  }

  /** Reads all keys, runs the listener when that is complete, and follows all later changes. */
  public void start(Runnable listener) {
    initialReadListener = listener;
    start();
  }

  private void start() {
    double requestedAt = timers.now();
    store.range(
        PREFIX,
        RequestPriority.CORE,
        range -> {
          if (range.outcome() != StateStore.Outcome.OK) {
            timers.after(0.3, this::start);
            return;
          }
          Set<String> present = new HashSet<>();
          for (StateStore.KeyValue p : range.pairs()) {
            present.add(p.key());
            apply(p.key(), p.value(), p.revision());
          }
          for (String key : Set.copyOf(revisions.keySet())) {
            if (!present.contains(key) && revisions.get(key) <= range.revision()) {
              apply(key, null, range.revision());
            }
          }
          advanceTo(range.revision());
          appliedWatchRequestedAt = requestedAt;
          if (!ready) {
            ready = true;
            decisionLock.run(initialReadListener);
          }
          watchFrom(range.revision());
        });
  }

  /**
   * Fetches the latest changes at once, in addition to the running watch. The action runs after the
   * response, even if the request failed.
   */
  void catchUp(Runnable callback) {
    double requestedAt = timers.now();
    store.watch(
        PREFIX,
        appliedRevision,
        0,
        watched -> {
          applyWatchResult(watched, requestedAt);
          callback.run();
        });
  }

  private void applyWatchResult(StateStore.WatchResult watched, double requestedAt) {
    for (StateStore.WatchEvent e : watched.events()) {
      apply(e.key(), e.value(), e.revision());
    }
    if (watched.outcome() == StateStore.Outcome.OK) {
      advanceTo(watched.revision());
      appliedWatchRequestedAt = Math.max(appliedWatchRequestedAt, requestedAt);
      LOG.log(
          Level.DEBUG,
          "applied {0} changes up to revision {1}, requested {2} s ago",
          watched.events().size(),
          watched.revision(),
          timers.now() - requestedAt);
    }
  }

  private void watchFrom(long from) {
    double requestedAt = timers.now();
    loopWatchdog.recordIteration("state watch", requestedAt, STALL_TIMEOUT_S);
    store.watch(
        PREFIX,
        from,
        WATCH_BLOCK_S,
        watched -> {
          loopWatchdog.recordIteration("state watch", timers.now(), STALL_TIMEOUT_S);
          applyWatchResult(watched, requestedAt);
          if (watched.compacted()) {
            start();
            return;
          }
          boolean ok = watched.outcome() == StateStore.Outcome.OK;
          timers.after(ok ? WATCH_PAUSE_S : 0.3, () -> watchFrom(watched.revision()));
        });
  }

  /** All changes up to this revision have been applied. */
  private void advanceTo(long revision) {
    appliedRevision = Math.max(appliedRevision, revision);
    Iterator<Long> oldestFirst = tombstones.values().iterator();
    while (oldestFirst.hasNext() && oldestFirst.next() <= appliedRevision) {
      oldestFirst.remove();
    }
  }

  /**
   * Applies a change seen by a watch, a read or this controller's own write; older changes are
   * ignored.
   */
  public void apply(String key, Document value, long revision) {
    if (isOutdated(key, revision)) {
      return;
    }
    if (value == null) {
      tombstones.remove(key);
      tombstones.put(key, revision);
      if (revisions.remove(key) == null) {
        return;
      }
    } else {
      revisions.put(key, revision);
    }
    listeners.forEach(
        (prefix, listener) -> {
          if (key.startsWith(prefix)) {
            // A malformed record must affect only the listener that reads it, not the watch.
            decisionLock.run(
                () -> listener.changed(key.substring(prefix.length()), value, revision));
          }
        });
  }

  /** A key that is absent although all changes up to the revision are applied was removed since. */
  private boolean isOutdated(String key, long revision) {
    Long present = revisions.get(key);
    return present != null
        ? revision <= present
        : revision <= appliedRevision || revision <= tombstones.getOrDefault(key, 0L);
  }
}
