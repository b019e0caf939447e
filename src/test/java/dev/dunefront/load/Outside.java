package dev.dunefront.load;

import dev.dunefront.net.HttpCaller.Response;
import dev.dunefront.net.HttpServer;
import dev.dunefront.net.XnioTimers;
import dev.dunefront.standin.FakeCloud;
import dev.dunefront.standin.FakeStateService;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import io.undertow.server.DefaultByteBufferPool;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
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

  private static final int REFUSED = 503;
  private static final double REFUSED_LOOK_S = 0.05;
  private static final double LEAST_LATE_S = 1;
  private static final double LATE_SPREAD_S = 9;

  private final XnioIoThread thread;
  private final XnioTimers timers;
  private final Random random;
  private MachineEnd machineEnd = (hosts, then) -> then.run();
  private final List<StateFaults> stateFaults = new ArrayList<>();
  private final FakeStateService state;
  private final FakeCloud cloud;
  private long requests;
  private long conflicts;
  private long bytesIn;
  private long bytesOut;

  /** What the state service does to the requests of one controller. */
  private static final class StateFaults {
    private boolean refused;
    private double slowS;
    private double unansweredShare;
    private double lateShare;
  }

  /**
   * Starts the stand-ins.
   *
   * @param statesAt an address of the state service for each controller, by which they are told
   *     apart
   */
  Outside(
      XnioWorker worker,
      List<InetSocketAddress> statesAt,
      InetSocketAddress cloudAt,
      List<String> zones,
      long seed) {
    thread = worker.getIoThread();
    timers = new XnioTimers(thread);
    random = new Random(seed);
    state = new FakeStateService(timers);
    cloud = new FakeCloud(zones, BOOT_S);
    DefaultByteBufferPool buffers = new DefaultByteBufferPool(false, 8192, 256, 4);
    for (InetSocketAddress at : statesAt) {
      StateFaults faults = new StateFaults();
      stateFaults.add(faults);
      HttpServer.start(worker, buffers, at, (request, answer) -> state(faults, request, answer));
    }
    HttpServer.start(worker, buffers, cloudAt, this::cloud);
  }

  private void state(StateFaults faults, HttpServer.Request request, HttpServer.Responder answer) {
    if (faults.slowS > 0) {
      timers.after(random.nextDouble() * faults.slowS, () -> serve(faults, request, answer));
    } else {
      serve(faults, request, answer);
    }
  }

  private void serve(StateFaults faults, HttpServer.Request request, HttpServer.Responder answer) {
    requests++;
    bytesIn += request.body().length;
    if (faults.refused) {
      answer.send(REFUSED, null);
      return;
    }
    if (request.path().equals("/txn")) {
      double drawn = random.nextDouble();
      if (drawn < faults.unansweredShare) {
        handle(request, reply -> {});
        return;
      }
      if (drawn < faults.unansweredShare + faults.lateShare) {
        double lateS = LEAST_LATE_S + random.nextDouble() * LATE_SPREAD_S;
        timers.after(lateS, () -> handle(request, reply -> {}));
        return;
      }
    }
    handle(request, reply -> answerUnlessRefused(faults, reply, answer));
  }

  /** A watch that was open when its controller began to be refused waits until that is over. */
  private void answerUnlessRefused(
      StateFaults faults, Response reply, HttpServer.Responder answer) {
    if (faults.refused) {
      timers.after(REFUSED_LOOK_S, () -> answerUnlessRefused(faults, reply, answer));
    } else {
      answer.send(reply.status(), reply.body());
    }
  }

  private void handle(HttpServer.Request request, Consumer<Response> then) {
    state.handle(
        request.method(),
        pathAndQuery(request),
        request.body(),
        reply -> {
          conflicts += reply.status() == 409 ? 1 : 0;
          bytesOut += reply.body().length;
          then.accept(reply);
        });
  }

  /** The state service refuses one controller while it serves the others, or serves it again. */
  void refuse(int controller, boolean on) {
    thread.execute(() -> stateFaults.get(controller).refused = on);
  }

  /** The state service is out for all, or back. */
  void outage(boolean on) {
    thread.execute(() -> state.outage(on));
  }

  /** Requests of a controller take up to so many seconds longer. */
  void slow(int controller, double seconds) {
    thread.execute(() -> stateFaults.get(controller).slowS = seconds);
  }

  /** Such shares of a controller's transactions are carried out at once or late, unanswered. */
  void loseWrites(int controller, double unansweredShare, double lateShare) {
    thread.execute(
        () -> {
          stateFaults.get(controller).unansweredShare = unansweredShare;
          stateFaults.get(controller).lateShare = lateShare;
        });
  }

  /** Ends machines; calls back once they and everything on them are gone. */
  interface MachineEnd {
    void end(List<String> hosts, Runnable then);
  }

  /** From now on machines that the cloud deletes are ended so. */
  void endMachinesBy(MachineEnd end) {
    thread.execute(() -> machineEnd = end);
  }

  private void cloud(HttpServer.Request request, HttpServer.Responder answer) {
    Response reply = cloud.handle(request.method(), pathAndQuery(request), request.body());
    Runnable send = () -> answer.send(reply.status(), reply.body());
    if (request.path().equals("/machines/delete") && reply.ok()) {
      machineEnd.end(hostsOf(request.body()), send);
    } else {
      send.run();
    }
  }

  private static List<String> hostsOf(byte[] body) {
    try {
      return Document.decode(body).texts("hosts");
    } catch (MalformedMessageException e) {
      throw new IllegalStateException(e);
    }
  }

  private static String pathAndQuery(HttpServer.Request r) {
    return r.path() + (r.query().isEmpty() ? "" : "?" + r.query());
  }

  /** Lists a machine that is up. */
  void add(String host, String zone) {
    thread.execute(() -> cloud.addRunning(host, "small", zone));
  }

  /** The cloud notices that a machine has stopped. */
  void fail(String host) {
    thread.execute(() -> cloud.markFailed(host));
  }

  StateUse use() throws InterruptedException {
    return OnThread.get(
        thread,
        () ->
            new StateUse(
                requests, state.writes("") + state.failedTxnOps(), conflicts, bytesIn, bytesOut));
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
