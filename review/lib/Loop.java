package review;

import dev.dunefront.net.Timers;
import java.util.concurrent.Callable;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** One thread on which all stand-ins keep their state, with the real clock. */
final class Loop implements Timers {
  private final ScheduledExecutorService thread =
      Executors.newSingleThreadScheduledExecutor(
          r -> {
            Thread t = new Thread(r, "stand-ins");
            t.setDaemon(true);
            return t;
          });

  @Override
  public double now() {
    return System.nanoTime() / 1e9;
  }

  @Override
  public long wallClockMs() {
    return System.currentTimeMillis();
  }

  @Override
  public void after(double seconds, Runnable action) {
    thread.schedule(() -> guarded(action), Math.round(seconds * 1e6), TimeUnit.MICROSECONDS);
  }

  void run(Runnable action) {
    thread.execute(() -> guarded(action));
  }

  <T> T call(Callable<T> action) throws Exception {
    return thread.submit(action).get();
  }

  private static void guarded(Runnable action) {
    try {
      action.run();
    } catch (RuntimeException e) {
      e.printStackTrace();
    }
  }
}
