package dev.dunefront.net;

import java.util.ArrayDeque;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;

/**
 * The single lock around a controller's decisions, held only briefly. Decisions change memory only;
 * sending and other actions are queued with {@link #defer} and run, in order, after the lock is
 * released.
 *
 * <p>An exception ends only the decision or deferred action that throws it: loops are chains of
 * timers and callbacks, and a propagated exception would end the chain while the process keeps
 * running. Within a decision, a nested {@link #run} isolates one part of it in the same way.
 */
public final class DecisionLock {
  private final ReentrantLock lock = new ReentrantLock();
  private final ArrayDeque<Runnable> deferredActions = new ArrayDeque<>();
  private final Consumer<RuntimeException> failureListener;
  private Runnable beforeDecision = () -> {};
  private boolean runningDeferred;

  /** {@code failureListener} receives each exception thrown by a decision or a deferred action. */
  public DecisionLock(Consumer<RuntimeException> failureListener) {
    this.failureListener = failureListener;
  }

  /** Sets the action that runs inside the lock before each decision. */
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

  /** Queues an action that runs after the lock is released. */
  public void defer(Runnable action) {
    deferredActions.add(action);
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
