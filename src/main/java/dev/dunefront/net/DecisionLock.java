package dev.dunefront.net;

import java.util.ArrayDeque;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;

/**
 * The single lock around a controller's decisions, held only briefly. Decisions change memory only;
 * sending and other actions are queued with {@link #then} and run, in order, after the lock is
 * released.
 *
 * <p>An exception ends only the decision or deferred action that throws it: loops are chains of
 * timers and callbacks, and a propagated exception would end the chain while the process keeps
 * running. Within a decision, a nested {@link #run} isolates one part of it in the same way.
 */
public final class DecisionLock {
  private final ReentrantLock lock = new ReentrantLock();
  private final ArrayDeque<Runnable> effects = new ArrayDeque<>();
  private final Consumer<RuntimeException> failed;
  private Runnable entering = () -> {};
  private boolean draining;

  /** {@code failed} receives each exception thrown by a decision or a deferred action. */
  public DecisionLock(Consumer<RuntimeException> failed) {
    this.failed = failed;
  }

  /** Sets the action that runs inside the lock before each decision. */
  public void onEntering(Runnable action) {
    entering = action;
  }

  public void run(Runnable decision) {
    lock.lock();
    try {
      if (lock.getHoldCount() == 1) {
        guarded(entering);
      }
      guarded(decision);
    } finally {
      lock.unlock();
    }
    drain();
  }

  private void guarded(Runnable action) {
    try {
      action.run();
    } catch (RuntimeException e) {
      failed.accept(e);
    }
  }

  /** Queues an action that runs after the lock is released. */
  public void then(Runnable action) {
    effects.add(action);
  }

  private void drain() {
    if (lock.isHeldByCurrentThread()) {
      return;
    }
    while (true) {
      Runnable next;
      lock.lock();
      try {
        if (draining || effects.isEmpty()) {
          return;
        }
        next = effects.poll();
        draining = true;
      } finally {
        lock.unlock();
      }
      try {
        guarded(next);
      } finally {
        lock.lock();
        draining = false;
        lock.unlock();
      }
    }
  }
}
