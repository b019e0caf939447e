package dev.dunefront.store;

import dev.dunefront.net.DecisionLock;
import dev.dunefront.net.Timers;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Read barrier for the replica, comparable to ReadIndex in Raft: confirms that the replica contains
 * every change under a prefix that any client may have observed before the request. One cheap read,
 * a non-blocking watch, starts after the request has arrived and returns all changes since the last
 * read. It serves all requests that wait when it is sent, so the load on the state service does not
 * grow with their number.
 */
public final class ReadBarrier {
  /**
   * Minimum time between two reads, in seconds; users wait for up to 2 s, and the state may lag by
   * 3 s.
   */
  private static final double MIN_READ_INTERVAL_S = 0.3;

  /** Maximum number of waiting requests; further ones are rejected at once. */
  private static final int MAX_WAITING = 4000;

  private final StateStore store;
  private final Replica replica;
  private final Timers timers;
  private final DecisionLock decisionLock;
  private final String prefix;
  private List<Consumer<Boolean>> waiting = new ArrayList<>();
  private double oldestWaitingSince;
  private double lastReadAt = Double.NEGATIVE_INFINITY;
  private boolean readScheduled;
  private boolean readInFlight;
  private long verifiedRevision;
  private int readCount;

  /** Creates a barrier for the keys under a prefix, which lies within the replica's own prefix. */
  public ReadBarrier(
      StateStore store, Replica replica, Timers timers, DecisionLock decisionLock, String prefix) {
    this.store = store;
    this.replica = replica;
    this.timers = timers;
    this.decisionLock = decisionLock;
    this.prefix = prefix;
  }

  /** Number of waiting requests. */
  public int waiting() {
    return waiting.size();
  }

  /** Waiting time of the oldest request, in seconds. */
  public double oldestS() {
    return waiting.isEmpty() ? 0 : timers.now() - oldestWaitingSince;
  }

  /** Number of reads sent so far. */
  public int readCount() {
    return readCount;
  }

  /**
   * Passes true to the callback once the replica is confirmed to be current, or false if it cannot
   * be confirmed now.
   */
  public void whenCurrent(Consumer<Boolean> callback) {
    if (!replica.ready() || waiting.size() >= MAX_WAITING) {
      callback.accept(false);
      return;
    }
    if (waiting.isEmpty()) {
      oldestWaitingSince = timers.now();
    }
    waiting.add(callback);
    scheduleRead();
  }

  private void scheduleRead() {
    if (readScheduled || readInFlight) {
      return;
    }
    double delayS = lastReadAt + MIN_READ_INTERVAL_S - timers.now();
    if (delayS <= 0) {
      startRead();
      return;
    }
    readScheduled = true;
    timers.after(
        delayS,
        () ->
            decisionLock.run(
                () -> {
                  readScheduled = false;
                  startRead();
                }));
  }

  private void startRead() {
    if (readInFlight || waiting.isEmpty()) {
      return;
    }
    readInFlight = true;
    readCount++;
    lastReadAt = timers.now();
    List<Consumer<Boolean>> served = waiting;
    waiting = new ArrayList<>();
    verifiedRevision = Math.max(verifiedRevision, replica.appliedRevision());
    store.watch(
        prefix,
        verifiedRevision,
        0,
        result -> {
          readInFlight = false;
          boolean ok = result.outcome() == StateStore.Outcome.OK;
          if (ok) {
            result.events().forEach(e -> replica.apply(e.key(), e.value(), e.revision()));
            verifiedRevision = Math.max(verifiedRevision, result.revision());
          }
          // A callback that throws must not prevent the others from running.
          served.forEach(callback -> decisionLock.run(() -> callback.accept(ok)));
          if (!waiting.isEmpty()) {
            scheduleRead();
          }
        });
  }
}
