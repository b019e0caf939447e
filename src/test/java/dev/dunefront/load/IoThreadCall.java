package dev.dunefront.load;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.xnio.XnioExecutor;

/** Computes a value on an I/O thread for another thread, which blocks until it is available. */
final class IoThreadCall {
  private IoThreadCall() {}

  static <T> T get(XnioExecutor thread, Supplier<T> supplier) throws InterruptedException {
    AtomicReference<T> result = new AtomicReference<>();
    CountDownLatch done = new CountDownLatch(1);
    thread.execute(
        () -> {
          try {
            result.set(supplier.get());
          } finally {
            done.countDown();
          }
        });
    done.await();
    return result.get();
  }
}
