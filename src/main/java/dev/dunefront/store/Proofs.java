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
public final class Proofs {
  /**
   * Minimum time between two reads, in seconds; users wait for up to 2 s, and the state may lag by
   * 3 s.
   */
  private static final double PACE_S = 0.3;

  /** Maximum number of waiting requests; further ones are rejected at once. */
  private static final int MOST = 4000;

  private final Store store;
  private final Replica replica;
  private final Timers timers;
  private final DecisionLock decisionLock;
  private final String prefix;
  private List<Consumer<Boolean>> waiting = new ArrayList<>();
  private double waitingSince;
  private double begunAt = Double.NEGATIVE_INFINITY;
  private boolean due;
  private boolean underWay;
  private long seen;
  private int proofs;

  /** Creates a barrier for the keys under a prefix, which lies within the replica's own prefix. */
  public Proofs(
      Store store, Replica replica, Timers timers, DecisionLock decisionLock, String prefix) {
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
    return waiting.isEmpty() ? 0 : timers.now() - waitingSince;
  }

  /** Number of reads sent so far. */
  public int made() {
    return proofs;
  }

  /**
   * Passes true to the callback once the replica is confirmed to be current, or false if it cannot
   * be confirmed now.
   */
  public void await(Consumer<Boolean> callback) {
    if (!replica.ready() || waiting.size() >= MOST) {
      callback.accept(false);
      return;
    }
    if (waiting.isEmpty()) {
      waitingSince = timers.now();
    }
    waiting.add(callback);
    beginSoon();
  }

  private void beginSoon() {
    if (due || underWay) {
      return;
    }
    double delayS = begunAt + PACE_S - timers.now();
    if (delayS <= 0) {
      begin();
      return;
    }
    due = true;
    timers.after(
        delayS,
        () ->
            decisionLock.run(
                () -> {
                  due = false;
                  begin();
                }));
  }

  private void begin() {
    if (underWay || waiting.isEmpty()) {
      return;
    }
    underWay = true;
    proofs++;
    begunAt = timers.now();
    List<Consumer<Boolean>> served = waiting;
    waiting = new ArrayList<>();
    seen = Math.max(seen, replica.seen());
    store.watch(
        prefix,
        seen,
        0,
        watched -> {
          underWay = false;
          boolean ok = watched.outcome() == Store.Outcome.OK;
          if (ok) {
            watched.events().forEach(e -> replica.apply(e.key(), e.value(), e.stamp()));
            seen = Math.max(seen, watched.revision());
          }
          // A callback that throws must not prevent the others from running.
          served.forEach(callback -> decisionLock.run(() -> callback.accept(ok)));
          if (!waiting.isEmpty()) {
            beginSoon();
          }
        });
  }
}
