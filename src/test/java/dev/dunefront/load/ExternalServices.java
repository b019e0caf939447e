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

/**
 * Stand-ins of the state service and the cloud on one I/O thread, with fault injection and usage
 * counters.
 */
final class ExternalServices {
  /** Requests, changes, conflicts and bytes that the state service has served so far. */
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
   * Boot time in the catalog, in seconds: long enough that controllers keep idle machines for the
   * whole run, so that it is measured with the configured number of workers.
   */
  private static final double BOOT_S = 600;

  private static final int REFUSED_STATUS = 503;
  private static final double REFUSED_CHECK_INTERVAL_S = 0.05;
  private static final double MIN_DELAY_S = 1;
  private static final double DELAY_SPREAD_S = 9;

  /** The protocol says that responses occasionally take a few hundred milliseconds. */
  private static final double MAX_LATE_RESPONSE_S = 0.5;

  private final XnioIoThread thread;
  private final XnioTimers timers;
  private final Random random;

  /** Draws the responses that are late. */
  private final Random lateResponses;

  private final double lateStateShare;
  private MachineTerminator machineTerminator = (hosts, callback) -> callback.run();
  private final List<StateFaults> stateFaults = new ArrayList<>();
  private final FakeStateService state;
  private final FakeCloud cloud;
  private long requests;
  private long conflicts;
  private long bytesIn;
  private long bytesOut;

  /** The faults that the state service injects into the requests of one controller. */
  private static final class StateFaults {
    private boolean refused;
    private double maxDelayS;
    private double responseLostShare;
    private double delayedShare;
  }

  /**
   * Starts the stand-ins.
   *
   * @param stateAddresses one address of the state service for each controller, which identifies
   *     the controller
   * @param lateStateShare share of the state service's responses that are late
   */
  ExternalServices(
      XnioWorker worker,
      List<InetSocketAddress> stateAddresses,
      InetSocketAddress cloudAddress,
      List<String> zones,
      double lateStateShare,
      long seed) {
    thread = worker.getIoThread();
    timers = new XnioTimers(thread);
    random = new Random(seed);
    lateResponses = new Random(seed + 1);
    this.lateStateShare = lateStateShare;
    state = new FakeStateService(timers);
    cloud = new FakeCloud(zones, BOOT_S);
    DefaultByteBufferPool buffers = new DefaultByteBufferPool(false, 8192, 256, 4);
    for (InetSocketAddress at : stateAddresses) {
      StateFaults faults = new StateFaults();
      stateFaults.add(faults);
      HttpServer.start(
          worker, buffers, at, (request, responder) -> delayAndServe(faults, request, responder));
    }
    HttpServer.start(worker, buffers, cloudAddress, this::serveCloud);
  }

  private void delayAndServe(
      StateFaults faults, HttpServer.Request request, HttpServer.Responder responder) {
    if (faults.maxDelayS > 0) {
      timers.after(random.nextDouble() * faults.maxDelayS, () -> serve(faults, request, responder));
    } else {
      serve(faults, request, responder);
    }
  }

  private void serve(
      StateFaults faults, HttpServer.Request request, HttpServer.Responder responder) {
    requests++;
    bytesIn += request.body().length;
    if (faults.refused) {
      responder.send(REFUSED_STATUS, null);
      return;
    }
    if (request.path().equals("/txn")) {
      double drawn = random.nextDouble();
      if (drawn < faults.responseLostShare) {
        handle(request, reply -> {});
        return;
      }
      if (drawn < faults.responseLostShare + faults.delayedShare) {
        double delayS = MIN_DELAY_S + random.nextDouble() * DELAY_SPREAD_S;
        timers.after(delayS, () -> handle(request, reply -> {}));
        return;
      }
    }
    handle(request, reply -> respondPossiblyLate(faults, reply, responder));
  }

  /** Sends a response on time or late; the request has been executed in either case. */
  private void respondPossiblyLate(
      StateFaults faults, Response reply, HttpServer.Responder responder) {
    if (lateResponses.nextDouble() < lateStateShare) {
      double delayS = lateResponses.nextDouble() * MAX_LATE_RESPONSE_S;
      timers.after(delayS, () -> respondUnlessRefused(faults, reply, responder));
    } else {
      respondUnlessRefused(faults, reply, responder);
    }
  }

  /** Holds the response of a watch that was open when its controller's refusal began. */
  private void respondUnlessRefused(
      StateFaults faults, Response reply, HttpServer.Responder responder) {
    if (faults.refused) {
      timers.after(REFUSED_CHECK_INTERVAL_S, () -> respondUnlessRefused(faults, reply, responder));
    } else {
      responder.send(reply.status(), reply.body());
    }
  }

  private void handle(HttpServer.Request request, Consumer<Response> callback) {
    state.handle(
        request.method(),
        pathAndQuery(request),
        request.body(),
        reply -> {
          conflicts += reply.status() == 409 ? 1 : 0;
          bytesOut += reply.body().length;
          callback.accept(reply);
        });
  }

  /** Sets whether the state service refuses one controller while it serves the others. */
  void setStateRefused(int controller, boolean on) {
    thread.execute(() -> stateFaults.get(controller).refused = on);
  }

  /** Sets whether the state service is unavailable to all controllers. */
  void setStateOutage(boolean on) {
    thread.execute(() -> state.outage(on));
  }

  /** Delays each request of a controller by up to so many seconds. */
  void setStateDelay(int controller, double seconds) {
    thread.execute(() -> stateFaults.get(controller).maxDelayS = seconds);
  }

  /**
   * Drops responses to a controller's transactions.
   *
   * @param responseLostShare share that is executed at once without a response
   * @param delayedShare share that is executed late without a response
   */
  void setWriteFaults(int controller, double responseLostShare, double delayedShare) {
    thread.execute(
        () -> {
          stateFaults.get(controller).responseLostShare = responseLostShare;
          stateFaults.get(controller).delayedShare = delayedShare;
        });
  }

  /** Terminates machines and calls back once they and their tasks have ended. */
  interface MachineTerminator {
    void terminate(List<String> hosts, Runnable callback);
  }

  /** Sets how machines that the cloud deletes are terminated. */
  void setMachineTerminator(MachineTerminator end) {
    thread.execute(() -> machineTerminator = end);
  }

  private void serveCloud(HttpServer.Request request, HttpServer.Responder responder) {
    Response reply = cloud.handle(request.method(), pathAndQuery(request), request.body());
    Runnable send = () -> responder.send(reply.status(), reply.body());
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

  /** Adds a running machine to the cloud's list. */
  void addRunningMachine(String host, String zone) {
    thread.execute(() -> cloud.addRunning(host, "small", zone));
  }

  /** Marks a machine as failed in the cloud's list. */
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

  /**
   * Number and mean encoded bytes of the stored values, by the first part of the key, or the first
   * two for keys under {@code w/}.
   */
  Map<String, double[]> storedValueSizes() throws InterruptedException {
    return IoThreadCall.get(
        thread,
        () -> {
          Map<String, double[]> byPrefix = new TreeMap<>();
          for (String key : state.keys("")) {
            String[] parts = key.split("/");
            String prefix = parts[0].equals("w") ? "w/" + parts[1] : parts[0];
            double[] sum = byPrefix.computeIfAbsent(prefix, k -> new double[2]);
            sum[0]++;
            sum[1] += state.value(key).encode().length;
          }
          byPrefix.values().forEach(sum -> sum[1] /= sum[0]);
          return byPrefix;
        });
  }
}
