package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import dev.dunefront.net.HttpCaller.Response;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;

/** HTTP servers and clients on loopback. */
final class Http {
  /** Handles a request on the loop; the answer may come later; status 0 closes without one. */
  interface Handler {
    void handle(String method, String path, byte[] body, Consumer<Response> answer);
  }

  private static final ExecutorService THREADS =
      Executors.newCachedThreadPool(
          r -> {
            Thread t = new Thread(r);
            t.setDaemon(true);
            return t;
          });

  private static final HttpClient CLIENT =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofMillis(500))
          .executor(THREADS)
          .build();

  private Http() {}

  /** Starts a server on a free port and returns its address. */
  static String serve(Loop loop, Handler handler) throws IOException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 128);
    server.setExecutor(THREADS);
    server.createContext("/", exchange -> answer(loop, handler, exchange));
    server.start();
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  private static void answer(Loop loop, Handler handler, HttpExchange exchange) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    CompletableFuture<Response> answered = new CompletableFuture<>();
    String path = exchange.getRequestURI().toString();
    loop.run(
        () -> handler.handle(exchange.getRequestMethod(), path, body, answered::complete));
    try {
      Response response = answered.get();
      if (response.status() > 0) {
        exchange.getResponseHeaders().set("Content-Type", "application/msgpack");
        int length = response.body().length;
        exchange.sendResponseHeaders(response.status(), length == 0 ? -1 : length);
        exchange.getResponseBody().write(response.body());
      }
    } catch (InterruptedException | ExecutionException e) {
      throw new IOException(e);
    } finally {
      exchange.close();
    }
  }

  /** Sends a request; status 0 if no answer came in time. */
  static Response call(String address, String method, String path, byte[] body, double timeoutS) {
    try {
      return callAsync(address, method, path, body, timeoutS).get();
    } catch (InterruptedException | ExecutionException e) {
      return Response.NO_RESPONSE;
    }
  }

  static CompletableFuture<Response> callAsync(
      String address, String method, String path, byte[] body, double timeoutS) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .timeout(Duration.ofMillis(Math.round(timeoutS * 1000)))
            .header("Content-Type", "application/msgpack")
            .method(
                method,
                body == null
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofByteArray(body))
            .build();
    return CLIENT
        .sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
        .handle(
            (r, e) -> e != null ? Response.NO_RESPONSE : new Response(r.statusCode(), r.body(), 0));
  }
}
