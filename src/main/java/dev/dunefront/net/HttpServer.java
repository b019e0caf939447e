package dev.dunefront.net;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.io.Receiver;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.xnio.XnioWorker;

/** The HTTP server for users, workers and health checks. */
public final class HttpServer {
  /** The largest body that is taken. */
  public static final int MAX_BODY_BYTES = 64 * 1024;

  /** The one path whose answer is text for people and their tools. */
  public static final String METRICS_PATH = "/metrics";

  /** A request with its whole body. */
  public record Request(String method, String path, String query, byte[] body) {}

  /** Takes an answer once; only the first counts. */
  public interface Responder {
    void send(int status, byte[] body, int retryAfterS);

    default void send(int status, byte[] body) {
      send(status, body, 0);
    }
  }

  /** What serves the requests; it must answer each one, now or later. */
  public interface Handler {
    void handle(Request request, Responder answer);
  }

  private HttpServer() {}

  public static Undertow start(
      XnioWorker worker, ByteBufferPool buffers, InetSocketAddress at, Handler handler) {
    Undertow server =
        Undertow.builder()
            .setWorker(worker)
            .setByteBufferPool(buffers)
            .addHttpListener(at.getPort(), at.getAddress().getHostAddress())
            .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
            .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, 120_000)
            .setHandler(exchange -> receive(exchange, handler))
            .build();
    server.start();
    return server;
  }

  private static void receive(HttpServerExchange exchange, Handler handler) {
    if (exchange.getRequestContentLength() > MAX_BODY_BYTES) {
      exchange.setPersistent(false);
      responder(exchange).send(413, null);
      return;
    }
    Receiver receiver = exchange.getRequestReceiver();
    receiver.setMaxBufferSize(MAX_BODY_BYTES);
    receiver.receiveFullBytes(
        (ex, body) ->
            // Dispatching keeps the exchange open until the answer comes, however late.
            ex.dispatch(
                SameThreadExecutor.INSTANCE,
                () ->
                    handler.handle(
                        new Request(
                            ex.getRequestMethod().toString(),
                            ex.getRequestPath(),
                            ex.getQueryString(),
                            body),
                        responder(ex))),
        (ex, error) -> {
          ex.setPersistent(false);
          int status = error instanceof Receiver.RequestToLargeException ? 413 : 400;
          responder(ex).send(status, null);
        });
  }

  private static Responder responder(HttpServerExchange exchange) {
    return new Responder() {
      private boolean sent;

      @Override
      public void send(int status, byte[] body, int retryAfterS) {
        if (sent || exchange.isResponseStarted()) {
          return;
        }
        sent = true;
        exchange.setStatusCode(status);
        if (retryAfterS > 0) {
          exchange.getResponseHeaders().put(Headers.RETRY_AFTER, retryAfterS);
        }
        if (body == null) {
          exchange.endExchange();
          return;
        }
        exchange
            .getResponseHeaders()
            .put(
                Headers.CONTENT_TYPE,
                exchange.getRequestPath().equals(METRICS_PATH)
                    ? "text/plain; charset=utf-8"
                    : "application/msgpack");
        exchange.getResponseSender().send(ByteBuffer.wrap(body));
      }
    };
  }
}
