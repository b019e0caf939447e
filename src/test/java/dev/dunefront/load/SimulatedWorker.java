package dev.dunefront.load;

import dev.dunefront.net.HttpCaller.Response;
import dev.dunefront.net.Timers;
import dev.dunefront.net.UndertowHttpCaller;
import dev.dunefront.standin.FakeWorker;
import dev.dunefront.wire.Document;
import dev.dunefront.wire.MalformedMessageException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.xnio.XnioIoThread;

/**
 * A simulated worker, like a hollow node of Kubernetes' kubemark: it reports, executes commands and
 * ends tasks after random run times with the timing of the protocol, but runs no real tasks.
 * Everything runs on one I/O thread, which it shares with hundreds of other workers.
 */
final class SimulatedWorker {
  private static final double MIN_REPORT_INTERVAL_S = 0.5;
  private static final double FAILOVER_DELAY_S = 1;
  private static final double RESPONSE_TIMEOUT_S = 4;
  private static final double LEASE_CHECK_MARGIN_S = 0.002;

  /** State and settings shared by all simulated workers. */
  record SharedContext(
      List<String> controllers,
      Map<String, Integer> controllerByName,
      InvariantChecker invariants,
      LatencyRecorder latencies,
      LoadOptions options,
      Reachability reachability,
      MessageFaults faults,
      boolean recordEvents) {}

  /** Tells whether a worker in a zone can currently reach a controller. */
  interface Reachability {
    boolean reaches(String zone, int controller);
  }

  private final FakeWorker worker;
  private final SharedContext context;
  private final XnioIoThread thread;
  private final UndertowHttpCaller caller;
  private final Timers timers;
  private final Random random;
  private final WorkerTraffic traffic;

  /** The running attempt of each task on this worker. */
  private final Map<String, String> attempts = new HashMap<>();

  private int processedStarts;
  private int controller;
  private double lastReportAt = Double.NEGATIVE_INFINITY;

  /** Send time of the last answered report, from which the lease counts. */
  private double leaseStartedAt;

  private boolean reportInFlight;
  private double nextReportAt = Double.POSITIVE_INFINITY;
  private boolean changedInFlight;
  private boolean failed;
  private int session = 1;
  private final WorkerEvents events = new WorkerEvents();
  private int restarts;

  /** The last report of the present boot and of the one before; null before the first. */
  private byte[] lastReport;

  private byte[] formerBootReport;
  private boolean hanging;
  private boolean inboundLost;
  private boolean outboundLost;

  /** Events that arrived while the machine hangs, in order. */
  private final List<Runnable> deferred = new ArrayList<>();

  SimulatedWorker(
      FakeWorker worker,
      SharedContext context,
      XnioIoThread thread,
      UndertowHttpCaller caller,
      Timers timers,
      WorkerTraffic traffic,
      int firstController,
      long seed) {
    this.worker = worker;
    this.context = context;
    this.thread = thread;
    this.caller = caller;
    this.timers = timers;
    this.traffic = traffic;
    this.controller = firstController;
    this.random = new Random(seed);
  }

  XnioIoThread thread() {
    return thread;
  }

  String host() {
    return worker.host();
  }

  String zone() {
    return worker.zone();
  }

  void start() {
    leaseRenewed(timers.now());
    scheduleReport(random.nextDouble() * context.options().reportS());
    checkLease();
  }

  /** Fails the machine together with all its tasks. */
  void fail() {
    failed = true;
    endAllTasks();
  }

  /** Makes the machine hang or continue; its tasks pause meanwhile, its lease still expires. */
  void setHanging(boolean on) {
    recordEvent(() -> "hanging: " + on);
    hanging = on;
    if (!on) {
      expireLeaseIfDue();
      List<Runnable> all = List.copyOf(deferred);
      deferred.clear();
      all.forEach(Runnable::run);
      scheduleReport(0);
    }
  }

  /** Drops all messages to the worker, or delivers them again. */
  void setInboundLost(boolean on) {
    recordEvent(() -> "inbound lost: " + on);
    inboundLost = on;
  }

  /** Drops all messages from the worker, or delivers them again. */
  void setOutboundLost(boolean on) {
    recordEvent(() -> "outbound lost: " + on);
    outboundLost = on;
  }

  /**
   * Restarts the worker, which loses all state. Its connections close, so messages in flight to the
   * previous incarnation do not arrive.
   */
  void restart() {
    recordEvent(() -> "restarted");
    endAllTasks();
    restarts++;
    deferred.clear();
    formerBootReport = lastReport;
    worker.restart();
    session++;
    leaseRenewed(timers.now());
    scheduleReport(0);
  }

  /** Sends a duplicate of the last report before the latest restart to a controller. */
  void sendFormerBootReport(int target) {
    if (formerBootReport != null) {
      recordEvent(() -> "report of the boot before arrives at " + target);
      postReport(target, formerBootReport, reply -> {});
    }
  }

  /** Answers a status request; sends no response if the request is lost. */
  void handleStatusRequest(Consumer<Response> callback) {
    if (hanging) {
      deferred.add(() -> handleStatusRequest(callback));
    } else if (failed) {
      callback.accept(Response.NO_RESPONSE);
    } else if (!inboundLost && respondsTo(context.faults().drawForCommand(random))) {
      expireLeaseIfDue();
      callback.accept(new Response(200, worker.report(), 0));
    }
  }

  private static boolean respondsTo(MessageFaults.Delivery delivery) {
    return delivery == MessageFaults.Delivery.ON_TIME
        || delivery == MessageFaults.Delivery.DUPLICATED;
  }

  /** Receives direct commands; sends no response if the request is lost. */
  void handleCommands(byte[] body, Consumer<Response> callback) {
    MessageFaults.Delivery delivery = context.faults().drawForCommand(random);
    if (failed) {
      callback.accept(Response.NO_RESPONSE);
      return;
    }
    if (inboundLost || delivery == MessageFaults.Delivery.LOST) {
      return;
    }
    if (delivery == MessageFaults.Delivery.DELAYED
        || delivery == MessageFaults.Delivery.DUPLICATED) {
      int restartsWhenSent = restarts;
      timers.after(
          context.faults().drawDelayS(random),
          () -> receiveDelayedCommands(body, restartsWhenSent));
    }
    if (delivery == MessageFaults.Delivery.DELAYED) {
      recordEvent(() -> "command delayed");
    } else if (delivery == MessageFaults.Delivery.RESPONSE_LOST) {
      receiveCommands(body, reply -> {});
    } else {
      receiveCommands(body, callback);
    }
  }

  private void receiveDelayedCommands(byte[] body, int restartsWhenSent) {
    if (restartsWhenSent == restarts) {
      receiveCommands(body, reply -> {});
    }
  }

  private void receiveCommands(byte[] body, Consumer<Response> callback) {
    if (hanging) {
      deferred.add(() -> receiveCommands(body, callback));
    } else if (!failed) {
      expireLeaseIfDue();
      callback.accept(executeCommands(body));
    }
  }

  private Response executeCommands(byte[] body) {
    try {
      Response reply = worker.handleCommands(body);
      recordEvent(() -> "command: " + reply.status() + " " + text(body));
      traffic.commandRequests++;
      traffic.bytesIn += body.length;
      traffic.bytesOut += reply.body().length;
      if (reply.ok()) {
        applyTaskChanges();
      }
      return reply;
    } catch (MalformedMessageException e) {
      return new Response(400, new byte[0], 0);
    }
  }

  private void report() {
    nextReportAt = Double.POSITIVE_INFINITY;
    if (failed) {
      return;
    }
    if (reportInFlight) {
      changedInFlight = true;
      return;
    }
    if (hanging) {
      scheduleReport(MIN_REPORT_INTERVAL_S);
      return;
    }
    expireLeaseIfDue();
    reportInFlight = true;
    changedInFlight = false;
    lastReportAt = timers.now();
    double sentAt = lastReportAt;
    int reportSession = session;
    byte[] body = worker.report();
    lastReport = body;
    traffic.reports++;
    traffic.bytesOut += body.length;
    MessageFaults.Delivery delivery = context.faults().drawForReport(random);
    recordEvent(() -> "report of session " + reportSession + " to " + controller + ", " + delivery);
    boolean lost = outboundLost || delivery == MessageFaults.Delivery.LOST;
    if (lost || !context.reachability().reaches(zone(), controller)) {
      timers.after(
          RESPONSE_TIMEOUT_S, () -> reportFinished(Response.NO_RESPONSE, sentAt, reportSession));
      return;
    }
    if (delivery == MessageFaults.Delivery.DELAYED) {
      sendDuplicateLater(body);
    }
    boolean responseLost = delivery == MessageFaults.Delivery.RESPONSE_LOST;
    postReport(
        controller,
        body,
        reply -> {
          if (inboundLost || hanging || responseLost) {
            // The response is lost; the worker gives up on the report at its timeout.
            double leftS = Math.max(0, sentAt + RESPONSE_TIMEOUT_S - timers.now());
            timers.after(leftS, () -> reportFinished(Response.NO_RESPONSE, sentAt, reportSession));
          } else {
            reportFinished(reply, sentAt, reportSession);
          }
        });
  }

  private void postReport(int target, byte[] body, Consumer<Response> callback) {
    caller.call(
        context.controllers().get(target), "POST", "/hello", body, RESPONSE_TIMEOUT_S, callback);
  }

  /** Sends a duplicate of a report late, to a random controller, and ignores the response. */
  private void sendDuplicateLater(byte[] body) {
    int target = random.nextInt(context.controllers().size());
    timers.after(context.faults().drawDelayS(random), () -> postReport(target, body, reply -> {}));
  }

  private void reportFinished(Response reply, double sentAt, int reportSession) {
    reportInFlight = false;
    traffic.bytesIn += reply.body().length;
    if (!failed) {
      recordEvent(() -> "response: " + reply.status());
      expireLeaseIfDue();
      handleReportResponse(reply, sentAt, reportSession);
    }
  }

  private void handleReportResponse(Response reply, double sentAt, int reportSession) {
    try {
      if (reply.ok()) {
        if (reportSession == session && worker.handleReportResponse(reply.body())) {
          leaseRenewed(sentAt);
          applyTaskChanges();
        }
        scheduleReport(context.options().reportS() * (0.75 + random.nextDouble() / 2));
        if (changedInFlight) {
          reportSoon();
        }
        return;
      }
      Integer redirectTarget = null;
      if (reply.status() == 421 && reply.body().length > 0) {
        redirectTarget =
            context.controllerByName().get(Document.decode(reply.body()).textOr("overseer", ""));
      }
      boolean redirected = redirectTarget != null && redirectTarget != controller;
      controller = redirected ? redirectTarget : (controller + 1) % context.controllers().size();
      scheduleReport(redirected ? random.nextDouble() / 2 : FAILOVER_DELAY_S);
    } catch (MalformedMessageException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Schedules the next report, replacing one that is scheduled for later. */
  private void scheduleReport(double seconds) {
    double at = timers.now() + seconds;
    if (at >= nextReportAt) {
      return;
    }
    nextReportAt = at;
    timers.after(
        seconds,
        () -> {
          if (nextReportAt == at) {
            report();
          }
        });
  }

  /** Schedules a report after a change, at most one every {@link #MIN_REPORT_INTERVAL_S}. */
  private void reportSoon() {
    if (reportInFlight) {
      changedInFlight = true;
    } else {
      scheduleReport(Math.max(0, lastReportAt + MIN_REPORT_INTERVAL_S - timers.now()));
    }
  }

  /** Applies the starts and stops that commands or responses caused. */
  private void applyTaskChanges() {
    List<String> all = worker.starts();
    for (; processedStarts < all.size(); processedStarts++) {
      startAttempt(all.get(processedStarts));
    }
    List<String> running = worker.running();
    for (String task : List.copyOf(attempts.keySet())) {
      if (!running.contains(task)) {
        attempts.remove(task);
        context.invariants().taskEnded(task, host(), false);
        reportSoon();
      }
    }
  }

  private void startAttempt(String attempt) {
    String task = attempt.substring(0, attempt.lastIndexOf('#'));
    attempts.put(task, attempt);
    context.invariants().taskStarted(task, host(), timers.now());
    context.latencies().taskStarted(context.invariants().jobOf(task), timers.now());
    double runS = context.options().runS() * (0.5 + random.nextDouble());
    timers.after(runS, () -> endAttempt(task, attempt));
    reportSoon();
  }

  private void endAttempt(String task, String attempt) {
    if (hanging) {
      deferred.add(() -> endAttempt(task, attempt));
    } else if (!failed && attempts.remove(task, attempt)) {
      worker.exit(task, "done");
      context.invariants().taskEnded(task, host(), true);
      reportSoon();
    }
  }

  /** The latest events of this worker. */
  WorkerEvents events() {
    return events;
  }

  /**
   * Records an event. Load runs, which measure the workers' resource use, record none and build no
   * text.
   */
  private void recordEvent(Supplier<String> event) {
    if (context.recordEvents()) {
      events.add(timers.now(), event.get());
    }
  }

  private static String text(byte[] body) {
    try {
      return Document.decode(body).toString();
    } catch (MalformedMessageException e) {
      throw new IllegalStateException(e);
    }
  }

  private void leaseRenewed(double sentAt) {
    recordEvent(() -> String.format(Locale.ROOT, "lease renewed from %.3f", sentAt));
    leaseStartedAt = sentAt;
    context.invariants().leaseRenewed(host(), sentAt + context.options().leaseS());
  }

  private void checkLease() {
    if (failed) {
      return;
    }
    expireLeaseIfDue();
    double endsAt = leaseStartedAt + context.options().leaseS();
    timers.after(Math.max(0, endsAt - timers.now()) + LEASE_CHECK_MARGIN_S, this::checkLease);
  }

  /**
   * Ends all tasks once the lease has expired by the worker's own clock, before any other event.
   */
  private void expireLeaseIfDue() {
    if (!failed && timers.now() - leaseStartedAt > context.options().leaseS()) {
      recordEvent(() -> "lease expired");
      endAllTasks();
      worker.newSession();
      session++;
      leaseRenewed(timers.now());
    }
  }

  private void endAllTasks() {
    attempts.keySet().forEach(task -> context.invariants().taskEnded(task, host(), false));
    attempts.clear();
  }
}
