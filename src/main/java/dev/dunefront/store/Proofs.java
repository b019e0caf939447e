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
public final class Proofs {
  /** Between two proofs, in seconds; users wait for 2 s, and the state may lag by 3 s. */
  private static final double PACE_S = 0.3;

  /** So many questions wait at the most; the rest are refused at once. */
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

  /** Proofs for what is under a prefix that is itself under the replica's. */
  public Proofs(
      Store store, Replica replica, Timers timers, DecisionLock decisionLock, String prefix) {
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
    return waiting.isEmpty() ? 0 : timers.now() - waitingSince;
  }

  /** Reads made so far. */
  public int made() {
    return proofs;
  }

  /** Runs the action once the replica is proven, or with false if it cannot be now. */
  public void await(Consumer<Boolean> then) {
    if (!replica.ready() || waiting.size() >= MOST) {
      then.accept(false);
      return;
    }
    if (waiting.isEmpty()) {
      waitingSince = timers.now();
    }
    waiting.add(then);
    beginSoon();
  }

  private void beginSoon() {
    if (due || underWay) {
      return;
    }
    double wait = begunAt + PACE_S - timers.now();
    if (wait <= 0) {
      begin();
      return;
    }
    due = true;
    timers.after(
        wait,
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
          // One whose answer fails must not keep the others from theirs.
          served.forEach(then -> decisionLock.run(() -> then.accept(ok)));
          if (!waiting.isEmpty()) {
            beginSoon();
          }
        });
  }
}
