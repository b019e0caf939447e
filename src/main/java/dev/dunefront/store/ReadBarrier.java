package dev.dunefront.store;

import dev.dunefront.net.DecisionLock;
import dev.dunefront.net.Timers;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
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

  /** Proof that the replica contains every change that was made before a read was requested. */
  public static final class Confirmation {
    private final long revision;
    private final double requestedAt;

    private Confirmation(long revision, double requestedAt) {
      this.revision = revision;
      this.requestedAt = requestedAt;
    }

    /** Revision up to which the replica contains all changes under the prefix. */
    public long revision() {
      return revision;
    }

    /** When the read was requested, in seconds. */
    public double requestedAt() {
      return requestedAt;
    }
  }

  private final StateStore store;
  private final Replica replica;
  private final Timers timers;
  private final DecisionLock decisionLock;
  private final String prefix;
  private List<Consumer<Optional<Confirmation>>> waiting = new ArrayList<>();
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
   * Passes a confirmation to the callback once the replica is confirmed to be current, or none if
   * it cannot be confirmed now.
   */
  public void whenCurrent(Consumer<Optional<Confirmation>> callback) {
    if (!replica.ready() || waiting.size() >= MAX_WAITING) {
      callback.accept(Optional.empty());
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
    double requestedAt = timers.now();
    lastReadAt = requestedAt;
    List<Consumer<Optional<Confirmation>>> served = waiting;
    waiting = new ArrayList<>();
    verifiedRevision = Math.max(verifiedRevision, replica.appliedRevision());
    store.watch(
        prefix,
        verifiedRevision,
        0,
        result -> {
          readInFlight = false;
          Optional<Confirmation> confirmation = Optional.empty();
          if (result.outcome() == StateStore.Outcome.OK) {
            result.events().forEach(e -> replica.apply(e.key(), e.value(), e.revision()));
            verifiedRevision = Math.max(verifiedRevision, result.revision());
            confirmation = Optional.of(new Confirmation(verifiedRevision, requestedAt));
          }
          notifyServed(served, confirmation);
          if (!waiting.isEmpty()) {
            scheduleRead();
          }
        });
  }

  /** A callback that throws must not prevent the others from running. */
  private void notifyServed(
      List<Consumer<Optional<Confirmation>>> served, Optional<Confirmation> confirmation) {
    served.forEach(callback -> decisionLock.run(() -> callback.accept(confirmation)));
  }
}
