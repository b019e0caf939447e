package dev.dunefront.net;

import java.util.function.Consumer;

/** Makes HTTP calls. The answer always comes, within the deadline: a hung call yields UNCLEAR. */
public interface HttpCaller {
  /** An answer; status 0 means that none came and the request may or may not be carried out. */
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
      Consumer<Response> then);
}
