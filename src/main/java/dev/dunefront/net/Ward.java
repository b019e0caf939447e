package dev.dunefront.net;

import java.util.ArrayDeque;
import java.util.concurrent.locks.ReentrantLock;

/**
 * One short lock round a controller's decisions. Decisions change memory only; what they want sent
 * is queued with {@link #then} and runs, in order, after the lock is released.
 */
public final class Ward {
  private final ReentrantLock lock = new ReentrantLock();
  private final ArrayDeque<Runnable> effects = new ArrayDeque<>();
  private boolean draining;

  public void run(Runnable decision) {
    lock.lock();
    try {
      decision.run();
    } finally {
      lock.unlock();
    }
    drain();
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
        next.run();
      } finally {
        lock.lock();
        draining = false;
        lock.unlock();
      }
    }
  }
}
