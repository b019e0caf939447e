package dev.dunefront.net;

import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;

/** Timers on the one I/O thread. */
public final class XnioTimers implements Timers {
  private final XnioExecutor executor;

  public XnioTimers(XnioExecutor executor) {
    this.executor = executor;
  }

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
    executor.executeAfter(action, Math.max(1, Math.round(seconds * 1000)), TimeUnit.MILLISECONDS);
  }
}
