package dev.dunefront.net;

import java.util.function.Consumer;

/**
 * Sends HTTP requests. The callback always runs within the deadline: a request without a response
 * yields {@link Reply#UNCLEAR}.
 */
public interface Caller {
  /**
   * A response; status 0 means that none arrived, and that the request may or may not have been
   * executed.
   */
  record Reply(int status, byte[] body, double retryAfterS) {
    public static final Reply UNCLEAR = new Reply(0, new byte[0], 0);

    public boolean ok() {
      return status == 200;
    }
  }

  void call(
      String address,
      String method,
      String path,
      byte[] body,
      double deadlineS,
      Consumer<Reply> callback);
}
