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
final class ExternalServices {
  /** What the state service has been asked so far. */
  record StateServiceUsage(
      long requests, long changes, long conflicts, long bytesIn, long bytesOut) {
    StateServiceUsage minus(StateServiceUsage earlier) {
      return new StateServiceUsage(
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

  private static final int REFUSED_STATUS = 503;
  private static final double REFUSED_CHECK_INTERVAL_S = 0.05;
  private static final double MIN_DELAY_S = 1;
  private static final double DELAY_SPREAD_S = 9;

  private final XnioIoThread thread;
  private final XnioTimers timers;
  private final Random random;
  private MachineTerminator machineTerminator = (hosts, then) -> then.run();
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
    private double maxDelayS;
    private double unansweredShare;
    private double delayedShare;
  }

  /**
   * Starts the stand-ins.
   *
   * @param statesAt an address of the state service for each controller, by which they are told
   *     apart
   */
  ExternalServices(
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
    if (faults.maxDelayS > 0) {
      timers.after(random.nextDouble() * faults.maxDelayS, () -> serve(faults, request, answer));
    } else {
      serve(faults, request, answer);
    }
  }

  private void serve(StateFaults faults, HttpServer.Request request, HttpServer.Responder answer) {
    requests++;
    bytesIn += request.body().length;
    if (faults.refused) {
      answer.send(REFUSED_STATUS, null);
      return;
    }
    if (request.path().equals("/txn")) {
      double drawn = random.nextDouble();
      if (drawn < faults.unansweredShare) {
        handle(request, reply -> {});
        return;
      }
      if (drawn < faults.unansweredShare + faults.delayedShare) {
        double lateS = MIN_DELAY_S + random.nextDouble() * DELAY_SPREAD_S;
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
      timers.after(REFUSED_CHECK_INTERVAL_S, () -> answerUnlessRefused(faults, reply, answer));
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
  void setStateRefused(int controller, boolean on) {
    thread.execute(() -> stateFaults.get(controller).refused = on);
  }

  /** The state service is out for all, or back. */
  void setStateOutage(boolean on) {
    thread.execute(() -> state.outage(on));
  }

  /** Requests of a controller take up to so many seconds longer. */
  void setStateDelay(int controller, double seconds) {
    thread.execute(() -> stateFaults.get(controller).maxDelayS = seconds);
  }

  /** Such shares of a controller's transactions are carried out at once or late, unanswered. */
  void loseWrites(int controller, double unansweredShare, double lateShare) {
    thread.execute(
        () -> {
          stateFaults.get(controller).unansweredShare = unansweredShare;
          stateFaults.get(controller).delayedShare = lateShare;
        });
  }

  /** Ends machines; calls back once they and everything on them are gone. */
  interface MachineTerminator {
    void terminate(List<String> hosts, Runnable then);
  }

  /** From now on machines that the cloud deletes are ended so. */
  void setMachineTerminator(MachineTerminator end) {
    thread.execute(() -> machineTerminator = end);
  }

  private void cloud(HttpServer.Request request, HttpServer.Responder answer) {
    Response reply = cloud.handle(request.method(), pathAndQuery(request), request.body());
    Runnable send = () -> answer.send(reply.status(), reply.body());
    if (request.path().equals("/machines/delete") && reply.ok()) {
      machineTerminator.terminate(hostsOf(request.body()), send);
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
  void addRunningMachine(String host, String zone) {
    thread.execute(() -> cloud.addRunning(host, "small", zone));
  }

  /** The cloud notices that a machine has stopped. */
  void markMachineFailed(String host) {
    thread.execute(() -> cloud.markFailed(host));
  }

  StateServiceUsage stateServiceUsage() throws InterruptedException {
    return IoThreadCall.get(
        thread,
        () ->
            new StateServiceUsage(
                requests, state.writes("") + state.failedTxnOps(), conflicts, bytesIn, bytesOut));
  }

  /** Mean encoded bytes of the stored values, and how many there are, by the key's first part. */
  Map<String, double[]> storedValueSizes() throws InterruptedException {
    return IoThreadCall.get(
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
