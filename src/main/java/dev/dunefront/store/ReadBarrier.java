package dev.dunefront.store;

import dev.dunefront.net.DecisionLock;
import dev.dunefront.net.Timers;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Proofs that the replica shows at least what anybody has been told of a part of the state by the
 * time of a question. One cheap read, a watch that does not wait, is begun after the question came
 * and brings all changes since the last: it serves all questions that have come until it goes out,
 * so a storm of them costs the state service no more than a trickle.
 */
public final class ReadBarrier {
  /** Between two proofs, in seconds; users wait for 2 s, and the state may lag by 3 s. */
  private static final double MIN_READ_INTERVAL_S = 0.3;

  /** So many questions wait at the most; the rest are refused at once. */
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

  /** Proofs for what is under a prefix that is itself under the replica's. */
  public ReadBarrier(
      StateStore store, Replica replica, Timers timers, DecisionLock decisionLock, String prefix) {
    this.store = store;
    this.replica = replica;
    this.timers = timers;
    this.decisionLock = decisionLock;
    this.prefix = prefix;
  }

  /** How many questions wait. */
  public int waiting() {
    return waiting.size();
  }

  /** How long the oldest has waited, in seconds. */
  public double oldestS() {
    return waiting.isEmpty() ? 0 : timers.now() - oldestWaitingSince;
  }

  /** Reads made so far. */
  public int readCount() {
    return readCount;
  }

  /** Runs the action once the replica is proven, or with false if it cannot be now. */
  public void whenCurrent(Consumer<Boolean> then) {
    if (!replica.ready() || waiting.size() >= MAX_WAITING) {
      then.accept(false);
      return;
    }
    if (waiting.isEmpty()) {
      oldestWaitingSince = timers.now();
    }
    waiting.add(then);
    scheduleRead();
  }

  private void scheduleRead() {
    if (readScheduled || readInFlight) {
      return;
    }
    double wait = lastReadAt + MIN_READ_INTERVAL_S - timers.now();
    if (wait <= 0) {
      startRead();
      return;
    }
    readScheduled = true;
    timers.after(
        wait,
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
        watched -> {
          readInFlight = false;
          boolean ok = watched.outcome() == StateStore.Outcome.OK;
          if (ok) {
            watched.events().forEach(e -> replica.apply(e.key(), e.value(), e.revision()));
            verifiedRevision = Math.max(verifiedRevision, watched.revision());
          }
          // One whose answer fails must not keep the others from theirs.
          served.forEach(then -> decisionLock.run(() -> then.accept(ok)));
          if (!waiting.isEmpty()) {
            scheduleRead();
          }
        });
  }
}
