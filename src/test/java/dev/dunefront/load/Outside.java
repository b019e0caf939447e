package dev.dunefront.load;

import dev.dunefront.net.Caller.Reply;
import dev.dunefront.net.HttpServer;
import dev.dunefront.net.XnioTimers;
import dev.dunefront.standin.CloudStandIn;
import dev.dunefront.standin.StateStandIn;
import io.undertow.server.DefaultByteBufferPool;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** The stand-ins of the state service and the cloud on one I/O thread, and what they are asked. */
final class Outside {
  /** What the state service has been asked so far. */
  record StateUse(long requests, long changes, long conflicts, long bytesIn, long bytesOut) {
    StateUse minus(StateUse earlier) {
      return new StateUse(
          requests - earlier.requests,
          changes - earlier.changes,
          conflicts - earlier.conflicts,
          bytesIn - earlier.bytesIn,
          bytesOut - earlier.bytesOut);
    }
  }

  /**
   * Boot time that the catalog tells, in seconds: so long that idle machines are kept throughout,
   * for what is measured is to be measured with as many workers as were asked for.
   */
  private static final double BOOT_S = 600;

  private final XnioIoThread thread;
  private final StateStandIn state;
  private final CloudStandIn cloud;
  private long requests;
  private long conflicts;
  private long bytesIn;
  private long bytesOut;

  Outside(
      XnioWorker worker, InetSocketAddress stateAt, InetSocketAddress cloudAt, List<String> zones) {
    thread = worker.getIoThread();
    state = new StateStandIn(new XnioTimers(thread));
    cloud = new CloudStandIn(zones, BOOT_S);
    DefaultByteBufferPool buffers = new DefaultByteBufferPool(false, 8192, 256, 4);
    HttpServer.start(worker, buffers, stateAt, this::state);
    HttpServer.start(worker, buffers, cloudAt, this::cloud);
  }

  private void state(HttpServer.Request request, HttpServer.Answer answer) {
    requests++;
    bytesIn += request.body().length;
    state.handle(
        request.method(),
        pathAndQuery(request),
        request.body(),
        reply -> {
          conflicts += reply.status() == 409 ? 1 : 0;
          bytesOut += reply.body().length;
          answer.send(reply.status(), reply.body());
        });
  }

  private void cloud(HttpServer.Request request, HttpServer.Answer answer) {
    Reply reply = cloud.handle(request.method(), pathAndQuery(request), request.body());
    answer.send(reply.status(), reply.body());
  }

  private static String pathAndQuery(HttpServer.Request r) {
    return r.path() + (r.query().isEmpty() ? "" : "?" + r.query());
  }

  /** Lists a machine that is up. */
  void add(String host, String zone) {
    thread.execute(() -> cloud.add(host, "small", zone));
  }

  /** The cloud notices that a machine has stopped. */
  void fail(String host) {
    thread.execute(() -> cloud.fail(host));
  }

  StateUse use() throws InterruptedException {
    return OnThread.get(
        thread,
        () ->
            new StateUse(
                requests, state.written("") + state.wasted(), conflicts, bytesIn, bytesOut));
  }

  /** Mean encoded bytes of the stored values, and how many there are, by the key's first part. */
  Map<String, double[]> values() throws InterruptedException {
    return OnThread.get(
        thread,
        () -> {
          Map<String, double[]> kinds = new TreeMap<>();
          for (String key : state.keys("")) {
            String[] parts = key.split("/");
            String kind = parts[0].equals("w") ? "w/" + parts[1] : parts[0];
            double[] sum = kinds.computeIfAbsent(kind, k -> new double[2]);
            sum[0]++;
            sum[1] += state.value(key).encode().length;
          }
          kinds.values().forEach(sum -> sum[1] /= sum[0]);
          return kinds;
        });
  }
}
