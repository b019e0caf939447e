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
 * A worker without tasks of its own: it reports, obeys and ends tasks after drawn run times, in the
 * rhythm of the protocol. All of it runs on one I/O thread, which it shares with hundreds of
 * others.
 */
final class SimulatedWorker {
  private static final double MIN_REPORT_INTERVAL_S = 0.5;
  private static final double FAILOVER_DELAY_S = 1;
  private static final double RESPONSE_TIMEOUT_S = 4;
  private static final double LEASE_CHECK_MARGIN_S = 0.002;

  /** What all hollow workers have in common. */
  record SharedContext(
      List<String> controllers,
      Map<String, Integer> controllerByName,
      InvariantChecker rules,
      LatencyRecorder starts,
      LoadOptions options,
      Reachability reachability,
      MessageFaults faults,
      boolean eventsKept) {}

  /** Whether a worker in a zone reaches a controller now. */
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

  /** Attempts of the tasks that run here. */
  private final Map<String, String> attempts = new HashMap<>();

  private int processedStarts;
  private int controller;
  private double lastReportAt = Double.NEGATIVE_INFINITY;
  private double leaseStartedAt;
  private boolean reportInFlight;
  private double nextReportAt = Double.POSITIVE_INFINITY;
  private boolean changedInFlight;
  private boolean stopped;
  private int session = 1;
  private final WorkerEvents events = new WorkerEvents();
  private int restarts;
  private boolean hanging;
  private boolean inboundLost;
  private boolean outboundLost;

  /** What has arrived while the machine hangs, in order. */
  private final List<Runnable> deferred = new ArrayList<>();

  SimulatedWorker(
      FakeWorker worker,
      SharedContext common,
      XnioIoThread thread,
      UndertowHttpCaller caller,
      Timers timers,
      WorkerTraffic use,
      int firstNode,
      long seed) {
    this.worker = worker;
    this.context = common;
    this.thread = thread;
    this.caller = caller;
    this.timers = timers;
    this.traffic = use;
    this.controller = firstNode;
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

  /** The machine fails with all that is on it. */
  void stop() {
    stopped = true;
    endAllTasks();
  }

  /** The machine hangs, or goes on; its tasks stand still meanwhile, its lease does not. */
  void setHanging(boolean on) {
    recordEvent(() -> "hangs " + on);
    hanging = on;
    if (!on) {
      expireLeaseIfDue();
      List<Runnable> all = List.copyOf(deferred);
      deferred.clear();
      all.forEach(Runnable::run);
      scheduleReport(0);
    }
  }

  /** Nothing that is said to the worker arrives, or all does again. */
  void setInboundLost(boolean on) {
    recordEvent(() -> "deaf " + on);
    inboundLost = on;
  }

  /** Nothing that the worker says arrives, or all does again. */
  void outboundLost(boolean on) {
    recordEvent(() -> "mute " + on);
    outboundLost = on;
  }

  /**
   * The worker is restarted and knows nothing any more. Its connections end with it, so nothing
   * that was on its way to its former life arrives.
   */
  void restart() {
    recordEvent(() -> "begins anew");
    endAllTasks();
    restarts++;
    deferred.clear();
    worker.restart();
    session++;
    leaseRenewed(timers.now());
    scheduleReport(0);
  }

  /** Answers a question; there is no answer to one that is lost. */
  void handleStatusRequest(Consumer<Response> then) {
    if (hanging) {
      deferred.add(() -> handleStatusRequest(then));
    } else if (stopped) {
      then.accept(Response.NO_RESPONSE);
    } else if (!inboundLost
        && context.faults().drawForCommand(random) == MessageFaults.Delivery.ON_TIME) {
      expireLeaseIfDue();
      then.accept(new Response(200, worker.report(), 0));
    }
  }

  /** Takes a direct command; there is no answer to one that is lost. */
  void handleCommands(byte[] body, Consumer<Response> then) {
    MessageFaults.Delivery fate = context.faults().drawForCommand(random);
    if (stopped) {
      then.accept(Response.NO_RESPONSE);
      return;
    }
    if (inboundLost || fate == MessageFaults.Delivery.LOST) {
      return;
    }
    if (fate == MessageFaults.Delivery.DELAYED) {
      int inLife = restarts;
      timers.after(context.faults().drawDelayS(random), () -> receiveDelayedCommands(body, inLife));
    } else if (fate == MessageFaults.Delivery.RESPONSE_LOST) {
      receiveCommands(body, reply -> {});
    } else {
      receiveCommands(body, then);
    }
  }

  private void receiveDelayedCommands(byte[] body, int inLife) {
    if (inLife == restarts) {
      receiveCommands(body, reply -> {});
    }
  }

  private void receiveCommands(byte[] body, Consumer<Response> then) {
    if (hanging) {
      deferred.add(() -> receiveCommands(body, then));
    } else if (!stopped) {
      expireLeaseIfDue();
      then.accept(executeCommands(body));
    }
  }

  private Response executeCommands(byte[] body) {
    try {
      Response reply = worker.handleCommands(body);
      recordEvent(() -> "command: " + reply.status() + " " + text(body));
      traffic.commandBatches++;
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
    if (stopped) {
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
    double sent = lastReportAt;
    int inSession = session;
    byte[] body = worker.report();
    traffic.reports++;
    traffic.bytesOut += body.length;
    MessageFaults.Delivery fate = context.faults().drawForReport(random);
    recordEvent(() -> "report of session " + inSession + " to " + controller + ", " + fate);
    boolean lost = outboundLost || fate == MessageFaults.Delivery.LOST;
    if (lost || !context.reachability().reaches(zone(), controller)) {
      timers.after(RESPONSE_TIMEOUT_S, () -> reportFinished(Response.NO_RESPONSE, sent, inSession));
      return;
    }
    if (fate == MessageFaults.Delivery.DELAYED) {
      sendDuplicateLater(body);
    }
    boolean unanswered = fate == MessageFaults.Delivery.RESPONSE_LOST;
    postReport(
        controller,
        body,
        reply -> {
          if (inboundLost || hanging || unanswered) {
            // The answer is lost; the worker gives the report up when its time is over.
            double leftS = Math.max(0, sent + RESPONSE_TIMEOUT_S - timers.now());
            timers.after(leftS, () -> reportFinished(Response.NO_RESPONSE, sent, inSession));
          } else {
            reportFinished(reply, sent, inSession);
          }
        });
  }

  private void postReport(int controller, byte[] body, Consumer<Response> then) {
    caller.call(
        context.controllers().get(controller), "POST", "/hello", body, RESPONSE_TIMEOUT_S, then);
  }

  /** A copy of a report comes much later, at any controller; nobody waits for its answer. */
  private void sendDuplicateLater(byte[] body) {
    int controller = random.nextInt(context.controllers().size());
    timers.after(
        context.faults().drawDelayS(random), () -> postReport(controller, body, reply -> {}));
  }

  private void reportFinished(Response reply, double sent, int inSession) {
    reportInFlight = false;
    traffic.bytesIn += reply.body().length;
    if (!stopped) {
      recordEvent(() -> "answer " + reply.status());
      expireLeaseIfDue();
      handleReportResponse(reply, sent, inSession);
    }
  }

  private void handleReportResponse(Response reply, double sent, int inSession) {
    try {
      if (reply.ok()) {
        if (inSession == session && worker.handleReportResponse(reply.body())) {
          leaseRenewed(sent);
          applyTaskChanges();
        }
        scheduleReport(context.options().reportS() * (0.75 + random.nextDouble() / 2));
        if (changedInFlight) {
          reportSoon();
        }
        return;
      }
      Integer named = null;
      if (reply.status() == 421 && reply.body().length > 0) {
        named =
            context.controllerByName().get(Document.decode(reply.body()).textOr("overseer", ""));
      }
      boolean elsewhere = named != null && named != controller;
      controller = elsewhere ? named : (controller + 1) % context.controllers().size();
      scheduleReport(elsewhere ? random.nextDouble() / 2 : FAILOVER_DELAY_S);
    } catch (MalformedMessageException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Plans the next report, in the place of one that was planned for later. */
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

  /**
   * Something has changed: a report goes out soon, though not more often than every half second.
   */
  private void reportSoon() {
    if (reportInFlight) {
      changedInFlight = true;
    } else {
      scheduleReport(Math.max(0, lastReportAt + MIN_REPORT_INTERVAL_S - timers.now()));
    }
  }

  /** Takes up what commands have changed. */
  private void applyTaskChanges() {
    List<String> all = worker.starts();
    for (; processedStarts < all.size(); processedStarts++) {
      startAttempt(all.get(processedStarts));
    }
    List<String> running = worker.running();
    for (String task : List.copyOf(attempts.keySet())) {
      if (!running.contains(task)) {
        attempts.remove(task);
        context.rules().ended(task, host(), false);
        reportSoon();
      }
    }
  }

  private void startAttempt(String attempt) {
    String task = attempt.substring(0, attempt.lastIndexOf('#'));
    attempts.put(task, attempt);
    context.rules().started(task, host(), timers.now());
    context.starts().started(context.rules().jobOf(task), timers.now());
    double runS = context.options().runS() * (0.5 + random.nextDouble());
    timers.after(runS, () -> endAttempt(task, attempt));
    reportSoon();
  }

  private void endAttempt(String task, String attempt) {
    if (hanging) {
      deferred.add(() -> endAttempt(task, attempt));
    } else if (!stopped && attempts.remove(task, attempt)) {
      worker.exit(task, "done");
      context.rules().ended(task, host(), true);
      reportSoon();
    }
  }

  /** What has happened here lately. */
  WorkerEvents events() {
    return events;
  }

  /** Notes an event; load runs, which measure what workers use, keep none and build no text. */
  private void recordEvent(Supplier<String> event) {
    if (context.eventsKept()) {
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

  private void leaseRenewed(double sent) {
    recordEvent(() -> String.format(Locale.ROOT, "lease renewed from %.3f", sent));
    leaseStartedAt = sent;
    context.rules().leaseRenewed(host(), sent + context.options().leaseS());
  }

  private void checkLease() {
    if (stopped) {
      return;
    }
    expireLeaseIfDue();
    double endsAt = leaseStartedAt + context.options().leaseS();
    timers.after(Math.max(0, endsAt - timers.now()) + LEASE_CHECK_MARGIN_S, this::checkLease);
  }

  /** By its own clock alone the worker kills its tasks, before anything else reaches it. */
  private void expireLeaseIfDue() {
    if (!stopped && timers.now() - leaseStartedAt > context.options().leaseS()) {
      recordEvent(() -> "lease is over");
      endAllTasks();
      worker.newSession();
      session++;
      leaseRenewed(timers.now());
    }
  }

  private void endAllTasks() {
    attempts.keySet().forEach(task -> context.rules().ended(task, host(), false));
    attempts.clear();
  }
}
