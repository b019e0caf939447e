package dev.dunefront.net;

import java.util.ArrayDeque;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;

/**
 * One short lock round a controller's decisions. Decisions change memory only; what they want sent
 * is queued with {@link #then} and runs, in order, after the lock is released.
 *
 * <p>A decision or an effect that throws ends itself and nothing else: loops are chains of timers
 * and answers, and an exception that went through would end the chain while the process lives on.
 * Within a decision {@link #run} does the same for one part of it.
 */
public final class DecisionLock {
  private final ReentrantLock lock = new ReentrantLock();
  private final ArrayDeque<Runnable> effects = new ArrayDeque<>();
  private final Consumer<RuntimeException> failed;
  private Runnable entering = () -> {};
  private boolean draining;

  /** {@code failed} hears of every decision or effect that has thrown. */
  public DecisionLock(Consumer<RuntimeException> failed) {
    this.failed = failed;
  }

  /** What is run inside the lock before each decision. */
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

  /** Queues what has to happen outside the lock. */
  public void then(Runnable effect) {
    effects.add(effect);
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
