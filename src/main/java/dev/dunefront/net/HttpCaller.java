package dev.dunefront.net;

import java.util.function.Consumer;

/**
 * Sends HTTP requests. The callback always runs within the deadline: a request without a response
 * yields {@link Response#NO_RESPONSE}.
 */
public interface HttpCaller {
  /**
   * A response; status 0 means that none arrived, and that the request may or may not have been
   * executed.
   */
  record Response(int status, byte[] body, double retryAfterS) {
    public static final Response NO_RESPONSE = new Response(0, new byte[0], 0);

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
      Consumer<Response> callback);
}
