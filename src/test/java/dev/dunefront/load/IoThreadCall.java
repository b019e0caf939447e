package dev.dunefront.load;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.xnio.XnioExecutor;

/** Asks for what belongs to an I/O thread from another thread. */
final class IoThreadCall {
  private IoThreadCall() {}

  static <T> T get(XnioExecutor thread, Supplier<T> question) throws InterruptedException {
    AtomicReference<T> answer = new AtomicReference<>();
    CountDownLatch answered = new CountDownLatch(1);
    thread.execute(
        () -> {
          try {
            answer.set(question.get());
          } finally {
            answered.countDown();
          }
        });
    answered.await();
    return answer.get();
  }
}
