package dev.dunefront.net;

import java.util.ArrayDeque;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;

/**
 * One short lock round a controller's decisions. Decisions change memory only; what they want sent
 * is queued with {@link #defer} and runs, in order, after the lock is released.
 *
 * <p>A decision or an effect that throws ends itself and nothing else: loops are chains of timers
 * and answers, and an exception that went through would end the chain while the process lives on.
 * Within a decision {@link #run} does the same for one part of it.
 */
public final class DecisionLock {
  private final ReentrantLock lock = new ReentrantLock();
  private final ArrayDeque<Runnable> deferredActions = new ArrayDeque<>();
  private final Consumer<RuntimeException> failureListener;
  private Runnable beforeDecision = () -> {};
  private boolean runningDeferred;

  /** {@code failed} hears of every decision or effect that has thrown. */
  public DecisionLock(Consumer<RuntimeException> failed) {
    this.failureListener = failed;
  }

  /** What is run inside the lock before each decision. */
  public void beforeEachDecision(Runnable action) {
    beforeDecision = action;
  }

  public void run(Runnable decision) {
    lock.lock();
    try {
      if (lock.getHoldCount() == 1) {
        runCatching(beforeDecision);
      }
      runCatching(decision);
    } finally {
      lock.unlock();
    }
    runDeferred();
  }

  private void runCatching(Runnable action) {
    try {
      action.run();
    } catch (RuntimeException e) {
      failureListener.accept(e);
    }
  }

  /** Queues what has to happen outside the lock. */
  public void defer(Runnable effect) {
    deferredActions.add(effect);
  }

  private void runDeferred() {
    if (lock.isHeldByCurrentThread()) {
      return;
    }
    while (true) {
      Runnable next;
      lock.lock();
      try {
        if (runningDeferred || deferredActions.isEmpty()) {
          return;
        }
        next = deferredActions.poll();
        runningDeferred = true;
      } finally {
        lock.unlock();
      }
      try {
        runCatching(next);
      } finally {
        lock.lock();
        runningDeferred = false;
        lock.unlock();
      }
    }
  }
}
